//! Follows the events of the stores of cached parts, which also shows whether they answer.

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
use samphirespread_outbound::Connection;
use slog::{info, warn};
use tokio::{task::JoinSet, time};

use crate::gateway::Core;

/// How long a call waits for events.
const WAIT_MS: u64 = 1_000;
/// A call without an answer for this long beyond its wait is lost.
const TIMEOUT_MS: u64 = 500;
/// Time to open a connection.
const OPEN_TIMEOUT_MS: u64 = 300;
/// Pause after a failed call.
const PAUSE_MS: u64 = 300;
/// Pause between two calls, which lets events gather.
const GATHER_MS: u64 = 150;
/// With more routers than this, calls don't wait: a store holds only a few that do.
const MAX_WAITING_ROUTERS: usize = 8;
/// Pause between two calls that don't wait.
const POLL_MS: u64 = 700;
/// Time between two looks at the configuration for other stores.
const LOOK_MS: u64 = 500;
/// The largest answer.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Follows the stores that the configuration names, for as long as the process runs.
pub(crate) async fn follow(core: Arc<Core>) {
    let mut followed = HashMap::new();
    loop {
        let stores = stores(&core);
        followed.retain(|address, _| stores.contains(address));
        for address in stores {
            followed.entry(address).or_insert_with(|| {
                let mut tasks = JoinSet::new();
                tasks.spawn(follow_one(core.clone(), address));
                tasks
            });
        }
        core.state().caches.retain(|address, _| followed.contains_key(address));
        time::sleep(Duration::from_millis(LOOK_MS)).await;
    }
}

fn stores(core: &Core) -> Vec<SocketAddr> {
    let state = core.state();
    let services = state.table.iter().flat_map(|table| &table.configuration().services);
    services.filter_map(|service| Some(service.cache_store.as_ref()?.address)).collect()
}

async fn follow_one(core: Arc<Core>, address: SocketAddr) {
    let mut follower = Follower { core, address, position: None, connection: None };
    loop {
        let waits = follower.core.state().routers.len() < MAX_WAITING_ROUTERS;
        let limit = Duration::from_millis(OPEN_TIMEOUT_MS + WAIT_MS + TIMEOUT_MS);
        let outcome = time::timeout(limit, follower.step(waits)).await;
        let pause_ms = match outcome.unwrap_or(Err(FollowError::Silent)) {
            Ok(()) if waits => GATHER_MS,
            // The store answers, and others take what it can hold.
            Ok(()) | Err(FollowError::TooMany) => POLL_MS,
            Err(error) => {
                follower.lost(&error);
                PAUSE_MS
            }
        };
        time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// A call that failed.
#[derive(Debug, Display)]
enum FollowError {
    /// no answer in time
    Silent,
    /// too many calls wait at the store
    TooMany,
    /// {0}
    Failed(String),
}

impl FollowError {
    fn failed(error: &dyn std::error::Error) -> Self {
        Self::Failed(error.to_string())
    }
}

struct Follower {
    core: Arc<Core>,
    address: SocketAddr,
    /// Where to go on, once the full list was read.
    position: Option<Position>,
    connection: Option<Connection>,
}

#[derive(Clone, Copy)]
struct Position {
    epoch: u64,
    next: u64,
}

impl Follower {
    /// Reads the full list, or the next events.
    async fn step(&mut self, waits: bool) -> Result<(), FollowError> {
        let Some(position) = self.position else {
            return self.list().await;
        };
        let body = self.call(&paths::cache_events(position.next), waits).await?;
        let events = cache_events::decode(&body).map_err(|error| FollowError::failed(&error))?;
        if events.epoch != position.epoch || events.has_gap {
            info!(self.core.log, "{}", event::CACHE_TO_BE_LISTED; "store" => %self.address,
                "epoch" => events.epoch, "epoch_before" => position.epoch,
                "has_gap" => events.has_gap);
            self.position = None;
            return Ok(());
        }
        self.position = Some(Position { epoch: events.epoch, next: events.next });
        let mut state = self.core.state();
        let cache = state.caches.entry(self.address).or_default();
        cache.contents.apply(events.epoch, events.events);
        Ok(())
    }

    async fn list(&mut self) -> Result<(), FollowError> {
        let body = self.call(paths::CACHE_LIST, false).await?;
        let list = cache_events::decode_list(&body).map_err(|error| FollowError::failed(&error))?;
        info!(self.core.log, "{}", event::CACHE_REACHED; "store" => %self.address,
            "epoch" => list.epoch, "next" => list.next, "parts" => list.held.len());
        self.position = Some(Position { epoch: list.epoch, next: list.next });
        let mut state = self.core.state();
        let cache = state.caches.entry(self.address).or_default();
        cache.contents.replace(list.epoch, list.held);
        cache.is_up = true;
        Ok(())
    }

    fn lost(&mut self, error: &FollowError) {
        self.position = None;
        let mut state = self.core.state();
        let cache = state.caches.entry(self.address).or_default();
        if std::mem::replace(&mut cache.is_up, false) {
            warn!(self.core.log, "{}", event::CACHE_LOST; "store" => %self.address, "error" => %error);
        }
    }

    async fn call(&mut self, path: &str, waits: bool) -> Result<Bytes, FollowError> {
        // Taken out, so that a call that is given up takes its connection with it.
        let mut connection = match self.connection.take().filter(Connection::is_reusable) {
            Some(connection) => connection,
            None => Connection::open(self.address, OPEN_TIMEOUT_MS)
                .await
                .map_err(|error| FollowError::failed(&error))?,
        };
        let wait_ms = if waits { WAIT_MS } else { 0 };
        let request = Request::get(path)
            .header(header::HOST, self.address.to_string())
            .header(WAIT_HEADER, wait_ms)
            .body(Full::new(Bytes::new()))
            .map_err(|error| FollowError::failed(&error))?;
        let (status, body) = connection
            .exchange(request, MAX_ANSWER_BYTES)
            .await
            .map_err(|error| FollowError::failed(&error))?;
        self.connection = Some(connection);
        match status {
            StatusCode::OK => Ok(body),
            StatusCode::TOO_MANY_REQUESTS => Err(FollowError::TooMany),
            other => Err(FollowError::Failed(format!("status {}", other.as_u16()))),
        }
    }
}
