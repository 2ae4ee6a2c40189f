//! Fetches another router's copies of the store's objects.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use displaydoc::Display;
use http::{Request, StatusCode, header};
use http_body_util::Full;
use samphirespread_outbound::Connection;
use tokio::time;

use crate::admin::{COPIES_PATH, Copies, HeldRevisions};

/// Time limit of the whole exchange.
const TIMEOUT_MS: u64 = 500;
/// The largest accepted answer.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// The reason why copies could not be fetched.
#[derive(Debug, Display)]
pub(crate) enum CopiesError {
    /// no answer within {timeout_ms} ms
    Silent {
        /// The time limit.
        timeout_ms: u64,
    },
    /// {0}
    Failed(String),
}

impl std::error::Error for CopiesError {}

/// Fetches from the router with this admin address the copies that differ from those in `held`.
/// Returns them with the size of the answer in bytes.
pub(crate) async fn fetch(
    address: SocketAddr,
    held: HeldRevisions,
) -> Result<(Copies, usize), CopiesError> {
    time::timeout(Duration::from_millis(TIMEOUT_MS), exchange(address, held))
        .await
        .map_err(|_| CopiesError::Silent { timeout_ms: TIMEOUT_MS })?
        .map_err(CopiesError::Failed)
}

async fn exchange(address: SocketAddr, held: HeldRevisions) -> Result<(Copies, usize), String> {
    let mut connection =
        Connection::open(address, TIMEOUT_MS).await.map_err(|error| error.to_string())?;
    let request = Request::get(path(held))
        .header(header::HOST, address.to_string())
        .body(Full::new(Bytes::new()))
        .map_err(|error| error.to_string())?;
    let (status, body) =
        connection.exchange(request, MAX_ANSWER_BYTES).await.map_err(|error| error.to_string())?;
    if status != StatusCode::OK {
        return Err(format!("status {}", status.as_u16()));
    }
    let copies = serde_json::from_slice(&body).map_err(|error| error.to_string())?;
    Ok((copies, body.len()))
}

fn path(held: HeldRevisions) -> String {
    let fields = [
        ("configuration", held.configuration),
        ("servers", held.servers),
        ("routers", held.routers),
    ];
    let known = fields.into_iter().filter_map(|(name, value)| Some(format!("{name}={}", value?)));
    format!("{COPIES_PATH}?{}", known.collect::<Vec<_>>().join("&"))
}
