//! Fetches another router's copies of what the store holds.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use displaydoc::Display;
use http::{Request, StatusCode, header};
use http_body_util::Full;
use samphirespread_outbound::Connection;
use tokio::time;

use crate::admin::{COPIES_PATH, Copies};

/// Time for the whole exchange.
const TIMEOUT_MS: u64 = 500;
/// The largest answer.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Why the copies were not had.
#[derive(Debug, Display)]
pub(crate) enum CopiesError {
    /// no answer within {timeout_ms} ms
    Silent {
        /// The time that was allowed.
        timeout_ms: u64,
    },
    /// {0}
    Failed(String),
}

impl std::error::Error for CopiesError {}

/// Fetches the copies of the router whose admin address this is.
pub(crate) async fn fetch(address: SocketAddr) -> Result<Copies, CopiesError> {
    time::timeout(Duration::from_millis(TIMEOUT_MS), exchange(address))
        .await
        .map_err(|_| CopiesError::Silent { timeout_ms: TIMEOUT_MS })?
        .map_err(CopiesError::Failed)
}

async fn exchange(address: SocketAddr) -> Result<Copies, String> {
    let mut connection =
        Connection::open(address, TIMEOUT_MS).await.map_err(|error| error.to_string())?;
    let request = Request::get(COPIES_PATH)
        .header(header::HOST, address.to_string())
        .body(Full::new(Bytes::new()))
        .map_err(|error| error.to_string())?;
    let (status, body) =
        connection.exchange(request, MAX_ANSWER_BYTES).await.map_err(|error| error.to_string())?;
    if status != StatusCode::OK {
        return Err(format!("status {}", status.as_u16()));
    }
    serde_json::from_slice(&body).map_err(|error| error.to_string())
}
