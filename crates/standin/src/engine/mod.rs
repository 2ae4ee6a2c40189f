//! A stand-in for a model engine.

pub(crate) mod cache;
mod config;
mod events;
mod http_api;
mod record;
mod state;
mod stream;

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use samphirespread_core::prelude::*;
use samphirespread_engine::api::LoadReport;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use self::state::State;
pub use self::{
    config::EngineConfig,
    record::{BlockReuse, EngineRecord, EngineTotals, StreamRecord},
};
use crate::{
    record::{ReceivedRequest, RequestLog},
    server::Server,
};

/// Abandoned streams are looked for this often.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);

/// A running stand-in of an engine. It ends when dropped.
///
/// ```
/// use samphirespread_engine::{EngineClient, EngineClientConfig};
/// use samphirespread_standin::engine::{Engine, EngineConfig};
///
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// let engine = Engine::start(EngineConfig::new("reader", "v1")).await.unwrap();
/// let client = EngineClient::new(EngineClientConfig::new(engine.address().to_string()));
///
/// let load = client.load().await.unwrap();
///
/// assert_eq!(load.running, 0);
/// # });
/// ```
///
/// The engine runs up to a batch limit of streams in steps. A step computes missing prompt tokens
/// up to a chunk and gives every stream whose prompt is ready one token; it takes as long as these
/// cost. Output is [deterministic](crate::text). Each stream waits by priority, then by arrival.
/// Blocks outlive a change of weights on purpose: only a salt that names the version keeps streams
/// from reusing them.
#[derive(Debug)]
pub struct Engine {
    server: Server,
    shared: Arc<Shared>,
    stop: CancellationToken,
}

#[derive(Debug)]
pub(crate) struct Shared {
    state: Mutex<State>,
    work: Notify,
    requests: RequestLog,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Engine {
    /// Starts on a port of its own.
    ///
    /// # Errors
    ///
    /// When no port can be had.
    #[expect(clippy::unused_async, reason = "the server's task needs a runtime around it")]
    pub async fn start(config: EngineConfig) -> io::Result<Self> {
        let requests = RequestLog::default();
        requests.set_enabled(config.records_requests);
        let state = Mutex::new(State::new(config));
        let shared = Arc::new(Shared { state, work: Notify::new(), requests });
        let stop = CancellationToken::new();
        let steps = run_steps(Arc::clone(&shared));
        let sweeps = run_sweeps(Arc::clone(&shared));
        tokio::spawn(stop.clone().run_until_cancelled_owned(steps));
        tokio::spawn(stop.clone().run_until_cancelled_owned(sweeps));
        let server = Server::start(http_api::router(Arc::clone(&shared)))?;
        Ok(Self { server, shared, stop })
    }

    /// Where the engine listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// The current run.
    pub fn incarnation(&self) -> Incarnation {
        self.shared.lock().incarnation
    }

    /// Crashes and comes back at once with a new incarnation: connections are closed, the cache is
    /// empty, streams are unknown.
    ///
    /// # Errors
    ///
    /// When the port can't be had again.
    pub async fn crash(&self) -> io::Result<()> {
        self.go_down().await?;
        self.come_back()
    }

    /// Crashes and refuses connections until [`come_back`](Self::come_back).
    ///
    /// # Errors
    ///
    /// None at present: the port stays reserved.
    pub async fn go_down(&self) -> io::Result<()> {
        self.server.stop().await;
        self.shared.lock().crash();
        Ok(())
    }

    /// Takes connections again after [`go_down`](Self::go_down).
    ///
    /// # Errors
    ///
    /// When the port can't be had again.
    pub fn come_back(&self) -> io::Result<()> {
        self.server.resume()
    }

    /// While frozen, connections are taken and stay open without a byte moving. Streams go on.
    pub fn set_frozen(&self, frozen: bool) {
        self.server.set_frozen(frozen);
    }

    /// Delays every answer.
    pub fn set_slow_ms(&self, slow_ms: u64) {
        self.server.set_slow_ms(slow_ms);
    }

    /// Makes steps take this many times longer.
    pub fn set_slowness(&self, factor: u32) {
        self.shared.lock().slowness = factor.max(1);
    }

    /// The next cache events get their numbers but are never published.
    pub fn drop_next_events(&self, count: u64) {
        self.shared.lock().events.drop_next(count);
    }

    /// The load as it is now.
    pub fn load(&self) -> LoadReport {
        self.shared.lock().load_now()
    }

    /// What the engine did since its first start.
    pub fn record(&self) -> EngineRecord {
        self.shared.lock().record.clone()
    }

    /// Counters since the engine's first start.
    pub fn totals(&self) -> EngineTotals {
        self.shared.lock().totals
    }

    /// Every request that the engine received.
    ///
    /// # Panics
    ///
    /// When requests are not recorded, or were more than the record holds.
    pub fn requests(&self) -> Vec<ReceivedRequest> {
        self.shared.requests.requests()
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

async fn run_steps(shared: Arc<Shared>) {
    // Sleeps are coarse, so steps are counted from when the one before should have ended.
    let mut due = Instant::now();
    loop {
        let (cost, incarnation) = {
            let mut state = shared.lock();
            (state.plan(), state.incarnation)
        };
        let Some(cost) = cost else {
            shared.work.notified().await;
            due = Instant::now();
            continue;
        };

        due += cost;
        if due > Instant::now() {
            tokio::time::sleep_until(due.into()).await;
        } else {
            tokio::task::yield_now().await;
        }
        let mut state = shared.lock();
        if state.incarnation == incarnation {
            state.apply();
        }
    }
}

async fn run_sweeps(shared: Arc<Shared>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        shared.lock().sweep(Instant::now());
    }
}
