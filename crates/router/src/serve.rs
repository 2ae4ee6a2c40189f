//! Serves HTTP on a listener until told to stop, then lets open requests finish.

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
};
use tokio_rustls::server::TlsStream;
use tokio_util::sync::CancellationToken;

const ACCEPT_PAUSE_MS: u64 = 20; // lets descriptors be freed when accepting fails
const MIN_HEADER_BYTES: usize = 8 * 1024; // the HTTP/1 parser accepts no smaller buffer

/// Bounds of a connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HttpLimits {
    pub(crate) max_header_bytes: usize,
    pub(crate) header_timeout_ms: u64,
}

/// Makes a byte stream of an accepted socket.
pub(crate) trait Secure: Clone + Send + Sync + 'static {
    /// What HTTP runs over.
    type Stream: AsyncRead + AsyncWrite + Send + Unpin + 'static;

    /// Secures a socket. A failure ends the connection.
    fn secure(
        &self,
        socket: TcpStream,
    ) -> impl Future<Output = std::io::Result<Self::Stream>> + Send;
}

/// No TLS.
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

/// Serves until `shutdown`, then until the last open request has its answer.
pub(crate) async fn serve<S: Secure>(
    listener: TcpListener,
    secure: S,
    app: Router,
    limits: HttpLimits,
    shutdown: CancellationToken,
) {
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            () = shutdown.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        let Ok((socket, _)) = accepted else {
            tokio::time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
            continue;
        };
        let watcher = graceful.watcher();
        let (secure, app) = (secure.clone(), app.clone());
        tokio::spawn(async move {
            // A failing handshake or connection concerns its own caller only.
            let _ = socket.set_nodelay(true);
            let Ok(stream) = secure.secure(socket).await else { return };
            let builder = builder(limits);
            let service = TowerToHyperService::new(app);
            let connection = builder.serve_connection(TokioIo::new(stream), service).into_owned();
            let _ = watcher.watch(connection).await;
        });
    }
    drop(listener);
    graceful.shutdown().await;
}

fn builder(limits: HttpLimits) -> auto::Builder<TokioExecutor> {
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
