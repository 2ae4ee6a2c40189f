//! A backend server whose answers the test chooses, and which records the requests that it receives.

mod answers;
mod behaviour;
mod config;
mod generation;
mod received;
mod serve;

use std::{
    collections::{HashMap, VecDeque},
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, Weak},
};

use axum::Router;
use serde_json::{Value, json};
use tokio_util::sync::CancellationToken;

pub(super) use self::answers::{EVENT_MS, answer_headers, first_events_of};
use self::serve::serve;
pub use self::{
    behaviour::{Behaviour, CopyBehaviour},
    config::WorkerConfig,
    generation::{Copies, EVENTS, PADDING, Pace, padding},
    received::{Ordered, Received, RunCopied, RunEnd},
};
use super::crash::{CrashStyle, CrashTrigger};
use crate::server::Server;

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
    /// Held while the memory of a run is copied.
    link: tokio::sync::Mutex<()>,
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
    crash_style: CrashStyle,
    /// The number at the end of its id, if it came back under a new one.
    id_number: Option<u64>,
    /// The limit that all answers name.
    limit: Option<String>,
    /// Streams that go on until their run is stopped.
    moving: HashMap<String, CancellationToken>,
    /// The silence before the last events of stopped runs.
    late_events_ms: HashMap<String, u64>,
    /// Whether it has taken an order to load: it refuses what has not begun.
    is_loading: bool,
    /// Whether its reports say that it loads.
    reports_loading: bool,
    /// Requests that run.
    running: u32,
    /// The weights that it loads, or is about to load.
    loads: Option<u64>,
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
        let inner = Arc::new(Inner {
            config,
            server: OnceLock::new(),
            link: tokio::sync::Mutex::default(),
            state: Mutex::new(state),
        });
        let router = Router::new().fallback(serve).with_state(inner.clone());
        let server = Arc::new(Server::start(router)?);
        inner.server.get_or_init(|| Arc::downgrade(&server));
        Ok(Self { server, inner })
    }

    /// Where it answers.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The id that it started with.
    pub fn id(&self) -> &str {
        &self.inner.config.id
    }

    /// The id that it has now. It may have come back from a crash under a new one.
    pub fn current_id(&self) -> String {
        self.inner.current_id()
    }

    /// The version of its software, as its entry names it.
    pub fn software(&self) -> &str {
        self.inner.config.software.as_deref().unwrap_or("v1")
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
                "zone": config.failure_domain, "version": self.software(), "slots": 6, "state": state,
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

    /// Takes an order to load, which lasts until the runs have ended, or ends it. Its reports say so
    /// if `is_reported`. Meanwhile, it refuses requests and stopped runs.
    pub fn set_loading(&self, is_loading: bool, is_reported: bool) {
        let mut state = self.inner.lock();
        state.is_loading = is_loading;
        state.reports_loading = is_loading && is_reported;
    }

    /// Returns the received requests.
    pub fn received(&self) -> Vec<Received> {
        self.inner.lock().received.clone()
    }

    /// Sets how the next calls to copy runs are handled. Later ones are carried out.
    pub fn expect_copies(&self, behaviours: impl IntoIterator<Item = CopyBehaviour>) {
        self.inner.lock().next_copies.extend(behaviours);
    }

    /// Crashes on each request with one of these.
    pub fn crash_on(&self, triggers: impl IntoIterator<Item = CrashTrigger>, style: CrashStyle) {
        let mut state = self.inner.lock();
        state.crash_triggers = triggers.into_iter().collect();
        state.crash_style = style;
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

    /// Silences the open connections for good. New connections work.
    pub fn silence_open_connections(&self) {
        self.server.silence_open_connections();
    }

    /// Drops connections that were idle for that many milliseconds, without notice: what arrives on one
    /// next resets it unread. `None` keeps them.
    pub fn drop_idle_after(&self, after_ms: Option<u64>) {
        self.server.drop_idle_after(after_ms);
    }
}

impl Inner {
    fn current_id(&self) -> String {
        let id = &self.config.id;
        self.lock().id_number.map_or_else(|| id.clone(), |number| format!("{id}-{number}"))
    }

    /// Starts anew after a crash.
    fn restart(&self) {
        let mut state = self.lock();
        state.restarts += 1;
        if state.crash_style.has_new_id() {
            state.id_number = Some(state.restarts);
        }
    }

    fn lock(&self) -> MutexGuard<'_, WorkerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
