//! A byte stream that reads what still arrives before it closes.

use std::{
    future::Future,
    io,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    time::{Sleep, sleep},
};

/// Time for a peer to close its end.
const MAX_LINGER_MS: u64 = 500;
const DISCARD_BYTES: usize = 4 * 1024;

/// A byte stream whose shutdown waits for the peer's end.
///
/// A socket that is closed with bytes to read is reset, and the peer may then lose what was sent
/// last, such as the number of the last exchange that was taken.
#[derive(Debug)]
pub(crate) struct Lingering<S> {
    io: S,
    closing: Option<Pin<Box<Sleep>>>,
}

impl<S> Lingering<S> {
    pub(crate) fn new(io: S) -> Self {
        Self { io, closing: None }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Lingering<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_read(context, buffer)
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncWrite for Lingering<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.io).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Self { io, closing } = &mut *self;
        let closing = match closing {
            Some(closing) => closing,
            None => {
                ready!(Pin::new(&mut *io).poll_shutdown(context))?;
                closing.insert(Box::pin(sleep(Duration::from_millis(MAX_LINGER_MS))))
            }
        };
        let mut discarded = [0; DISCARD_BYTES];
        loop {
            let mut buffer = ReadBuf::new(&mut discarded);
            match Pin::new(&mut *io).poll_read(context, &mut buffer) {
                Poll::Ready(Ok(())) if !buffer.filled().is_empty() => {}
                Poll::Ready(_) => return Poll::Ready(Ok(())),
                Poll::Pending => return closing.as_mut().poll(context).map(Ok),
            }
        }
    }
}
