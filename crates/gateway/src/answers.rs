//! Answers of the router's own.

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use samphirespread_adapter::headers;

use crate::body::Outgoing;

/// Why a request has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum NotRun {
    /// The router has no configuration yet.
    Starting,
    /// The router has had no word from the store for too long to trust keys.
    OutOfTouch,
    /// The team has used up its quota.
    OverQuota,
    /// No backend server can take it.
    NoServer,
    /// The budget for repeats is used up.
    RetryBudget,
    /// The backend servers that were asked refused.
    ServersRefused,
    /// Its time was over before it could be sent.
    NoTimeLeft,
}

impl NotRun {
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::OutOfTouch => "out_of_touch",
            Self::OverQuota => "over_quota",
            Self::NoServer => "no_server",
            Self::RetryBudget => "retry_budget",
            Self::ServersRefused => "servers_refused",
            Self::NoTimeLeft => "no_time_left",
        }
    }

    fn status(self) -> StatusCode {
        match self {
            Self::OverQuota => StatusCode::TOO_MANY_REQUESTS,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// A refusal that promises that the request has not run and never will.
pub(crate) fn not_run(reason: NotRun, retry_after_ms: u64) -> Response<Outgoing> {
    let mut response = plain(reason.status(), reason.name());
    let seconds = format!("{}.{:03}", retry_after_ms / 1_000, retry_after_ms % 1_000);
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}

/// An answer without a promise, or one to a request that is wrong.
pub(crate) fn plain(status: StatusCode, text: &str) -> Response<Outgoing> {
    let mut response = Response::new(Outgoing::whole(Bytes::from(format!("{text}\n"))));
    *response.status_mut() = status;
    let text_type = HeaderValue::from_static("text/plain");
    response.headers_mut().insert(header::CONTENT_TYPE, text_type);
    response
}

/// Names the request in an answer.
pub(crate) fn naming(mut response: Response<Outgoing>, id: Option<&str>) -> Response<Outgoing> {
    if let Some(id) = id {
        headers::insert_request_id(response.headers_mut(), id);
    }
    response
}
