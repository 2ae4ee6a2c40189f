//! Fetches another router's copies of the store's objects.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use displaydoc::Display;
use http::{Request, StatusCode, header};
use http_body_util::Full;
use samphirespread_outbound::Connection;
use serde::de::DeserializeOwned;
use tokio::time;

use crate::admin::{CONFIGURATION_PATH, ConfigurationCopy, HeldRevisions, LISTS_PATH, Lists};

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

/// Fetches from the router with this admin address the lists that differ from those in `held`.
/// Returns them with the size of the answer in bytes.
pub(crate) async fn fetch_lists(
    address: SocketAddr,
    held: HeldRevisions,
) -> Result<(Lists, usize), CopiesError> {
    fetch(address, &path(LISTS_PATH, &[("servers", held.servers), ("routers", held.routers)])).await
}

/// Fetches the configuration of the router with this admin address, unless it is at the revision
/// `held`. Returns it with the size of the answer in bytes.
pub(crate) async fn fetch_configuration(
    address: SocketAddr,
    held: Option<u64>,
) -> Result<(ConfigurationCopy, usize), CopiesError> {
    fetch(address, &path(CONFIGURATION_PATH, &[("revision", held)])).await
}

async fn fetch<T: DeserializeOwned>(
    address: SocketAddr,
    path: &str,
) -> Result<(T, usize), CopiesError> {
    time::timeout(Duration::from_millis(TIMEOUT_MS), exchange(address, path))
        .await
        .map_err(|_| CopiesError::Silent { timeout_ms: TIMEOUT_MS })?
        .map_err(CopiesError::Failed)
}

async fn exchange<T: DeserializeOwned>(
    address: SocketAddr,
    path: &str,
) -> Result<(T, usize), String> {
    let mut connection =
        Connection::open(address, TIMEOUT_MS).await.map_err(|error| error.to_string())?;
    let request = Request::get(path)
        .header(header::HOST, address.to_string())
        .body(Full::new(Bytes::new()))
        .map_err(|error| error.to_string())?;
    let (status, body) =
        connection.exchange(request, MAX_ANSWER_BYTES).await.map_err(|error| error.to_string())?;
    if status != StatusCode::OK {
        return Err(format!("status {}", status.as_u16()));
    }
    let copy = serde_json::from_slice(&body).map_err(|error| error.to_string())?;
    Ok((copy, body.len()))
}

fn path(path: &str, held: &[(&str, Option<u64>)]) -> String {
    let known = held.iter().filter_map(|(name, value)| Some(format!("{name}={}", (*value)?)));
    format!("{path}?{}", known.collect::<Vec<_>>().join("&"))
}
