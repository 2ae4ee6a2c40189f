//! What routers tell each other of possible causes of crashes.

use samphirespread_core::prelude::*;
use serde::{Deserialize, Serialize};

use super::{
    CauseKey, CauseTag,
    evidence::{Crash, Evidence, Host},
};
use crate::server_limit::ServerRun;

/// All that a router knows of one possible cause. Ages are as of the time at which it was
/// published, in milliseconds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CauseNews {
    /// The cause.
    pub key: CauseKey,
    /// The crashes since a run with the cause last survived.
    pub crashes: Vec<CrashNews>,
    /// Time since such a run last survived.
    pub survived_age_ms: Option<u64>,
    /// Time since a request was last sent on trial.
    pub tried_age_ms: Option<u64>,
    /// Time since a request or a crash with the cause last came.
    pub seen_age_ms: u64,
}

/// What a possible cause of crashes is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CauseKind {
    /// A part of a prompt.
    Part,
    /// A request as a whole.
    Request,
}

impl CauseKind {
    /// The name of the kind in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Part => "part",
            Self::Request => "request",
        }
    }
}

/// One crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashNews {
    /// The run of the server that ended.
    pub run: ServerRun,
    /// Where it ran.
    pub host: Host,
    /// Time since it ended.
    pub age_ms: u64,
    /// The next more specific cause in the same request.
    pub more_specific: Option<CauseTag>,
}

impl CauseNews {
    pub(super) fn of(
        key: CauseKey,
        evidence: &Evidence,
        last_seen: MonoTime,
        now: MonoTime,
    ) -> Self {
        let crash = |crash: &Crash| CrashNews {
            run: crash.run,
            host: crash.host,
            age_ms: now.ms_since(crash.at),
            more_specific: crash.more_specific,
        };
        Self {
            key,
            crashes: evidence.crashes().iter().map(crash).collect(),
            survived_age_ms: evidence.survived.map(|at| now.ms_since(at)),
            tried_age_ms: evidence.tried.map(|at| now.ms_since(at)),
            seen_age_ms: now.ms_since(last_seen),
        }
    }
}

impl CrashNews {
    pub(super) fn crash(&self, published: MonoTime) -> Crash {
        let at = published.minus_ms(self.age_ms);
        Crash { run: self.run, host: self.host, at, more_specific: self.more_specific }
    }
}
