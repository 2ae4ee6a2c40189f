//! Opens the ports of an agent, serves on them and drains the agent at shutdown.

use std::{
    future::Future,
    io,
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use samphirespread_core::prelude::*;
use samphirespread_logging::event;
use samphirespread_routing::drain::DrainSchedule;
use samphirespread_settings::{AgentSettings, BackendKind};
use samphirespread_wire::{Secret, WireConfig, WireError, serve};
use slog::{Logger, info, warn};
use tokio::{net::TcpListener, task::JoinHandle, time::timeout};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use crate::{AgentError, admin, handler::AgentHandler, monitor, shared::Shared, weights};

const IDLE_POLL_MS: u64 = 20;

/// Maximum number of open attempts that are logged one by one when a drain ends.
const MAX_LISTED_ATTEMPTS: usize = 100;

/// An agent whose ports are open. It serves once [`Agent::run`] is called.
#[derive(Debug)]
pub struct Agent {
    shared: Arc<Shared>,
    peers: TcpListener,
    peers_address: SocketAddr,
    admin: TcpListener,
    admin_address: SocketAddr,
}

/// Binds an agent, runs it until `shutdown` is cancelled, then drains it.
///
/// # Errors
///
/// Returns the errors of [`Agent::bind`] and [`Agent::run`].
pub async fn run(
    settings: AgentSettings,
    log: Logger,
    shutdown: CancellationToken,
) -> Result<(), AgentError> {
    Agent::bind(settings, log).await?.run(shutdown).await
}

impl Agent {
    /// Opens the ports.
    ///
    /// # Errors
    ///
    /// Returns [`AgentError::Listen`] if a port can't be opened.
    pub async fn bind(settings: AgentSettings, log: Logger) -> Result<Self, AgentError> {
        let (peers, peers_address) = listen(settings.listen.peers).await?;
        let (admin, admin_address) = listen(settings.listen.admin).await?;
        let shared = Shared::new(settings, &log);
        Ok(Self { shared, peers, peers_address, admin, admin_address })
    }

    /// Returns the address that routers connect to.
    pub fn peers_address(&self) -> SocketAddr {
        self.peers_address
    }

    /// Returns the address of the administration port.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin_address
    }

    /// Serves until `shutdown` is cancelled, then refuses new work, finishes the admitted attempts
    /// and returns.
    ///
    /// # Errors
    ///
    /// Returns [`AgentError::DrainTimeout`] if attempts were still running or their answers unsent
    /// at the drain timeout, and [`AgentError::Admin`] if the administration port failed.
    pub async fn run(self, shutdown: CancellationToken) -> Result<(), AgentError> {
        let Self { shared, peers, admin, .. } = self;
        let stop = CancellationToken::new();
        let tasks = TaskTracker::new();
        spawn_monitors(&tasks, &shared, &stop);
        let admin = tokio::spawn(serve_admin(admin, Arc::clone(&shared), stop.clone()));
        let handler = AgentHandler { shared: Arc::clone(&shared) };
        let serving = tokio::spawn(serve(peers, wire_config(&shared), handler, stop.clone()));
        info!(shared.log, "agent serves"; "incarnation" => shared.incarnation.0);

        shutdown.cancelled().await;
        let result = drain(&shared, serving, &stop).await;
        stop.cancel();
        tasks.close();
        tasks.wait().await;
        if let Ok(Err(error)) = admin.await {
            return Err(AgentError::Admin(error));
        }
        match &result {
            Ok(()) => info!(shared.log, "agent left"),
            Err(error) => warn!(shared.log, "agent cut its requests"; "error" => %error),
        }
        result
    }
}

async fn listen(address: SocketAddr) -> Result<(TcpListener, SocketAddr), AgentError> {
    let listener = TcpListener::bind(address).await;
    let bound = listener.and_then(|listener| {
        let address = listener.local_addr()?;
        Ok((listener, address))
    });
    bound.map_err(|source| AgentError::Listen { address, source })
}

fn wire_config(shared: &Shared) -> WireConfig {
    let secret = Secret::new(shared.settings.security.peer_secret.expose());
    WireConfig::new(secret).silence_timeout_ms(shared.settings.peers.silence_timeout_ms)
}

fn spawn_monitors(tasks: &TaskTracker, shared: &Arc<Shared>, stop: &CancellationToken) {
    tasks.spawn(monitor::tick(Arc::clone(shared), stop.clone()));
    tasks.spawn(monitor::poll(Arc::clone(shared), stop.clone()));
    if shared.settings.backend.kind == BackendKind::Model {
        tasks.spawn(monitor::follow_events(Arc::clone(shared), stop.clone()));
        tasks.spawn(weights::keep_loaded(Arc::clone(shared), stop.clone()));
    }
}

fn serve_admin(
    listener: TcpListener,
    shared: Arc<Shared>,
    stop: CancellationToken,
) -> impl Future<Output = io::Result<()>> + Send {
    let served = axum::serve(listener, admin::routes(shared));
    async move {
        tokio::select! {
            served = served => served,
            () = stop.cancelled() => Ok(()),
        }
    }
}

/// Lets admitted attempts finish. Those that take too long end shortly before the drain timeout.
async fn drain(
    shared: &Shared,
    serving: JoinHandle<Result<(), WireError>>,
    stop: &CancellationToken,
) -> Result<(), AgentError> {
    shared.leave();
    info!(shared.log, "agent leaves");
    let timeout_ms = shared.settings.drain.timeout_ms;
    let schedule = DrainSchedule::new(shared.clock.now(), timeout_ms);
    let until = |at: MonoTime| Duration::from_micros(at.us_since(shared.clock.now()));
    let finished = async {
        wait_until_idle(shared).await;
        stop.cancel();
        tokio::select! {
            // The server task ends once every follower has the rest of its answer.
            _ = serving => {}
            () = wait_for_stalled_followers(shared) => {}
        }
    };
    tokio::pin!(finished);
    if timeout(until(schedule.answer_by), &mut finished).await.is_ok() {
        return Ok(());
    }
    log_open_attempts(shared);
    shared.end_attempts();
    // What isn't sent by then is lost.
    let _ = timeout(until(schedule.end_by), finished).await;
    Err(AgentError::DrainTimeout { timeout_ms })
}

/// Logs the attempts that are open, the first of them one by one.
fn log_open_attempts(shared: &Shared) {
    let open = shared.lock().open_attempts();
    warn!(shared.log, "drain timeout passed";
        "open" => open.len(), "listed" => open.len().min(MAX_LISTED_ATTEMPTS));
    for attempt in open.iter().take(MAX_LISTED_ATTEMPTS) {
        warn!(shared.log, "{}", event::ATTEMPT_OPEN;
            "request" => attempt.id.request.to_string(),
            "attempt" => attempt.id.number,
            "team" => attempt.team.as_str(),
            "phase" => attempt.phase.as_str(),
            "lines" => attempt.lines);
    }
}

/// Waits until no reply has been sent for so long that a follower whose connection is silent would
/// have come back on another one. The remaining followers are then considered gone.
async fn wait_for_stalled_followers(shared: &Shared) {
    let silence = come_back_time(shared);
    loop {
        let sent_before = shared.sent_replies.load(Ordering::Relaxed);
        tokio::time::sleep(silence).await;
        if shared.sent_replies.load(Ordering::Relaxed) == sent_before {
            return;
        }
    }
}

/// Waits until no attempt is waiting or running, all tasks have ended, and the routers that lost
/// their connections have come back for their answers.
async fn wait_until_idle(shared: &Shared) {
    while !shared.is_idle() {
        tokio::time::sleep(Duration::from_millis(IDLE_POLL_MS)).await;
    }
    shared.tasks.close();
    shared.tasks.wait().await;
    let come_back = timeout(come_back_time(shared), async {
        while shared.owes_answers() {
            tokio::time::sleep(Duration::from_millis(IDLE_POLL_MS)).await;
        }
    });
    // A router that isn't back by then has given up.
    let _ = come_back.await;
}

/// Returns the time in which a router notices that it has lost its connection, and comes back.
fn come_back_time(shared: &Shared) -> Duration {
    Duration::from_millis(shared.settings.peers.silence_timeout_ms) * 2
}
