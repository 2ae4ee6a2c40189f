//! The administration port, which serves health checks, metrics and a dump of the state.

use std::sync::Arc;

use axum::{Json, Router, extract::State as Extract, routing::get};
use http::StatusCode;
use samphirespread_core::prelude::*;
use samphirespread_settings::BackendKind;
use serde::Serialize;

use crate::{
    metrics::GaugeValues,
    shared::{Phase, Shared, State},
};

/// Maximum number of attempts that a dump lists.
const MAX_DUMPED_ATTEMPTS: usize = 1_000;

/// Returns the routes of the administration port.
pub(crate) fn routes(shared: Arc<Shared>) -> Router {
    Router::new()
        .route("/healthz", get(async || "ok"))
        .route("/readyz", get(ready))
        .route("/metrics", get(metrics))
        .route("/dump", get(dump))
        .with_state(shared)
}

async fn ready(Extract(shared): Extract<Arc<Shared>>) -> (StatusCode, &'static str) {
    let state = shared.lock();
    if state.leaving {
        (StatusCode::SERVICE_UNAVAILABLE, "leaving")
    } else if state.engine.takes_work() {
        (StatusCode::OK, "ready")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "backend server down")
    }
}

async fn metrics(Extract(shared): Extract<Arc<Shared>>) -> String {
    let gauge_values = gauge_values(&shared.lock(), shared.clock.now());
    shared.metrics.encode(gauge_values)
}

fn gauge_values(state: &State, now: MonoTime) -> GaugeValues {
    let open = state.open_attempts();
    let count = |phase| open.iter().filter(|attempt| attempt.phase == phase).count();
    GaugeValues {
        open: Phase::ALL.map(|phase| (phase, count(phase))),
        leaving_ms: state.leaving_ms(now),
        waiting: state.queue.len(),
        running: state.queue.running(),
        known_attempts: state.attempts.len(),
        cached_blocks: state.residency.len(),
        backend_up: state.engine.takes_work(),
    }
}

/// The state of an agent, without prompts and answers.
#[derive(Debug, Serialize)]
struct Dump {
    name: String,
    incarnation: u64,
    generation: u64,
    leaving: bool,
    backend: BackendDump,
    queue: QueueDump,
    known_attempts: usize,
    attempts: Vec<AttemptDump>,
}

#[derive(Debug, Serialize)]
struct BackendDump {
    kind: &'static str,
    address: String,
    set: String,
    state: String,
    incarnation: u64,
    cached_blocks: usize,
    residency_certain: bool,
    prefill_us_per_token: u32,
    prefill_backlog_tokens: u64,
}

#[derive(Debug, Serialize)]
struct QueueDump {
    waiting: usize,
    running: usize,
    wait_ms: u32,
}

#[derive(Debug, Serialize)]
struct AttemptDump {
    request: String,
    attempt: u32,
    team: String,
    lines: u64,
    ended: bool,
}

async fn dump(Extract(shared): Extract<Arc<Shared>>) -> Json<Dump> {
    let state = shared.lock();
    Json(Dump {
        name: shared.name.to_string(),
        incarnation: shared.incarnation.0,
        generation: state.configuration.generation().0,
        leaving: state.leaving,
        backend: backend_dump(&shared, &state),
        queue: QueueDump {
            waiting: state.queue.len(),
            running: state.queue.running(),
            wait_ms: state.queue.wait_ms(),
        },
        known_attempts: state.attempts.len(),
        attempts: attempt_dumps(&state),
    })
}

fn backend_dump(shared: &Shared, state: &State) -> BackendDump {
    let backend = &shared.settings.backend;
    let kind = match backend.kind {
        BackendKind::Model => "model",
        BackendKind::Service => "service",
    };
    BackendDump {
        kind,
        address: backend.address.to_string(),
        set: backend.set.to_string(),
        state: format!("{:?}", state.engine.state()).to_lowercase(),
        incarnation: state.engine.incarnation().0,
        cached_blocks: state.residency.len(),
        residency_certain: !state.residency.needs_re_read(),
        prefill_us_per_token: state.prefill_speed.us_per_token(),
        prefill_backlog_tokens: state.prefill_backlog.tokens(),
    }
}

fn attempt_dumps(state: &State) -> Vec<AttemptDump> {
    let mut handles: Vec<_> = state.handles.values().collect();
    handles.sort_by_key(|handle| handle.id);
    let dump = handles.into_iter().take(MAX_DUMPED_ATTEMPTS).map(|handle| AttemptDump {
        request: handle.id.request.to_string(),
        attempt: handle.id.number,
        team: handle.team.to_string(),
        lines: handle.next_seq(),
        ended: handle.has_ended(),
    });
    dump.collect()
}
