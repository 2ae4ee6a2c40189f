//! What travels from a running request to the caller's answer.

use bytes::Bytes;
use samphirespread_dispatch::Outcome;
use samphirespread_wire::message::{Finished, Output, ServiceHead};
use tokio::sync::mpsc;

/// Pieces that may wait for a slow caller before the request itself waits.
pub(crate) const CHANNEL_PIECES: usize = 64;

pub(crate) type Receiver = mpsc::Receiver<Piece>;
pub(crate) type Sender = mpsc::Sender<Piece>;

/// A part of an answer, in order.
#[derive(Debug)]
pub(crate) enum Piece {
    /// Lines of a model's output that arrived together.
    Lines(Vec<Output>),
    /// The head of a plain service's answer.
    Head(ServiceHead),
    /// Bytes of a plain service's answer.
    Body(Bytes),
    /// The last piece.
    End(Ending),
}

/// How the answer ended.
#[derive(Clone, Debug)]
pub(crate) struct Ending {
    /// The verdict.
    pub(crate) outcome: Outcome,
    /// Totals over all attempts, when the answer is complete.
    pub(crate) finished: Finished,
}
