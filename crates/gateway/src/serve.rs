//! Connections of callers, of the balancer's readiness checks and of operators, and the drain.

use std::{convert::Infallible, sync::Arc, time::Duration};

use http::{Request, Response, StatusCode, Uri};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use samphirespread_logging::event;
use slog::{info, warn};
use tokio::{
    net::{TcpListener, TcpStream},
    time,
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{admin, answers, body::Outgoing, gateway::Core, handle::handle};

/// The balancer notices within this time that callers should go elsewhere: two checks, one a second.
const BALANCER_NOTICES_MS: u64 = 2_600;
/// Left of the grace period for ending the process.
const EXIT_MARGIN_MS: u64 = 600;
/// Room for the request head beyond the configured limit, so that hyper's own refusal comes late.
const MIN_HEAD_BUFFER_BYTES: usize = 32 * 1024;
/// Idle connections are kept somewhat longer than callers are told.
const IDLE_MARGIN_MS: u64 = 1_000;
/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE_MS: u64 = 20;

/// Serves callers until `shutdown`, then drains. Returns whether every request had its answer.
pub(crate) async fn callers(
    core: &Arc<Core>,
    listener: TcpListener,
    shutdown: CancellationToken,
) -> bool {
    let closing = CancellationToken::new();
    let connections = TaskTracker::new();
    let accepting = accept(core, &listener, &connections, &closing);
    tokio::select! {
        () = accepting => {}
        () = drain_begins(core, &shutdown) => {}
    }
    closing.cancel();
    drop(listener);
    connections.close();
    let left_ms = core.state().bounds.grace_ms.saturating_sub(BALANCER_NOTICES_MS + EXIT_MARGIN_MS);
    time::timeout(Duration::from_millis(left_ms), connections.wait()).await.is_ok()
}

/// Waits for `shutdown`, says that callers should go elsewhere, and goes on until they do.
async fn drain_begins(core: &Core, shutdown: &CancellationToken) {
    shutdown.cancelled().await;
    core.state().is_draining = true;
    info!(core.log, "{}", event::DRAINING; "cause" => "signal", "grace_ms" => core.state().bounds.grace_ms);
    let notices_ms = BALANCER_NOTICES_MS.min(core.state().bounds.grace_ms / 2);
    time::sleep(Duration::from_millis(notices_ms)).await;
}

async fn accept(
    core: &Arc<Core>,
    listener: &TcpListener,
    connections: &TaskTracker,
    closing: &CancellationToken,
) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                connections.spawn(serve_caller(core.clone(), stream, closing.clone()));
            }
            Err(error) => {
                warn!(core.log, "{}", event::CONNECTION_NOT_ACCEPTED; "error" => %error);
                time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
            }
        }
    }
}

async fn serve_caller(core: Arc<Core>, stream: TcpStream, closing: CancellationToken) {
    // Without it events wait for the caller's acknowledgement; the connection works all the same.
    let _ = stream.set_nodelay(true);
    let limits = core
        .state()
        .table
        .as_ref()
        .map(|table| table.configuration().caller_limits)
        .unwrap_or_default();
    let idle = Duration::from_millis(limits.idle_timeout_ms + IDLE_MARGIN_MS);
    let service = service_fn(move |request: Request<Incoming>| {
        let core = core.clone();
        async move { Ok::<_, Infallible>(handle(core, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(limits.max_head_bytes.max(MIN_HEAD_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    // How a connection ends is the caller's business; its requests have been logged.
    tokio::select! {
        _ = connection.as_mut() => {}
        () = closing.cancelled() => {
            connection.as_mut().graceful_shutdown();
            let _ = connection.await;
        }
    }
}

/// Answers the balancer's readiness checks.
pub(crate) fn spawn_readiness(core: &Arc<Core>, listener: TcpListener, stop: &CancellationToken) {
    spawn_small(core, listener, stop, |core, _| {
        let is_ready = core.state().is_ready(core.now());
        let (status, text) = if is_ready {
            (StatusCode::OK, "ready")
        } else {
            (StatusCode::SERVICE_UNAVAILABLE, "not ready")
        };
        answers::plain(status, text)
    });
}

/// Answers operators.
pub(crate) fn spawn_admin(core: &Arc<Core>, listener: TcpListener, stop: &CancellationToken) {
    spawn_small(core, listener, stop, admin::answer);
}

/// Serves short answers that need no wait.
fn spawn_small(
    core: &Arc<Core>,
    listener: TcpListener,
    stop: &CancellationToken,
    answer: fn(&Core, &Uri) -> Response<Outgoing>,
) {
    let (core, stop) = (core.clone(), stop.clone());
    tokio::spawn(stop.run_until_cancelled_owned(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::spawn(serve_small(core.clone(), stream, answer));
                }
                Err(error) => {
                    warn!(core.log, "{}", event::CONNECTION_NOT_ACCEPTED; "error" => %error);
                    time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
                }
            }
        }
    }));
}

async fn serve_small(
    core: Arc<Core>,
    stream: TcpStream,
    answer: fn(&Core, &Uri) -> Response<Outgoing>,
) {
    let service = service_fn(move |request: Request<Incoming>| {
        let response = answer(&core, request.uri());
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service);
    // Nothing depends on how a check's connection ends.
    let _ = connection.await;
}
