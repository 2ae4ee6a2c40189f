//! The stream of a caller's connection, which keeps track of whether the connection is idle.

use std::{
    io::IoSlice,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use samphirespread_core::prelude::*;
use samphirespread_routing::{
    idle::{CallerActivity, Expiry, IdleLimit},
    model::CallerLimits,
};
use tokio::{
    io::{self, AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

use crate::{
    body::{ResponseBody, StreamBroken},
    gateway::Core,
};

/// Added to the idle timeout that callers are told before an idle connection is closed, and to the
/// time in which a head has to arrive.
const MARGIN_MS: u64 = 1_000;

/// The time limits on connections of callers, as the configuration in force has them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CallerTimeouts {
    pub(crate) idle: IdleLimit,
    pub(crate) head_ms: u64,
}

impl CallerTimeouts {
    pub(crate) fn new(limits: &CallerLimits) -> Self {
        Self { idle: IdleLimit::new(limits.idle_timeout_ms), head_ms: limits.head_timeout_ms }
    }

    /// Adopts the limits of a configuration. Returns whether they differ.
    pub(crate) fn set(&mut self, limits: &CallerLimits, now: MonoTime) -> bool {
        let before = *self;
        self.idle.set(limits.idle_timeout_ms, now);
        self.head_ms = limits.head_timeout_ms;
        before != *self
    }
}

/// What has happened on a connection.
#[derive(Clone, Debug)]
pub(crate) struct ActivityLog {
    core: Arc<Core>,
    activity: Arc<Mutex<CallerActivity>>,
}

impl ActivityLog {
    pub(crate) fn new(core: Arc<Core>) -> Self {
        let activity = Arc::new(Mutex::new(CallerActivity::new(core.now())));
        Self { core, activity }
    }

    pub(crate) fn request_began(&self) {
        self.activity().request_began();
    }

    /// Whether a request on the connection is under way.
    pub(crate) fn is_busy(&self) -> bool {
        self.activity().is_busy()
    }

    /// Why the connection is to be closed now, if it is.
    pub(crate) fn expired(&self, timeouts: &CallerTimeouts) -> Option<Expiry> {
        let (ends, expiry) = self.expires(timeouts)?;
        (ends <= self.core.now()).then_some(expiry)
    }

    /// Time until the next check of whether the connection is to be closed.
    ///
    /// A head that begins later is due later than that, so no event needs to bring the check
    /// forward.
    pub(crate) fn next_check_ms(&self, timeouts: &CallerTimeouts) -> u64 {
        let limit_ms = timeouts.idle.limit_ms().min(timeouts.head_ms) + MARGIN_MS;
        let now = self.core.now();
        self.expires(timeouts).map_or(limit_ms, |(ends, _)| ends.ms_since(now).min(limit_ms))
    }

    fn expires(&self, timeouts: &CallerTimeouts) -> Option<(MonoTime, Expiry)> {
        let (ends, expiry) = self.activity().expires(&timeouts.idle, timeouts.head_ms)?;
        Some((ends.plus_ms(MARGIN_MS), expiry))
    }

    fn activity(&self) -> MutexGuard<'_, CallerActivity> {
        self.activity.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A caller's stream whose reads and writes are logged.
#[derive(Debug)]
pub(crate) struct CallerStream<'a> {
    stream: &'a mut TcpStream,
    log: ActivityLog,
}

impl<'a> CallerStream<'a> {
    pub(crate) fn new(stream: &'a mut TcpStream, log: ActivityLog) -> Self {
        Self { stream, log }
    }

    fn log_sent<T>(&self, sent: Poll<T>) -> Poll<T> {
        self.log.activity().sent(sent.is_pending(), self.log.core.now());
        sent
    }
}

impl AsyncRead for CallerStream<'_> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut *self.stream).poll_read(context, buffer);
        if buffer.filled().len() > before {
            self.log.activity().received(self.log.core.now());
        }
        read
    }
}

impl AsyncWrite for CallerStream<'_> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let sent = Pin::new(&mut *self.stream).poll_write(context, bytes);
        self.log_sent(sent)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let sent = Pin::new(&mut *self.stream).poll_write_vectored(context, parts);
        self.log_sent(sent)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.stream).poll_shutdown(context)
    }
}

/// The body of an answer, whose end is logged.
#[derive(Debug)]
pub(crate) struct LoggedBody {
    body: ResponseBody,
    log: ActivityLog,
}

impl LoggedBody {
    pub(crate) fn new(body: ResponseBody, log: ActivityLog) -> Self {
        Self { body, log }
    }
}

impl Body for LoggedBody {
    type Data = Bytes;
    type Error = StreamBroken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamBroken>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for LoggedBody {
    fn drop(&mut self) {
        self.log.activity().answer_ended(self.log.core.now());
    }
}
