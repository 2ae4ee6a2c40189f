//! Crashes of a worker by what a request holds.

use std::{sync::Weak, time::Duration};

use axum::{
    body::{Body, Bytes},
    response::{IntoResponse, Response},
};
use futures_util::{StreamExt, stream};
use tokio::time;

use super::worker::{EVENT_MS, Received, answer_headers, first_events_of};
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

/// How a worker crashes, and how it comes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashStyle {
    down_ms: u64,
    answer: AnswerBeforeCrash,
    has_new_id: bool,
}

/// What a worker has answered when it crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AnswerBeforeCrash {
    /// What its kind of service sends when a run begins: the head at an engine, else nothing.
    Usual,
    /// Nothing.
    Nothing,
    /// The head and this many events.
    Events(u64),
}

impl CrashStyle {
    /// The worker is back after `down_ms`, under its id. An engine crashes after the head of its
    /// answer, another worker before it.
    pub fn down_for(down_ms: u64) -> Self {
        Self { down_ms, answer: AnswerBeforeCrash::Usual, has_new_id: false }
    }

    /// An engine crashes after that many events.
    #[must_use]
    pub fn after_events(self, events: u64) -> Self {
        Self { answer: AnswerBeforeCrash::Events(events), ..self }
    }

    /// An engine crashes before the head of its answer, too.
    #[must_use]
    pub fn before_head(self) -> Self {
        Self { answer: AnswerBeforeCrash::Nothing, ..self }
    }

    /// The worker is back under a new id.
    #[must_use]
    pub fn with_new_id(self) -> Self {
        Self { has_new_id: true, ..self }
    }

    pub(super) fn has_new_id(self) -> bool {
        self.has_new_id
    }
}

impl Default for CrashStyle {
    fn default() -> Self {
        Self::down_for(0)
    }
}

/// Begins the answer as the style says, and closes all connections of the worker shortly after.
pub(super) async fn crash(
    server: Weak<Server>,
    received: &Received,
    style: CrashStyle,
    on_restart: impl FnOnce() + Send + 'static,
) -> Response {
    let events = match style.answer {
        AnswerBeforeCrash::Events(events) => events,
        AnswerBeforeCrash::Usual | AnswerBeforeCrash::Nothing => 0,
    };
    let delay_ms = CRASH_DELAY_MS + events * EVENT_MS;
    tokio::spawn(async move {
        time::sleep(Duration::from_millis(delay_ms)).await;
        let Some(server) = server.upgrade() else { return };
        server.begin_to_stop();
        time::sleep(Duration::from_millis(style.down_ms)).await;
        on_restart();
        // A test whose worker can't have its port again finds it down.
        let _ = server.resume();
    });
    let is_engine = !received.header("x-samphirespread-model").is_empty();
    if !is_engine || style.answer == AnswerBeforeCrash::Nothing {
        // The connection ends before this does.
        return std::future::pending().await;
    }
    let body = Body::from_stream(first_events_of(received, events).chain(stream::pending()));
    (answer_headers(received.request_id()), body).into_response()
}
