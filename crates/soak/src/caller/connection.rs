//! A caller's connection, and a body that is sent in two pieces.

use std::{
    collections::VecDeque,
    convert::Infallible,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Request, Response};
use hyper::{
    body::{Body, Frame, Incoming, SizeHint},
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use tokio::{
    net::TcpSocket,
    task::JoinHandle,
    time::{self, Sleep},
};

/// So little waits at a caller that reads slowly that its gateway has to keep the rest.
const SMALL_BUFFER_BYTES: u32 = 4 * 1024;

/// A connection that carries one request at a time, and is closed when dropped.
#[derive(Debug)]
pub(super) struct Connection {
    sender: SendRequest<PacedBody>,
    io_task: JoinHandle<()>,
}

impl Connection {
    /// Opens a connection, with a small buffer for one whose owner reads slowly.
    pub(super) async fn open(
        address: SocketAddr,
        timeout_ms: u64,
        reads_slowly: bool,
    ) -> Option<Self> {
        let socket = TcpSocket::new_v4().ok()?;
        if reads_slowly {
            socket.set_recv_buffer_size(SMALL_BUFFER_BYTES).ok()?;
        }
        let connect = socket.connect(address);
        let stream = time::timeout(Duration::from_millis(timeout_ms), connect).await.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
        let io_task = tokio::spawn(async move {
            // The request that waits is told of the error.
            let _ = connection.await;
        });
        Some(Self { sender, io_task })
    }

    /// Returns `None` if the connection ended without an answer.
    pub(super) async fn send(&mut self, request: Request<PacedBody>) -> Option<Response<Incoming>> {
        self.sender.ready().await.ok()?;
        self.sender.send_request(request).await.ok()
    }

    /// Whether the last exchange is complete and the connection open.
    pub(super) fn is_reusable(&self) -> bool {
        self.sender.is_ready() && !self.io_task.is_finished()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.io_task.abort();
    }
}

/// A body that is sent in one piece or, with a pause between them, in two.
#[derive(Debug)]
pub(super) struct PacedBody {
    pieces: VecDeque<Bytes>,
    pause_ms: u64,
    pause: Option<Pin<Box<Sleep>>>,
    began: Instant,
    /// When the last piece was handed over, in milliseconds since `began`.
    whole_sent: Arc<AtomicU64>,
}

impl PacedBody {
    pub(super) fn new(
        text: String,
        pause_ms: u64,
        began: Instant,
        whole_sent: Arc<AtomicU64>,
    ) -> Self {
        let mut rest = Bytes::from(text);
        let mut pieces = VecDeque::new();
        if pause_ms > 0 {
            pieces.push_back(rest.split_to(rest.len() / 2));
        }
        pieces.push_back(rest);
        Self { pieces, pause_ms, pause: None, began, whole_sent }
    }
}

impl Body for PacedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if let Some(pause) = &mut self.pause {
            if pause.as_mut().poll(cx).is_pending() {
                return Poll::Pending;
            }
            self.pause = None;
        }
        let Some(piece) = self.pieces.pop_front() else { return Poll::Ready(None) };
        if self.pieces.is_empty() {
            let now_ms = u64::try_from(self.began.elapsed().as_millis()).unwrap_or(u64::MAX);
            self.whole_sent.store(now_ms, Ordering::SeqCst);
        } else {
            self.pause = Some(Box::pin(time::sleep(Duration::from_millis(self.pause_ms))));
        }
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.pieces.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.pieces.iter().map(|piece| piece.len() as u64).sum())
    }
}
