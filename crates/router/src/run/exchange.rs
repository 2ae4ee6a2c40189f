//! Translates an agent's replies about one attempt into events of the request's state machine.

use samphirespread_core::prelude::*;
use samphirespread_dispatch::Event;
use samphirespread_wire::{
    Connection, ReplyStream, WireError,
    message::{Estimate, Finished, NotRunReason, Reply, Request},
};

use super::piece::Piece;

/// An open request to an agent about one attempt, and the stream of its replies.
pub(crate) struct Exchange {
    attempt: AttemptId,
    replies: ReplyStream,
    answered: bool,
    // Number of the next line, if the answer is that of a plain service. Its head and each piece of
    // its body count as one line.
    next_line: u64,
}

/// An event, with the data of the reply that caused it.
pub(crate) struct Arrival {
    /// The event for the state machine.
    pub(crate) event: Event,
    /// The piece for the caller, delivered if the state machine says so.
    pub(crate) piece: Option<Piece>,
    /// What the agent reported about itself, for placement and metrics.
    pub(crate) notice: Option<AgentNotice>,
}

/// What an agent reported about itself in a reply.
#[derive(Clone, Copy, Debug)]
pub(crate) enum AgentNotice {
    /// How well it could serve this prompt.
    Estimate(Estimate),
    /// It refuses work for now.
    Refuses(Estimate, NotRunReason),
    /// The totals of a complete answer.
    Finished(Finished),
}

impl Exchange {
    /// Sends a request about an attempt.
    pub(crate) async fn open(
        connection: &Connection,
        attempt: AttemptId,
        request: &Request,
        from_line: u64,
    ) -> Result<Self, WireError> {
        let replies = connection.open(request).await?;
        Ok(Self { attempt, replies, answered: false, next_line: from_line })
    }

    /// Waits for the next reply.
    pub(crate) async fn next(&mut self) -> Arrival {
        match self.replies.next().await {
            Ok(Some(reply)) => {
                self.answered = true;
                self.translate(reply)
            }
            // The agent turned away before it took the request.
            Err(error) if error.is_unsent() && !self.answered => {
                let event = Event::Unsent { attempt: self.attempt };
                Arrival { event, piece: None, notice: None }
            }
            // An exchange that ends without a final reply is treated as a lost connection.
            _ => self.connection_lost(),
        }
    }

    /// Returns a further reply if one has already arrived.
    pub(crate) fn next_arrived(&mut self) -> Option<Arrival> {
        let reply = self.replies.next_arrived().ok()??;
        Some(self.translate(reply))
    }

    fn connection_lost(&self) -> Arrival {
        Arrival {
            event: Event::ConnectionLost { attempt: self.attempt },
            piece: None,
            notice: None,
        }
    }

    fn translate(&mut self, reply: Reply) -> Arrival {
        let attempt = self.attempt;
        match reply {
            Reply::Accepted(estimate) => Arrival {
                event: Event::Accepted { attempt },
                piece: None,
                notice: Some(AgentNotice::Estimate(estimate)),
            },
            Reply::NotRun(not_run) => Arrival {
                event: Event::NotRun { attempt, retry_after_ms: not_run.retry_after_ms },
                piece: None,
                notice: Some(AgentNotice::Refuses(not_run.estimate, not_run.reason)),
            },
            Reply::Output(output) => {
                let event = Event::Line { attempt, seq: output.seq };
                Arrival { event, piece: Some(Piece::Lines(vec![output])), notice: None }
            }
            Reply::ServiceHead(head) => self.service_line(Piece::Head(head)),
            Reply::ServiceBody { bytes, .. } => self.service_line(Piece::Body(bytes)),
            Reply::Finished(finished) => Arrival {
                event: Event::Finished { attempt, lines: finished.length },
                piece: None,
                notice: Some(AgentNotice::Finished(finished)),
            },
            Reply::Failed(failed) => {
                let event = Event::Failed { attempt, may_have_run: failed.may_have_run };
                Arrival { event, piece: None, notice: None }
            }
            _ => self.connection_lost(),
        }
    }

    fn service_line(&mut self, piece: Piece) -> Arrival {
        let event = Event::Line { attempt: self.attempt, seq: self.next_line };
        self.next_line += 1;
        Arrival { event, piece: Some(piece), notice: None }
    }
}
