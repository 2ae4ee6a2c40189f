//! Crashes of a worker by what a request holds.

use std::{io, sync::Weak, time::Duration};

use axum::{
    body::{Body, Bytes},
    response::{IntoResponse, Response},
};
use futures_util::stream;
use tokio::time;

use super::worker::{Received, answer_headers};
use crate::server::Server;

/// How long a run lasts until the worker crashes.
const CRASH_DELAY_MS: u64 = 20;

/// What in a request crashes the worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CrashTrigger {
    /// A part of the prompt with this id, other than the last one, once the answer begins.
    Part(String),
    /// This body, once the request begins to run.
    Body(Bytes),
    /// Every request.
    Any,
}

impl CrashTrigger {
    pub(super) fn is_in(&self, received: &Received) -> bool {
        match self {
            Self::Part(id) => shared_part_ids(received).any(|part| part == id),
            Self::Body(body) => received.body == *body,
            Self::Any => true,
        }
    }
}

fn shared_part_ids(received: &Received) -> impl Iterator<Item = &str> {
    let parts = received.header("x-samphirespread-prompt-prefix");
    let shared = parts.rsplit_once(',').map_or("", |(shared, _)| shared);
    shared.split(',').filter_map(|part| Some(part.trim().split_once(':')?.0))
}

/// Begins the answer if the request is for an engine, and closes all connections of the worker
/// shortly after. The worker is back after `down_ms`.
pub(super) async fn crash(
    server: Weak<Server>,
    received: &Received,
    down_ms: u64,
    on_restart: impl FnOnce() + Send + 'static,
) -> Response {
    tokio::spawn(async move {
        time::sleep(Duration::from_millis(CRASH_DELAY_MS)).await;
        let Some(server) = server.upgrade() else { return };
        server.begin_to_stop();
        time::sleep(Duration::from_millis(down_ms)).await;
        on_restart();
        // A test whose worker can't have its port again finds it down.
        let _ = server.resume();
    });
    if received.header("x-samphirespread-model").is_empty() {
        // The connection ends before this does.
        return std::future::pending().await;
    }
    let silence = stream::pending::<io::Result<Bytes>>();
    (answer_headers(received.request_id()), Body::from_stream(silence)).into_response()
}
