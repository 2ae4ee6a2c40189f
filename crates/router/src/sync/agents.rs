//! Tells agents of each configuration.

use std::{collections::HashMap, sync::Arc, time::Duration};

use futures_util::future::join_all;
use samphirespread_config::Snapshot;
use samphirespread_core::prelude::*;
use samphirespread_membership::Roles;
use samphirespread_wire::{
    Connection,
    message::{ConfigSnapshot, Reply, Request},
};
use slog::debug;
use tokio::time::timeout;

use crate::state::Shared;

const TELL_TIMEOUT_MS: u64 = 1_000;

/// What an agent's run was told last.
#[derive(Clone, Debug)]
struct Told {
    run: Incarnation,
    snapshot: Arc<Snapshot>,
}

/// Tells the agents that fall to this router, at an interval and at once when there is news.
///
/// An agent that has restarted is told again, since its new run is named when it is dialled.
pub(super) async fn tell(shared: Arc<Shared>) {
    let period = Duration::from_millis(shared.settings.peers.heartbeat_ms);
    let mut told = HashMap::new();
    let (mut listed, mut addresses) = (None, Vec::new());
    loop {
        let live = shared.live_list();
        if listed != Some(live.version) {
            listed = Some(live.version);
            let agents = Roles::of(&live, shared.identity.name()).agents_to_tell();
            addresses = agents.into_iter().map(|agent| agent.address.clone()).collect();
        }
        told = tell_round(&shared, &addresses, told).await;
        // Both outcomes start the next round.
        let _ = timeout(period, shared.agent_news.notified()).await;
    }
}

/// Returns what was told to the agents that are still to be told.
async fn tell_round(
    shared: &Arc<Shared>,
    addresses: &[String],
    mut told: HashMap<String, Told>,
) -> HashMap<String, Told> {
    let present = shared.snapshot.load_full();
    if present.generation() == Generation::default() {
        return told;
    }
    let rounds = addresses.iter().map(|address| {
        let last = told.remove(address);
        tell_in_time(shared, address, Arc::clone(&present), last)
    });
    join_all(rounds.collect::<Vec<_>>()).await.into_iter().flatten().collect()
}

async fn tell_in_time(
    shared: &Arc<Shared>,
    address: &str,
    present: Arc<Snapshot>,
    last: Option<Told>,
) -> Option<(String, Told)> {
    let limit = Duration::from_millis(TELL_TIMEOUT_MS);
    let told = timeout(limit, tell_agent(shared, address, present, last)).await.ok().flatten()?;
    Some((address.to_owned(), told))
}

/// Returns `None` if the agent has to be told everything next time.
async fn tell_agent(
    shared: &Arc<Shared>,
    address: &str,
    present: Arc<Snapshot>,
    last: Option<Told>,
) -> Option<Told> {
    let connection = shared.pool.get(address).await.ok()?;
    let run = connection.peer().incarnation;
    let last = last.filter(|last| last.run == run);
    if last.as_ref().is_some_and(|last| last.snapshot.generation() >= present.generation()) {
        return last;
    }
    shared.heard_generation(connection.peer().generation);
    let previous = last.as_ref().map(|last| &*last.snapshot);
    match push(&connection, &present, previous).await? {
        Reply::Done => Some(Told { run, snapshot: present }),
        reply => {
            debug!(shared.log, "agent refuses a configuration";
                "address" => address, "reply" => ?reply);
            None
        }
    }
}

/// Sends the head and the sections that the agent lacks.
async fn push(
    connection: &Connection,
    present: &Snapshot,
    previous: Option<&Snapshot>,
) -> Option<Reply> {
    let known = |name: &str| {
        let hash = present.head().sections.get(name);
        previous.is_some_and(|previous| previous.head().sections.values().any(|h| Some(h) == hash))
    };
    let sections = present.sections().filter(|(name, _)| !known(name));
    let request = Request::PushConfig(ConfigSnapshot {
        generation: present.generation(),
        head: present.head_text().to_owned(),
        sections: sections.map(|(_, text)| text.to_owned()).collect(),
    });
    connection.call(&request).await.ok()
}
