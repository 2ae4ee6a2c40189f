//! Fetches another router's copies of the store's objects.

use std::net::SocketAddr;

use bytes::Bytes;
use displaydoc::Display;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header};
use http_body_util::Full;
use samphirespread_adapter::{Object, backend_servers};
use samphirespread_core::prelude::*;
use samphirespread_outbound::{Connection, ExchangeLimits, OpenError, SendError};
use serde_json::value::RawValue;

use crate::{
    admin::{AGE_MS, AS_OF, CONFIGURATION_PATH, ERA, HeldRevisions, LISTS_PATH, Lists, REVISION},
    fleet::ListedServer,
    packing::unpack,
};

/// Time limit for opening a connection, for the head of an answer, and between two pieces of its
/// body. A large answer takes longer as a whole on a slow link.
const SILENCE_MS: u64 = 500;
/// Time limit of the whole exchange. A configuration that takes longer does not come into force in
/// time anyhow.
const WHOLE_MS: u64 = 6_000;
/// The largest accepted answer.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// The reason why copies could not be fetched.
#[derive(Debug, Display)]
pub(crate) enum CopiesError {
    /// {0}
    NoConnection(OpenError),
    /// {0}
    NoAnswer(SendError),
    /// status {0}
    Status(StatusCode),
    /// unreadable: {0}
    Malformed(String),
}

impl std::error::Error for CopiesError {}

/// Another router's configuration.
#[derive(Debug)]
pub(crate) struct ConfigurationCopy {
    /// Time since the read that confirmed it began.
    pub(crate) age_ms: u64,
    /// The store's position at which it was written.
    pub(crate) position: StorePosition,
    /// The store's position up to which it is the newest.
    pub(crate) as_of: StorePosition,
    /// Its content, compressed; empty if the caller has it already.
    pub(crate) packed: Bytes,
    /// Its content; empty if the caller has it already.
    pub(crate) spec: Bytes,
}

/// Fetches from the router with this admin address the lists that differ from those in `held`.
/// Returns them with the size of the answer in bytes. Servers that can't be decoded are left out.
pub(crate) async fn fetch_lists(
    address: SocketAddr,
    held: HeldRevisions,
) -> Result<(Lists<ListedServer>, usize), CopiesError> {
    let held = [
        ("servers", held.servers),
        ("servers_era", Some(held.servers_era)),
        ("routers", held.routers),
    ];
    let body = fetch(address, &path(LISTS_PATH, &held)).await?.into_body();
    let lists = serde_json::from_slice::<Lists<Object<&RawValue>>>(&body);
    let lists = lists.map_err(|error| CopiesError::Malformed(error.to_string()))?;
    Ok((decoded(lists), body.len()))
}

/// Decodes the servers. Those for which that fails are dropped, with their names.
fn decoded(lists: Lists<Object<&RawValue>>) -> Lists<ListedServer> {
    let mut server_names = lists.server_names;
    let mut servers = Vec::with_capacity(lists.servers.len());
    for entry in &lists.servers {
        match backend_servers::decode(&entry.name, entry.spec.get()) {
            Ok(server) => servers.push(entry.map(|_| server)),
            Err(_) => {
                server_names.remove(&entry.name);
            }
        }
    }
    let Lists { servers_age_ms, servers_revision, servers_era, .. } = lists;
    let Lists { is_partial, routers_age_ms, routers, routers_era, .. } = lists;
    Lists {
        servers_age_ms,
        server_names,
        servers,
        servers_revision,
        servers_era,
        is_partial,
        routers_age_ms,
        routers,
        routers_era,
    }
}

/// Fetches the configuration of the router with this admin address, unless it is at the position
/// `held`.
pub(crate) async fn fetch_configuration(
    address: SocketAddr,
    held: Option<StorePosition>,
) -> Result<ConfigurationCopy, CopiesError> {
    let (era, revision) = (held.map(StorePosition::era), held.map(StorePosition::revision_in_era));
    let held = [("era", era), ("revision", revision)];
    let response = fetch(address, &path(CONFIGURATION_PATH, &held)).await?;
    let number = |name: &'static str| number_in(response.headers(), name);
    let era = if response.headers().contains_key(ERA) { number(ERA)? } else { 0 };
    let position = StorePosition::new(era, number(REVISION)?);
    let as_of = StorePosition::new(era, number(AS_OF)?);
    let age_ms = number(AGE_MS)?;
    let packed = response.into_body();
    let spec = match packed.is_empty() {
        true => Bytes::new(),
        false => {
            let unpacked = unpack(&packed).await;
            unpacked.map_err(|error| CopiesError::Malformed(error.to_string()))?
        }
    };
    Ok(ConfigurationCopy { age_ms, position, as_of, packed, spec })
}

fn number_in(headers: &HeaderMap, name: &'static str) -> Result<u64, CopiesError> {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    let number = value.and_then(|value| value.parse().ok());
    number.ok_or_else(|| CopiesError::Malformed(format!("{name} is not a whole number")))
}

async fn fetch(address: SocketAddr, path: &str) -> Result<Response<Bytes>, CopiesError> {
    let limits = ExchangeLimits { head_ms: SILENCE_MS, silence_ms: SILENCE_MS, whole_ms: WHOLE_MS };
    let mut request = Request::new(Full::new(Bytes::new()));
    *request.uri_mut() =
        path.parse().map_err(|_| CopiesError::Malformed(format!("path {path}")))?;
    if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
        request.headers_mut().insert(header::HOST, host);
    }
    let connection = Connection::open(address, SILENCE_MS).await;
    let mut connection = connection.map_err(CopiesError::NoConnection)?;
    let response = connection.exchange_within(request, MAX_ANSWER_BYTES, limits).await;
    let response = response.map_err(CopiesError::NoAnswer)?;
    match response.status() {
        StatusCode::OK => Ok(response),
        other => Err(CopiesError::Status(other)),
    }
}

fn path(path: &str, held: &[(&str, Option<u64>)]) -> String {
    let known = held.iter().filter_map(|(name, value)| Some(format!("{name}={}", (*value)?)));
    format!("{path}?{}", known.collect::<Vec<_>>().join("&"))
}
