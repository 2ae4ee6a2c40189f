//! Connections on which a request is sent: new ones, and those kept after earlier requests.

use samphirespread_logging::event;
use samphirespread_outbound::{Connection, IdleConnection, OpenError};
use samphirespread_routing::stale_connections::IdleUse;
use slog::info;

use super::ActiveRequest;
use crate::{crashes, metrics::count, request_log::Step, select::Selected};

/// Timeout for opening a connection to a backend server.
const CONNECT_TIMEOUT_MS: u64 = 300;

/// A connection to the server that a request is sent to.
#[derive(Debug)]
pub(super) struct ServerConnection {
    pub(super) connection: Connection,
    /// Set if it has carried a request before.
    pub(super) kept: Option<Kept>,
    /// Whether this request was sent to the server before, on a connection that broke.
    pub(super) is_resend: bool,
}

/// What is known of a connection that was kept.
#[derive(Clone, Copy, Debug)]
pub(super) struct Kept {
    pub(super) idle_ms: u64,
    pub(super) trust: Trust,
}

/// Why a kept connection may carry a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Trust {
    /// Others that were idle for as long were seen to work.
    Assumed,
    /// The server has to answer on it first.
    ToBeChecked,
    /// The server has just answered on it.
    Checked,
}

impl ServerConnection {
    fn new(connection: Connection) -> Self {
        Self { connection, kept: None, is_resend: false }
    }

    /// How long it was idle, if it was kept.
    pub(super) fn idle_ms(&self) -> Option<u64> {
        self.kept.map(|kept| kept.idle_ms)
    }

    pub(super) fn must_be_checked(&self) -> bool {
        self.kept.is_some_and(|kept| kept.trust == Trust::ToBeChecked)
    }

    /// How long it was idle, if its server may have dropped it since.
    pub(super) fn assumed_idle_ms(&self) -> Option<u64> {
        self.kept.filter(|kept| kept.trust == Trust::Assumed).map(|kept| kept.idle_ms)
    }
}

impl ActiveRequest {
    /// Returns an idle connection to the server, or a new one.
    pub(super) async fn connect(&mut self, selected: &Selected) -> Option<ServerConnection> {
        match self.take_idle(selected) {
            Some(connection) => Some(connection),
            None => self.open(selected).await,
        }
    }

    fn take_idle(&self, selected: &Selected) -> Option<ServerConnection> {
        let now = self.core.now();
        let (idle, idle_use) = self.core.state().fleet.take_idle(&selected.id, now)?;
        let IdleConnection { connection, idle_ms } = idle;
        // A stream ends with the send of its stopped run, if that fails.
        let is_assumed = idle_use == IdleUse::Send && selected.stopped_run.is_none();
        let trust = if is_assumed { Trust::Assumed } else { Trust::ToBeChecked };
        let kept = Some(Kept { idle_ms, trust });
        Some(ServerConnection { connection, kept, is_resend: false })
    }

    /// Opens a connection to the server. Returns `None` if that fails, which counts against the server.
    pub(super) async fn open(&mut self, selected: &Selected) -> Option<ServerConnection> {
        self.core.metrics.connections.inc();
        let timeout_ms = CONNECT_TIMEOUT_MS.min(self.left_ms());
        match Connection::open(selected.address, timeout_ms).await {
            Ok(connection) => Some(ServerConnection::new(connection)),
            Err(error) => {
                if matches!(error, OpenError::Refused(_)) {
                    crashes::server_refused(&self.core, selected.run());
                }
                let now = self.core.now();
                let mut state = self.core.state();
                let server = state.fleet.get_mut(&selected.id);
                let avoid_ms = server.map_or(0, |server| server.suspicion.record_unreachable(now));
                drop(state);
                let server = selected.id.clone();
                let error = error.to_string();
                self.log_avoided(selected, avoid_ms, &error);
                self.request_log.step(now, Step::NoConnection { server, error, avoid_ms });
                None
            }
        }
    }

    /// Records that the server has answered on a connection that had been idle.
    pub(super) fn record_idle_survived(&self, selected: &Selected, idle_ms: u64) {
        let now = self.core.now();
        let fleet = &mut self.core.state().fleet;
        fleet.record_idle_survived(&selected.id, selected.run(), idle_ms, now);
    }

    /// Records that the server had dropped a connection while it was idle. `outcome` is what that did to
    /// the request, for the metric and the log.
    pub(super) fn record_idle_dropped(
        &self,
        selected: &Selected,
        idle_ms: u64,
        outcome: &'static str,
    ) {
        count(&self.core.metrics.idle_connections, outcome);
        let now = self.core.now();
        let fleet = &mut self.core.state().fleet;
        fleet.record_idle_dropped(&selected.id, selected.run(), idle_ms, now);
        info!(self.core.log, "{}", event::IDLE_CONNECTION_DROPPED; "server" => &*selected.id,
            "idle_ms" => idle_ms, "outcome" => outcome,
            "request" => self.facts.id.as_deref().unwrap_or("-"));
    }
}
