//! Answers that the router itself makes.

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use samphirespread_adapter::headers;

use crate::body::ResponseBody;

/// Why a request has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum NotRun {
    /// The router has no configuration yet.
    Starting,
    /// The store has not confirmed the configuration for too long, so keys are not trusted.
    OutOfTouch,
    /// A newer configuration is in force, which this router does not have yet.
    Outdated,
    /// The team has used up its quota.
    OverQuota,
    /// No backend server can take it.
    NoServer,
    /// The servers that would take it limit the requests of all routers, and there is no room.
    ServerLimit,
    /// The servers that would take it have accepted this router's share of their connections.
    ConnectionLimit,
    /// A part of its prompt has crashed several servers.
    CrashCause,
    /// It takes up a stream, and nobody knows which version of the servers' software began that.
    StreamVersion,
    /// The retry budget is used up.
    RetryBudget,
    /// All backend servers that were tried refused.
    ServersRefused,
    /// The engines can't begin it in time.
    Overload,
    /// Its body does not fit in this router's memory beside others.
    MemoryLimit,
    /// Too little time was left before the deadline to send it.
    NoTimeLeft,
    /// This router stops, and the request may last longer than it does.
    Draining,
}

impl NotRun {
    /// The name in answers, logs and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::OutOfTouch => "out_of_touch",
            Self::Outdated => "outdated_configuration",
            Self::OverQuota => "over_quota",
            Self::NoServer => "no_server",
            Self::ServerLimit => "server_limit",
            Self::ConnectionLimit => "connection_limit",
            Self::CrashCause => "crash_cause",
            Self::StreamVersion => "stream_version_unknown",
            Self::RetryBudget => "retry_budget",
            Self::ServersRefused => "servers_refused",
            Self::Overload => "overload",
            Self::MemoryLimit => "memory_limit",
            Self::NoTimeLeft => "no_time_left",
            Self::Draining => "draining",
        }
    }

    fn status(self) -> StatusCode {
        match self {
            Self::OverQuota => StatusCode::TOO_MANY_REQUESTS,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// A refusal, which guarantees that the request has not run and never will.
pub(crate) fn not_run(reason: NotRun, retry_after_ms: u64) -> Response<ResponseBody> {
    let mut response = plain(reason.status(), reason.name());
    let seconds = format!("{}.{:03}", retry_after_ms / 1_000, retry_after_ms % 1_000);
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}

/// An answer in plain text. It does not tell whether the request has run.
pub(crate) fn plain(status: StatusCode, text: &str) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::whole(Bytes::from(format!("{text}\n"))));
    *response.status_mut() = status;
    let text_type = HeaderValue::from_static("text/plain");
    response.headers_mut().insert(header::CONTENT_TYPE, text_type);
    response
}

/// Adds the request's id to an answer.
pub(crate) fn with_request_id(
    mut response: Response<ResponseBody>,
    id: Option<&str>,
) -> Response<ResponseBody> {
    if let Some(id) = id {
        headers::insert_request_id(response.headers_mut(), id);
    }
    response
}
