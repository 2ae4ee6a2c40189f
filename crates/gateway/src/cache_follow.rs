//! Follows the events of the store of cached parts, which also shows whether it answers.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use samphirespread_adapter::{
    cache_events::{self, CacheEvents, WAIT_HEADER},
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
    let mut since = 0;
    let mut epoch = None;
    let mut connection = None;
    loop {
        let Some(store) = store(&core) else {
            time::sleep(Duration::from_millis(PAUSE_MS)).await;
            continue;
        };
        let call = call(&store, since, connection.take());
        let limit = Duration::from_millis(OPEN_TIMEOUT_MS + WAIT_MS + TIMEOUT_MS);
        let outcome = match time::timeout(limit, call).await {
            Ok(outcome) => outcome,
            Err(_) => Err("no answer in time".to_owned()),
        };
        match outcome {
            Ok((events, kept)) => {
                if epoch.is_some() && epoch != Some(events.epoch) && since != 0 {
                    // The numbers of an earlier run say nothing about this one.
                    info!(core.log, "cache store restarted"; "epoch" => events.epoch);
                    since = 0;
                    epoch = Some(events.epoch);
                    core.state().cache.clear();
                    continue;
                }
                epoch = Some(events.epoch);
                since = events.next;
                connection = Some(kept);
                take_in(&core, events);
                time::sleep(Duration::from_millis(GATHER_MS)).await;
            }
            Err(error) => {
                lost(&core, &error);
                time::sleep(Duration::from_millis(PAUSE_MS)).await;
            }
        }
    }
}

fn store(core: &Core) -> Option<CacheStore> {
    let state = core.state();
    let services = &state.table.as_ref()?.configuration().services;
    services.iter().find_map(|service| service.cache_store.clone())
}

fn take_in(core: &Core, events: CacheEvents) {
    let mut state = core.state();
    if !std::mem::replace(&mut state.cache_is_up, true) {
        info!(core.log, "cache store reached"; "epoch" => events.epoch, "next" => events.next);
    }
    if events.has_gap {
        info!(core.log, "cache store events lost"; "next" => events.next);
    }
    state.cache.apply(events.epoch, events.events);
}

fn lost(core: &Core, error: &str) {
    let mut state = core.state();
    if std::mem::replace(&mut state.cache_is_up, false) {
        warn!(core.log, "cache store lost"; "error" => error);
    }
}

async fn call(
    store: &CacheStore,
    since: u64,
    kept: Option<Connection>,
) -> Result<(CacheEvents, Connection), String> {
    let mut connection = match kept.filter(Connection::is_reusable) {
        Some(connection) => connection,
        None => Connection::open(store.address, OPEN_TIMEOUT_MS)
            .await
            .map_err(|error| error.to_string())?,
    };
    let request = Request::get(paths::cache_events(since))
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
    let events = cache_events::decode(&body).map_err(|error| error.to_string())?;
    Ok((events, connection))
}
