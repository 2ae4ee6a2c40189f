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
    extract::{DefaultBodyLimit, Request, State},
    middleware::{self, Next},
    response::Response,
    routing::{get, post},
};
use http::{HeaderValue, Version, header};

use crate::state::Shared;

/// Returns the HTTP routes for callers.
pub(crate) fn router(shared: Arc<Shared>) -> Router {
    let max_body_bytes = shared.settings.request.max_body_bytes;
    let leaving = Arc::clone(&shared);
    Router::new()
        .route("/v1/chat/completions", post(generate::chat))
        .route("/v1/completions", post(generate::completion))
        .route("/v1/models", get(openai::models))
        .fallback(service::call)
        .layer(DefaultBodyLimit::max(max_body_bytes))
        .layer(middleware::from_fn_with_state(leaving, close_when_leaving))
        .with_state(shared)
}

/// Asks callers of a leaving router to use other connections. HTTP/2 has a message for that.
async fn close_when_leaving(
    State(shared): State<Arc<Shared>>,
    request: Request,
    next: Next,
) -> Response {
    let has_header = request.version() < Version::HTTP_2;
    let mut response = next.run(request).await;
    if has_header && shared.drain.is_leaving() {
        response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}
