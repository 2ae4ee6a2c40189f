//! Compares the answer to one request with those of the other version of its service.

use std::sync::Arc;

use samphirespread_core::prelude::*;
use samphirespread_routing::{
    canary::{EvidenceRecorder, Outcome, RouteTag, Side},
    model::ServiceName,
};

use super::Compared;
use crate::gateway::Core;

/// Shorter times count as this, since they differ by the work of the router itself.
const MIN_COMPARED_MS: f64 = 20.0;

/// A request that a server runs while a version of its service is being released.
///
/// If it is dropped before the answer, its caller has left. That counts against the server if the
/// answer was late by then.
#[derive(Debug)]
pub(crate) struct Comparison {
    core: Arc<Core>,
    service: ServiceName,
    route: RouteTag,
    side: Side,
    sent: MonoTime,
    /// The expected time to the first event; `None` for plain servers.
    expected_ms: Option<f64>,
    /// The factor by which its time may be longer; none if it can't be compared.
    time_tolerance: Option<f64>,
    state: State,
}

/// What was counted of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Nothing yet.
    Pending,
    /// That its answer has begun.
    Answered,
    /// That it failed, or that it is left out.
    Settled,
}

impl Comparison {
    /// Begins with the send of a request.
    pub(crate) fn new(
        core: &Arc<Core>,
        service: &ServiceName,
        compared: Compared,
        expected_ms: Option<f64>,
    ) -> Self {
        let (core, service, sent) = (core.clone(), service.clone(), core.now());
        let Compared { route, side, time_tolerance } = compared;
        let state = State::Pending;
        Self { core, service, route, side, sent, expected_ms, time_tolerance, state }
    }

    /// Records that the server failed the request, which may be after its answer has begun.
    pub(crate) fn failed(&mut self) {
        let (route, side) = (self.route, self.side);
        match std::mem::replace(&mut self.state, State::Settled) {
            State::Pending => self.record(|recorder| recorder.record(route, side, Outcome::Failed)),
            State::Answered => self.record(|recorder| recorder.record_broken(route, side)),
            State::Settled => {}
        }
    }

    /// Records that the answer has begun.
    pub(crate) fn answered(&mut self) {
        if self.state != State::Pending {
            return;
        }
        self.state = State::Answered;
        let (route, side) = (self.route, self.side);
        let outcome = Outcome::Answered { time: self.time() };
        self.record(|recorder| recorder.record(route, side, outcome));
    }

    /// Leaves the request out, as the server has not run it or this router gave it up.
    pub(crate) fn leave_out(&mut self) {
        self.state = State::Settled;
    }

    /// The time since the send, if it can be compared. For engines it is divided by the expected one, so
    /// that prompts of different lengths compare.
    fn time(&self) -> Option<f64> {
        let tolerance = self.time_tolerance?;
        #[expect(clippy::cast_precision_loss, reason = "spans are short")]
        let took_ms = (self.core.now().ms_since(self.sent) as f64).max(MIN_COMPARED_MS);
        let expected_ms = self.expected_ms.map_or(1.0, |ms| ms.max(MIN_COMPARED_MS));
        Some(took_ms / expected_ms / tolerance)
    }

    fn record(&self, record: impl FnOnce(&mut EvidenceRecorder)) {
        if let Some(recorder) = self.core.state().rollouts.recorder(&self.service) {
            record(recorder);
        }
    }
}

impl Drop for Comparison {
    fn drop(&mut self) {
        if self.state == State::Pending
            && let Some(time) = self.time()
        {
            let (route, side) = (self.route, self.side);
            self.record(|recorder| recorder.record_abandoned(route, side, time));
        }
    }
}
