//! The HTTP interface for callers.

mod access;
mod answer;
mod caller;
mod error;
mod generate;
mod headers;
mod openai;
mod service;

use std::sync::Arc;

use axum::{
    Router,
    extract::DefaultBodyLimit,
    routing::{get, post},
};

use crate::state::Shared;

/// Returns the HTTP routes for callers.
pub(crate) fn router(shared: Arc<Shared>) -> Router {
    let max_body_bytes = shared.settings.request.max_body_bytes;
    Router::new()
        .route("/v1/chat/completions", post(generate::chat))
        .route("/v1/completions", post(generate::completion))
        .route("/v1/models", get(openai::models))
        .fallback(service::call)
        .layer(DefaultBodyLimit::max(max_body_bytes))
        .with_state(shared)
}
