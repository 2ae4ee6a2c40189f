//! Measures how the limiter's messages, platform calls and memory grow with routers and teams.

#[path = "../tests/common/mod.rs"]
mod common;

use std::io::Write;

use common::{Simulation, team_limit};
use rand::Rng;
use samphirespread_core::prelude::*;
use samphirespread_limits::{Event, Holder, Limiter, LimitsConfig, TeamLimit};

const US_PER_S: u64 = 1_000_000;
const SEED: u64 = 5;
const REQUESTS_PER_S: u64 = 24;
const MEASURED_S: u64 = 20;

struct Traffic {
    messages: f64,
    bytes: f64,
    reads: f64,
    writes: f64,
}

/// Measures messages and platform calls, idle or with requests of 10 teams at 60 % of their rate.
fn traffic(routers: usize, loaded: bool) -> Traffic {
    let limits = (0..10).map(|team| team_limit(&format!("team-{team}"), 50_000, 150_000));
    let config = LimitsConfig::new();
    let mut sim: Simulation<Limiter> = Simulation::new(SEED, routers, config, limits.collect());
    sim.run_until(20 * US_PER_S);
    let before = (sim.messages, sim.message_bytes, sim.platform_reads, sim.platform_writes);
    let until_us = (20 + MEASURED_S) * US_PER_S;
    while sim.now_us < until_us {
        if loaded {
            for _ in 0..routers {
                let node = sim.rng.random_range(0..routers);
                let team = sim.rng.random_range(0..10);
                let used = 10 * 30_000 / (REQUESTS_PER_S * routers as u64);
                sim.offer(node, team, 2 * used, used, US_PER_S);
            }
        }
        let next_us = sim.now_us + US_PER_S / REQUESTS_PER_S;
        sim.run_until(next_us);
    }
    let per_s = |count: u64| count as f64 / MEASURED_S as f64;
    Traffic {
        messages: per_s(sim.messages - before.0) / routers as f64,
        bytes: per_s(sim.message_bytes - before.1) / routers as f64,
        reads: per_s(sim.platform_reads - before.2),
        writes: per_s(sim.platform_writes - before.3),
    }
}

/// Returns the resident memory of this process.
fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// Returns the memory of a limiter with a number of teams, averaged over several limiters.
fn memory_kib(teams: usize) -> f64 {
    const LIMITERS: usize = 50;
    let before = resident_kib();
    let limiters: Vec<Limiter> = (0..LIMITERS)
        .map(|index| {
            let name = InstanceName::new(format!("r{index}"));
            let me = Holder { name, address: format!("10.0.0.{index}:7000") };
            let mut limiter = Limiter::new(LimitsConfig::new(), me, Incarnation(1), MonoTime::ZERO);
            let limits = (0..teams).map(|team| TeamLimit {
                team: TeamName::new(format!("team-{team}")),
                rate_tokens_per_s: 1_000,
                burst_tokens: 10_000,
            });
            limiter.handle(MonoTime::ZERO, Event::Limits(limits.collect()));
            limiter
        })
        .collect();
    let after = resident_kib();
    // Later measurements would be too low if they could reuse this memory.
    std::mem::forget(limiters);
    after.saturating_sub(before) as f64 / LIMITERS as f64
}

fn main() -> std::io::Result<()> {
    let mut out = std::io::stdout().lock();
    writeln!(out, "| teams | KiB a limiter |\n| ---: | ---: |")?;
    for teams in [720, 1_440, 2_880] {
        writeln!(out, "| {teams} | {:.0} |", memory_kib(teams))?;
    }
    writeln!(
        out,
        "\n| routers | load | messages/s a router | bytes/s a router, sent | platform reads/s \
         | writes/s |\n| ---: | --- | ---: | ---: | ---: | ---: |"
    )?;
    for loaded in [false, true] {
        for routers in [8, 16, 32, 64] {
            let traffic = traffic(routers, loaded);
            let load = if loaded { "24 requests/s a router" } else { "idle" };
            writeln!(
                out,
                "| {routers} | {load} | {:.1} | {:.0} | {:.1} | {:.1} |",
                traffic.messages, traffic.bytes, traffic.reads, traffic.writes
            )?;
        }
    }
    Ok(())
}
