//! Errors that callers receive, all in one JSON format.

use axum::{
    Json,
    response::{IntoResponse, Response},
};
use http::{HeaderValue, StatusCode, header};
use samphirespread_core::prelude::*;
use samphirespread_dispatch::{GiveUpReason, Outcome};
use serde::Serialize;

use crate::limits::Refusal;

const MS_PER_S: u64 = 1_000;
const DRAINING_MESSAGE: &str = "this instance is leaving; another one will take the request";

/// An error that a caller receives in place of an answer or at the end of an incomplete one.
#[derive(Clone, Debug)]
pub(crate) struct ApiError {
    pub(crate) status: StatusCode,
    pub(crate) code: &'static str,
    pub(crate) message: String,
    /// Whether it is certain that the request has not run and will not.
    pub(crate) not_run: bool,
    pub(crate) retry_after_ms: Option<u64>,
    pub(crate) request: Option<RequestId>,
}

/// The JSON format of an error.
#[derive(Debug, Serialize)]
pub(crate) struct ErrorBody<'a> {
    error: ErrorFields<'a>,
}

#[derive(Debug, Serialize)]
struct ErrorFields<'a> {
    code: &'a str,
    message: &'a str,
    not_run: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    request_id: Option<String>,
}

impl ApiError {
    /// Builds the error for a request that was refused before it ran.
    pub(crate) fn refused(
        status: StatusCode,
        code: &'static str,
        message: impl Into<String>,
    ) -> Self {
        let message = message.into();
        Self { status, code, message, not_run: true, retry_after_ms: None, request: None }
    }

    /// Sets the delay after which the caller may retry.
    #[must_use]
    pub(crate) fn retry_after_ms(mut self, ms: u64) -> Self {
        self.retry_after_ms = Some(ms);
        self
    }

    /// Sets the id of the request that failed.
    #[must_use]
    pub(crate) fn request(mut self, request: RequestId) -> Self {
        self.request = Some(request);
        self
    }

    pub(crate) fn invalid(message: impl Into<String>) -> Self {
        Self::refused(StatusCode::BAD_REQUEST, "invalid_request", message)
    }

    pub(crate) fn draining() -> Self {
        Self::refused(StatusCode::SERVICE_UNAVAILABLE, "draining", DRAINING_MESSAGE)
            .retry_after_ms(0)
    }

    /// Returns the JSON body, which is also sent as the last event of a stream that fails.
    pub(crate) fn body(&self) -> ErrorBody<'_> {
        let fields = ErrorFields {
            code: self.code,
            message: &self.message,
            not_run: self.not_run,
            retry_after_ms: self.retry_after_ms,
            request_id: self.request.map(|request| request.to_string()),
        };
        ErrorBody { error: fields }
    }

    /// Returns the error for a request that ended without a complete answer.
    ///
    /// Returns `None` if the answer is complete or the caller has disconnected.
    pub(crate) fn from_outcome(outcome: &Outcome) -> Option<Self> {
        match *outcome {
            Outcome::Complete | Outcome::Abandoned => None,
            Outcome::NotRun { reason, retry_after_ms } => {
                let (status, code, message) = describe_not_run(reason);
                Some(Self::refused(status, code, message).retry_after_ms(retry_after_ms.into()))
            }
            Outcome::Unknown => Some(Self {
                not_run: false,
                ..Self::refused(
                    StatusCode::BAD_GATEWAY,
                    "outcome_unknown",
                    "the request may have run; its answer is lost and it must not be run again",
                )
            }),
            Outcome::Interrupted { reason, retry_after_ms } => {
                let (status, code) = match reason {
                    GiveUpReason::Deadline => (StatusCode::GATEWAY_TIMEOUT, "deadline"),
                    _ => (StatusCode::BAD_GATEWAY, "interrupted"),
                };
                let message = "the answer could not be completed; the request may be sent again";
                let refused = Self::refused(status, code, message);
                Some(Self { not_run: false, ..refused.retry_after_ms(retry_after_ms.into()) })
            }
        }
    }
}

fn describe_not_run(reason: GiveUpReason) -> (StatusCode, &'static str, &'static str) {
    match reason {
        GiveUpReason::NoBackend => (
            StatusCode::SERVICE_UNAVAILABLE,
            "no_backend_server",
            "no backend server takes this request at present",
        ),
        GiveUpReason::Draining => (StatusCode::SERVICE_UNAVAILABLE, "draining", DRAINING_MESSAGE),
        GiveUpReason::Deadline => (
            StatusCode::GATEWAY_TIMEOUT,
            "deadline",
            "no backend server could begin the request in time",
        ),
        _ => (
            StatusCode::SERVICE_UNAVAILABLE,
            "busy",
            "all backend servers that were asked are busy",
        ),
    }
}

impl From<Refusal> for ApiError {
    fn from(refusal: Refusal) -> Self {
        match refusal {
            Refusal::RetryAfter { ms } => Self::refused(
                StatusCode::TOO_MANY_REQUESTS,
                "rate_limited",
                "the team's rate is used up",
            )
            .retry_after_ms(ms),
            Refusal::ExceedsReach { reach_tokens } => Self::refused(
                StatusCode::UNPROCESSABLE_ENTITY,
                "exceeds_reach",
                format!(
                    "prompt and output cap are more than the {reach_tokens} tokens of the team's \
                     burst that one router can gather, so the request can never be admitted"
                ),
            ),
            Refusal::ExceedsBurst { burst_tokens } => Self::refused(
                StatusCode::UNPROCESSABLE_ENTITY,
                "exceeds_burst",
                format!(
                    "prompt and output cap are more than the team's burst of {burst_tokens} \
                     tokens, so the request can never be admitted"
                ),
            ),
        }
    }
}

impl IntoResponse for ApiError {
    fn into_response(self) -> Response {
        let mut response = (self.status, Json(self.body())).into_response();
        let headers = response.headers_mut();
        if let Some(ms) = self.retry_after_ms {
            headers.insert(header::RETRY_AFTER, HeaderValue::from(ms.div_ceil(MS_PER_S)));
        }
        if self.not_run {
            headers.insert("x-not-run", HeaderValue::from_static("true"));
        }
        if self.status == StatusCode::UNAUTHORIZED {
            headers.insert(header::WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
        }
        response
    }
}
