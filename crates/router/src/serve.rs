//! Serves HTTP on a listener until shutdown, then lets open requests finish.

use std::time::Duration;

use axum::Router;
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::{conn::auto, graceful::GracefulShutdown},
    service::TowerToHyperService,
};
use samphirespread_tls::ServerTls;
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::{TcpListener, TcpStream},
    time::timeout,
};
use tokio_rustls::server::TlsStream;
use tokio_util::sync::CancellationToken;

const ACCEPT_RETRY_MS: u64 = 20; // lets descriptors be freed when accepting fails
const BACKLOG_PAUSE_MS: u64 = 20; // no connection waits to be accepted if none comes for so long
const MAX_BACKLOG_MS: u64 = 200; // on a busy port connections never stop coming
const MIN_HEADER_BYTES: usize = 8 * 1024; // the HTTP/1 parser accepts no smaller buffer

/// The limits on the headers of a connection's requests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HttpLimits {
    pub(crate) max_header_bytes: usize,
    pub(crate) header_timeout_ms: u64,
}

/// Turns an accepted socket into the byte stream that HTTP runs over, with or without TLS.
pub(crate) trait Secure: Clone + Send + Sync + 'static {
    /// The byte stream that HTTP runs over.
    type Stream: AsyncRead + AsyncWrite + Send + Unpin + 'static;

    /// Performs the TLS handshake, if there is one. A failure ends the connection.
    fn secure(
        &self,
        socket: TcpStream,
    ) -> impl Future<Output = std::io::Result<Self::Stream>> + Send;
}

/// Serves sockets without TLS.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Plain;

impl Secure for Plain {
    type Stream = TcpStream;

    async fn secure(&self, socket: TcpStream) -> std::io::Result<TcpStream> {
        Ok(socket)
    }
}

impl Secure for ServerTls {
    type Stream = TlsStream<TcpStream>;

    async fn secure(&self, socket: TcpStream) -> std::io::Result<TlsStream<TcpStream>> {
        self.accept(socket).await
    }
}

/// When a server stops.
#[derive(Clone, Debug, Default)]
pub(crate) struct Stop {
    /// Cancelled when no more connections are accepted.
    pub(crate) accepting: CancellationToken,
    /// Cancelled when idle connections are closed, and others after the answers to their requests.
    pub(crate) serving: CancellationToken,
}

impl Stop {
    /// Stops both at once when `shutdown` is cancelled.
    pub(crate) fn at_once(shutdown: CancellationToken) -> Self {
        Self { accepting: shutdown.clone(), serving: shutdown }
    }
}

/// Accepts connections until `stop` says otherwise, and those that wait to be accepted at that
/// time. Returns once the last open request has been answered.
pub(crate) async fn serve<S: Secure>(
    listener: TcpListener,
    secure: S,
    app: Router,
    limits: HttpLimits,
    stop: Stop,
) {
    let graceful = GracefulShutdown::new();
    let serve_socket = |socket: TcpStream| {
        let watcher = graceful.watcher();
        let (secure, app) = (secure.clone(), app.clone());
        tokio::spawn(async move {
            // A failing handshake or connection affects only its own caller.
            let _ = socket.set_nodelay(true);
            let Ok(stream) = secure.secure(socket).await else { return };
            let builder = connection_builder(limits);
            let service = TowerToHyperService::new(app);
            let connection = builder.serve_connection(TokioIo::new(stream), service).into_owned();
            let _ = watcher.watch(connection).await;
        });
    };
    loop {
        let accepted = tokio::select! {
            () = stop.accepting.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        let Ok((socket, _)) = accepted else {
            tokio::time::sleep(Duration::from_millis(ACCEPT_RETRY_MS)).await;
            continue;
        };
        serve_socket(socket);
    }
    let last = tokio::time::sleep(Duration::from_millis(MAX_BACKLOG_MS));
    tokio::pin!(last);
    loop {
        let next = timeout(Duration::from_millis(BACKLOG_PAUSE_MS), listener.accept());
        tokio::select! {
            () = &mut last => break,
            accepted = next => match accepted {
                Ok(Ok((socket, _))) => serve_socket(socket),
                _ => break,
            },
        }
    }
    drop(listener);
    stop.serving.cancelled().await;
    graceful.shutdown().await;
}

fn connection_builder(limits: HttpLimits) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.header_timeout_ms))
        .max_buf_size(limits.max_header_bytes.max(MIN_HEADER_BYTES));
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(u32::try_from(limits.max_header_bytes).unwrap_or(u32::MAX));
    builder
}
