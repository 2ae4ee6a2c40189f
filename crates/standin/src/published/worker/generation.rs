//! Engines that take time: streams of a length that the caller chooses, weights that load once the
//! runs have ended, and runs that go on elsewhere from a copy of their memory.

use std::{
    collections::HashMap,
    io,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use axum::{
    body::Body,
    http::StatusCode,
    response::{IntoResponse, Response},
};
use futures_util::stream;
use serde_json::json;
use tokio::time;
use tokio_util::sync::CancellationToken;

use super::{Behaviour, Inner, Received, RunCopied, RunEnd, answer_headers};

/// The header in which a caller names the number of events of its stream.
pub const EVENTS: &str = "x-samphirespread-length-hint";
/// The header in which a caller names bytes that each event of its stream has besides.
pub const PADDING: &str = "x-padding-bytes";
/// Time between two looks at whether all runs have ended.
const WAIT_STEP_MS: u64 = 5;

/// How long the work of an engine takes.
#[derive(Clone, Debug)]
pub struct Pace {
    /// Time before each event.
    pub event_ms: u64,
    /// Time to load weights, after the runs have ended.
    pub load_ms: u64,
    /// Time of each call that copies a run's memory. An engine makes one copy after the other.
    pub copy_ms: u64,
    /// The copies of all engines that move runs to each other.
    pub copies: Copies,
}

/// Copies of the memory of runs, by their handles, each with the request that it belongs to.
#[derive(Clone, Debug, Default)]
pub struct Copies(Arc<Mutex<HashMap<String, String>>>);

impl Copies {
    fn keep(&self, handle: &str, request: &str) {
        let mut copies = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        copies.insert(handle.to_owned(), request.to_owned());
    }

    /// Uses up a copy. Returns false if there is none of this request.
    fn take(&self, handle: &str, request: &str) -> bool {
        let mut copies = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let is_own = copies.get(handle).is_some_and(|own| own == request);
        is_own && copies.remove(handle).is_some()
    }
}

/// Whether an engine refuses a request, as it is about to load or has no copy of the run.
pub(super) fn refuses(inner: &Inner, received: &Received) -> bool {
    let Some(pace) = &inner.config.pace else { return false };
    if inner.config.model.is_none() {
        return false;
    }
    if inner.lock().loads.is_some() {
        return true;
    }
    let from = received.header("kv-from");
    let handle = from.rsplit_once('/').map_or("", |(_, handle)| handle);
    !from.is_empty() && !pace.copies.take(handle, received.request_id())
}

/// How long a plain request takes: as long as a stream with the events that the caller asked for.
pub(super) fn plain_work_ms(inner: &Inner, received: &Received) -> u64 {
    let pace = inner.config.pace.as_ref().filter(|_| inner.config.model.is_none());
    pace.map_or(0, |pace| pace.event_ms * received.header(EVENTS).parse().unwrap_or(0))
}

/// How an engine streams.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Plan {
    delay_ms: u64,
    /// The stream breaks off after that many events, in the middle of the next one.
    cut_after: Option<u64>,
}

impl Plan {
    /// Returns `None` for what isn't a stream of events.
    pub(super) fn of(behaviour: Behaviour) -> Option<Self> {
        match behaviour {
            Behaviour::Answer => Some(Self::default()),
            Behaviour::AnswerAfterMs(delay_ms) => Some(Self { delay_ms, cut_after: None }),
            Behaviour::CutStreamAfter(events) => {
                Some(Self { delay_ms: 0, cut_after: Some(events) })
            }
            _ => None,
        }
    }
}

/// Streams as many events as the caller asked for, until the run is stopped.
pub(super) async fn generate(
    inner: &Arc<Inner>,
    received: &Received,
    pace: &Pace,
    plan: Plan,
    mut end: EndOfRun,
) -> Response {
    time::sleep(Duration::from_millis(plan.delay_ms)).await;
    let id = received.request_id().to_owned();
    let stopped = CancellationToken::new();
    inner.lock().moving.insert(id.clone(), stopped.clone());
    let last: u64 = received.header("last-event-id").parse().unwrap_or(0);
    let events: u64 = received.header(EVENTS).parse().unwrap_or(super::STREAM_EVENTS);
    let padding = padding(received.header(PADDING).parse().unwrap_or(0));
    let headers = answer_headers(&id);
    let pause = Duration::from_millis(pace.event_ms);
    end.runs = Some(id.clone());
    let state = Some((last + 1, end));
    let body = stream::unfold(state, move |state| {
        let (stopped, id, padding) = (stopped.clone(), id.clone(), padding.clone());
        async move {
            let (number, mut end) = state?;
            if plan.cut_after.is_some_and(|cut| number > last + cut + 1) {
                return Some((Err(io::Error::other("cut")), None));
            }
            if number > events {
                end.set(RunEnd::Whole);
                return None;
            }
            tokio::select! {
                () = stopped.cancelled() => {
                    end.set(RunEnd::Stopped);
                    return Some((Err(io::Error::other("the run has stopped")), None));
                }
                () = time::sleep(pause) => {}
            }
            if plan.cut_after.is_some_and(|cut| number > last + cut) {
                end.set(RunEnd::BrokeOff);
                return Some((Ok(format!("id: {number}\nda")), Some((number + 1, end))));
            }
            end.begin();
            Some((
                Ok(format!("id: {number}\ndata: {id} {number}{padding}\n\n")),
                Some((number + 1, end)),
            ))
        }
    });
    (headers, Body::from_stream(body)).into_response()
}

/// What each event has besides.
pub fn padding(bytes: usize) -> String {
    "=".repeat(bytes)
}

/// Copies a run's memory, and stops the run first if this is the last call.
pub(super) async fn copy(inner: &Inner, pace: &Pace, copied: RunCopied) -> Response {
    let Some(stopped) = inner.lock().moving.get(&copied.request_id).cloned() else {
        return StatusCode::NOT_FOUND.into_response();
    };
    if copied.stops {
        stopped.cancel();
    }
    let link = inner.link.lock().await;
    time::sleep(Duration::from_millis(pace.copy_ms)).await;
    drop(link);
    let handle = {
        let mut state = inner.lock();
        state.copied.push(copied.clone());
        format!("h-{}-{}-{}", inner.config.id, copied.request_id, state.copied.len())
    };
    pace.copies.keep(&handle, &copied.request_id);
    axum::Json(json!({ "handle": handle, "createRevision": 0 })).into_response()
}

/// Loads weights once all runs have ended. Until then, and while it loads, nothing begins.
pub(super) fn begin_to_load(inner: &Arc<Inner>, pace: &Pace, version: u64) {
    let (inner, load) = (inner.clone(), Duration::from_millis(pace.load_ms));
    inner.lock().loads = Some(version);
    tokio::spawn(async move {
        while inner.lock().running > 0 {
            time::sleep(Duration::from_millis(WAIT_STEP_MS)).await;
        }
        time::sleep(load).await;
        let mut state = inner.lock();
        state.version = version;
        state.loads = None;
    });
}

/// Notes when and how a run ended, once it is dropped.
#[derive(Debug)]
pub(super) struct EndOfRun {
    inner: Arc<Inner>,
    /// The run's place in the list of received requests.
    index: usize,
    /// The request, once others may stop its run.
    runs: Option<String>,
    end: RunEnd,
}

impl EndOfRun {
    pub(super) fn new(inner: &Arc<Inner>, index: usize) -> Self {
        inner.lock().running += 1;
        Self { inner: inner.clone(), index, runs: None, end: RunEnd::Dropped }
    }

    /// Notes the first event of the run.
    fn begin(&mut self) {
        if let Some(received) = self.inner.lock().received.get_mut(self.index) {
            received.began.get_or_insert_with(Instant::now);
        }
    }

    pub(super) fn set(&mut self, end: RunEnd) {
        self.end = end;
    }
}

impl Drop for EndOfRun {
    fn drop(&mut self) {
        let mut state = self.inner.lock();
        state.running -= 1;
        if let Some(id) = &self.runs {
            state.moving.remove(id);
        }
        if let Some(received) = state.received.get_mut(self.index) {
            received.ended = Some((Instant::now(), self.end));
        }
    }
}
