//! Admission of requests within their team's rate.

use bytes::Bytes;
use samphirespread_config::Snapshot;
use samphirespread_core::prelude::*;
use samphirespread_platform::api::LiveList;
use samphirespread_wire::message::Reply;

/// Admits requests. Clones share one limiter.
#[derive(Clone, Debug, Default)]
pub(crate) struct Admission {}

/// Tokens reserved for one request.
#[derive(Debug)]
pub(crate) struct Grant {}

/// Why a request was not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[expect(dead_code, reason = "the limiter that refuses is not connected yet")]
pub(crate) enum Refusal {
    /// The team's rate is used up for now.
    RetryAfter {
        /// When to come back.
        ms: u64,
    },
    /// The request is larger than the team's whole burst.
    ExceedsBurst {
        /// The burst.
        burst_tokens: u64,
    },
}

impl Admission {
    /// Reserves tokens of a team.
    pub(crate) async fn admit(&self, _team: &TeamName, _tokens: u64) -> Result<Grant, Refusal> {
        Ok(Grant {})
    }

    /// Takes in a configuration that is now in force.
    pub(crate) fn config_changed(&self, _snapshot: &Snapshot) {}

    /// Takes in a live list.
    pub(crate) fn live_changed(&self, _live: &LiveList) {}

    /// Answers another router's limiter.
    pub(crate) async fn peer_message(&self, _message: Bytes) -> Reply {
        Reply::Done
    }
}

impl Grant {
    /// Gives back what was reserved and not used.
    pub(crate) fn settle(self, _used_tokens: u64) {}
}
