//! Serves connections of callers, of the load balancer's readiness checks and of operators, and
//! drains them at shutdown.

use std::{convert::Infallible, sync::Arc, time::Duration};

use http::{Method, Request, Response, StatusCode, Uri};
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use samphirespread_core::prelude::*;
use samphirespread_logging::event;
use samphirespread_routing::drain::DrainSchedule;
use slog::{info, warn};
use tokio::{
    net::{TcpListener, TcpStream},
    time,
};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{
    admin, answers, body::ResponseBody, caller_connection::serve_caller, gateway::Core,
    metrics::count, state::Readiness,
};

/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE_MS: u64 = 20;

/// Serves callers until `shutdown`, then drains. Each request is answered or cut by the drain's
/// end, and each answer has left this process by then if its caller reads it. Returns the number of
/// connections that are still open.
pub(crate) async fn callers(
    core: &Arc<Core>,
    listener: TcpListener,
    shutdown: CancellationToken,
) -> usize {
    let closing = CancellationToken::new();
    let connections = TaskTracker::new();
    let schedule = tokio::select! {
        () = accept(core, &listener, &connections, &closing) => return connections.len(),
        schedule = announce_drain(core, &shutdown) => schedule,
    };
    close_port(core, listener, &connections, &closing);
    closing.cancel();
    connections.close();
    info!(core.log, "{}", event::PORT_CLOSED; "open_requests" => core.drain.open_requests(),
        "connections" => connections.len(), "at_ms" => core.drain.elapsed_ms(core.now()));
    tokio::select! {
        () = connections.wait() => return 0,
        () = sleep_until(core, schedule.answer_by) => core.drain.demand_answers(),
    }
    tokio::select! {
        () = connections.wait() => {}
        () = sleep_until(core, schedule.end_by) => {}
    }
    connections.len()
}

/// Waits for `shutdown`, announces the drain, and waits until the load balancer has reacted.
async fn announce_drain(core: &Core, shutdown: &CancellationToken) -> DrainSchedule {
    shutdown.cancelled().await;
    let grace_ms = core.state().bounds.grace_ms;
    let schedule = core.drain.begin(core.now(), grace_ms);
    core.state().is_draining = true;
    info!(core.log, "{}", event::DRAINING; "cause" => "signal", "grace_ms" => grace_ms,
        "open_requests" => core.drain.open_requests());
    sleep_until(core, schedule.close_port).await;
    schedule
}

async fn sleep_until(core: &Core, until: MonoTime) {
    time::sleep(Duration::from_micros(until.us_since(core.now()))).await;
}

/// Closes the port. Connections that wait to be accepted are accepted before, as they would be
/// reset.
fn close_port(
    core: &Arc<Core>,
    listener: TcpListener,
    connections: &TaskTracker,
    closing: &CancellationToken,
) {
    // The listener of the standard library sees connections that the runtime has not noticed yet.
    let Ok(listener) = listener.into_std() else { return };
    while let Ok((stream, _)) = listener.accept() {
        if stream.set_nonblocking(true).is_err() {
            continue;
        }
        if let Ok(stream) = TcpStream::from_std(stream) {
            connections.spawn(serve_caller(core.clone(), stream, closing.clone()));
        }
    }
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

/// Starts a task that answers the load balancer's readiness checks.
pub(crate) fn spawn_readiness(core: &Arc<Core>, listener: TcpListener, stop: &CancellationToken) {
    spawn_sync_server(core, listener, stop, |core, _, _| {
        let (status, text) = match readiness(core) {
            Readiness::Ready => (StatusCode::OK, "ready"),
            _ => (StatusCode::SERVICE_UNAVAILABLE, "not ready"),
        };
        answers::plain(status, text)
    });
}

/// Works out the answer to a readiness check, counts it, and logs if it differs from the last one.
fn readiness(core: &Core) -> Readiness {
    let now = core.now();
    let mut state = core.state();
    let readiness = state.readiness(now);
    let before = state.last_readiness.replace(readiness);
    let contact_age_ms = state.contact.age_ms(now);
    drop(state);
    count(&core.metrics.readiness_checks, readiness.name());
    if before != Some(readiness) {
        info!(core.log, "{}", event::READINESS_CHANGED; "ready" => readiness == Readiness::Ready,
            "cause" => readiness.name(), "contact_age_ms" => contact_age_ms);
    }
    readiness
}

/// Starts a task that answers operators and other routers.
pub(crate) fn spawn_admin(core: &Arc<Core>, listener: TcpListener, stop: &CancellationToken) {
    spawn_sync_server(core, listener, stop, admin::answer);
}

/// Starts a task that serves answers which are made without waiting.
fn spawn_sync_server(
    core: &Arc<Core>,
    listener: TcpListener,
    stop: &CancellationToken,
    answer: fn(&Core, &Method, &Uri) -> Response<ResponseBody>,
) {
    let (core, stop) = (core.clone(), stop.clone());
    tokio::spawn(stop.run_until_cancelled_owned(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    tokio::spawn(serve_sync(core.clone(), stream, answer));
                }
                Err(error) => {
                    warn!(core.log, "{}", event::CONNECTION_NOT_ACCEPTED; "error" => %error);
                    time::sleep(Duration::from_millis(ACCEPT_PAUSE_MS)).await;
                }
            }
        }
    }));
}

async fn serve_sync(
    core: Arc<Core>,
    stream: TcpStream,
    answer: fn(&Core, &Method, &Uri) -> Response<ResponseBody>,
) {
    let service = service_fn(move |request: Request<Incoming>| {
        let response = answer(&core, request.method(), request.uri());
        async move { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service);
    // Nothing depends on how this connection ends.
    let _ = connection.await;
}
