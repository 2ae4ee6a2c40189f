//! What is known of one possible cause of crashes.

use std::net::SocketAddr;

use samphirespread_core::prelude::*;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::{CauseKind, CauseTag};
use crate::server_limit::ServerRun;

/// Further crashes of one cause are not stored. By then it has long been blocked for good.
const MAX_STORED_CRASHES: usize = 8;

/// A survival also outweighs crashes that seem to be this much later. Routers know when something
/// happened at another one only so exactly, and an old crash must not count again.
pub(super) const TIME_ERROR_MS: u64 = 250;

/// Identifies the host of a backend server by a hash of its address. A server that crashed starts
/// again at its address, mostly with a new id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Host(u32);

impl Host {
    /// Returns the host of the server at an address.
    pub fn of(address: SocketAddr) -> Self {
        let [a, b, c, d, ..] = xxh3_64(address.to_string().as_bytes()).to_le_bytes();
        Self(u32::from_le_bytes([a, b, c, d]))
    }
}

/// The crash of one run of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crash {
    /// The run that ended.
    pub run: ServerRun,
    /// Where it ran.
    pub host: Host,
    /// When it ended.
    pub at: MonoTime,
    /// The next more specific cause in the same request: the next part of its prompt, or the
    /// request as a whole.
    pub more_specific: Option<CauseTag>,
}

/// Crashes that a cause was present in, and what speaks for its innocence.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Evidence {
    /// The crashes since a run with the cause last survived, each run of a server once.
    crashes: Vec<Crash>,
    /// When a run with the cause last survived.
    pub(super) survived: Option<MonoTime>,
    /// When a request was last sent on trial.
    pub(super) tried: Option<MonoTime>,
}

impl Evidence {
    /// Adds a crash. Returns whether it was new and is not outweighed by a later survival.
    pub(super) fn add_crash(&mut self, crash: Crash) -> bool {
        let is_known = self.crashes.iter().any(|known| known.run == crash.run);
        if is_known || self.outweighs(crash) || self.crashes.len() >= MAX_STORED_CRASHES {
            return false;
        }
        self.crashes.push(crash);
        true
    }

    /// Records that a run with the cause survived. Returns whether that outweighed a crash.
    pub(super) fn add_survival(&mut self, at: MonoTime) -> bool {
        if self.survived.is_some_and(|known| known >= at) {
            return false;
        }
        self.survived = Some(at);
        let before = self.crashes.len();
        self.crashes.retain(|crash| crash.at > at.plus_ms(TIME_ERROR_MS));
        self.crashes.len() < before
    }

    /// Whether a run with the cause has survived after the crash.
    pub(super) fn outweighs(&self, crash: Crash) -> bool {
        self.survived.is_some_and(|survived| crash.at <= survived.plus_ms(TIME_ERROR_MS))
    }

    pub(super) fn crashes(&self) -> &[Crash] {
        &self.crashes
    }

    pub(super) fn first_crash(&self) -> Option<MonoTime> {
        self.crashes.iter().map(|crash| crash.at).min()
    }

    pub(super) fn last_crash(&self) -> Option<MonoTime> {
        self.crashes.iter().map(|crash| crash.at).max()
    }

    /// The number of different hosts on which servers crashed.
    pub(super) fn hosts(&self) -> usize {
        let mut hosts: Vec<Host> = self.crashes.iter().map(|crash| crash.host).collect();
        hosts.sort_unstable();
        hosts.dedup();
        hosts.len()
    }

    /// What the cause is, if there is a crash to tell it from: nothing is more specific than a request.
    pub(super) fn kind(&self) -> Option<CauseKind> {
        let crash = self.crashes.first()?;
        Some(if crash.more_specific.is_some() { CauseKind::Part } else { CauseKind::Request })
    }

    /// The more specific cause that was the same in all of the crashes, if there is one.
    pub(super) fn more_specific_cause(&self) -> Option<CauseTag> {
        let mut tags = self.crashes.iter().map(|crash| crash.more_specific);
        let first = tags.next().flatten()?;
        tags.all(|tag| tag == Some(first)).then_some(first)
    }
}
