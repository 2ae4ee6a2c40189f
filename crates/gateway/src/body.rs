//! Response bodies: complete ones, and streams whose chunks a task sends.

use std::{
    error::Error,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use displaydoc::Display;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::{sync::mpsc, task::consume_budget, time};

/// Maximum size of an answer that is read completely before it is forwarded.
pub(crate) const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// A refused request's body up to this size is read, so that its connection can be used again.
const MAX_DISCARDED_BYTES: usize = 64 * 1024;
/// How long a refusal waits for the rest of a body that is on its way.
const DISCARD_WAIT_MS: u64 = 20;

/// Marks the answer to a request whose body has not been read to its end. Its connection can't be
/// used again.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnreadBody;

/// Reads the rest of a request's body if it is short and has arrived. Returns whether that
/// succeeded.
pub(crate) async fn discard_rest(mut body: Incoming) -> bool {
    let discard = async {
        let mut left = MAX_DISCARDED_BYTES;
        while let Some(frame) = body.frame().await {
            consume_budget().await;
            let Ok(frame) = frame else { return false };
            let length = frame.data_ref().map_or(0, Bytes::len);
            let Some(rest) = left.checked_sub(length) else { return false };
            left = rest;
        }
        true
    };
    let wait = Duration::from_millis(DISCARD_WAIT_MS);
    time::timeout(wait, discard).await.unwrap_or(false)
}

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// the body broke off
    BrokeOff,
    /// the body is too long
    TooLong,
    /// there is no memory for it
    NoMemory,
    /// the body did not arrive in time
    TimeOver,
}

impl BodyError {
    /// The value of the metric label.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::BrokeOff => "broke_off",
            Self::TooLong => "too_long",
            Self::NoMemory => "no_memory",
            Self::TimeOver => "time_over",
        }
    }
}

/// The error of a stream that ended before its last event. It closes the caller's connection
/// without the mark of a complete body.
#[derive(Debug, Display)]
pub(crate) enum StreamBroken {
    /// the stream broke off
    Cut,
}

impl Error for StreamBroken {}

/// A chunk of a stream, or the error that ends it early.
pub(crate) type StreamChunk = Result<Bytes, StreamBroken>;

/// A response body.
#[derive(Debug)]
pub(crate) enum ResponseBody {
    /// The complete body.
    Whole(Full<Bytes>),
    /// A body whose chunks arrive through a channel.
    Stream(mpsc::Receiver<StreamChunk>),
}

impl ResponseBody {
    pub(crate) fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Full::new(bytes.into()))
    }
}

impl Body for ResponseBody {
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
            Self::Stream(chunks) => {
                chunks.poll_recv(context).map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
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
