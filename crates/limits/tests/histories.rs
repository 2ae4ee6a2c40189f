//! Random histories of failures, checked from outside.

mod common;

use common::{Weather, World, checker, from_environment, team_limit};
use rand::Rng;
use samphirespread_limits::{Limiter, LimitsConfig, Mechanisms, TeamLimit};

const ROUTERS: usize = 6;
const HISTORY_US: u64 = 60_000_000;
const STEP_US: u64 = 20_000;
const CASES: u64 = 8;
const NAIVE_CASES: u64 = 10;
const SEED: u64 = 20_261_204;

/// Short times, so that takeovers and restarts are many in one history.
fn config() -> LimitsConfig {
    LimitsConfig::new()
        .slots(2)
        .lump_lifetime_ms(1_000)
        .revoke_wait_ms(2_500)
        .poll_ms(400)
        .call_timeout_ms(500)
        .silence_timeout_ms(900)
        .dead_after_ms(6_000)
}

/// Bursts below what the rate adds in a lifetime of a lump show an excess soonest.
fn limits() -> Vec<TeamLimit> {
    vec![
        team_limit("large", 40_000, 12_000),
        team_limit("steady", 9_000, 5_000),
        team_limit("spiky", 2_000, 8_000),
    ]
}

/// One random history. The faults of one seed are the same whatever is decided.
fn history(seed: u64, mechanisms: Mechanisms) -> Result<u64, checker::Violation> {
    // With few holders the other routers live on lumps.
    let holders = if seed.is_multiple_of(4) { 3 } else { 8 };
    let config = config().max_holders(holders).mechanisms(mechanisms);
    let mut world: World<Limiter> = World::new(seed, ROUTERS, config, limits());
    world.weather = weather(seed);
    while world.now_us < HISTORY_US {
        traffic(&mut world);
        faults(&mut world);
        let next_us = world.now_us + STEP_US;
        world.run_until(next_us);
    }
    let drift_ppm = world.weather.drift_ppm;
    checker::check(&world.admitted, &world.limits, drift_ppm)?;
    Ok(world.admitted.len() as u64)
}

/// Half of the histories have exact clocks, a third a quiet network.
fn weather(seed: u64) -> Weather {
    let drift_ppm = if seed.is_multiple_of(2) { 0 } else { 300 };
    let base = match seed % 3 {
        0 => Weather::calm(),
        1 => Weather { loss_per_mille: 10, slow_per_mille: 10, ..Weather::rough() },
        _ => Weather::rough(),
    };
    Weather { drift_ppm, late_write_per_mille: 120, late_write_us: 15_000_000, ..base }
}

/// Idle times let buckets fill up; floods drain whatever can be had anywhere.
fn traffic(world: &mut World<Limiter>) {
    let alive = world.alive();
    if alive.is_empty() {
        return;
    }
    let phase = (world.now_us / 900_000) % 7;
    let requests = [1, 0, 0, 12, 0, 2, 12][phase as usize];
    for _ in 0..requests {
        let node = alive[world.rng.random_range(0..alive.len())];
        let team = world.rng.random_range(0..world.limits.len());
        let most = world.limits[team].burst_tokens / 8;
        let tokens = world.rng.random_range(1..=most);
        let unused = world.rng.random_range(0..=tokens);
        let hold_us = world.rng.random_range(1_000..4_000_000);
        world.offer(node, team, tokens, unused, hold_us);
    }
}

fn faults(world: &mut World<Limiter>) {
    if world.rng.random_range(0..1_000) >= 5 {
        return;
    }
    let nodes = world.node_count();
    let removed = world.removed();
    let node = world.rng.random_range(0..nodes);
    if removed.contains(&node) {
        return;
    }
    let short_us = world.rng.random_range(0..3_000_000);
    let long_us = world.rng.random_range(0..20_000_000);
    match world.rng.random_range(0..10) {
        0 => world.crash(node, Some(short_us)),
        1 => world.crash(node, Some(long_us)),
        2 => world.replace(node),
        3 => world.pause(node, short_us),
        4 => world.pause(node, long_us),
        5 => world.outage(long_us),
        6 => world.isolate(node, long_us),
        7 => world.cut_from_platform(node, long_us),
        8 => {
            let other = world.rng.random_range(0..nodes);
            world.cut(node, other, long_us);
        }
        _ => herd(world, short_us),
    }
}

fn herd(world: &mut World<Limiter>, within_us: u64) {
    for node in 0..world.node_count() {
        if !world.removed().contains(&node) {
            world.crash(node, Some(within_us));
        }
    }
}

#[test]
fn no_window_admits_more_than_the_limit() {
    let cases = from_environment("SAMPHIRESPREAD_CASES", CASES);
    let seed = from_environment("SAMPHIRESPREAD_SEED", SEED);

    for case in 0..cases {
        let outcome = history(seed + case, Mechanisms::ALL);

        let admitted = outcome.unwrap_or_else(|found| panic!("seed {}: {found:?}", seed + case));
        assert!(admitted > 0, "seed {}: nothing was admitted", seed + case);
    }
}

#[test]
fn checker_catches_refunds_without_a_bound() {
    let naive = Mechanisms { refund_bound: false, ..Mechanisms::ALL };

    let found = (0..NAIVE_CASES).any(|case| history(SEED + case, naive).is_err());

    assert!(found, "no history broke the variant whose refunds only know the cap");
}
