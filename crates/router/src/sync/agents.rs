//! Sends each new configuration to the agents that this router is responsible for.

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

const SEND_TIMEOUT_MS: u64 = 1_000;

/// The last configuration that an agent has accepted.
#[derive(Clone, Copy, Debug)]
struct AcceptedConfig {
    incarnation: Incarnation,
    generation: Generation,
}

/// An agent that this router is responsible for.
#[derive(Clone, Debug)]
struct AssignedAgent {
    address: String,
    set: Option<SetName>,
}

/// Sends configurations to the agents that this router is responsible for, at an interval and at
/// once when the configuration or the live list has changed.
///
/// An agent that has restarted receives the configuration again, since its new incarnation is known
/// when the router connects to it.
pub(super) async fn send_configs(shared: Arc<Shared>) {
    let period = Duration::from_millis(shared.settings.peers.heartbeat_ms);
    let mut accepted = HashMap::new();
    let (mut known_version, mut agents) = (None, Vec::new());
    loop {
        let live = shared.live_list();
        if known_version != Some(live.version) {
            known_version = Some(live.version);
            let listed = Roles::of(&live, shared.identity.name()).agents_to_notify();
            let assigned = |agent: &LiveInstance| AssignedAgent {
                address: agent.address.clone(),
                set: agent.set.clone(),
            };
            agents = listed.into_iter().map(assigned).collect();
        }
        accepted = send_round(&shared, &agents, accepted).await;
        // The next round starts after the notification or the timeout.
        let _ = timeout(period, shared.wake_agent_sync.notified()).await;
    }
}

/// Sends the configuration in force to all agents that lack it. Returns the configuration that each
/// agent has accepted, without the agents to which it has to be sent again.
async fn send_round(
    shared: &Arc<Shared>,
    agents: &[AssignedAgent],
    mut accepted: HashMap<String, AcceptedConfig>,
) -> HashMap<String, AcceptedConfig> {
    let current = shared.snapshot.load_full();
    if current.generation() == Generation::default() {
        return accepted;
    }
    let sends = agents.iter().map(|agent| {
        let last = accepted.remove(&agent.address);
        send_with_timeout(shared, agent, Arc::clone(&current), last)
    });
    join_all(sends.collect::<Vec<_>>()).await.into_iter().flatten().collect()
}

async fn send_with_timeout(
    shared: &Arc<Shared>,
    agent: &AssignedAgent,
    current: Arc<Snapshot>,
    last: Option<AcceptedConfig>,
) -> Option<(String, AcceptedConfig)> {
    let limit = Duration::from_millis(SEND_TIMEOUT_MS);
    let sending = send_to_agent(shared, agent, &current, last);
    let accepted = timeout(limit, sending).await.ok().flatten()?;
    Some((agent.address.clone(), accepted))
}

/// Returns `None` if the configuration has to be sent again in the next round.
async fn send_to_agent(
    shared: &Arc<Shared>,
    agent: &AssignedAgent,
    current: &Snapshot,
    last: Option<AcceptedConfig>,
) -> Option<AcceptedConfig> {
    let connection = shared.pool.get(&agent.address).await.ok()?;
    let incarnation = connection.peer().incarnation;
    let generation = current.generation();
    let last = last.filter(|last| last.incarnation == incarnation);
    if last.is_some_and(|last| last.generation >= generation) {
        return last;
    }
    shared.note_peer_generation(connection.peer().generation);
    let config = AgentConfig { generation, weights: weights_of(current, agent) };
    match connection.call(&Request::ConfigureAgent(config)).await.ok()? {
        Reply::Done => Some(AcceptedConfig { incarnation, generation }),
        reply => {
            debug!(shared.log, "agent refused a configuration";
                "address" => &agent.address, "reply" => ?reply);
            None
        }
    }
}

fn weights_of(current: &Snapshot, agent: &AssignedAgent) -> Option<WantedWeights> {
    let (model, version) = current.weights_of(agent.set.as_ref()?)?;
    Some(WantedWeights { model: model.clone(), version: version.clone() })
}
