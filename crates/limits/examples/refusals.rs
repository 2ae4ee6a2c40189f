//! Measures wrongful refusals of the limiter and of two simpler ways.
//!
//! A refusal is wrongful when one bucket for the whole fleet, charged with what was
//! really admitted, would have admitted the request.

#[path = "../tests/common/mod.rs"]
mod common;

use std::io::Write;

use common::{
    Admission, World,
    baselines::{StaticSplit, WritePerDraw},
    team_limit,
};
use rand::Rng;
use samphirespread_limits::{Limiter, LimitsConfig};

const ROUTERS: usize = 6;
const SEED: u64 = 41;
const S: u64 = 1_000_000;
const STEP_US: u64 = 50_000;
const FAULT_US: u64 = 60 * S;
const OFFERED_PERCENT: u32 = 60;

#[derive(Clone, Copy, PartialEq)]
enum Scenario {
    Calm,
    Uneven,
    RouterDead,
    PlatformDown,
    AllRestarted,
    FiveTimes,
}

const SCENARIOS: [(Scenario, &str); 6] = [
    (Scenario::Calm, "calm"),
    (Scenario::Uneven, "all of one team through one router"),
    (Scenario::RouterDead, "one router dead"),
    (Scenario::PlatformDown, "platform down 10 min"),
    (Scenario::AllRestarted, "all routers restarted"),
    (Scenario::FiveTimes, "one team at five times its rate"),
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
    let mut world: World<A> = World::new(SEED, ROUTERS, LimitsConfig::new().slots(4), limits);
    world.run_until(FAULT_US / 2);
    while world.now_us < FAULT_US {
        step(&mut world, scenario);
    }
    let (messages, writes) = (world.messages, world.platform_writes);
    for tally in &mut world.tally {
        *tally = common::Tally::default();
    }
    strike(&mut world, scenario);
    let lasts_us = if scenario == Scenario::PlatformDown { 660 * S } else { 60 * S };
    while world.now_us < FAULT_US + lasts_us {
        step(&mut world, scenario);
    }
    let seconds = lasts_us as f64 / S as f64;
    let sum = |of: fn(&common::Tally) -> u64| world.tally.iter().map(of).sum::<u64>();
    let last_us = world.tally.iter().map(|tally| tally.last_wrongful_us).max().unwrap_or(0);
    let used: u64 = world
        .admitted
        .iter()
        .filter(|request| request.team == 0 && request.at_us >= FAULT_US)
        .map(|request| request.tokens - request.unused)
        .sum();
    Row {
        used_percent: used as f64 * 100.0 / (20_000.0 * seconds),
        offered: sum(|tally| tally.offered),
        refused: sum(|tally| tally.refused),
        wrongful: sum(|tally| tally.wrongful),
        others_wrongful: world.tally[1..].iter().map(|tally| tally.wrongful).sum(),
        last_s: last_us.saturating_sub(FAULT_US) as f64 / S as f64,
        messages_per_s: (world.messages - messages) as f64 / seconds / ROUTERS as f64,
        writes_per_s: (world.platform_writes - writes) as f64 / seconds,
    }
}

fn strike<A: Admission>(world: &mut World<A>, scenario: Scenario) {
    match scenario {
        Scenario::RouterDead => world.remove(0),
        Scenario::PlatformDown => world.outage(600 * S),
        Scenario::AllRestarted => {
            for node in 0..ROUTERS {
                world.crash(node, Some(S));
            }
        }
        _ => {}
    }
}

fn step<A: Admission>(world: &mut World<A>, scenario: Scenario) {
    let alive = world.alive();
    for team in 0..world.limits.len() {
        let times = if scenario == Scenario::FiveTimes && team == 0 { 5 } else { 1 };
        for _ in 0..times {
            if alive.is_empty() || world.rng.random_range(0..100) >= OFFERED_PERCENT {
                continue;
            }
            // The mean use in one step is what the rate adds in it.
            let most = world.limits[team].rate_tokens_per_s * STEP_US * 2 / S;
            let used = world.rng.random_range(1..=most);
            let any = alive[world.rng.random_range(0..alive.len())];
            let one_router = scenario == Scenario::Uneven && team == 0;
            let node = if one_router { alive[0] } else { any };
            let hold_us = world.rng.random_range(S / 2..3 * S);
            world.offer(node, team, 2 * used, used, hold_us);
        }
    }
    let next_us = world.now_us + STEP_US;
    world.run_until(next_us);
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
            ("write per draw", run::<WritePerDraw>(scenario)),
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
