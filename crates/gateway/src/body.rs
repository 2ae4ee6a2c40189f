//! Response bodies: whole ones, and streams that a task fills.

use std::{
    error::Error,
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use displaydoc::Display;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;

/// A stream that ended before its last event. The caller's connection is closed without the mark of
/// a complete body.
#[derive(Debug, Display)]
pub(crate) enum StreamBroken {
    /// the stream broke off
    Cut,
}

impl Error for StreamBroken {}

/// What a relay sends: pieces, then nothing or the news that the stream broke.
pub(crate) type Piece = Result<Bytes, StreamBroken>;

/// A response body.
#[derive(Debug)]
pub(crate) enum Outgoing {
    /// All of it is here.
    Whole(Full<Bytes>),
    /// It comes piece by piece.
    Stream(mpsc::Receiver<Piece>),
}

impl Outgoing {
    pub(crate) fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Full::new(bytes.into()))
    }
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = StreamBroken;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamBroken>>> {
        match self.get_mut() {
            Self::Whole(full) => Pin::new(full)
                .poll_frame(context)
                .map(|frame| frame.map(|frame| frame.map_err(|never| match never {}))),
            Self::Stream(pieces) => {
                pieces.poll_recv(context).map(|piece| piece.map(|piece| piece.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(full) => full.is_end_stream(),
            Self::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(full) => full.size_hint(),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}
