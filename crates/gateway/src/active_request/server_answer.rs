//! The answer of a backend server whose head has been read.

use http::{HeaderMap, HeaderValue, StatusCode, header};
use hyper::body::Incoming;
use samphirespread_adapter::headers::AnswerFacts;
use samphirespread_core::prelude::*;
use samphirespread_outbound::{Connection, IdleLimits};
use samphirespread_routing::{crash_causes::MIN_SURVIVAL_MS, software::SoftwareTag};

use super::in_flight::InFlightGuard;
use crate::{
    crashes::{RunStage, RunningServer},
    named_weights::AwaitedWeights,
};

/// How long an idle connection is kept when the server sends no keep-alive timeout.
const DEFAULT_IDLE_LIFETIME_MS: u64 = 4_000;
/// An idle connection is kept no longer than this, whatever the server allows.
const MAX_IDLE_LIFETIME_MS: u64 = 30_000;
/// An idle connection is discarded this long before the server would close it.
const IDLE_CLOSE_MARGIN_MS: u64 = 900;

/// What an event of a stream shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct EventEffect {
    /// It is the first one.
    pub(crate) is_first: bool,
    /// When the first event came, if this is the first one that shows that the run has survived.
    pub(crate) survived: Option<MonoTime>,
}

/// A server's answer whose head has been read, with what is needed to read its body.
#[derive(Debug)]
pub(crate) struct ServerAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) facts: AnswerFacts,
    pub(crate) body: Incoming,
    pub(crate) guard: InFlightGuard,
    pub(crate) server: RunningServer,
    /// The version of the server's software.
    pub(crate) software: SoftwareTag,
    /// When the first event arrived.
    pub(crate) first_event: Option<MonoTime>,
    /// Whether its run has gone on for long enough after the first event for its server not to crash
    /// of what it has read.
    pub(crate) has_survived: bool,
    /// The weights that its first event is awaited from, at an engine.
    pub(crate) awaited_weights: Option<AwaitedWeights>,
    pub(super) connection: Connection,
    pub(super) max_connections: usize,
}

impl ServerAnswer {
    /// How far its run has come.
    pub(crate) fn run_stage(&self) -> RunStage {
        match self.first_event {
            None => RunStage::Begun,
            Some(_) if self.has_survived => RunStage::Streaming,
            Some(_) => RunStage::FirstEvents,
        }
    }

    /// Records an event. Returns whether it is the first one, and whether it shows that the run has
    /// survived.
    pub(crate) fn record_event(&mut self, now: MonoTime) -> EventEffect {
        let is_first = self.first_event.is_none();
        let first = *self.first_event.get_or_insert(now);
        let survives = !self.has_survived && now.ms_since(first) >= MIN_SURVIVAL_MS;
        self.has_survived |= survives;
        EventEffect { is_first, survived: survives.then_some(first) }
    }

    /// Whether only the end of the connection ends the body.
    pub(crate) fn ends_with_connection(&self) -> bool {
        let has = |name| self.headers.contains_key(name);
        !has(header::CONTENT_LENGTH) && !has(header::TRANSFER_ENCODING)
    }

    /// Whether this answer can continue a stream that began with that content type. An answer of
    /// another type is no stream, whatever its status.
    pub(crate) fn continues(&self, content_type: Option<&HeaderValue>) -> bool {
        self.status.is_success() && self.headers.get(header::CONTENT_TYPE) == content_type
    }

    /// Keeps the connection for another request. Call this only after the body was read to its end.
    pub(crate) fn keep_connection(self) {
        let Self { facts, connection, guard, max_connections, .. } = self;
        if facts.closes {
            return;
        }
        let idle_lifetime_ms = facts
            .keep_alive_ms
            .map_or(DEFAULT_IDLE_LIFETIME_MS, |ms| ms.saturating_sub(IDLE_CLOSE_MARGIN_MS))
            .min(MAX_IDLE_LIFETIME_MS);
        let now_ms = guard.core.now().as_ms();
        if let Some(server) = guard.core.state().fleet.get_mut(&guard.server) {
            // This request still counts as one in flight.
            let in_use = usize::try_from(server.in_flight).unwrap_or(usize::MAX).saturating_sub(1);
            let limits = IdleLimits { max_connections: max_connections.saturating_sub(in_use) };
            server.idle.put(connection, idle_lifetime_ms, limits, now_ms);
        }
    }
}
