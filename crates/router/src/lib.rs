//! The router accepts callers' requests, admits them within their team's rate, sends them to
//! backend servers and relays the answers.
//!
//! ```no_run
//! use samphirespread_router::Router;
//! use samphirespread_settings::RouterSettings;
//! use tokio_util::sync::CancellationToken;
//!
//! # async fn example(settings: RouterSettings) -> Result<(), samphirespread_router::RouterError> {
//! let log = samphirespread_logging::root(&settings.log);
//! let router = Router::bind(settings, log).await?;
//! println!("callers connect to {}", router.addresses().callers);
//! router.run(CancellationToken::new()).await;
//! # Ok(())
//! # }
//! ```
//!
//! # Structure
//!
//! Other crates make the decisions: `samphirespread-limits` admits requests,
//! `samphirespread-prefix` chooses backend servers and `samphirespread-dispatch` is the state
//! machine of a request's attempts. This crate owns the sockets, tasks and clocks around them. A
//! router stores nothing between runs.
//!
//! # Errors that callers receive
//!
//! Every refusal is JSON: `{"error": {"code", "message", "not_run", "retry_after_ms", "request_id"}}`.
//! `not_run` is true only when it is certain that the request has not run and will not.

mod admin;
mod api;
mod claim;
mod drain;
mod error;
mod fleet;
mod limits;
mod metrics;
mod peer;
mod run;
mod serve;
mod state;
mod sync;
mod trace;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use samphirespread_core::{prelude::*, time::Clock};
use samphirespread_logging::event;
use samphirespread_platform::StorePlatform;
use samphirespread_routing::drain::DrainSchedule;
use samphirespread_settings::RouterSettings;
use samphirespread_tls::ServerTls;
use samphirespread_wire::{Pool, Secret, WireConfig};
use slog::{Logger, info, o, warn};
use tokio::{
    net::TcpListener,
    task::JoinSet,
    time::{sleep, timeout},
};
use tokio_util::sync::CancellationToken;

use crate::{
    limits::{Admission, AdmissionParts},
    metrics::Metrics,
    peer::PeerHandler,
    serve::{HttpLimits, Plain, Stop},
    state::{Identity, Shared, SharedParts},
};

pub use crate::error::RouterError;

/// Time from the closing of the port until the requests on the last connections have been read.
const LAST_REQUESTS_MS: u64 = 300;
/// Maximum number of open requests that are logged one by one when a drain ends.
const MAX_LISTED_REQUESTS: usize = 100;

/// The addresses that a router listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for the system's other processes.
    pub peers: SocketAddr,
    /// The address for operators.
    pub admin: SocketAddr,
}

/// A router that has opened its ports and is ready to run.
pub struct Router {
    shared: Arc<Shared>,
    callers: TcpListener,
    peers: TcpListener,
    admin: TcpListener,
    addresses: Addresses,
    wire: WireConfig,
    tls: Option<ServerTls>,
}

impl Router {
    /// Loads the certificate and opens the ports.
    ///
    /// # Errors
    ///
    /// [`RouterError::Listen`] if a port can't be opened, [`RouterError::Tls`] if the certificate
    /// for callers can't be used.
    pub async fn bind(settings: RouterSettings, log: Logger) -> Result<Self, RouterError> {
        let tls = load_tls(&settings)?;
        let (callers, callers_at) = listen(settings.listen.callers, "callers").await?;
        let (peers, peers_at) = listen(settings.listen.peers, "peers").await?;
        let (admin, admin_at) = listen(settings.listen.admin, "admin").await?;
        let wire = wire_config(&settings);
        let shared = shared(settings, &log, &wire, peers_at);
        let addresses = Addresses { callers: callers_at, peers: peers_at, admin: admin_at };
        Ok(Self { shared, callers, peers, admin, addresses, wire, tls })
    }

    /// Returns the addresses of the opened ports.
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Serves until `shutdown` is cancelled, then drains: for 2.6 s, or half of a shorter drain, the
    /// port stays open and requests that can end in time are taken; then new ones are refused and
    /// running ones finish.
    ///
    /// Returns whether every request finished before the drain timeout.
    pub async fn run(self, shutdown: CancellationToken) -> bool {
        let Self { shared, callers, peers, admin, wire, tls, .. } = self;
        info!(shared.log, "router started"; "callers" => %self.addresses.callers);
        let background = CancellationToken::new();
        let mut tasks = JoinSet::new();
        sync::spawn(&shared, &mut tasks, &background);
        let handler = PeerHandler { shared: Arc::clone(&shared) };
        tasks.spawn(serve_peers(peers, wire, handler, background.clone()));
        let limits = http_limits(&shared.settings);
        let operators = admin::router(Arc::clone(&shared));
        tasks.spawn(serve::serve(
            admin,
            Plain,
            operators,
            limits,
            Stop::at_once(background.clone()),
        ));
        let stop = Stop::default();
        let app = api::router(Arc::clone(&shared));
        let serving = match tls {
            Some(tls) => {
                tasks.spawn(tls.clone().reread(shared.log.clone(), background.clone()));
                tokio::spawn(serve::serve(callers, tls, app, limits, stop.clone()))
            }
            None => tokio::spawn(serve::serve(callers, Plain, app, limits, stop.clone())),
        };

        shutdown.cancelled().await;
        info!(shared.log, "router leaves"; "running" => shared.drain.running());
        shared.identity.set_leaving();
        let schedule = DrainSchedule::new(shared.clock.now(), shared.settings.drain.timeout_ms);
        shared.drain.leave(schedule);
        // The balancer still sends callers here, and their requests need the shares.
        sleep(time_until(&shared, schedule.close_port)).await;
        stop.accepting.cancel();
        info!(shared.log, "{}", event::CALLERS_PORT_CLOSED;
            "running" => shared.drain.running(),
            "open" => shared.drain.open_requests(shared.clock.now()).len());
        let callers = Callers { serving, stop };
        let (drained, ()) =
            tokio::join!(drain(&shared, callers, &schedule), hand_over_shares(&shared));
        background.cancel();
        let _ =
            timeout(Duration::from_secs(1), async { while tasks.join_next().await.is_some() {} })
                .await;
        drained
    }
}

fn load_tls(settings: &RouterSettings) -> Result<Option<ServerTls>, RouterError> {
    let Some(tls) = settings.tls.clone() else { return Ok(None) };
    let tls = ServerTls::load(tls).map_err(RouterError::Tls)?;
    Ok(Some(tls.handshake_timeout_ms(settings.request.header_timeout_ms)))
}

/// The server for callers.
struct Callers {
    serving: tokio::task::JoinHandle<()>,
    stop: Stop,
}

fn time_until(shared: &Shared, at: MonoTime) -> Duration {
    Duration::from_micros(at.us_since(shared.clock.now()))
}

/// Lets open requests finish. Those that take too long get a final answer shortly before the drain
/// timeout.
///
/// Returns whether every request finished before that.
async fn drain(shared: &Shared, callers: Callers, schedule: &DrainSchedule) -> bool {
    let until = |at| time_until(shared, at);
    let Callers { serving, stop } = callers;
    let finished = async {
        // Requests on the last connections become open ones.
        let settle = Duration::from_millis(LAST_REQUESTS_MS);
        sleep(settle.min(until(schedule.answer_by) / 4)).await;
        shared.drain.wait_until_idle().await;
        stop.serving.cancel();
        // The server task ends once the last bytes of the answers have been written.
        let _ = serving.await;
    };
    tokio::pin!(finished);
    if timeout(until(schedule.answer_by), &mut finished).await.is_ok() {
        return true;
    }
    log_open_requests(shared);
    shared.drain.end_runs();
    if timeout(until(schedule.end_by) / 2, &mut finished).await.is_err() {
        shared.drain.end_answers();
        // What isn't written by then is lost.
        let _ = timeout(until(schedule.end_by), finished).await;
    }
    false
}

/// Logs the requests that are open, the oldest of them one by one.
fn log_open_requests(shared: &Shared) {
    let open = shared.drain.open_requests(shared.clock.now());
    warn!(shared.log, "drain timeout passed";
        "running" => shared.drain.running(),
        "open" => open.len(),
        "listed" => open.len().min(MAX_LISTED_REQUESTS));
    for report in open.iter().take(MAX_LISTED_REQUESTS) {
        warn!(shared.log, "{}", event::REQUEST_OPEN;
            "request" => report.id.to_string(),
            "phase" => report.phase.as_str(),
            "team" => &report.target.team,
            "route" => &report.target.route,
            "pieces" => report.pieces,
            "age_ms" => report.age_ms);
    }
}

/// Returns the address at which other processes reach a port. For a port that is open on all local
/// addresses, that is the one from which the platform is reached.
fn advertised_address(bound: SocketAddr, platform: SocketAddr) -> SocketAddr {
    if !bound.ip().is_unspecified() {
        return bound;
    }
    let any = if platform.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
    // Connecting a UDP socket sends no packet; it only selects the local address.
    let local = std::net::UdpSocket::bind(any).and_then(|socket| {
        socket.connect(platform)?;
        socket.local_addr()
    });
    local.map_or(bound, |local| SocketAddr::new(local.ip(), bound.port()))
}

/// Hands this router's shares of the teams' rates to the other routers. If that takes too long,
/// returns without it, and the others take the shares over later.
async fn hand_over_shares(shared: &Shared) {
    let limits = &shared.settings.limits;
    let limit_ms = limits.lump_lifetime_ms
        + limits.clock_margin_ms
        + limits.revoke_wait_ms / 2
        + shared.settings.platform.timeout_ms;
    let limit_ms = limit_ms.min(shared.settings.drain.timeout_ms / 2);
    if timeout(Duration::from_millis(limit_ms), shared.admission.leave()).await.is_err() {
        warn!(shared.log, "shares of limits are not handed back");
    }
}

async fn serve_peers(
    listener: TcpListener,
    wire: WireConfig,
    handler: PeerHandler,
    shutdown: CancellationToken,
) {
    // A failing connection doesn't stop the server.
    let _ = samphirespread_wire::serve(listener, wire, handler, shutdown).await;
}

async fn listen(
    address: SocketAddr,
    purpose: &'static str,
) -> Result<(TcpListener, SocketAddr), RouterError> {
    let failed = |error: std::io::Error| RouterError::Listen {
        address,
        purpose,
        message: error.to_string(),
    };
    let listener = TcpListener::bind(address).await.map_err(failed)?;
    let bound = listener.local_addr().map_err(failed)?;
    Ok((listener, bound))
}

fn wire_config(settings: &RouterSettings) -> WireConfig {
    WireConfig::new(Secret::new(settings.security.peer_secret.expose()))
        .heartbeat_interval_ms(settings.peers.heartbeat_ms)
        .silence_timeout_ms(settings.peers.silence_timeout_ms)
}

fn http_limits(settings: &RouterSettings) -> HttpLimits {
    HttpLimits {
        max_header_bytes: settings.request.max_header_bytes,
        header_timeout_ms: settings.request.header_timeout_ms,
    }
}

fn shared(
    settings: RouterSettings,
    log: &Logger,
    wire: &WireConfig,
    peers_at: SocketAddr,
) -> Arc<Shared> {
    let name = InstanceName::new(&settings.instance.name);
    let identity = Identity::new(name.clone(), samphirespread_core::time::fresh_incarnation());
    let platform = StorePlatform::new(settings.platform.address, settings.platform.timeout_ms);
    let pool = Pool::new(wire.clone(), identity.clone());
    let clock = Clock::start();
    let admission = Admission::start(
        &settings,
        AdmissionParts {
            identity: identity.clone(),
            address: advertised_address(peers_at, settings.platform.address).to_string(),
            clock,
            pool: pool.clone(),
            platform: platform.clone(),
        },
    );
    Shared::new(SharedParts {
        pool,
        log: log.new(o!("instance" => name.to_string())),
        clock,
        admission,
        metrics: Metrics::new(),
        settings,
        identity,
        platform,
    })
}
