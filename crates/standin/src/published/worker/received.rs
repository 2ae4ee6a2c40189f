//! What a worker has received.

use std::time::Instant;

use axum::{
    body::Bytes,
    http::{HeaderMap, Method, Uri},
};

use super::{EXPECT_VERSION, REQUEST_ID};

/// A received call to copy a run's memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunCopied {
    /// The id of the request whose run is copied.
    pub request_id: String,
    /// The destination.
    pub to: String,
    /// Whether the run has to stop first.
    pub stops: bool,
}

/// A received request.
#[derive(Clone, Debug)]
pub struct Received {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// All headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Whether it ran.
    pub ran: bool,
    /// When it arrived.
    pub at: Instant,
    /// When an engine that takes time made the first event of its run.
    pub began: Option<Instant>,
    /// When and how its run ended, if it ran and has ended.
    pub ended: Option<(Instant, RunEnd)>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// Its answer is whole.
    Whole,
    /// A call that moves the run stopped it.
    Stopped,
    /// The server broke it off.
    BrokeOff,
    /// Its connection ended first.
    Dropped,
}

/// A received order.
#[derive(Clone, Debug)]
pub struct Ordered {
    /// The sender that it names.
    pub holder: String,
    /// The weights to load.
    pub version: u64,
    /// Its fencing token.
    pub token: u64,
    /// Whether the worker began to load the weights.
    pub accepted: bool,
}

impl Received {
    /// Returns a header as text, or an empty text if it is missing.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }

    /// Returns the id of the request.
    pub fn request_id(&self) -> &str {
        self.header(REQUEST_ID)
    }

    /// Returns the team for which it is to run.
    pub fn team(&self) -> &str {
        self.header("x-samphirespread-tenant")
    }

    /// Returns the salt of its cache entries.
    pub fn cache_salt(&self) -> &str {
        self.header("x-samphirespread-cache-salt")
    }

    /// Whether it goes on from the memory of a run that was stopped.
    pub fn continues(&self) -> bool {
        !self.header("kv-from").is_empty()
    }

    /// Returns the version of the weights that it requires, if it names one.
    pub fn expected_version(&self) -> Option<u64> {
        self.header(EXPECT_VERSION).parse().ok()
    }
}
