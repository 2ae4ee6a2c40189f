//! A backend server whose answers the test chooses, and which records the requests that it receives.

use std::{
    collections::{HashMap, VecDeque},
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, Weak},
    time::{Duration, Instant},
};

use axum::{
    Router,
    body::{Body, Bytes},
    extract::State,
    http::{HeaderMap, HeaderValue, Method, StatusCode, Uri},
    response::{Extension, IntoResponse, Response},
};
use futures_util::stream;
use serde_json::{Value, json};
use tokio::time;
use tokio_util::sync::CancellationToken;

use super::crash::{self, CrashTrigger};
use crate::server::{LostAnswer, Server};

pub(super) const REQUEST_ID: &str = "x-samphirespread-attempt-id";
const EXPECT_SERVER: &str = "x-samphirespread-expect-instance";
const EXPECT_VERSION: &str = "x-samphirespread-expect-version";
const SEAL: &str = "x-samphirespread-response-seal";
const SERVER_ID: &str = "x-samphirespread-instance-id";
pub(super) const NOT_RUN: &str = "x-samphirespread-not-executed";
/// Events of a whole stream.
pub const STREAM_EVENTS: u64 = 5;
/// Events of a run that goes on from its memory, or after more events than a whole stream has.
pub const MOVED_EVENTS: u64 = 3;
/// Pause before an event.
const EVENT_MS: u64 = 2;
/// Pause between two events of a stream that goes on until its run is stopped.
const EVENT_PAUSE_MS: u64 = 10;

/// How a worker handles one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Runs it and answers.
    Answer,
    /// Runs it and answers after a delay.
    AnswerAfterMs(u64),
    /// Refuses it without running it, and says so.
    Refuse,
    /// Refuses it without running it, and asks for a pause.
    RefuseForMs(u64),
    /// Runs it and answers that the worker drains.
    AnswerLeaving,
    /// Runs it and answers with a failure.
    Fail,
    /// Runs it and closes the connection without an answer.
    BreakOff,
    /// Runs it and sends the answer to another request.
    AnswerAnother,
    /// Runs it and answers without a signature.
    AnswerUnsigned,
    /// Runs it and pauses that many milliseconds before each event.
    AnswerSlowly(u64),
    /// Runs it and cuts the stream after that many events, in the middle of the next one.
    CutStreamAfter(u64),
    /// Runs it and streams until a call that moves the run stops it.
    StreamUntilMoved,
}

/// How a worker handles one call to copy a run's memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopyBehaviour {
    /// Copies the memory, and stops the run if this is the last call.
    Copy,
    /// Answers that the destination has no room. The last call still stops the run and keeps its memory.
    NoRoom,
    /// Copies the memory, and loses the answer.
    LoseAnswer,
}

/// A received call to copy a run's memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunCopied {
    /// The id of the request whose run is copied.
    pub request_id: String,
    /// The destination.
    pub to: String,
    /// Whether the run has to stop first.
    pub stops: bool,
}

impl Behaviour {
    fn runs(self) -> bool {
        !matches!(self, Self::Refuse | Self::RefuseForMs(_))
    }
}

/// A received request.
#[derive(Clone, Debug)]
pub struct Received {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// All headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Whether it ran.
    pub ran: bool,
    /// When it arrived.
    pub at: Instant,
}

/// A received order.
#[derive(Clone, Debug)]
pub struct Ordered {
    /// The sender that it names.
    pub holder: String,
    /// The weights to load.
    pub version: u64,
    /// Its fencing token.
    pub token: u64,
    /// Whether the worker began to load the weights.
    pub accepted: bool,
}

impl Received {
    /// Returns a header as text, or an empty text if it is missing.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }

    /// Returns the id of the request.
    pub fn request_id(&self) -> &str {
        self.header(REQUEST_ID)
    }

    /// Returns the team for which it is to run.
    pub fn team(&self) -> &str {
        self.header("x-samphirespread-tenant")
    }

    /// Returns the salt of its cache entries.
    pub fn cache_salt(&self) -> &str {
        self.header("x-samphirespread-cache-salt")
    }

    /// Returns the version of the weights that it requires, if it names one.
    pub fn expected_version(&self) -> Option<u64> {
        self.header(EXPECT_VERSION).parse().ok()
    }
}

/// The configuration of a worker.
#[derive(Clone, Debug)]
pub struct WorkerConfig {
    id: String,
    service: String,
    failure_domain: String,
    model: Option<(String, u64)>,
    work_ms: u64,
}

impl WorkerConfig {
    /// Creates the configuration of a worker of a plain service.
    pub fn new(id: &str, service: &str) -> Self {
        Self {
            id: id.to_owned(),
            service: service.to_owned(),
            failure_domain: "khomas-1".to_owned(),
            model: None,
            work_ms: 0,
        }
    }

    /// Sets its failure domain.
    #[must_use]
    pub fn failure_domain(mut self, failure_domain: &str) -> Self {
        failure_domain.clone_into(&mut self.failure_domain);
        self
    }

    /// Sets how long it works on each request before it answers.
    #[must_use]
    pub fn work_ms(mut self, work_ms: u64) -> Self {
        self.work_ms = work_ms;
        self
    }

    /// Makes it an engine that holds a version of a model.
    #[must_use]
    pub fn model(mut self, model: &str, version: u64) -> Self {
        self.model = Some((model.to_owned(), version));
        self
    }
}

/// A worker.
#[derive(Debug)]
pub struct Worker {
    server: Arc<Server>,
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    config: WorkerConfig,
    /// Set right after the start.
    server: OnceLock<Weak<Server>>,
    state: Mutex<WorkerState>,
}

#[derive(Debug, Default)]
struct WorkerState {
    version: u64,
    orders: u64,
    /// Counts its starts after the first one.
    restarts: u64,
    next: VecDeque<Behaviour>,
    received: Vec<Received>,
    ordered: Vec<Ordered>,
    next_copies: VecDeque<CopyBehaviour>,
    copied: Vec<RunCopied>,
    released: Vec<String>,
    crash_triggers: Vec<CrashTrigger>,
    crashes: usize,
    /// How long the worker is down after a crash.
    down_ms: u64,
    /// The limit that all answers name.
    limit: Option<String>,
    /// Streams that go on until their run is stopped.
    moving: HashMap<String, CancellationToken>,
}

impl Worker {
    /// Starts a worker that answers everything.
    ///
    /// # Errors
    ///
    /// When no port can be had.
    pub fn start(config: WorkerConfig) -> io::Result<Self> {
        let version = config.model.as_ref().map_or(0, |(_, version)| *version);
        let state = WorkerState { version, ..WorkerState::default() };
        let inner = Arc::new(Inner { config, server: OnceLock::new(), state: Mutex::new(state) });
        let router = Router::new().fallback(serve).with_state(inner.clone());
        let server = Arc::new(Server::start(router)?);
        inner.server.get_or_init(|| Arc::downgrade(&server));
        Ok(Self { server, inner })
    }

    /// Where it answers.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Its id.
    pub fn id(&self) -> &str {
        &self.inner.config.id
    }

    /// Its entry in the store, ready or draining.
    pub fn entry(&self, state: &str) -> Value {
        self.entry_at(self.address(), state)
    }

    /// Its entry in the store, where it is reached through another address.
    pub fn entry_at(&self, address: SocketAddr, state: &str) -> Value {
        let config = &self.inner.config;
        let models: Vec<Value> = config
            .model
            .iter()
            .map(|(name, _)| json!({ "name": name, "version": self.version(), "adapters": [] }))
            .collect();
        json!({ "service": config.service, "address": address.to_string(),
                "zone": config.failure_domain, "version": "v1", "slots": 6, "state": state,
                "models": models, "seq": 1, "born": self.inner.lock().restarts + 1 })
    }

    /// Sets how the next requests are handled. Later ones are answered.
    pub fn expect(&self, behaviours: impl IntoIterator<Item = Behaviour>) {
        self.inner.lock().next.extend(behaviours);
    }

    /// Answers all further requests.
    pub fn expect_nothing(&self) {
        self.inner.lock().next.clear();
    }

    /// Returns the received requests.
    pub fn received(&self) -> Vec<Received> {
        self.inner.lock().received.clone()
    }

    /// Sets how the next calls to copy runs are handled. Later ones are carried out.
    pub fn expect_copies(&self, behaviours: impl IntoIterator<Item = CopyBehaviour>) {
        self.inner.lock().next_copies.extend(behaviours);
    }

    /// Crashes on each request with one of these, and is back after `down_ms`.
    pub fn crash_on(&self, triggers: impl IntoIterator<Item = CrashTrigger>, down_ms: u64) {
        let mut state = self.inner.lock();
        state.crash_triggers = triggers.into_iter().collect();
        state.down_ms = down_ms;
    }

    /// Returns how often it has crashed on a request.
    pub fn crashes(&self) -> usize {
        self.inner.lock().crashes
    }

    /// Names a limit in all further answers, or none.
    pub fn set_limit(&self, limit: Option<&str>) {
        self.inner.lock().limit = limit.map(str::to_owned);
    }

    /// Returns the received calls to copy runs.
    pub fn copied(&self) -> Vec<RunCopied> {
        self.inner.lock().copied.clone()
    }

    /// Returns the handles of released copies.
    pub fn released(&self) -> Vec<String> {
        self.inner.lock().released.clone()
    }

    /// Returns the received orders.
    pub fn ordered(&self) -> Vec<Ordered> {
        self.inner.lock().ordered.clone()
    }

    /// Returns the number of requests that ran.
    pub fn ran(&self) -> usize {
        self.inner.lock().received.iter().filter(|received| received.ran).count()
    }

    /// The version of its weights.
    pub fn version(&self) -> u64 {
        self.inner.lock().version
    }

    /// Refuses connections until [`resume`](Self::resume).
    pub async fn stop(&self) {
        self.server.stop().await;
    }

    /// Begins to refuse connections, without waiting for requests to end.
    pub fn begin_to_stop(&self) {
        self.server.begin_to_stop();
    }

    /// Accepts connections again.
    ///
    /// # Errors
    ///
    /// When the port can't be had again.
    pub fn resume(&self) -> io::Result<()> {
        self.server.resume()
    }

    /// Simulates a restart with the same weights, which its entry and its reports show.
    pub fn restart(&self) {
        let mut state = self.inner.lock();
        state.restarts += 1;
        state.orders = 0;
    }

    /// While frozen, connections stay open and nothing moves.
    pub fn set_frozen(&self, frozen: bool) {
        self.server.set_frozen(frozen);
    }
}

impl Inner {
    fn lock(&self) -> MutexGuard<'_, WorkerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Answers a request or a call, and names the limit in the answer if there is one.
async fn serve(
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
        "/-/kv-move" => return copy_run(inner, &body),
        path => {
            if let Some(handle) = path.strip_prefix("/-/kv-handle/") {
                inner.lock().released.push(handle.to_owned());
                return StatusCode::OK.into_response();
            }
        }
    }
    let at = Instant::now();
    let mut received = Received { method, uri, headers, body, ran: false, at };
    let behaviour = match misdirected(inner, &received) {
        true => None,
        false => Some(inner.lock().next.pop_front().unwrap_or(Behaviour::Answer)),
    };
    received.ran = behaviour.is_some_and(Behaviour::runs);
    inner.lock().received.push(received.clone());
    match behaviour {
        None => {
            let headers = [(NOT_RUN, "1".to_owned()), (SERVER_ID, inner.config.id.clone())];
            (StatusCode::MISDIRECTED_REQUEST, headers).into_response()
        }
        Some(behaviour) => {
            if received.ran && inner.config.work_ms > 0 {
                time::sleep(Duration::from_millis(inner.config.work_ms)).await;
            }
            if let Some(down_ms) = begin_crash(inner, &received) {
                let server = inner.server.get().cloned().unwrap_or_default();
                let restarted = inner.clone();
                let on_restart = move || restarted.lock().restarts += 1;
                return crash::crash(server, &received, down_ms, on_restart).await;
            }
            if behaviour == Behaviour::StreamUntilMoved {
                return stream_until_moved(inner, &received);
            }
            respond_as(&received, behaviour).await
        }
    }
}

/// Whether the request crashes the worker, and for how long the worker is then down.
fn begin_crash(inner: &Inner, received: &Received) -> Option<u64> {
    let mut state = inner.lock();
    let crashes = received.ran && state.crash_triggers.iter().any(|it| it.is_in(received));
    if !crashes {
        return None;
    }
    state.crashes += 1;
    Some(state.down_ms)
}

/// Streams events until the run is stopped, and then breaks the stream off.
fn stream_until_moved(inner: &Inner, received: &Received) -> Response {
    let id = received.request_id().to_owned();
    let stopped = CancellationToken::new();
    inner.lock().moving.insert(id.clone(), stopped.clone());
    let events = stream::unfold((1, stopped, id.clone()), |(number, stopped, id)| async move {
        if stopped.is_cancelled() {
            return (number > 0)
                .then(|| (Err(io::Error::other("the run has stopped")), (0, stopped, id)));
        }
        time::sleep(Duration::from_millis(EVENT_PAUSE_MS)).await;
        Some((Ok(format!("id: {number}\ndata: {id} {number}\n\n")), (number + 1, stopped, id)))
    });
    let headers = [(SEAL, "seal".to_owned()), (REQUEST_ID, id)];
    (headers, Body::from_stream(events)).into_response()
}

fn copy_run(inner: &Inner, body: &Bytes) -> Response {
    let Ok(call) = serde_json::from_slice::<Value>(body) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let copied = RunCopied {
        request_id: call["id"].as_str().unwrap_or_default().to_owned(),
        to: call["to"].as_str().unwrap_or_default().to_owned(),
        stops: call["last"].as_bool().unwrap_or_default(),
    };
    let mut state = inner.lock();
    let Some(stopped) = state.moving.get(&copied.request_id).cloned() else {
        return StatusCode::NOT_FOUND.into_response();
    };
    let behaviour = state.next_copies.pop_front().unwrap_or(CopyBehaviour::Copy);
    if copied.stops {
        stopped.cancel();
    }
    state.copied.push(copied.clone());
    let answer = json!({ "handle": format!("h-{}", copied.request_id), "createRevision": 0 });
    match behaviour {
        CopyBehaviour::Copy => axum::Json(answer).into_response(),
        CopyBehaviour::NoRoom if copied.stops => {
            (StatusCode::SERVICE_UNAVAILABLE, axum::Json(answer)).into_response()
        }
        CopyBehaviour::NoRoom => StatusCode::SERVICE_UNAVAILABLE.into_response(),
        CopyBehaviour::LoseAnswer => (Extension(LostAnswer), ()).into_response(),
    }
}

/// Whether a request or call names another server than this one.
fn is_meant_for_another(inner: &Inner, headers: &HeaderMap) -> bool {
    headers.get(EXPECT_SERVER).is_some_and(|expected| *expected != *inner.config.id)
}

fn misdirected(inner: &Inner, received: &Received) -> bool {
    let version = received.header(EXPECT_VERSION);
    let is_other_version = !version.is_empty() && version != inner.lock().version.to_string();
    is_meant_for_another(inner, &received.headers) || is_other_version
}

async fn respond_as(received: &Received, behaviour: Behaviour) -> Response {
    let id = received.request_id().to_owned();
    match behaviour {
        Behaviour::Answer => answer(received, &id),
        Behaviour::AnswerAfterMs(delay_ms) => {
            time::sleep(Duration::from_millis(delay_ms)).await;
            answer(received, &id)
        }
        Behaviour::Refuse => {
            (StatusCode::SERVICE_UNAVAILABLE, [(NOT_RUN, "1".to_owned()), (REQUEST_ID, id)])
                .into_response()
        }
        Behaviour::RefuseForMs(rest_ms) => {
            let rest_s = format!("{}.{:03}", rest_ms / 1_000, rest_ms % 1_000);
            let headers = [(NOT_RUN, "1".to_owned()), (REQUEST_ID, id), ("retry-after", rest_s)];
            (StatusCode::SERVICE_UNAVAILABLE, headers).into_response()
        }
        Behaviour::AnswerLeaving => {
            let mut response = answer(received, &id);
            response.headers_mut().insert("server-leaving", HeaderValue::from_static("1"));
            response
        }
        Behaviour::Fail => {
            let headers = [(SEAL, "seal".to_owned()), (REQUEST_ID, id)];
            (StatusCode::INTERNAL_SERVER_ERROR, headers, "failed").into_response()
        }
        Behaviour::BreakOff => (Extension(LostAnswer), ()).into_response(),
        Behaviour::AnswerAnother => answer(received, "another"),
        Behaviour::AnswerUnsigned => ([(REQUEST_ID, id)], "unsigned").into_response(),
        Behaviour::StreamUntilMoved => unreachable!("such a stream is answered before"),
        Behaviour::AnswerSlowly(pause_ms) => {
            let body = Body::from_stream(events_of(received, None, pause_ms));
            ([(SEAL, "seal".to_owned()), (REQUEST_ID, id)], body).into_response()
        }
        Behaviour::CutStreamAfter(events) => {
            let body = Body::from_stream(events_of(received, Some(events), EVENT_MS));
            ([(SEAL, "seal".to_owned()), (REQUEST_ID, id)], body).into_response()
        }
    }
}

pub(super) fn answer_headers(id: &str) -> [(&'static str, String); 2] {
    [(SEAL, "seal".to_owned()), (REQUEST_ID, id.to_owned())]
}

fn answer(received: &Received, id: &str) -> Response {
    let headers = answer_headers(id);
    if received.header("x-samphirespread-model").is_empty() {
        return (headers, format!("answered {id}")).into_response();
    }
    (headers, Body::from_stream(events_of(received, None, EVENT_MS))).into_response()
}

/// Returns the events of a stream after the one that the request names, cut after some.
fn events_of(
    received: &Received,
    cut_after: Option<u64>,
    pause_ms: u64,
) -> impl stream::Stream<Item = io::Result<String>> + use<> {
    let id = received.request_id().to_owned();
    let last: u64 = received.header("last-event-id").parse().unwrap_or(0);
    let goes_on = !received.header("kv-from").is_empty() || last >= STREAM_EVENTS;
    let end = if goes_on { last + MOVED_EVENTS } else { STREAM_EVENTS };
    let mut pieces: Vec<io::Result<String>> = Vec::new();
    for number in last + 1..=end {
        if cut_after.is_some_and(|events| number > last + events) {
            pieces.push(Ok(format!("id: {number}\nda")));
            pieces.push(Err(io::Error::other("cut")));
            break;
        }
        pieces.push(Ok(format!("id: {number}\ndata: {id} {number}\n\n")));
    }
    // The pause lets what came before a cut reach the router.
    stream::unfold(pieces.into_iter(), move |mut pieces| async move {
        let piece = pieces.next()?;
        time::sleep(Duration::from_millis(pause_ms)).await;
        Some((piece, pieces))
    })
}

fn report(inner: &Inner) -> Response {
    let state = inner.lock();
    let name = inner.config.model.as_ref().map_or("", |(name, _)| name);
    let report = json!({ "stage": "unified", "born": state.restarts + 1,
        "models": [{ "name": name, "version": state.version, "adapters": [] }],
        "busy": false, "seq": state.orders, "numWaiting": 0, "numRunning": 0, "kvUsed": 0,
        "kvTotal": 90_000, "handles": 0 });
    axum::Json(report).into_response()
}

fn order(inner: &Inner, body: &Bytes) -> Response {
    let Ok(order) = serde_json::from_slice::<Value>(body) else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let Some(version) = order["version"].as_u64() else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let mut state = inner.lock();
    let is_expected = order["expect"].as_u64().is_none_or(|expected| expected == state.orders);
    let accepted = is_expected && version != state.version;
    let holder = order["holder"].as_str().unwrap_or_default().to_owned();
    let token = order["fenceToken"].as_u64().unwrap_or_default();
    state.ordered.push(Ordered { holder, version, token, accepted });
    if !is_expected {
        return StatusCode::CONFLICT.into_response();
    }
    if !accepted {
        return StatusCode::OK.into_response();
    }
    state.orders += 1;
    state.version = version;
    StatusCode::ACCEPTED.into_response()
}
