//! Shares views of the stores of cached prompt parts within a failure domain.
//!
//! One router of the domain follows the stores' events. The others fetch its views.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use http::StatusCode;
use samphirespread_logging::event;
use samphirespread_outbound::KeptConnection;
use samphirespread_routing::cache::{CacheUpdate, Position};
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use tokio::time;

use crate::{
    cache_follow::{ANSWER_TIMEOUT_MS, FollowError, get},
    gateway::Core,
    state::CacheState,
};

/// Time between two calls to the router that follows the stores for this domain.
pub(crate) const PULL_INTERVAL_MS: u64 = 300;
/// After a failed call, this router follows the stores itself for this long.
const FAILED_PULL_PAUSE_MS: u64 = 2_000;

/// The path where a router serves its views.
pub(crate) const VIEWS_PATH: &str = "/caches";

/// The positions up to which a router knows the stores' events, in the query of its call:
/// `IP:PORT/EPOCH/NEXT`, separated by commas.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct KnownPositions {
    pub(crate) stores: String,
}

impl KnownPositions {
    fn new(positions: &HashMap<SocketAddr, Position>) -> Self {
        let entry =
            |(address, at): (&SocketAddr, &Position)| format!("{address}/{}/{}", at.epoch, at.next);
        Self { stores: positions.iter().map(entry).collect::<Vec<_>>().join(",") }
    }

    /// Parses the positions. Leaves out invalid entries, whose stores the answer then contains in
    /// full.
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

/// What one router knows of a store, without what the router that asks knows already.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct View {
    address: SocketAddr,
    is_up: bool,
    /// None while nothing is known of the store.
    update: Option<(Position, CacheUpdate)>,
}

/// Returns this router's views of all stores, for a router of its domain. None if it doesn't follow
/// the stores itself.
pub(crate) fn views(core: &Core, known: &KnownPositions) -> Option<Vec<View>> {
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

/// Fetches views from the router that follows the stores for this domain, while that is another
/// one, for as long as the process runs.
pub(crate) async fn pull_views(core: Arc<Core>) {
    let mut puller = Puller { core, connection: None };
    loop {
        time::sleep(Duration::from_millis(PULL_INTERVAL_MS)).await;
        let Some(address) = puller.core.state().caches_pulled_from else {
            puller.connection = None;
            continue;
        };
        let limit = Duration::from_millis(ANSWER_TIMEOUT_MS);
        let outcome = time::timeout(limit, puller.step(address)).await;
        if let Err(error) = outcome.unwrap_or(Err(FollowError::Silent)) {
            info!(puller.core.log, "{}", event::VIEWS_NOT_HAD; "router" => %address, "error" => %error);
            let now = puller.core.now();
            let mut state = puller.core.state();
            state.pull_again = now.plus_ms(FAILED_PULL_PAUSE_MS);
            state.caches_pulled_from = None;
        }
    }
}

struct Puller {
    core: Arc<Core>,
    /// A connection to the router that follows the stores.
    connection: Option<KeptConnection>,
}

impl Puller {
    async fn step(&mut self, address: SocketAddr) -> Result<(), FollowError> {
        let path = format!("{VIEWS_PATH}?stores={}", self.known().stores);
        let kept = self.connection.take().filter(|kept| kept.address() == address);
        let connection =
            self.connection.insert(kept.unwrap_or_else(|| KeptConnection::new(address)));
        let (status, body) = get(connection, &path, 0).await?;
        if status != StatusCode::OK {
            return Err(FollowError::Failed(format!("status {}", status.as_u16())));
        }
        let views: Vec<View> =
            serde_json::from_slice(&body).map_err(|error| FollowError::failed(&error))?;
        self.apply_views(views);
        Ok(())
    }

    fn known(&self) -> KnownPositions {
        let state = self.core.state();
        let positions = state.caches.iter();
        KnownPositions::new(
            &positions.filter_map(|(to, cache)| Some((*to, cache.contents.position()?))).collect(),
        )
    }

    fn apply_views(&self, views: Vec<View>) {
        let mut state = self.core.state();
        for view in views {
            let cache = state.caches.entry(view.address).or_default();
            if std::mem::replace(&mut cache.is_up, view.is_up) && !view.is_up {
                warn!(self.core.log, "{}", event::CACHE_LOST; "store" => %view.address,
                    "error" => "reported by the router that follows it");
            }
            if let Some((to, update)) = view.update {
                cache.contents.apply_update(to, update);
                cache.is_to_be_listed = false;
            }
        }
    }
}
