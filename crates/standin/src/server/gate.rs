//! A connection that can be frozen: it stays open and neither reads nor writes.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll, Waker},
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

/// A connection behind a gate.
#[derive(Debug)]
pub(crate) struct Gated {
    gate: Gate,
    stream: TcpStream,
}

impl Gated {
    /// Puts a connection behind a gate.
    pub(crate) fn new(gate: Gate, stream: TcpStream) -> Self {
        Self { gate, stream }
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
        Pin::new(&mut self.stream).poll_read(cx, buf)
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
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
