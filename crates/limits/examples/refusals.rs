//! Measures wrongful refusals of the limiter and of two simpler methods.
//!
//! A refusal is wrongful if a single bucket for the whole fleet, charged with the
//! requests that were actually admitted, would have admitted the request.

#[path = "../tests/common/mod.rs"]
mod common;

use std::io::Write;

use common::{
    Admission, Simulation,
    baselines::{StaticSplit, WritePerRequest},
    team_limit,
};
use rand::Rng;
use samphirespread_limits::{Limiter, LimitsConfig};

const ROUTERS: usize = 6;
const SEED: u64 = 41;
const US_PER_S: u64 = 1_000_000;
const STEP_US: u64 = 50_000;
const FAULT_AT_US: u64 = 60 * US_PER_S;
const OFFERED_PERCENT: u32 = 60;

#[derive(Clone, Copy, PartialEq)]
enum Scenario {
    Calm,
    Uneven,
    RouterDead,
    PlatformDown,
    AllRestarted,
    OneTeamFiveTimesItsRate,
}

const SCENARIOS: [(Scenario, &str); 6] = [
    (Scenario::Calm, "calm"),
    (Scenario::Uneven, "all of one team through one router"),
    (Scenario::RouterDead, "one router dead"),
    (Scenario::PlatformDown, "platform down 10 min"),
    (Scenario::AllRestarted, "all routers restarted"),
    (Scenario::OneTeamFiveTimesItsRate, "one team at five times its rate"),
];

struct Row {
    offered: u64,
    refused: u64,
    wrongful: u64,
    others_wrongful: u64,
    last_s: f64,
    messages_per_s: f64,
    writes_per_s: f64,
    used_percent: f64,
}

fn run<A: Admission>(scenario: Scenario) -> Row {
    let limits = vec![
        team_limit("large", 20_000, 60_000),
        team_limit("middle", 8_000, 24_000),
        team_limit("small", 4_000, 12_000),
    ];
    let mut sim: Simulation<A> =
        Simulation::new(SEED, ROUTERS, LimitsConfig::new().slots(4), limits);
    sim.run_until(FAULT_AT_US / 2);
    while sim.now_us < FAULT_AT_US {
        offer_requests(&mut sim, scenario);
    }
    let (messages, writes) = (sim.messages, sim.platform_writes);
    for tally in &mut sim.tally {
        *tally = common::Tally::default();
    }
    inject_fault(&mut sim, scenario);
    let lasts_us = if scenario == Scenario::PlatformDown { 660 * US_PER_S } else { 60 * US_PER_S };
    while sim.now_us < FAULT_AT_US + lasts_us {
        offer_requests(&mut sim, scenario);
    }
    let seconds = lasts_us as f64 / US_PER_S as f64;
    let sum = |of: fn(&common::Tally) -> u64| sim.tally.iter().map(of).sum::<u64>();
    let last_us = sim.tally.iter().map(|tally| tally.last_wrongful_us).max().unwrap_or(0);
    let used: u64 = sim
        .admitted
        .iter()
        .filter(|request| request.team == 0 && request.at_us >= FAULT_AT_US)
        .map(|request| request.tokens - request.unused)
        .sum();
    Row {
        used_percent: used as f64 * 100.0 / (20_000.0 * seconds),
        offered: sum(|tally| tally.offered),
        refused: sum(|tally| tally.refused),
        wrongful: sum(|tally| tally.wrongful),
        others_wrongful: sim.tally[1..].iter().map(|tally| tally.wrongful).sum(),
        last_s: last_us.saturating_sub(FAULT_AT_US) as f64 / US_PER_S as f64,
        messages_per_s: (sim.messages - messages) as f64 / seconds / ROUTERS as f64,
        writes_per_s: (sim.platform_writes - writes) as f64 / seconds,
    }
}

fn inject_fault<A: Admission>(sim: &mut Simulation<A>, scenario: Scenario) {
    match scenario {
        Scenario::RouterDead => sim.remove(0),
        Scenario::PlatformDown => sim.start_platform_outage(600 * US_PER_S),
        Scenario::AllRestarted => {
            for node in 0..ROUTERS {
                sim.crash(node, Some(US_PER_S));
            }
        }
        _ => {}
    }
}

fn offer_requests<A: Admission>(sim: &mut Simulation<A>, scenario: Scenario) {
    let alive = sim.alive();
    for team in 0..sim.limits.len() {
        let times = if scenario == Scenario::OneTeamFiveTimesItsRate && team == 0 { 5 } else { 1 };
        for _ in 0..times {
            if alive.is_empty() || sim.rng.random_range(0..100) >= OFFERED_PERCENT {
                continue;
            }
            // On average a request uses the tokens that the rate adds in one step.
            let most = sim.limits[team].rate_tokens_per_s * STEP_US * 2 / US_PER_S;
            let used = sim.rng.random_range(1..=most);
            let any = alive[sim.rng.random_range(0..alive.len())];
            let one_router = scenario == Scenario::Uneven && team == 0;
            let node = if one_router { alive[0] } else { any };
            let hold_us = sim.rng.random_range(US_PER_S / 2..3 * US_PER_S);
            sim.offer(node, team, 2 * used, used, hold_us);
        }
    }
    let next_us = sim.now_us + STEP_US;
    sim.run_until(next_us);
}

fn main() -> std::io::Result<()> {
    let mut out = std::io::stdout().lock();
    writeln!(
        out,
        "| scenario | way | offered | refused | wrongful | of these, other teams' | last after, s \
         | messages/s a router | platform writes/s | used of the first team's rate, % |"
    )?;
    writeln!(out, "| --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | ---: |")?;
    for (scenario, name) in SCENARIOS {
        let rows = [
            ("shares", run::<Limiter>(scenario)),
            ("static split", run::<StaticSplit>(scenario)),
            ("write per draw", run::<WritePerRequest>(scenario)),
        ];
        for (way, row) in rows {
            writeln!(
                out,
                "| {name} | {way} | {} | {} | {} | {} | {:.1} | {:.1} | {:.1} | {:.0} |",
                row.offered,
                row.refused,
                row.wrongful,
                row.others_wrongful,
                row.last_s,
                row.messages_per_s,
                row.writes_per_s,
                row.used_percent
            )?;
        }
    }
    Ok(())
}
