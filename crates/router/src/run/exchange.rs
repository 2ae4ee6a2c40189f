//! One attempt's exchange with an agent, read as events.

use samphirespread_core::prelude::*;
use samphirespread_dispatch::Event;
use samphirespread_wire::{
    Connection, ReplyStream, WireError,
    message::{Estimate, Finished, NotRunReason, Reply, Request},
};

use super::piece::Piece;

/// An open exchange of one attempt.
pub(crate) struct Exchange {
    attempt: AttemptId,
    replies: ReplyStream,
    // Lines of the answer seen so far; the head and each body piece of a service are lines.
    next_line: u64,
}

/// What one reply means.
pub(crate) struct Arrival {
    /// For the state machine.
    pub(crate) event: Event,
    /// For the caller, if the machine says so.
    pub(crate) piece: Option<Piece>,
    /// For placement.
    pub(crate) news: Option<News>,
}

/// What an agent said about itself.
#[derive(Clone, Copy, Debug)]
pub(crate) enum News {
    /// Its standing for this prompt.
    Standing(Estimate),
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
        Ok(Self { attempt, replies, next_line: from_line })
    }

    /// The next reply.
    pub(crate) async fn next(&mut self) -> Arrival {
        // An exchange that ends without a verdict is as good as a lost connection.
        let Ok(Some(reply)) = self.replies.next().await else { return self.lost() };
        self.read(reply)
    }

    /// A further reply that has already arrived.
    pub(crate) fn next_arrived(&mut self) -> Option<Arrival> {
        let reply = self.replies.next_arrived().ok()??;
        Some(self.read(reply))
    }

    fn lost(&self) -> Arrival {
        Arrival { event: Event::ConnectionLost { attempt: self.attempt }, piece: None, news: None }
    }

    fn read(&mut self, reply: Reply) -> Arrival {
        let attempt = self.attempt;
        match reply {
            Reply::Accepted(standing) => Arrival {
                event: Event::Accepted { attempt },
                piece: None,
                news: Some(News::Standing(standing)),
            },
            Reply::NotRun(not_run) => Arrival {
                event: Event::NotRun { attempt, retry_after_ms: not_run.retry_after_ms },
                piece: None,
                news: Some(News::Refuses(not_run.estimate, not_run.reason)),
            },
            Reply::Output(output) => {
                let event = Event::Line { attempt, seq: output.seq };
                Arrival { event, piece: Some(Piece::Lines(vec![output])), news: None }
            }
            Reply::ServiceHead(head) => self.line(Piece::Head(head)),
            Reply::ServiceBody { bytes, .. } => self.line(Piece::Body(bytes)),
            Reply::Finished(finished) => Arrival {
                event: Event::Finished { attempt, lines: finished.length },
                piece: None,
                news: Some(News::Finished(finished)),
            },
            Reply::Failed(failed) => {
                let event = Event::Failed { attempt, may_have_run: failed.may_have_run };
                Arrival { event, piece: None, news: None }
            }
            _ => self.lost(),
        }
    }

    fn line(&mut self, piece: Piece) -> Arrival {
        let event = Event::Line { attempt: self.attempt, seq: self.next_line };
        self.next_line += 1;
        Arrival { event, piece: Some(piece), news: None }
    }
}
