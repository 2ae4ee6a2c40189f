//! Tests of a fleet without failures.

mod common;

use common::{Simulation, team_limit};
use rand::Rng;
use samphirespread_limits::{Limiter, LimitsConfig, PARTS, ShareTable};

#[test]
fn healthy_fleet_refuses_nothing_within_the_limit() {
    let limits = vec![team_limit("a", 20_000, 60_000), team_limit("b", 5_000, 20_000)];
    let mut sim: Simulation<Limiter> = Simulation::new(7, 3, LimitsConfig::new().slots(2), limits);
    sim.run_until(10_000_000);

    while sim.now_us < 70_000_000 {
        let node = sim.rng.random_range(0..3);
        for team in 0..2 {
            let tokens = sim.limits[team].rate_tokens_per_s / 20;
            sim.offer(node, team, tokens, tokens / 2, 1_000_000);
        }
        let next_us = sim.now_us + 50_000;
        sim.run_until(next_us);
    }

    assert!(sim.tally.iter().all(|team| team.wrongful == 0), "{:?}", sim.tally);
}

#[test]
fn leaving_router_gives_its_shares_to_the_others() {
    let limits = vec![team_limit("a", 20_000, 60_000)];
    let mut sim: Simulation<Limiter> = Simulation::new(8, 3, LimitsConfig::new().slots(1), limits);
    sim.run_until(10_000_000);

    sim.leave(0);
    sim.run_until(20_000_000);

    let table = ShareTable::from_json(sim.object(0).unwrap_or_default()).expect("a table");
    let parts: u32 = table.shares.iter().map(|share| share.parts).sum();
    assert!(table.share(&sim.holder(0)).is_none());
    assert_eq!(parts, PARTS);
}

#[test]
fn idle_fleet_of_many_routers_revokes_nothing() {
    let limits = (0..10).map(|team| team_limit(&format!("team-{team}"), 50_000, 150_000));
    let config = LimitsConfig::new();
    let mut sim: Simulation<Limiter> = Simulation::new(5, 32, config, limits.collect());

    sim.run_until(40_000_000);

    assert_eq!(sim.promises_asked, 0, "an idle router was treated as silent");
}
