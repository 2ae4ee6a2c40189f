//! A fleet without failures.

mod common;

use common::{World, team_limit};
use rand::Rng;
use samphirespread_limits::{Limiter, LimitsConfig, PARTS, ShareTable};

#[test]
fn calm_fleet_refuses_nothing_within_the_limit() {
    let limits = vec![team_limit("a", 20_000, 60_000), team_limit("b", 5_000, 20_000)];
    let mut world: World<Limiter> = World::new(7, 3, LimitsConfig::new().slots(2), limits);
    world.run_until(10_000_000);

    while world.now_us < 70_000_000 {
        let node = world.rng.random_range(0..3);
        for team in 0..2 {
            let tokens = world.limits[team].rate_tokens_per_s / 20;
            world.offer(node, team, tokens, tokens / 2, 1_000_000);
        }
        let next_us = world.now_us + 50_000;
        world.run_until(next_us);
    }

    assert!(world.tally.iter().all(|team| team.wrongful == 0), "{:?}", world.tally);
}

#[test]
fn leaving_router_hands_its_shares_to_the_others() {
    let limits = vec![team_limit("a", 20_000, 60_000)];
    let mut world: World<Limiter> = World::new(8, 3, LimitsConfig::new().slots(1), limits);
    world.run_until(10_000_000);

    world.leave(0);
    world.run_until(20_000_000);

    let table = ShareTable::from_json(world.object(0).unwrap_or_default()).expect("a table");
    let parts: u32 = table.shares.iter().map(|share| share.parts).sum();
    assert!(table.share(&world.holder(0)).is_none());
    assert_eq!(parts, PARTS);
}

#[test]
fn idle_fleet_of_many_routers_revokes_nothing() {
    let limits = (0..10).map(|team| team_limit(&format!("team-{team}"), 50_000, 150_000));
    let config = LimitsConfig::new();
    let mut world: World<Limiter> = World::new(5, 32, config, limits.collect());

    world.run_until(40_000_000);

    assert_eq!(world.promises_asked, 0, "routers were suspected that nobody had asked");
}
