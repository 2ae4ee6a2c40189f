//! Serves the requests of one caller's connection, until the caller closes it, it expires, or the
//! process drains.

use std::{
    convert::Infallible,
    pin::pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use http::Request;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use samphirespread_routing::idle::Expiry;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{self, Instant},
};
use tokio_util::sync::CancellationToken;

use crate::{
    body::UnreadBody,
    caller_stream::{ActivityLog, CallerStream, LoggedBody},
    gateway::Core,
    handle::handle,
    metrics::count,
};

/// An idle connection of a caller is served for this long after the port was closed, since a request
/// may have arrived that was not read yet, as on connections that were accepted last.
const LAST_REQUEST_MS: u64 = 50;
/// Minimum buffer for a request head. It may exceed the configured limit, so that hyper's own
/// refusal comes late.
const MIN_HEAD_BUFFER_BYTES: usize = 32 * 1024;
/// Longest time for which input is discarded after a refusal.
const MAX_DISCARD_MS: u64 = 5_000;
/// Longest pause in input that is discarded.
const MAX_INPUT_PAUSE_MS: u64 = 1_000;
const DISCARD_BUFFER_BYTES: usize = 16 * 1024;

/// How far the drain of a connection has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The port is open.
    Open,
    /// The port is closed, and a last request may still be read.
    LastRequest,
    /// The connection ends with the request that is under way.
    Closing,
}

/// Serves one connection. `closing` is cancelled when the port has been closed.
pub(crate) async fn serve_caller(
    core: Arc<Core>,
    mut stream: TcpStream,
    closing: CancellationToken,
) {
    let has_unread_input = AtomicBool::new(false);
    serve_requests(&core, &mut stream, &closing, &has_unread_input).await;
    if has_unread_input.into_inner() {
        discard_input(&mut stream, &closing).await;
    }
}

/// Reads what a caller still sends after a refusal. If the connection were closed with unread
/// input, the refusal might be lost.
async fn discard_input(stream: &mut TcpStream, closing: &CancellationToken) {
    // hyper may have done this already; an error shows on reading, too.
    let _ = stream.shutdown().await;
    let mut discarded = vec![0; DISCARD_BUFFER_BYTES];
    let pause = Duration::from_millis(MAX_INPUT_PAUSE_MS);
    let discard = async {
        while let Ok(Ok(1..)) = time::timeout(pause, stream.read(&mut discarded)).await {}
    };
    let drain_ends = async {
        closing.cancelled().await;
        time::sleep(pause).await;
    };
    tokio::select! {
        () = discard => {}
        () = time::sleep(Duration::from_millis(MAX_DISCARD_MS)) => {}
        () = drain_ends => {}
    }
}

/// Serves the requests of one connection until it ends or is to be closed. Sets `has_unread_input`
/// if the caller may still be sending a request that was refused.
async fn serve_requests(
    core: &Arc<Core>,
    stream: &mut TcpStream,
    closing: &CancellationToken,
    has_unread_input: &AtomicBool,
) {
    // If this fails, events may wait for the caller's acknowledgements, but the connection works.
    let _ = stream.set_nodelay(true);
    let limits = core
        .state()
        .table
        .as_ref()
        .map(|table| table.configuration().caller_limits)
        .unwrap_or_default();
    let mut timeouts = core.caller_timeouts.subscribe();
    let log = ActivityLog::new(core.clone());
    let service = service_fn(|request: Request<Incoming>| {
        let (core, log) = (core.clone(), log.clone());
        async move {
            log.request_began();
            let response = handle(core, request).await;
            if response.extensions().get::<UnreadBody>().is_some() {
                has_unread_input.store(true, Ordering::Relaxed);
            }
            Ok::<_, Infallible>(response.map(|body| LoggedBody::new(body, log)))
        }
    });
    let stream = CallerStream::new(stream, log.clone());
    let mut connection = pin!(
        http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(None)
            .max_buf_size(limits.max_head_bytes.max(MIN_HEAD_BUFFER_BYTES))
            .serve_connection(TokioIo::new(stream), service)
    );
    let last_request = Duration::from_millis(LAST_REQUEST_MS);
    let mut last_request_over = pin!(time::sleep(last_request));
    let mut phase = Phase::Open;
    loop {
        let in_force = *timeouts.borrow_and_update();
        let check_in = Duration::from_millis(log.next_check_ms(&in_force));
        // The connection comes first, so that a request that has arrived wins over the time limit.
        tokio::select! {
            biased;
            // The result is not logged: each request of the connection has been.
            result = connection.as_mut() => {
                // hyper has refused a head, of which more may follow.
                if result.is_err_and(|error| error.is_parse()) {
                    has_unread_input.store(true, Ordering::Relaxed);
                }
                return;
            }
            () = core.drain.ended() => return,
            () = closing.cancelled(), if phase == Phase::Open => {
                let closed_while = if log.is_busy() { "busy" } else { "idle" };
                count(&core.metrics.drain_closed, closed_while);
                last_request_over.as_mut().reset(Instant::now() + last_request);
                phase = Phase::LastRequest;
                if log.is_busy() {
                    connection.as_mut().graceful_shutdown();
                    phase = Phase::Closing;
                }
            }
            () = last_request_over.as_mut(), if phase == Phase::LastRequest => {
                connection.as_mut().graceful_shutdown();
                phase = Phase::Closing;
            }
            _ = timeouts.changed() => {}
            () = time::sleep(check_in) => {
                if let Some(expiry) = log.expired(&in_force) {
                    count(&core.metrics.closed_callers, cause(expiry));
                    return;
                }
            }
        }
    }
}

fn cause(expiry: Expiry) -> &'static str {
    match expiry {
        Expiry::Idle => "idle",
        Expiry::Head => "head",
    }
}
