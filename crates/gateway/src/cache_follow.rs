//! Follows the events of the stores of cached parts, which also shows whether they answer.
//!
//! One router of each failure domain does so; the others of the domain get from it what they lack.

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
use samphirespread_routing::cache::{CacheUpdate, Position};
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use tokio::{task::JoinSet, time};

use crate::{gateway::Core, state::CacheState};

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
/// With more routers than this that follow, calls don't wait: a store holds only a few that do.
const MAX_WAITING_ROUTERS: usize = 8;
/// Time between two calls to the router that follows for this domain.
const PULL_MS: u64 = 300;
/// A router that does not hand out what it has is not asked again for this long.
const PULL_PAUSE_MS: u64 = 2_000;
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
        core.state().caches_pulled_from = source(&core);
        time::sleep(Duration::from_millis(LOOK_MS)).await;
    }
}

fn stores(core: &Core) -> Vec<SocketAddr> {
    let state = core.state();
    let services = state.table.iter().flat_map(|table| &table.configuration().services);
    services.filter_map(|service| Some(service.cache_store.as_ref()?.address)).collect()
}

/// The router that follows for this domain, if that is another one.
fn source(core: &Core) -> Option<SocketAddr> {
    let now = core.now();
    let state = core.state();
    let name = state.fabric.first_relay(now).filter(|_| now >= state.pull_again)?;
    state.routers.get(name)?.admin
}

async fn follow_one(core: Arc<Core>, address: SocketAddr) {
    let mut follower = Follower { core, address, connection: None };
    loop {
        if follower.core.state().caches_pulled_from.is_some() {
            follower.connection = None;
            time::sleep(Duration::from_millis(PULL_MS)).await;
            continue;
        }
        let waits = follower.core.state().fabric.domains() < MAX_WAITING_ROUTERS;
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
    connection: Option<Connection>,
}

impl Follower {
    /// Reads the full list, or the next events.
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

    /// Where to go on; none where the full list has to be read.
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

    fn lost(&mut self, error: &FollowError) {
        let mut state = self.core.state();
        let cache = state.caches.entry(self.address).or_default();
        cache.is_to_be_listed = true;
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

/// Where the operators' calls ask for views of stores.
pub(crate) const VIEWS_PATH: &str = "/caches";

/// How far a router knows the stores, in the query of its call: `IP:PORT/EPOCH/NEXT`, separated by commas.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct Known {
    pub(crate) stores: String,
}

impl Known {
    fn new(positions: &HashMap<SocketAddr, Position>) -> Self {
        let entry =
            |(address, at): (&SocketAddr, &Position)| format!("{address}/{}/{}", at.epoch, at.next);
        Self { stores: positions.iter().map(entry).collect::<Vec<_>>().join(",") }
    }

    /// The positions. Entries that can't be read are left out, and their stores are listed in full.
    fn positions(&self) -> HashMap<SocketAddr, Position> {
        let entry = |entry: &str| {
            let mut fields = entry.split('/');
            let address = fields.next()?.parse().ok()?;
            let epoch = fields.next()?.parse().ok()?;
            Some((address, Position { epoch, next: fields.next()?.parse().ok()? }))
        };
        self.stores.split(',').filter_map(entry).collect()
    }
}

/// One router's view of a store, less what the router that asks knows already.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct View {
    address: SocketAddr,
    is_up: bool,
    /// None while nothing is known of the store.
    update: Option<(Position, CacheUpdate)>,
}

/// This router's views of all stores, for a router of its domain. None when it does not follow them itself.
pub(crate) fn views(core: &Core, known: &Known) -> Option<Vec<View>> {
    let positions = known.positions();
    let state = core.state();
    if state.caches_pulled_from.is_some() {
        return None;
    }
    let view = |(address, cache): (&SocketAddr, &CacheState)| View {
        address: *address,
        is_up: cache.is_up,
        update: cache.contents.update_from(positions.get(address).copied()),
    };
    Some(state.caches.iter().map(view).collect())
}

/// Gets from the router that follows for this domain what this one lacks, for as long as the process runs.
pub(crate) async fn pull(core: Arc<Core>) {
    let mut puller = Puller { core, connection: None };
    loop {
        time::sleep(Duration::from_millis(PULL_MS)).await;
        let Some(address) = puller.core.state().caches_pulled_from else {
            puller.connection = None;
            continue;
        };
        let limit = Duration::from_millis(TIMEOUT_MS);
        let outcome = time::timeout(limit, puller.step(address)).await;
        if let Err(error) = outcome.unwrap_or(Err(FollowError::Silent)) {
            info!(puller.core.log, "{}", event::VIEWS_NOT_HAD; "router" => %address, "error" => %error);
            let now = puller.core.now();
            let mut state = puller.core.state();
            state.pull_again = now.plus_ms(PULL_PAUSE_MS);
            state.caches_pulled_from = None;
        }
    }
}

struct Puller {
    core: Arc<Core>,
    /// The router that is asked, and the connection to it.
    connection: Option<(SocketAddr, Connection)>,
}

impl Puller {
    async fn step(&mut self, address: SocketAddr) -> Result<(), FollowError> {
        let rested = self.connection.take();
        let rested = rested.filter(|(to, connection)| *to == address && connection.is_reusable());
        let mut connection = match rested {
            Some((_, connection)) => connection,
            None => Connection::open(address, OPEN_TIMEOUT_MS)
                .await
                .map_err(|error| FollowError::failed(&error))?,
        };
        let request = Request::get(format!("{VIEWS_PATH}?stores={}", self.known().stores))
            .header(header::HOST, address.to_string())
            .body(Full::new(Bytes::new()))
            .map_err(|error| FollowError::failed(&error))?;
        let (status, body) = connection
            .exchange(request, MAX_ANSWER_BYTES)
            .await
            .map_err(|error| FollowError::failed(&error))?;
        if status != StatusCode::OK {
            return Err(FollowError::Failed(format!("status {}", status.as_u16())));
        }
        let views: Vec<View> =
            serde_json::from_slice(&body).map_err(|error| FollowError::failed(&error))?;
        self.connection = Some((address, connection));
        self.take(views);
        Ok(())
    }

    fn known(&self) -> Known {
        let state = self.core.state();
        let positions = state.caches.iter();
        Known::new(
            &positions.filter_map(|(to, cache)| Some((*to, cache.contents.position()?))).collect(),
        )
    }

    fn take(&self, views: Vec<View>) {
        let mut state = self.core.state();
        for view in views {
            let cache = state.caches.entry(view.address).or_default();
            if std::mem::replace(&mut cache.is_up, view.is_up) && !view.is_up {
                warn!(self.core.log, "{}", event::CACHE_LOST; "store" => %view.address,
                    "error" => "told by the router that follows it");
            }
            if let Some((to, update)) = view.update {
                cache.contents.take(to, update);
                cache.is_to_be_listed = false;
            }
        }
    }
}
