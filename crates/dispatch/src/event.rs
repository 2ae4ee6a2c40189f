//! The events that a request machine takes, the actions that it returns, and the outcomes of a
//! request.

use samphirespread_core::prelude::*;

use crate::spec::GiveUpReason;

/// An event in the life of a request.
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
    NoAgentAvailable {
        /// Time after which an agent may be free.
        retry_after_ms: u32,
    },
    /// The agent certainly did not receive the [`Action::Run`] or [`Action::Resume`] message.
    Unsent {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The agent has accepted the attempt.
    Accepted {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The agent reports that the attempt did not run and never will.
    NotRun {
        /// The attempt.
        attempt: AttemptId,
        /// Time to wait before using this agent again.
        retry_after_ms: u32,
    },
    /// A line of output arrived.
    Line {
        /// The attempt.
        attempt: AttemptId,
        /// Index of the line within the attempt, from zero.
        seq: u64,
    },
    /// The agent has sent the end of the response.
    Finished {
        /// The attempt.
        attempt: AttemptId,
        /// Number of lines in the attempt's whole response.
        lines: u64,
    },
    /// The attempt ended without a complete response.
    Failed {
        /// The attempt.
        attempt: AttemptId,
        /// Whether the backend server may have begun to run the attempt.
        may_have_run: bool,
    },
    /// The connection that carried the attempt was lost.
    ConnectionLost {
        /// The attempt.
        attempt: AttemptId,
    },
    /// The caller has disconnected.
    CallerGone,
    /// The request's deadline has passed.
    DeadlinePassed,
    /// The router is being stopped, and the request has to end soon.
    Stopping,
    /// The router is being stopped, and the request has to end now.
    StopPassed,
}

/// An action for the owner of the request machine to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Choose an agent that is not in [`RequestMachine::tried`](crate::RequestMachine::tried).
    Choose,
    /// Tell the agent to run the attempt.
    Run {
        /// The attempt.
        attempt: AttemptId,
        /// The agent.
        agent: InstanceName,
        /// Number of lines that the caller has from earlier attempts; the run continues after them.
        delivered_lines: u64,
    },
    /// Ask the agent for the rest of the attempt's response.
    Resume {
        /// The attempt.
        attempt: AttemptId,
        /// The agent.
        agent: InstanceName,
        /// Index of the first missing line.
        from_seq: u64,
        /// Number of this resume since the last line, from one.
        try_number: u32,
    },
    /// Pass the line of the current [`Event::Line`] to the caller.
    Deliver,
    /// Tell the agent that the attempt's response is no longer needed.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
        /// The agent.
        agent: InstanceName,
    },
    /// Tell the agent to end the attempt, and wait for its reply, which tells whether it has run.
    Withdraw {
        /// The attempt.
        attempt: AttemptId,
        /// The agent.
        agent: InstanceName,
    },
    /// Report the outcome to the caller. The request has ended.
    End(Outcome),
}

/// The final outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The caller has the whole response.
    Complete,
    /// The request has not run and will not run.
    NotRun {
        /// Why the request was given up.
        reason: GiveUpReason,
        /// Time after which the caller may retry.
        retry_after_ms: u32,
    },
    /// The request is not idempotent and may have run, so it is not retried.
    Unknown,
    /// The request is idempotent, may have run, and has no complete response.
    Interrupted {
        /// Why the request was given up.
        reason: GiveUpReason,
        /// Time after which the caller may retry.
        retry_after_ms: u32,
    },
    /// The caller disconnected before the end.
    Abandoned,
}

impl Outcome {
    /// Returns the name of what ended the request, for logs and metrics.
    pub fn cause(&self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::Unknown => "outcome_unknown",
            Self::Abandoned => "caller_gone",
            Self::NotRun { reason, .. } | Self::Interrupted { reason, .. } => reason.as_str(),
        }
    }
}

impl Event {
    /// Returns the attempt that the event concerns, if it concerns one.
    pub(crate) fn attempt(&self) -> Option<AttemptId> {
        match self {
            Self::Unsent { attempt }
            | Self::Accepted { attempt }
            | Self::NotRun { attempt, .. }
            | Self::Line { attempt, .. }
            | Self::Finished { attempt, .. }
            | Self::Failed { attempt, .. }
            | Self::ConnectionLost { attempt } => Some(*attempt),
            Self::Start
            | Self::Chosen { .. }
            | Self::NoAgentAvailable { .. }
            | Self::CallerGone
            | Self::DeadlinePassed
            | Self::Stopping
            | Self::StopPassed => None,
        }
    }
}
