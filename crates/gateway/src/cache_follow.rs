//! Follows the events of the stores of cached prompt parts, which also shows whether the stores
//! answer.
//!
//! One router of each failure domain does so. The others of the domain fetch its view of the
//! stores.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use displaydoc::Display;
use http::{Request, StatusCode, header};
use http_body_util::Full;
use samphirespread_adapter::{
    cache_events::{self, WAIT_HEADER},
    paths,
};
use samphirespread_logging::event;
use samphirespread_outbound::{CallLimits, KeptConnection, Repeatability};
use samphirespread_routing::cache::Position;
use slog::{info, warn};
use tokio::{task::JoinSet, time};

use crate::{cache_pull::PULL_INTERVAL_MS, gateway::Core};

/// How long a call asks the store to wait for events.
const EVENTS_WAIT_MS: u64 = 1_000;
/// A call fails if it has no answer this long after the time for which it asked the store to wait.
pub(crate) const ANSWER_TIMEOUT_MS: u64 = 500;
/// Time limit for opening a connection.
const OPEN_TIMEOUT_MS: u64 = 300;
/// Pause after a failed call.
const RETRY_PAUSE_MS: u64 = 300;
/// Pause between two calls that wait for events, so that one answer has several events.
const EVENTS_PAUSE_MS: u64 = 150;
/// Calls wait for events only if fewer routers than this follow the stores, since a store accepts
/// only a few waiting calls.
const WAITING_ROUTERS_LIMIT: usize = 8;
/// Pause between two calls that don't wait.
const POLL_PAUSE_MS: u64 = 700;
/// Time between two checks of the configuration for added and removed stores.
const CHECK_INTERVAL_MS: u64 = 500;
/// The largest accepted answer.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Follows the stores that the configuration names, for as long as the process runs.
pub(crate) async fn follow_stores(core: Arc<Core>) {
    let mut followed = HashMap::new();
    loop {
        let stores = configured_stores(&core);
        followed.retain(|address, _| stores.contains(address));
        for address in stores {
            followed.entry(address).or_insert_with(|| {
                let mut tasks = JoinSet::new();
                tasks.spawn(follow_one(core.clone(), address));
                tasks
            });
        }
        core.state().caches.retain(|address, _| followed.contains_key(address));
        core.state().caches_pulled_from = following_router(&core);
        time::sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
    }
}

fn configured_stores(core: &Core) -> Vec<SocketAddr> {
    let state = core.state();
    let services = state.table.iter().flat_map(|table| &table.configuration().services);
    services.filter_map(|service| Some(service.cache_store.as_ref()?.address)).collect()
}

/// Returns the admin address of the router that follows the stores for this domain, if that is
/// another one.
fn following_router(core: &Core) -> Option<SocketAddr> {
    let now = core.now();
    let state = core.state();
    let name = state.fabric.first_relay(now).filter(|_| now >= state.pull_again)?;
    state.routers.get(name)?.admin
}

async fn follow_one(core: Arc<Core>, address: SocketAddr) {
    let mut follower = StoreFollower { core, address, connection: KeptConnection::new(address) };
    loop {
        if follower.core.state().caches_pulled_from.is_some() {
            follower.connection = KeptConnection::new(address);
            time::sleep(Duration::from_millis(PULL_INTERVAL_MS)).await;
            continue;
        }
        let waits = follower.core.state().fabric.domain_count() < WAITING_ROUTERS_LIMIT;
        let limit = Duration::from_millis(OPEN_TIMEOUT_MS + EVENTS_WAIT_MS + ANSWER_TIMEOUT_MS);
        let outcome = time::timeout(limit, follower.step(waits)).await;
        let pause_ms = match outcome.unwrap_or(Err(FollowError::Silent)) {
            Ok(()) if waits => EVENTS_PAUSE_MS,
            // The store answers; if it refused the call, it has too many waiting calls of other
            // routers.
            Ok(()) | Err(FollowError::TooMany) => POLL_PAUSE_MS,
            Err(error) => {
                follower.mark_lost(&error);
                RETRY_PAUSE_MS
            }
        };
        time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// A call that failed.
#[derive(Debug, Display)]
pub(crate) enum FollowError {
    /// no answer in time
    Silent,
    /// too many calls wait at the store
    TooMany,
    /// {0}
    Failed(String),
}

impl FollowError {
    pub(crate) fn failed(error: &dyn std::error::Error) -> Self {
        Self::Failed(error.to_string())
    }
}

struct StoreFollower {
    core: Arc<Core>,
    address: SocketAddr,
    connection: KeptConnection,
}

impl StoreFollower {
    /// Reads the next events, or the full list if there is no position to go on from.
    async fn step(&mut self, waits: bool) -> Result<(), FollowError> {
        let Some(position) = self.position() else {
            return self.list().await;
        };
        let body = self.call(&paths::cache_events(position.next), waits).await?;
        let events = cache_events::decode(&body).map_err(|error| FollowError::failed(&error))?;
        let mut state = self.core.state();
        let cache = state.caches.entry(self.address).or_default();
        if events.epoch != position.epoch || events.has_gap {
            info!(self.core.log, "{}", event::CACHE_TO_BE_LISTED; "store" => %self.address,
                "epoch" => events.epoch, "epoch_before" => position.epoch,
                "has_gap" => events.has_gap);
            cache.is_to_be_listed = true;
            return Ok(());
        }
        cache.contents.apply(Position { epoch: events.epoch, next: events.next }, events.events);
        cache.is_up = true;
        Ok(())
    }

    /// The position of the next event. None if the full list has to be read.
    fn position(&self) -> Option<Position> {
        let state = self.core.state();
        let cache = state.caches.get(&self.address).filter(|cache| !cache.is_to_be_listed)?;
        cache.contents.position()
    }

    async fn list(&mut self) -> Result<(), FollowError> {
        let body = self.call(paths::CACHE_LIST, false).await?;
        let list = cache_events::decode_list(&body).map_err(|error| FollowError::failed(&error))?;
        info!(self.core.log, "{}", event::CACHE_REACHED; "store" => %self.address,
            "epoch" => list.epoch, "next" => list.next, "parts" => list.held.len());
        let mut state = self.core.state();
        let cache = state.caches.entry(self.address).or_default();
        cache.contents.replace(Position { epoch: list.epoch, next: list.next }, list.held);
        cache.is_up = true;
        cache.is_to_be_listed = false;
        Ok(())
    }

    fn mark_lost(&mut self, error: &FollowError) {
        let mut state = self.core.state();
        let cache = state.caches.entry(self.address).or_default();
        cache.is_to_be_listed = true;
        if std::mem::replace(&mut cache.is_up, false) {
            warn!(self.core.log, "{}", event::CACHE_LOST; "store" => %self.address, "error" => %error);
        }
    }

    async fn call(&mut self, path: &str, waits: bool) -> Result<Bytes, FollowError> {
        let wait_ms = if waits { EVENTS_WAIT_MS } else { 0 };
        let (status, body) = get(&mut self.connection, path, wait_ms).await?;
        match status {
            StatusCode::OK => Ok(body),
            StatusCode::TOO_MANY_REQUESTS => Err(FollowError::TooMany),
            other => Err(FollowError::Failed(format!("status {}", other.as_u16()))),
        }
    }
}

/// Makes a call that asks the server to wait for that long.
pub(crate) async fn get(
    connection: &mut KeptConnection,
    path: &str,
    wait_ms: u64,
) -> Result<(StatusCode, Bytes), FollowError> {
    let request = Request::get(path)
        .header(header::HOST, connection.address().to_string())
        .header(WAIT_HEADER, wait_ms)
        .body(Full::new(Bytes::new()))
        .map_err(|error| FollowError::failed(&error))?;
    let limits = CallLimits { open_ms: OPEN_TIMEOUT_MS, max_bytes: MAX_ANSWER_BYTES };
    let response = connection.call(request, Repeatability::Repeatable, limits).await;
    response.map_err(|error| FollowError::failed(&error))
}
