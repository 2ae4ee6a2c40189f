//! Keeps the configuration and the live list up to date from the platform and from peers, and
//! sends configurations to agents.

mod agents;
mod peers;
mod platform;
mod store;

use std::{sync::Arc, time::Duration};

use tokio::{task::JoinSet, time::sleep};
use tokio_util::sync::CancellationToken;

use crate::state::Shared;

// A new connection costs about a round trip and 438 bytes, an idle one 22 KB of memory. At the
// target size, closing after two minutes would spend twice the byte budget for control traffic on
// new connections; with ten minutes, the idle connections fit into the memory.
const IDLE_CONNECTION_TIMEOUT_MS: u64 = 600_000;

pub(crate) use self::peers::{config_reply, live_reply};

/// Starts the tasks of this module, which run until `shutdown` is cancelled.
pub(crate) fn spawn(shared: &Arc<Shared>, tasks: &mut JoinSet<()>, shutdown: &CancellationToken) {
    spawn_until(tasks, shutdown, platform::follow_head(Arc::clone(shared)));
    spawn_until(tasks, shutdown, platform::follow_live_list(Arc::clone(shared)));
    spawn_until(tasks, shutdown, peers::sync_with_peers(Arc::clone(shared)));
    spawn_until(tasks, shutdown, close_idle_connections(Arc::clone(shared)));
    spawn_until(tasks, shutdown, agents::send_configs(Arc::clone(shared)));
}

fn spawn_until<F>(tasks: &mut JoinSet<()>, shutdown: &CancellationToken, work: F)
where
    F: Future<Output = ()> + Send + 'static,
{
    let shutdown = shutdown.clone();
    tasks.spawn(async move {
        tokio::select! {
            () = work => {}
            () = shutdown.cancelled() => {}
        }
    });
}

async fn close_idle_connections(shared: Arc<Shared>) {
    loop {
        sleep_ms(IDLE_CONNECTION_TIMEOUT_MS / 4).await;
        shared.pool.close_idle(Duration::from_millis(IDLE_CONNECTION_TIMEOUT_MS));
    }
}

async fn sleep_ms(ms: u64) {
    sleep(Duration::from_millis(ms)).await;
}
