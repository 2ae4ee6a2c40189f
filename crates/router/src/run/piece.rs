//! The pieces of an answer, which a running request sends to the HTTP response.

use bytes::Bytes;
use samphirespread_dispatch::Outcome;
use samphirespread_wire::message::{Finished, Output, ServiceHead};
use tokio::sync::mpsc;

/// Number of pieces that are buffered for a slow caller before the request itself has to wait.
pub(crate) const MAX_BUFFERED_PIECES: usize = 64;

pub(crate) type Receiver = mpsc::Receiver<Piece>;
pub(crate) type Sender = mpsc::Sender<Piece>;

/// One piece of an answer. Pieces are sent in order.
#[derive(Debug)]
pub(crate) enum Piece {
    /// Lines of a model's output that arrived together.
    Lines(Vec<Output>),
    /// The head of a plain service's answer.
    Head(ServiceHead),
    /// Bytes of a plain service's answer.
    Body(Bytes),
    /// The end of the answer, which is always the last piece.
    End(Ending),
}

/// How the answer ended.
#[derive(Clone, Debug)]
pub(crate) struct Ending {
    /// The outcome that the state machine decided on.
    pub(crate) outcome: Outcome,
    /// The totals over all attempts, if the answer is complete.
    pub(crate) finished: Finished,
}
