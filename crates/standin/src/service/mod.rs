//! A stand-in for a plain service, some of whose calls may not be repeated.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use axum::{
    Extension, Router,
    body::Body,
    extract::{Request, State as Shares},
    middleware,
    response::{IntoResponse, Response},
};
use bytes::Bytes;
use futures_util::{StreamExt, stream};
use http::{HeaderName, HeaderValue, StatusCode};

use crate::{
    record::{self, ReceivedRequest, RequestLog},
    server::{LostAnswer, Server},
};

const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
const CUT_DELAY: Duration = Duration::from_millis(20);

/// The answer's header that counts the runs of the service.
pub const RUN_HEADER: &str = "x-run";

/// How the service behaves.
#[derive(Clone, Debug)]
pub struct ServiceConfig {
    id_header: String,
    run_ms: u64,
}

impl Default for ServiceConfig {
    fn default() -> Self {
        Self::new()
    }
}

impl ServiceConfig {
    /// A service that answers at once.
    pub fn new() -> Self {
        Self { id_header: "x-call-id".to_owned(), run_ms: 0 }
    }

    /// The header by which callers name a call, for the record alone: the service itself runs each
    /// call that it gets.
    #[must_use]
    pub fn id_header(mut self, name: &str) -> Self {
        self.id_header = name.to_ascii_lowercase();
        self
    }

    /// Time that a run takes.
    #[must_use]
    pub fn run_ms(mut self, run_ms: u64) -> Self {
        self.run_ms = run_ms;
        self
    }
}

/// One run of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRun {
    /// Counts the runs from zero.
    pub number: usize,
    /// What the caller named the call.
    pub id: Option<String>,
    /// The method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// Whether the run came to its end, be its answer lost or not.
    pub finished: bool,
}

/// What goes wrong with the next calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServiceFault {
    /// Nothing.
    #[default]
    None,
    /// The connection is closed after the run, without an answer.
    LoseAnswer,
    /// The connection is closed before the run.
    DropBeforeRun,
    /// The answer stops in the middle of its body.
    CutBody,
}

/// A running stand-in of a plain service. It ends when dropped.
///
/// Every call, of any method and path, is a run. The answer repeats the call's body, or says
/// `run N` when there is none, and counts the runs in [`RUN_HEADER`].
///
/// ```
/// use samphirespread_standin::service::{Service, ServiceConfig};
///
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// let service = Service::start(ServiceConfig::new().run_ms(20)).await.unwrap();
///
/// assert!(service.runs().is_empty());
/// # });
/// ```
#[derive(Debug)]
pub struct Service {
    server: Server,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    config: ServiceConfig,
    state: Mutex<State>,
    requests: RequestLog,
}

#[derive(Debug, Default)]
struct State {
    runs: Vec<ServiceRun>,
    run_ms: u64,
    fault: ServiceFault,
    faulty_calls: u32,
}

impl Service {
    /// Starts on a port of its own.
    ///
    /// # Errors
    ///
    /// When no port can be had.
    #[expect(clippy::unused_async, reason = "the server's task needs a runtime around it")]
    pub async fn start(config: ServiceConfig) -> io::Result<Self> {
        let state = Mutex::new(State { run_ms: config.run_ms, ..State::default() });
        let requests = RequestLog::default();
        let shared = Arc::new(Shared { config, state, requests: requests.clone() });
        let router = Router::new()
            .fallback(call)
            .layer(middleware::from_fn_with_state(requests, record::record))
            .with_state(Arc::clone(&shared));
        Ok(Self { server: Server::start(router)?, shared })
    }

    /// Where the service listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// All runs, in the order in which they began.
    pub fn runs(&self) -> Vec<ServiceRun> {
        self.shared.lock().runs.clone()
    }

    /// The runs of the call that its caller named so.
    pub fn runs_of(&self, id: &str) -> Vec<ServiceRun> {
        let runs = self.runs().into_iter();
        runs.filter(|run| run.id.as_deref() == Some(id)).collect()
    }

    /// Every request that the service received.
    ///
    /// # Panics
    ///
    /// When they were more than the record holds.
    pub fn requests(&self) -> Vec<ReceivedRequest> {
        self.shared.requests.requests()
    }

    /// Lets something go wrong with the next calls.
    pub fn fail_next(&self, calls: u32, fault: ServiceFault) {
        let mut state = self.shared.lock();
        state.fault = fault;
        state.faulty_calls = calls;
    }

    /// Time that later runs take.
    pub fn set_run_ms(&self, run_ms: u64) {
        self.shared.lock().run_ms = run_ms;
    }

    /// Delays every answer after its run.
    pub fn set_slow_ms(&self, slow_ms: u64) {
        self.server.set_slow_ms(slow_ms);
    }

    /// While frozen, connections are taken and stay open without a byte moving.
    pub fn set_frozen(&self, frozen: bool) {
        self.server.set_frozen(frozen);
    }

    /// Dies in the middle of its calls and refuses connections until
    /// [`come_back`](Self::come_back).
    ///
    /// # Errors
    ///
    /// None at present: the port stays reserved.
    pub async fn go_down(&self) -> io::Result<()> {
        self.server.stop().await;
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
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take_fault(&self) -> ServiceFault {
        let mut state = self.lock();
        if state.faulty_calls == 0 {
            return ServiceFault::None;
        }
        state.faulty_calls -= 1;
        state.fault
    }

    /// Notes a run and returns its number and how long it takes.
    fn begin_run(&self, request: &Request) -> (usize, Duration) {
        let id = request.headers().get(&self.config.id_header);
        let id = id.and_then(|value| value.to_str().ok()).map(str::to_owned);
        let mut state = self.lock();
        let number = state.runs.len();
        state.runs.push(ServiceRun {
            number,
            id,
            method: request.method().to_string(),
            path: request.uri().to_string(),
            finished: false,
        });
        (number, Duration::from_millis(state.run_ms))
    }
}

async fn call(Shares(shared): Shares<Arc<Shared>>, request: Request) -> Response {
    let fault = shared.take_fault();
    if fault == ServiceFault::DropBeforeRun {
        return (Extension(LostAnswer), Body::empty()).into_response();
    }

    let (number, run_time) = shared.begin_run(&request);
    let Ok(body) = axum::body::to_bytes(request.into_body(), MAX_BODY_BYTES).await else {
        return StatusCode::PAYLOAD_TOO_LARGE.into_response();
    };
    tokio::time::sleep(run_time).await;
    shared.lock().runs[number].finished = true;

    let body = if body.is_empty() { Bytes::from(format!("run {number}")) } else { body };
    let header = [(HeaderName::from_static(RUN_HEADER), HeaderValue::from(number))];
    match fault {
        ServiceFault::LoseAnswer => (Extension(LostAnswer), Body::empty()).into_response(),
        ServiceFault::CutBody => (header, cut_body(&body)).into_response(),
        _ => (header, body).into_response(),
    }
}

/// Half of a body, and then an error that closes the connection.
fn cut_body(body: &Bytes) -> Body {
    let half = body.slice(..body.len() / 2);
    let error = async {
        // An error at once would keep the head of the answer back as well.
        tokio::time::sleep(CUT_DELAY).await;
        Err(io::Error::other("the body was cut"))
    };
    let first = stream::once(std::future::ready(Ok(half)));
    Body::from_stream(first.chain(stream::once(error)))
}
