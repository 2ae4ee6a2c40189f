//! Runs that servers broke off, until it is known whether the server's process has ended.

use std::{net::SocketAddr, sync::Arc};

use samphirespread_core::prelude::*;
use samphirespread_routing::server_limit::ServerRun;

use super::PossibleCause;
use crate::{fleet::Fleet, select::Selected};

/// A run is forgotten if nothing has shown for this long that its server's process has ended. By then
/// the list shows a server that was back at once.
const LIFETIME_MS: u64 = 5_000;
/// Beyond this number, the oldest runs are forgotten.
const MAX_RUNS: usize = 1_024;

/// The process of a backend server that runs a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunningServer {
    pub(crate) run: ServerRun,
    pub(crate) address: SocketAddr,
}

impl RunningServer {
    pub(crate) fn of(selected: &Selected) -> Self {
        Self { run: selected.run(), address: selected.address }
    }
}

/// How far a run had come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunStage {
    /// The request was sent, and no answer has begun.
    Sent,
    /// The answer has begun, without an event yet.
    Begun,
    /// The answer has events, and its server may still crash of what it has read.
    FirstEvents,
    /// The answer has had events for a while.
    Streaming,
}

impl RunStage {
    pub(super) fn name(self) -> &'static str {
        match self {
            Self::Sent => "sent",
            Self::Begun => "begun",
            Self::FirstEvents => "first events",
            Self::Streaming => "streaming",
        }
    }
}

/// A run that its server broke off.
#[derive(Clone, Debug)]
pub(super) struct BrokenRun {
    pub(super) stage: RunStage,
    pub(super) server_id: Arc<str>,
    pub(super) server: RunningServer,
    pub(super) at: MonoTime,
    pub(super) request_id: String,
    pub(super) team: String,
    pub(super) route: Arc<str>,
    /// What in the request may have crashed the server.
    pub(super) causes: Vec<PossibleCause>,
}

/// Runs of which it is not known yet whether their server has crashed or only broke them off.
#[derive(Debug, Default)]
pub(crate) struct BrokenRuns(Vec<BrokenRun>);

impl BrokenRuns {
    pub(super) fn add(&mut self, run: BrokenRun) {
        if self.0.len() >= MAX_RUNS {
            self.0.remove(0);
        }
        self.0.push(run);
    }

    /// Removes the runs of a server's process, which has ended, and returns them.
    pub(super) fn take_of(&mut self, run: ServerRun) -> Vec<BrokenRun> {
        self.0.extract_if(.., |broken| broken.server.run == run).collect()
    }

    /// Removes the runs whose processes have ended by what is known of the servers, and returns them.
    pub(super) fn take_ended(&mut self, fleet: &Fleet, now: MonoTime) -> Vec<BrokenRun> {
        let has_ended = |broken: &mut BrokenRun| {
            fleet.has_ended(&broken.server_id, broken.server.run, broken.at, now)
        };
        self.0.extract_if(.., has_ended).collect()
    }

    pub(crate) fn expire(&mut self, now: MonoTime) {
        self.0.retain(|broken| now.ms_since(broken.at) < LIFETIME_MS);
    }
}
