//! What a stand-in received.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use axum::{
    body::Body,
    extract::{Request, State},
    middleware::Next,
    response::{IntoResponse, Response},
};
use bytes::Bytes;
use http::StatusCode;

/// Largest body that a stand-in takes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// All recorded bodies together are no larger.
const MAX_RECORD_BYTES: usize = 256 * 1024 * 1024;

/// One request as it was received.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// The method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// All headers in their order, names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Bytes,
}

impl ReceivedRequest {
    /// Whether a text occurs anywhere in the request.
    pub fn contains(&self, text: &str) -> bool {
        self.path.contains(text)
            || self.headers.iter().any(|(name, value)| name.contains(text) || value.contains(text))
            || String::from_utf8_lossy(&self.body).contains(text)
    }
}

/// Requests in the order in which they came.
#[derive(Clone, Debug, Default)]
pub(crate) struct RequestLog {
    shared: Arc<Mutex<Received>>,
}

#[derive(Debug)]
struct Received {
    enabled: bool,
    requests: Vec<ReceivedRequest>,
    bytes: usize,
}

impl Default for Received {
    fn default() -> Self {
        Self { enabled: true, requests: Vec::new(), bytes: 0 }
    }
}

impl RequestLog {
    pub(crate) fn set_enabled(&self, enabled: bool) {
        self.lock().enabled = enabled;
    }

    /// # Panics
    ///
    /// When requests were left out, because an assertion on the rest would prove nothing.
    pub(crate) fn requests(&self) -> Vec<ReceivedRequest> {
        let received = self.lock();
        assert!(received.enabled, "requests are not recorded");
        assert!(received.bytes <= MAX_RECORD_BYTES, "too many requests to record");
        received.requests.clone()
    }

    fn enabled(&self) -> bool {
        self.lock().enabled
    }

    fn push(&self, request: ReceivedRequest) {
        let mut received = self.lock();
        received.bytes += request.body.len();
        if received.bytes <= MAX_RECORD_BYTES {
            received.requests.push(request);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Received> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Records a request before it is handled.
pub(crate) async fn record(
    State(log): State<RequestLog>,
    request: Request,
    next: Next,
) -> Response {
    if !log.enabled() {
        return next.run(request).await;
    }

    let (parts, body) = request.into_parts();
    let Ok(body) = axum::body::to_bytes(body, MAX_BODY_BYTES).await else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let headers = parts.headers.iter().map(|(name, value)| {
        (name.as_str().to_owned(), String::from_utf8_lossy(value.as_bytes()).into_owned())
    });
    log.push(ReceivedRequest {
        method: parts.method.to_string(),
        path: parts.uri.to_string(),
        headers: headers.collect(),
        body: body.clone(),
    });
    next.run(Request::from_parts(parts, Body::from(body))).await
}
