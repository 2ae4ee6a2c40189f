//! Tells agents of each configuration.

use std::{collections::HashMap, sync::Arc, time::Duration};

use futures_util::future::join_all;
use samphirespread_config::Snapshot;
use samphirespread_core::prelude::*;
use samphirespread_membership::Roles;
use samphirespread_platform::api::LiveInstance;
use samphirespread_wire::message::{AgentConfig, Reply, Request, WantedWeights};
use slog::debug;
use tokio::time::timeout;

use crate::state::Shared;

const TELL_TIMEOUT_MS: u64 = 1_000;

/// What an agent's run was told last.
#[derive(Clone, Copy, Debug)]
struct Told {
    run: Incarnation,
    generation: Generation,
}

/// An agent that falls to this router.
#[derive(Clone, Debug)]
struct Listener {
    address: String,
    set: Option<SetName>,
}

/// Tells the agents that fall to this router, at an interval and at once when there is news.
///
/// An agent that has restarted is told again, since its new run is named when it is dialled.
pub(super) async fn tell(shared: Arc<Shared>) {
    let period = Duration::from_millis(shared.settings.peers.heartbeat_ms);
    let mut told = HashMap::new();
    let (mut listed, mut listeners) = (None, Vec::new());
    loop {
        let live = shared.live_list();
        if listed != Some(live.version) {
            listed = Some(live.version);
            let agents = Roles::of(&live, shared.identity.name()).agents_to_notify();
            let listener = |agent: &LiveInstance| Listener {
                address: agent.address.clone(),
                set: agent.set.clone(),
            };
            listeners = agents.into_iter().map(listener).collect();
        }
        told = tell_round(&shared, &listeners, told).await;
        // Both outcomes start the next round.
        let _ = timeout(period, shared.wake_agent_sync.notified()).await;
    }
}

/// Returns what was told to the agents that are still to be told.
async fn tell_round(
    shared: &Arc<Shared>,
    listeners: &[Listener],
    mut told: HashMap<String, Told>,
) -> HashMap<String, Told> {
    let present = shared.snapshot.load_full();
    if present.generation() == Generation::default() {
        return told;
    }
    let rounds = listeners.iter().map(|listener| {
        let last = told.remove(&listener.address);
        tell_in_time(shared, listener, Arc::clone(&present), last)
    });
    join_all(rounds.collect::<Vec<_>>()).await.into_iter().flatten().collect()
}

async fn tell_in_time(
    shared: &Arc<Shared>,
    listener: &Listener,
    present: Arc<Snapshot>,
    last: Option<Told>,
) -> Option<(String, Told)> {
    let limit = Duration::from_millis(TELL_TIMEOUT_MS);
    let telling = tell_agent(shared, listener, &present, last);
    let told = timeout(limit, telling).await.ok().flatten()?;
    Some((listener.address.clone(), told))
}

/// Returns `None` if the agent has to be told again next time.
async fn tell_agent(
    shared: &Arc<Shared>,
    listener: &Listener,
    present: &Snapshot,
    last: Option<Told>,
) -> Option<Told> {
    let connection = shared.pool.get(&listener.address).await.ok()?;
    let run = connection.peer().incarnation;
    let generation = present.generation();
    let last = last.filter(|last| last.run == run);
    if last.is_some_and(|last| last.generation >= generation) {
        return last;
    }
    shared.note_peer_generation(connection.peer().generation);
    let config = AgentConfig { generation, weights: weights_of(present, listener) };
    match connection.call(&Request::TellAgent(config)).await.ok()? {
        Reply::Done => Some(Told { run, generation }),
        reply => {
            debug!(shared.log, "agent refuses a configuration";
                "address" => &listener.address, "reply" => ?reply);
            None
        }
    }
}

fn weights_of(present: &Snapshot, listener: &Listener) -> Option<WantedWeights> {
    let (model, version) = present.weights_of(listener.set.as_ref()?)?;
    Some(WantedWeights { model: model.clone(), version: version.clone() })
}
