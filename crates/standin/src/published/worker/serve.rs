//! Answers the requests and calls that a worker receives.

use std::{
    io,
    sync::Arc,
    time::{Duration, Instant},
};

use axum::{
    body::{Body, Bytes},
    extract::State,
    http::{HeaderMap, HeaderValue, Method, StatusCode, Uri},
    response::{Extension, IntoResponse, Response},
};
use futures_util::stream;
use serde_json::{Value, json};
use tokio::time;
use tokio_util::sync::CancellationToken;

use super::{
    Behaviour, CopyBehaviour, EXPECT_SERVER, EXPECT_VERSION, Inner, NOT_RUN, Ordered, REQUEST_ID,
    Received, RunCopied, RunEnd, SEAL, SERVER_ID,
    answers::{Answering, respond_as},
    generation,
};
use crate::{
    published::crash::{self, CrashStyle},
    server::LostAnswer,
};

/// Pause between two events of a stream that goes on until its run is stopped.
const EVENT_PAUSE_MS: u64 = 10;

/// Answers a request or a call, and names the limit in the answer if there is one.
pub(super) async fn serve(
    State(inner): State<Arc<Inner>>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let mut response = respond(&inner, method, uri, headers, body).await;
    let limit = inner.lock().limit.clone();
    if let Some(value) = limit.and_then(|limit| HeaderValue::try_from(limit).ok()) {
        response.headers_mut().insert("server-limit", value);
    }
    response
}

async fn respond(
    inner: &Arc<Inner>,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    match uri.path() {
        "/-/report" => return report(inner),
        path if path.starts_with("/-/") && is_meant_for_another(inner, &headers) => {
            return StatusCode::MISDIRECTED_REQUEST.into_response();
        }
        "/-/order" => return order(inner, &body),
        "/-/kv-move" => return copy_run(inner, &body).await,
        path => {
            if let Some(handle) = path.strip_prefix("/-/kv-handle/") {
                inner.lock().released.push(handle.to_owned());
                return StatusCode::OK.into_response();
            }
        }
    }
    let at = Instant::now();
    let mut received =
        Received { method, uri, headers, body, ran: false, at, began: None, ended: None };
    let is_misdirected = misdirected(inner, &received);
    let behaviour = match is_misdirected {
        true => None,
        false if inner.lock().is_loading || generation::refuses(inner, &received) => {
            Some(Behaviour::Refuse)
        }
        false => Some(inner.lock().next.pop_front().unwrap_or(Behaviour::Answer)),
    };
    received.ran = behaviour.is_some_and(Behaviour::runs);
    let index = {
        let mut state = inner.lock();
        state.received.push(received.clone());
        state.received.len() - 1
    };
    let mut end = received.ran.then(|| generation::EndOfRun::new(inner, index));
    match behaviour {
        None => {
            let headers = [(NOT_RUN, "1".to_owned()), (SERVER_ID, inner.current_id())];
            (StatusCode::MISDIRECTED_REQUEST, headers).into_response()
        }
        Some(behaviour) => {
            let work_ms = inner.config.work_ms + generation::plain_work_ms(inner, &received);
            if received.ran && work_ms > 0 {
                time::sleep(Duration::from_millis(work_ms)).await;
            }
            if let Some(style) = begin_crash(inner, &received) {
                let server = inner.server.get().cloned().unwrap_or_default();
                let restarted = inner.clone();
                let on_restart = move || restarted.restart();
                return crash::crash(server, &received, style, on_restart).await;
            }
            match behaviour {
                Behaviour::StreamUntilMoved => {
                    return stream_until_moved(inner, &received, u64::MAX);
                }
                Behaviour::StreamUntilMovedOrWhole(events) => {
                    return stream_until_moved(inner, &received, events);
                }
                _ => {}
            }
            if let Some(pace) = inner.config.pace.as_ref().filter(|_| inner.config.model.is_some())
                && let Some(plan) = generation::Plan::of(behaviour)
                && let Some(end) = end.take()
            {
                return generation::generate(inner, &received, pace, plan, end).await;
            }
            let software = inner.config.software.as_deref();
            let answering = Answering { received: &received, software };
            let response = respond_as(&answering, behaviour).await;
            if let Some(end) = &mut end {
                end.set(if behaviour.breaks_off() { RunEnd::BrokeOff } else { RunEnd::Whole });
            }
            response
        }
    }
}

/// How the request crashes the worker, if it does.
fn begin_crash(inner: &Inner, received: &Received) -> Option<CrashStyle> {
    let mut state = inner.lock();
    let crashes = received.ran && state.crash_triggers.iter().any(|it| it.is_in(received));
    if !crashes {
        return None;
    }
    state.crashes += 1;
    Some(state.crash_style)
}

/// Streams events until the run is stopped, and then breaks the stream off. It is whole after
/// `events`.
fn stream_until_moved(inner: &Arc<Inner>, received: &Received, events: u64) -> Response {
    let id = received.request_id().to_owned();
    let stopped = CancellationToken::new();
    inner.lock().moving.insert(id.clone(), stopped.clone());
    let last: u64 = received.header("last-event-id").parse().unwrap_or(0);
    let headers = [(SEAL, "seal".to_owned()), (REQUEST_ID, id.clone())];
    let run = (inner.clone(), id, stopped, last + 1);
    let events = stream::unfold(Some(run), move |run| async move {
        let (inner, id, stopped, number) = run?;
        if stopped.is_cancelled() {
            let silence_ms = inner.lock().late_events_ms.remove(&id);
            let Some(silence_ms) = silence_ms else {
                return Some((Err(io::Error::other("the run has stopped")), None));
            };
            time::sleep(Duration::from_millis(silence_ms)).await;
            return Some((Ok(event(&id, number)), Some((inner, id, stopped, number + 1))));
        }
        if number > events {
            inner.lock().moving.remove(&id);
            return None;
        }
        time::sleep(Duration::from_millis(EVENT_PAUSE_MS)).await;
        Some((Ok(event(&id, number)), Some((inner, id, stopped, number + 1))))
    });
    (headers, Body::from_stream(events)).into_response()
}

fn event(id: &str, number: u64) -> String {
    format!("id: {number}\ndata: {id} {number}\n\n")
}

async fn copy_run(inner: &Inner, body: &Bytes) -> Response {
    let Ok(call) = serde_json::from_slice::<Value>(body) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let copied = RunCopied {
        request_id: call["id"].as_str().unwrap_or_default().to_owned(),
        to: call["to"].as_str().unwrap_or_default().to_owned(),
        stops: call["last"].as_bool().unwrap_or_default(),
    };
    if let Some(pace) = &inner.config.pace {
        return generation::copy(inner, pace, copied).await;
    }
    let (delay_ms, answer) = copy_as_planned(inner, &copied);
    time::sleep(Duration::from_millis(delay_ms)).await;
    answer
}

/// Copies a run's memory as a test has planned. Returns the time in milliseconds until the answer is
/// sent, and the answer.
fn copy_as_planned(inner: &Inner, copied: &RunCopied) -> (u64, Response) {
    let mut state = inner.lock();
    let Some(stopped) = state.moving.get(&copied.request_id).cloned() else {
        return (0, StatusCode::NOT_FOUND.into_response());
    };
    let behaviour = state.next_copies.pop_front().unwrap_or(CopyBehaviour::Copy);
    if let CopyBehaviour::CopyWithLateEvents(silence_ms) = behaviour {
        state.late_events_ms.insert(copied.request_id.clone(), silence_ms);
    }
    if copied.stops {
        stopped.cancel();
    }
    state.copied.push(copied.clone());
    let answer = json!({ "handle": format!("h-{}", copied.request_id), "createRevision": 0 });
    let delay_ms = if let CopyBehaviour::CopyAfterMs(ms) = behaviour { ms } else { 0 };
    let response = match behaviour {
        CopyBehaviour::Copy
        | CopyBehaviour::CopyAfterMs(_)
        | CopyBehaviour::CopyWithLateEvents(_) => axum::Json(answer).into_response(),
        CopyBehaviour::NoRoom if copied.stops => {
            (StatusCode::SERVICE_UNAVAILABLE, axum::Json(answer)).into_response()
        }
        CopyBehaviour::NoRoom => StatusCode::SERVICE_UNAVAILABLE.into_response(),
        CopyBehaviour::LoseAnswer => (Extension(LostAnswer), ()).into_response(),
    };
    (delay_ms, response)
}

/// Whether a request or call names another server than this one.
fn is_meant_for_another(inner: &Inner, headers: &HeaderMap) -> bool {
    headers.get(EXPECT_SERVER).is_some_and(|expected| *expected != *inner.current_id())
}

fn misdirected(inner: &Inner, received: &Received) -> bool {
    let version = received.header(EXPECT_VERSION);
    let is_other_version = !version.is_empty() && version != inner.lock().version.to_string();
    is_meant_for_another(inner, &received.headers) || is_other_version
}

fn report(inner: &Inner) -> Response {
    let state = inner.lock();
    let name = inner.config.model.as_ref().map_or("", |(name, _)| name);
    let running = if inner.config.pace.is_some() { state.running } else { 0 };
    let report = json!({ "stage": "unified", "born": state.restarts + 1,
        "models": [{ "name": name, "version": state.version, "adapters": [] }],
        "busy": state.reports_loading || state.loads.is_some(), "seq": state.orders, "numWaiting": 0,
        "numRunning": running, "kvUsed": 0,
        "kvTotal": 90_000, "handles": 0 });
    axum::Json(report).into_response()
}

fn order(inner: &Arc<Inner>, body: &Bytes) -> Response {
    let Ok(order) = serde_json::from_slice::<Value>(body) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let Some(version) = order["version"].as_u64() else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let mut state = inner.lock();
    if state.is_loading {
        return StatusCode::CONFLICT.into_response();
    }
    let is_expected = order["expect"].as_u64().is_none_or(|expected| expected == state.orders);
    let is_free = state.loads.is_none();
    let accepted = is_expected && is_free && version != state.version;
    let holder = order["holder"].as_str().unwrap_or_default().to_owned();
    let token = order["fenceToken"].as_u64().unwrap_or_default();
    state.ordered.push(Ordered { holder, version, token, accepted });
    if !is_expected || !is_free {
        return StatusCode::CONFLICT.into_response();
    }
    if !accepted {
        return StatusCode::OK.into_response();
    }
    state.orders += 1;
    match &inner.config.pace {
        Some(pace) => {
            drop(state);
            generation::begin_to_load(inner, pace, version);
        }
        None => state.version = version,
    }
    StatusCode::ACCEPTED.into_response()
}
