//! The HTTP interface for operators: health, readiness, metrics, state dump and request trace.

use std::sync::Arc;

use axum::{
    Json, Router,
    body::Body,
    extract::State,
    response::{IntoResponse, Response},
    routing::get,
};
use futures_util::stream;
use http::{StatusCode, header};
use samphirespread_core::prelude::*;
use samphirespread_platform::api::ObjectVersion;
use serde::Serialize;
use tokio::sync::broadcast::{Receiver, error::RecvError};

use crate::{fleet::RouteCount, state::Shared, trace::TraceRecord};

/// The state of a router, served as JSON.
#[derive(Debug, Serialize)]
struct Dump {
    name: String,
    incarnation: u64,
    generation: Generation,
    highest_generation_heard: Generation,
    config_age_ms: u64,
    reads_platform: bool,
    live_list_version: u64,
    instances: usize,
    routes: Vec<RouteCount>,
    hot_blocks: usize,
    peer_connections: Vec<String>,
    running: usize,
    leaving: bool,
    limits: Option<samphirespread_limits::Snapshot>,
}

/// Returns the HTTP routes for operators.
pub(crate) fn router(shared: Arc<Shared>) -> Router {
    Router::new()
        .route("/healthz", get(|| async { "ok\n" }))
        .route("/readyz", get(ready))
        .route("/metrics", get(metrics))
        .route("/dump", get(dump))
        .route("/trace", get(trace))
        .with_state(shared)
}

async fn ready(State(shared): State<Arc<Shared>>) -> Response {
    let not_ready =
        |reason: &'static str| (StatusCode::SERVICE_UNAVAILABLE, reason).into_response();
    if shared.drain.is_leaving() {
        return not_ready("leaving\n");
    }
    if shared.snapshot.load().generation() == Generation::default() {
        return not_ready("no configuration yet\n");
    }
    if shared.live_list().version == ObjectVersion::default() {
        return not_ready("no live list yet\n");
    }
    if !shared.admission.is_ready().await {
        return not_ready("shares of the teams' rates are not known yet\n");
    }
    "ready\n".into_response()
}

async fn metrics(State(shared): State<Arc<Shared>>) -> Response {
    shared.metrics.record_drain(&shared.drain, shared.clock.now());
    if let Some(limits) = shared.admission.snapshot().await {
        shared.metrics.record_limits(&limits);
    }
    let kind = "application/openmetrics-text; version=1.0.0; charset=utf-8";
    ([(header::CONTENT_TYPE, kind)], shared.metrics.encode()).into_response()
}

async fn dump(State(shared): State<Arc<Shared>>) -> Json<Dump> {
    let live = shared.live_list();
    Json(Dump {
        name: shared.identity.name().to_string(),
        incarnation: shared.identity.incarnation().0,
        generation: shared.snapshot.load().generation(),
        highest_generation_heard: shared.identity.highest_peer_generation(),
        config_age_ms: shared.with_contact(|contact| contact.age_ms(shared.clock.now())),
        reads_platform: shared.reads_platform(),
        live_list_version: live.version.0,
        instances: live.instances.len(),
        routes: shared.placer.counts(),
        hot_blocks: shared.placer.hot_blocks(),
        peer_connections: shared.pool.addresses(),
        running: shared.drain.running(),
        leaving: shared.drain.is_leaving(),
        limits: shared.admission.snapshot().await,
    })
}

// Streams one JSON line for each request until the reader disconnects.
async fn trace(State(shared): State<Arc<Shared>>) -> Response {
    let lines = stream::unfold(shared.trace.subscribe(), next_trace_line);
    let kind = [(header::CONTENT_TYPE, "application/jsonl")];
    (kind, Body::from_stream(lines)).into_response()
}

type TraceLine = Result<String, serde_json::Error>;

async fn next_trace_line(
    mut records: Receiver<TraceRecord>,
) -> Option<(TraceLine, Receiver<TraceRecord>)> {
    loop {
        match records.recv().await {
            Ok(record) => {
                let line = serde_json::to_string(&record).map(|line| line + "\n");
                return Some((line, records));
            }
            // A slow reader misses records; the gap is visible in the times of the records.
            Err(RecvError::Lagged(_)) => {}
            Err(RecvError::Closed) => return None,
        }
    }
}
