//! Sends single HTTP requests to instances.

use std::{net::SocketAddr, time::Duration};

use displaydoc::Display;
use http::{Method, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Bytes;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Limit on the body of an answer. The dump of a large router stays well below it.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Reason why a request to an instance failed.
#[derive(Debug, Display)]
#[non_exhaustive]
pub enum AdminError {
    /// no answer within {timeout_ms} ms
    Timeout {
        /// The timeout of the request.
        timeout_ms: u64,
    },
    /// no connection: {message}
    Connection {
        /// The error of the HTTP client.
        message: String,
    },
    /// the answer has status {status}
    Status {
        /// The HTTP status.
        status: u16,
    },
    /// the answer is no JSON: {message}
    Malformed {
        /// The error of the JSON parser.
        message: String,
    },
}

impl std::error::Error for AdminError {}

/// Fetches the state of the instance with this admin address.
pub(crate) async fn dump(admin: SocketAddr, timeout_ms: u64) -> Result<Value, AdminError> {
    get(admin, "/dump", timeout_ms).await
}

/// Fetches a JSON value from the instance with this admin address.
pub(crate) async fn get<T: DeserializeOwned>(
    admin: SocketAddr,
    path: &str,
    timeout_ms: u64,
) -> Result<T, AdminError> {
    let request = request(Method::GET, admin, path).body(Full::default());
    let bytes = call(request.expect("an address and a path form a valid URI"), timeout_ms).await?;
    serde_json::from_slice(&bytes)
        .map_err(|error| AdminError::Malformed { message: error.to_string() })
}

/// Sends a JSON body with a caller's key and discards the body of the answer.
pub(crate) async fn post(
    callers: SocketAddr,
    path: &str,
    key: &str,
    body: &str,
    timeout_ms: u64,
) -> Result<(), AdminError> {
    let request = request(Method::POST, callers, path)
        .header(header::AUTHORIZATION, format!("Bearer {key}"))
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::from(body.to_owned()));
    call(request.expect("an address and a path form a valid URI"), timeout_ms).await.map(drop)
}

fn request(method: Method, address: SocketAddr, path: &str) -> http::request::Builder {
    http::Request::builder().method(method).uri(format!("http://{address}{path}"))
}

async fn call(request: http::Request<Full<Bytes>>, timeout_ms: u64) -> Result<Bytes, AdminError> {
    let answer = tokio::time::timeout(Duration::from_millis(timeout_ms), exchange(request));
    answer.await.map_err(|_| AdminError::Timeout { timeout_ms })?
}

async fn exchange(request: http::Request<Full<Bytes>>) -> Result<Bytes, AdminError> {
    let connection_error = |message: String| AdminError::Connection { message };
    let client: Client<HttpConnector, Full<Bytes>> =
        Client::builder(TokioExecutor::new()).build_http();
    let response =
        client.request(request).await.map_err(|error| connection_error(error.to_string()))?;
    let status = response.status();
    if !status.is_success() {
        return Err(AdminError::Status { status: status.as_u16() });
    }
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await;
    Ok(body.map_err(|error| connection_error(error.to_string()))?.to_bytes())
}
