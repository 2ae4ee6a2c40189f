//! Agents have each configuration in force, through the death of routers and their own restarts.

use std::time::Duration;

use samphirespread_config::Config;
use samphirespread_testkit::{Fleet, FleetBuilder};
use tokio::time::sleep;

const AGENTS: usize = 3;
const POLL: Duration = Duration::from_millis(20);
const POLLS: usize = 500;

fn builder(routers: usize) -> FleetBuilder {
    Fleet::builder()
        .routers(routers)
        .agents(AGENTS)
        .router_setting("peers", "heartbeat_ms", "50")
        .router_setting("peers", "silence_timeout_ms", "300")
}

/// The configuration with another rate for its first team.
fn changed(fleet: &Fleet) -> Config {
    let mut config = fleet.config().clone();
    config.teams[0].rate_tokens_per_s += 1;
    config
}

async fn wait_for_generation(fleet: &Fleet, agent: usize, expected: u64) {
    let mut last = String::new();
    for _ in 0..POLLS {
        last = fleet.dump(&fleet.agents[agent].daemon).await;
        let dump: serde_json::Value = serde_json::from_str(&last).unwrap();
        if dump["generation"].as_u64() == Some(expected) {
            return;
        }
        sleep(POLL).await;
    }
    panic!("agent {agent} never reached generation {expected}: {last}");
}

#[tokio::test(flavor = "multi_thread")]
async fn every_agent_has_each_generation_in_force() {
    let mut fleet = builder(2).start().await;

    let generation = fleet.apply(changed(&fleet)).0;

    for agent in 0..AGENTS {
        wait_for_generation(&fleet, agent, generation).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn agents_are_told_though_a_listed_router_is_dead() {
    let mut fleet = builder(3).start().await;
    fleet.routers[0].daemon.kill().await;

    let generation = fleet.apply(changed(&fleet)).0;

    for agent in 0..AGENTS {
        wait_for_generation(&fleet, agent, generation).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_agent_is_told_again() {
    let mut fleet = builder(1).start().await;
    let generation = fleet.apply(changed(&fleet)).0;
    wait_for_generation(&fleet, 1, generation).await;
    fleet.agents[1].daemon.kill().await;

    fleet.restart_agent(1).await;

    wait_for_generation(&fleet, 1, generation).await;
}
