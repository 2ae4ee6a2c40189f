//! Runs random histories of failures, and checks the admitted requests independently.

mod common;

use common::{Conditions, Simulation, checker, env_or, team_limit};
use rand::Rng;
use samphirespread_limits::{Limiter, LimitsConfig, Mechanisms, TeamLimit};

const ROUTERS: usize = 6;
const HISTORY_US: u64 = 60_000_000;
const STEP_US: u64 = 20_000;
const DEFAULT_CASES: u64 = 8;
const UNBOUNDED_REFUND_CASES: u64 = 10;
const DEFAULT_SEED: u64 = 20_261_204;

/// Short times, so that one history has many takeovers and restarts.
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

/// Bursts below the tokens that the rate adds in one lump lifetime reveal an excess soonest.
fn limits() -> Vec<TeamLimit> {
    vec![
        team_limit("large", 40_000, 12_000),
        team_limit("steady", 9_000, 5_000),
        team_limit("spiky", 2_000, 8_000),
    ]
}

/// Runs one random history and returns the number of admitted requests.
fn run_history(seed: u64, mechanisms: Mechanisms) -> Result<u64, checker::Violation> {
    // With few holders, the other routers depend on lumps.
    let holders = if seed.is_multiple_of(4) { 3 } else { 8 };
    let config = config().max_holders(holders).mechanisms(mechanisms);
    let mut sim: Simulation<Limiter> = Simulation::new(seed, ROUTERS, config, limits());
    sim.conditions = conditions(seed);
    while sim.now_us < HISTORY_US {
        offer_requests(&mut sim);
        inject_random_fault(&mut sim);
        let next_us = sim.now_us + STEP_US;
        sim.run_until(next_us);
    }
    let drift_ppm = sim.conditions.drift_ppm;
    checker::check(&sim.admitted, &sim.limits, drift_ppm)?;
    Ok(sim.admitted.len() as u64)
}

/// Half of the histories have exact clocks, and a third have a reliable network.
fn conditions(seed: u64) -> Conditions {
    let drift_ppm = if seed.is_multiple_of(2) { 0 } else { 300 };
    let base = match seed % 3 {
        0 => Conditions::reliable(),
        1 => Conditions { loss_per_mille: 10, slow_per_mille: 10, ..Conditions::unreliable() },
        _ => Conditions::unreliable(),
    };
    Conditions { drift_ppm, late_write_per_mille: 120, late_write_us: 15_000_000, ..base }
}

/// Alternates idle phases, in which buckets fill up, with phases of many requests, which use up the
/// tokens of all routers.
fn offer_requests(sim: &mut Simulation<Limiter>) {
    let alive = sim.alive();
    if alive.is_empty() {
        return;
    }
    let phase = (sim.now_us / 900_000) % 7;
    let requests = [1, 0, 0, 12, 0, 2, 12][phase as usize];
    for _ in 0..requests {
        let node = alive[sim.rng.random_range(0..alive.len())];
        let team = sim.rng.random_range(0..sim.limits.len());
        let most = sim.limits[team].burst_tokens / 8;
        let tokens = sim.rng.random_range(1..=most);
        let unused = sim.rng.random_range(0..=tokens);
        let hold_us = sim.rng.random_range(1_000..4_000_000);
        sim.offer(node, team, tokens, unused, hold_us);
    }
}

/// Injects a random fault in a small share of the steps.
fn inject_random_fault(sim: &mut Simulation<Limiter>) {
    if sim.rng.random_range(0..1_000) >= 5 {
        return;
    }
    let nodes = sim.node_count();
    let removed = sim.removed();
    let node = sim.rng.random_range(0..nodes);
    if removed.contains(&node) {
        return;
    }
    let short_us = sim.rng.random_range(0..3_000_000);
    let long_us = sim.rng.random_range(0..20_000_000);
    match sim.rng.random_range(0..10) {
        0 => sim.crash(node, Some(short_us)),
        1 => sim.crash(node, Some(long_us)),
        2 => sim.replace(node),
        3 => sim.pause(node, short_us),
        4 => sim.pause(node, long_us),
        5 => sim.start_platform_outage(long_us),
        6 => sim.isolate(node, long_us),
        7 => sim.disconnect_from_platform(node, long_us),
        8 => {
            let other = sim.rng.random_range(0..nodes);
            sim.disconnect(node, other, long_us);
        }
        _ => crash_all(sim, short_us),
    }
}

fn crash_all(sim: &mut Simulation<Limiter>, within_us: u64) {
    for node in 0..sim.node_count() {
        if !sim.removed().contains(&node) {
            sim.crash(node, Some(within_us));
        }
    }
}

#[test]
fn no_window_admits_more_than_the_limit() {
    let cases = env_or("SAMPHIRESPREAD_CASES", DEFAULT_CASES);
    let seed = env_or("SAMPHIRESPREAD_SEED", DEFAULT_SEED);

    for case in 0..cases {
        let outcome = run_history(seed + case, Mechanisms::ALL);

        let admitted = outcome.unwrap_or_else(|found| panic!("seed {}: {found:?}", seed + case));
        assert!(admitted > 0, "seed {}: nothing was admitted", seed + case);
    }
}

#[test]
fn checker_finds_excess_when_refunds_are_unbounded() {
    let unbounded = Mechanisms { refund_bound: false, ..Mechanisms::ALL };

    let found = (0..UNBOUNDED_REFUND_CASES)
        .any(|case| run_history(DEFAULT_SEED + case, unbounded).is_err());

    assert!(found, "no history exceeded the limit with refunds bounded only by the cap");
}
