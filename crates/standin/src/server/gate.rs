//! A connection that can be frozen, so that it stays open and neither reads nor writes, and that can be
//! dropped while it is idle.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    task::{Context, Poll, Waker},
    time::{Duration, Instant},
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Freezes and thaws all connections that were made with it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Gate {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    frozen: AtomicBool,
    waiting: Mutex<Vec<Waker>>,
}

impl Gate {
    /// Freezes or thaws.
    pub(crate) fn set_frozen(&self, frozen: bool) {
        self.shared.frozen.store(frozen, Ordering::SeqCst);
        if frozen {
            return;
        }

        let waiting = std::mem::take(
            &mut *self.shared.waiting.lock().unwrap_or_else(PoisonError::into_inner),
        );
        waiting.into_iter().for_each(Waker::wake);
    }

    fn poll_open(&self, cx: &Context<'_>) -> Poll<()> {
        if !self.shared.frozen.load(Ordering::SeqCst) {
            return Poll::Ready(());
        }

        let mut waiting = self.shared.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        waiting.push(cx.waker().clone());
        // A thaw between the first look and the push would otherwise be missed.
        if self.shared.frozen.load(Ordering::SeqCst) { Poll::Pending } else { Poll::Ready(()) }
    }
}

/// After how long a server drops idle connections. Connections share it.
#[derive(Clone, Debug)]
pub(crate) struct IdleDrop {
    after_ms: Arc<AtomicU64>,
}

impl Default for IdleDrop {
    fn default() -> Self {
        Self { after_ms: Arc::new(AtomicU64::new(Self::NEVER_MS)) }
    }
}

impl IdleDrop {
    const NEVER_MS: u64 = u64::MAX;

    pub(crate) fn set(&self, after_ms: Option<u64>) {
        self.after_ms.store(after_ms.unwrap_or(Self::NEVER_MS), Ordering::SeqCst);
    }

    fn has_dropped(&self, idle: Duration) -> bool {
        idle.as_millis() >= u128::from(self.after_ms.load(Ordering::SeqCst))
    }
}

/// A connection behind a gate.
#[derive(Debug)]
pub(crate) struct Gated {
    gate: Gate,
    idle_drop: IdleDrop,
    stream: TcpStream,
    /// When the last byte was read or written.
    active: Instant,
    /// Whether an answer has been written, so that the connection may be idle.
    has_answered: bool,
}

impl Gated {
    /// Puts a connection behind a gate.
    pub(crate) fn new(gate: Gate, idle_drop: IdleDrop, stream: TcpStream) -> Self {
        Self { gate, idle_drop, stream, active: Instant::now(), has_answered: false }
    }

    /// Records that bytes have arrived. Returns an error, and lets the connection end with a reset, if it
    /// was dropped before.
    fn record_read(&mut self) -> io::Result<()> {
        let idle = std::mem::replace(&mut self.active, Instant::now()).elapsed();
        if self.has_answered && self.idle_drop.has_dropped(idle) {
            self.stream.set_zero_linger()?;
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        Ok(())
    }
}

impl AsyncRead for Gated {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.gate.poll_open(cx).is_pending() {
            return Poll::Pending;
        }
        let had_bytes = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > had_bytes {
            self.record_read()?;
        }
        read
    }
}

impl AsyncWrite for Gated {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.gate.poll_open(cx).is_pending() {
            return Poll::Pending;
        }
        self.active = Instant::now();
        self.has_answered = true;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
