//! Small reads from instances' admin ports.

use std::{net::SocketAddr, time::Duration};

use displaydoc::Display;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Bytes;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::Value;

/// The dump of a big router stays well below.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Why an instance's admin port gave no answer.
#[derive(Debug, Display)]
#[non_exhaustive]
pub enum AdminError {
    /// no answer within {timeout_ms} ms
    Timeout {
        /// The time that was given.
        timeout_ms: u64,
    },
    /// no connection: {message}
    Connection {
        /// What the connection said.
        message: String,
    },
    /// the answer has status {status}
    Status {
        /// The HTTP status.
        status: u16,
    },
    /// the answer is no JSON: {message}
    Malformed {
        /// What the parser said.
        message: String,
    },
}

impl std::error::Error for AdminError {}

/// The state of the instance behind an admin port.
pub(crate) async fn dump(admin: SocketAddr, timeout_ms: u64) -> Result<Value, AdminError> {
    let answer = tokio::time::timeout(Duration::from_millis(timeout_ms), get(admin, "/dump"));
    let bytes = answer.await.map_err(|_| AdminError::Timeout { timeout_ms })??;
    serde_json::from_slice(&bytes)
        .map_err(|error| AdminError::Malformed { message: error.to_string() })
}

async fn get(address: SocketAddr, path: &str) -> Result<Bytes, AdminError> {
    let failed = |message: String| AdminError::Connection { message };
    let client: Client<HttpConnector, Empty<Bytes>> =
        Client::builder(TokioExecutor::new()).build_http();
    let uri = format!("http://{address}{path}").parse().expect("an address makes an URI");
    let response = client.get(uri).await.map_err(|error| failed(error.to_string()))?;
    let status = response.status();
    if !status.is_success() {
        return Err(AdminError::Status { status: status.as_u16() });
    }
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await;
    Ok(body.map_err(|error| failed(error.to_string()))?.to_bytes())
}
