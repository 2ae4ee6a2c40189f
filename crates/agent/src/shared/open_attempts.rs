//! Tells which attempts are open, for logs and metrics.

use samphirespread_core::prelude::*;

use super::State;

/// How far an open attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// It waits in the queue.
    Waiting,
    /// It runs.
    Running,
    /// It has ended, and a follower may not have the whole answer yet.
    Answering,
}

impl Phase {
    pub(crate) const ALL: [Self; 3] = [Self::Waiting, Self::Running, Self::Answering];

    /// Returns the name for logs and metrics.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Waiting => "waiting",
            Self::Running => "running",
            Self::Answering => "answering",
        }
    }
}

/// An attempt that is open.
#[derive(Clone, Debug)]
pub(crate) struct OpenAttempt {
    pub(crate) id: AttemptId,
    pub(crate) team: TeamName,
    pub(crate) phase: Phase,
    /// The number of lines of its answer so far.
    pub(crate) lines: u64,
}

impl State {
    /// Returns the open attempts, ordered by id.
    pub(crate) fn open_attempts(&self) -> Vec<OpenAttempt> {
        let mut open: Vec<_> = self
            .handles
            .values()
            .filter_map(|handle| {
                let phase = if self.waiting.contains_key(&handle.id) {
                    Phase::Waiting
                } else if !handle.has_ended() {
                    Phase::Running
                } else if self.attempts.is_followed(handle.id) {
                    Phase::Answering
                } else {
                    return None;
                };
                let (id, team, lines) = (handle.id, handle.team.clone(), handle.next_seq());
                Some(OpenAttempt { id, team, phase, lines })
            })
            .collect();
        open.sort_by_key(|attempt| attempt.id);
        open
    }

    /// Returns for how long the agent has been leaving, or zero.
    pub(crate) fn leaving_ms(&self, now: MonoTime) -> u64 {
        if self.leaving { now.ms_since(self.leaving_since) } else { 0 }
    }
}
