//! What happens to a request, what to do about it, and how it ends.

use samphirespread_core::prelude::*;

use crate::spec::GiveUpReason;

/// What happened to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The request was admitted.
    Start,
    /// Placement chose an agent.
    Chosen {
        /// The agent.
        agent: InstanceName,
    },
    /// Placement found no agent.
    NoneLeft {
        /// When an agent may be free.
        retry_after_ms: u32,
    },
    /// It is certain that the agent did not get the run order.
    Unsent {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The agent has taken the attempt in.
    Accepted {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The agent says that the attempt did not run and never will.
    NotRun {
        /// The attempt.
        attempt: AttemptId,
        /// When to come back to this agent.
        retry_after_ms: u32,
    },
    /// A line of output arrived.
    Line {
        /// The attempt.
        attempt: AttemptId,
        /// Counts the lines of the attempt from zero.
        seq: u64,
    },
    /// The answer is complete.
    Finished {
        /// The attempt.
        attempt: AttemptId,
        /// Lines in the whole answer of the attempt.
        lines: u64,
    },
    /// The attempt ended without a complete answer.
    Failed {
        /// The attempt.
        attempt: AttemptId,
        /// Whether the backend server may have begun to run it.
        may_have_run: bool,
    },
    /// The connection that carried the attempt is gone.
    Lost {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The caller is gone.
    CallerGone,
    /// The request's deadline has passed.
    DeadlinePassed,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Choose an agent among those not in [`RequestMachine::tried`](crate::RequestMachine::tried).
    Choose,
    /// Send the run order.
    Run {
        /// The attempt.
        attempt: AttemptId,
        /// The agent.
        agent: InstanceName,
        /// Lines that the caller has from earlier attempts; the run continues after them.
        delivered_lines: u64,
    },
    /// Ask the agent for the rest of the attempt's answer.
    Resume {
        /// The attempt.
        attempt: AttemptId,
        /// The agent.
        agent: InstanceName,
        /// The first line still missing.
        from_seq: u64,
        /// Counts the resumes since the last line from one.
        try_number: u32,
    },
    /// Pass the line just reported to the caller.
    Deliver,
    /// Tell the agent that nobody waits for the attempt.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
        /// The agent.
        agent: InstanceName,
    },
    /// Give the caller the final answer.
    End(Outcome),
}

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The caller has the whole answer.
    Complete,
    /// The request has not run and will not.
    NotRun {
        /// Why.
        reason: GiveUpReason,
        /// When to come back.
        retry_after_ms: u32,
    },
    /// The request is not idempotent and may have run.
    Unknown,
    /// The request is idempotent, may have run, and has no complete answer.
    Interrupted {
        /// Why.
        reason: GiveUpReason,
        /// When to come back.
        retry_after_ms: u32,
    },
    /// The caller left.
    Abandoned,
}

impl Event {
    /// The attempt that the event is about, if it is about one.
    pub(crate) fn attempt(&self) -> Option<AttemptId> {
        match self {
            Self::Unsent { attempt }
            | Self::Accepted { attempt }
            | Self::NotRun { attempt, .. }
            | Self::Line { attempt, .. }
            | Self::Finished { attempt, .. }
            | Self::Failed { attempt, .. }
            | Self::Lost { attempt } => Some(*attempt),
            Self::Start
            | Self::Chosen { .. }
            | Self::NoneLeft { .. }
            | Self::CallerGone
            | Self::DeadlinePassed => None,
        }
    }
}
