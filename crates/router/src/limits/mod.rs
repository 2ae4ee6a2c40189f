//! Admits requests within their team's rate.
//!
//! One task owns the limiter. Requests, messages from other routers and answers from the platform
//! reach it through a channel. The task ends when the channel closes.

mod executor;
mod task;

use bytes::Bytes;
use samphirespread_config::Snapshot;
use samphirespread_core::{prelude::*, time::Clock};
use samphirespread_limits::{
    Event, Holder, LimitsConfig, RouterInfo, Snapshot as LimitsSnapshot, TeamLimit,
};
use samphirespread_platform::{
    StorePlatform,
    api::{LiveList, LiveState, Role},
};
use samphirespread_settings::RouterSettings;
use samphirespread_wire::{Pool, message::Reply};
use tokio::sync::{mpsc, oneshot};

use crate::state::Identity;

use self::{executor::ActionExecutor, task::Command};

/// Delay after which a caller may retry while this router doesn't know the team's limit yet.
const UNKNOWN_TEAM_RETRY_MS: u64 = 1_000;

/// Number of times an object is polled within one revoke wait. More than one, since polls may fail.
const POLLS_PER_REVOKE_WAIT: u64 = 4;

/// Admits requests. Clones share one limiter.
#[derive(Clone, Debug)]
pub(crate) struct Admission {
    commands: mpsc::UnboundedSender<Command>,
}

/// Tokens reserved for one request. All of them count as used unless [`Grant::settle`] is called.
#[derive(Debug)]
pub(crate) struct Grant {
    commands: mpsc::UnboundedSender<Command>,
    ticket: u64,
    reserved_tokens: u64,
    unused_tokens: u64,
}

/// Why a request was not admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// The team's rate is used up for now.
    RetryAfter {
        /// Delay after which the caller may retry.
        ms: u64,
    },
    /// The request is larger than the team's whole burst.
    ExceedsBurst {
        /// The team's burst.
        burst_tokens: u64,
    },
    /// The request is larger than the part of the team's burst that one router can gather.
    ExceedsReach {
        /// Tokens that can be gathered.
        reach_tokens: u64,
    },
}

/// What [`Admission::start`] needs besides the settings.
pub(crate) struct AdmissionParts {
    pub(crate) identity: Identity,
    /// The address at which other routers reach this one.
    pub(crate) address: String,
    pub(crate) clock: Clock,
    pub(crate) pool: Pool<Identity>,
    pub(crate) platform: StorePlatform,
}

impl Admission {
    /// Starts the task that owns the limiter.
    pub(crate) fn start(settings: &RouterSettings, parts: AdmissionParts) -> Self {
        let (commands, inbox) = mpsc::unbounded_channel();
        let own_holder = Holder { name: parts.identity.name().clone(), address: parts.address };
        let config = limits_config(settings);
        let executor = ActionExecutor {
            pool: parts.pool,
            platform: parts.platform,
            commands: commands.downgrade(),
            silence_timeout_ms: settings.peers.silence_timeout_ms,
        };
        let incarnation = parts.identity.incarnation();
        tokio::spawn(task::run(config, own_holder, incarnation, parts.clock, executor, inbox));
        Self { commands }
    }

    /// Reserves tokens from the team's rate. Waits until the limiter has decided.
    pub(crate) async fn admit(&self, team: &TeamName, tokens: u64) -> Result<Grant, Refusal> {
        let (answer, answered) = oneshot::channel();
        let command =
            Command::Admit { team: team.clone(), tokens, commands: self.commands.clone(), answer };
        // The task lives as long as this sender, so it always answers.
        let _ = self.commands.send(command);
        answered.await.unwrap_or(Err(Refusal::RetryAfter { ms: UNKNOWN_TEAM_RETRY_MS }))
    }

    /// Passes the teams' limits of a configuration that has come into force to the limiter.
    pub(crate) fn apply_config(&self, snapshot: &Snapshot) {
        let limits = snapshot.config().teams.iter().map(|team| TeamLimit {
            team: team.name.clone(),
            rate_tokens_per_s: team.rate_tokens_per_s,
            burst_tokens: team.burst_tokens,
        });
        self.send_event(Event::Limits(limits.collect()));
    }

    /// Passes the routers of a live list to the limiter. Also called when the platform has
    /// confirmed that the list is unchanged.
    pub(crate) fn apply_live_list(&self, live: &LiveList) {
        let routers = live.instances.iter().filter(|instance| instance.role == Role::Router);
        let routers = routers.map(|instance| RouterInfo {
            holder: Holder { name: instance.name.clone(), address: instance.address.clone() },
            failure_domain: instance.failure_domain.clone(),
            leaving: instance.state == LiveState::Leaving,
        });
        self.send_event(Event::LiveList(routers.collect()));
    }

    /// Answers a message from another router's limiter.
    pub(crate) async fn handle_peer_message(&self, message: Bytes) -> Reply {
        let (answer, answered) = oneshot::channel();
        let _ = self.commands.send(Command::Peer { message, answer });
        match answered.await {
            Ok(reply) => Reply::Limits(reply),
            Err(_) => Reply::Refused { message: "no message of limits".to_owned() },
        }
    }

    /// Hands this router's shares to the other routers and returns once that is done.
    pub(crate) async fn leave(&self) {
        let (done, finished) = oneshot::channel();
        let _ = self.commands.send(Command::Leave { done });
        let _ = finished.await;
    }

    /// Returns the limiter's state, for the state dump and for metrics.
    pub(crate) async fn snapshot(&self) -> Option<LimitsSnapshot> {
        let (answer, answered) = oneshot::channel();
        let _ = self.commands.send(Command::Snapshot { answer });
        answered.await.ok()
    }

    /// Returns whether this router can admit requests of every team.
    pub(crate) async fn is_ready(&self) -> bool {
        self.snapshot().await.is_some_and(|snapshot| snapshot.can_admit)
    }

    fn send_event(&self, event: Event) {
        let _ = self.commands.send(Command::Event(event));
    }
}

impl Grant {
    /// Returns the reserved tokens that were not used.
    pub(crate) fn settle(mut self, used_tokens: u64) {
        self.unused_tokens = self.reserved_tokens.saturating_sub(used_tokens);
    }
}

impl Drop for Grant {
    fn drop(&mut self) {
        let event = Event::Refund { ticket: self.ticket, unused_tokens: self.unused_tokens };
        // If the task has ended, there is no bucket to return the tokens to.
        let _ = self.commands.send(Command::Event(event));
    }
}

fn limits_config(settings: &RouterSettings) -> LimitsConfig {
    LimitsConfig::new()
        .lump_lifetime_ms(settings.limits.lump_lifetime_ms)
        .revoke_wait_ms(settings.limits.revoke_wait_ms)
        .clock_margin_ms(settings.limits.clock_margin_ms)
        .poll_ms((settings.limits.revoke_wait_ms / POLLS_PER_REVOKE_WAIT).max(1))
        .call_timeout_ms(settings.platform.timeout_ms)
        .silence_timeout_ms(settings.peers.silence_timeout_ms)
}
