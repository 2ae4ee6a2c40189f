//! Follows the events of the store of cached parts, which also shows whether it answers.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use samphirespread_adapter::{
    cache_events::{self, WAIT_HEADER},
    paths,
};
use samphirespread_outbound::Connection;
use samphirespread_routing::model::CacheStore;
use slog::{info, warn};
use tokio::time;

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
/// The largest answer.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Follows the store that the configuration names, for as long as the process runs.
pub(crate) async fn follow(core: Arc<Core>) {
    let mut follower = Follower { core, position: None, connection: None };
    loop {
        let Some(store) = store(&follower.core) else {
            time::sleep(Duration::from_millis(PAUSE_MS)).await;
            continue;
        };
        let limit = Duration::from_millis(OPEN_TIMEOUT_MS + WAIT_MS + TIMEOUT_MS);
        let outcome = time::timeout(limit, follower.step(&store)).await;
        let pause_ms = match outcome.unwrap_or_else(|_| Err("no answer in time".to_owned())) {
            Ok(()) => GATHER_MS,
            Err(error) => {
                follower.lost(&error);
                PAUSE_MS
            }
        };
        time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

struct Follower {
    core: Arc<Core>,
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
    async fn step(&mut self, store: &CacheStore) -> Result<(), String> {
        let Some(position) = self.position else {
            return self.list(store).await;
        };
        let body = self.call(store, &paths::cache_events(position.next)).await?;
        let events = cache_events::decode(&body).map_err(|error| error.to_string())?;
        if events.epoch != position.epoch || events.has_gap {
            info!(self.core.log, "cache store to be listed"; "epoch" => events.epoch,
                "epoch_before" => position.epoch, "has_gap" => events.has_gap);
            self.position = None;
            return Ok(());
        }
        self.position = Some(Position { epoch: events.epoch, next: events.next });
        self.core.state().cache.apply(events.epoch, events.events);
        Ok(())
    }

    async fn list(&mut self, store: &CacheStore) -> Result<(), String> {
        let body = self.call(store, paths::CACHE_LIST).await?;
        let list = cache_events::decode_list(&body).map_err(|error| error.to_string())?;
        info!(self.core.log, "cache store reached"; "epoch" => list.epoch, "next" => list.next,
            "parts" => list.held.len());
        self.position = Some(Position { epoch: list.epoch, next: list.next });
        let mut state = self.core.state();
        state.cache.replace(list.epoch, list.held);
        state.cache_is_up = true;
        Ok(())
    }

    fn lost(&mut self, error: &str) {
        self.position = None;
        let mut state = self.core.state();
        if std::mem::replace(&mut state.cache_is_up, false) {
            warn!(self.core.log, "cache store lost"; "error" => error);
        }
    }

    async fn call(&mut self, store: &CacheStore, path: &str) -> Result<Bytes, String> {
        // Taken out, so that a call that is given up takes its connection with it.
        let mut connection = match self.connection.take().filter(Connection::is_reusable) {
            Some(connection) => connection,
            None => Connection::open(store.address, OPEN_TIMEOUT_MS)
                .await
                .map_err(|error| error.to_string())?,
        };
        let request = Request::get(path)
            .header(header::HOST, store.address.to_string())
            .header(WAIT_HEADER, WAIT_MS)
            .body(Full::new(Bytes::new()))
            .map_err(|error| error.to_string())?;
        let response = connection.send(request).await.map_err(|error| error.to_string())?;
        if response.status() != StatusCode::OK {
            return Err(format!("status {}", response.status().as_u16()));
        }
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES)
            .collect()
            .await
            .map_err(|error| error.to_string())?
            .to_bytes();
        self.connection = Some(connection);
        Ok(body)
    }
}

fn store(core: &Core) -> Option<CacheStore> {
    let state = core.state();
    let services = &state.table.as_ref()?.configuration().services;
    services.iter().find_map(|service| service.cache_store.clone())
}
