//! Measures how the limiter's messages, platform calls and memory grow.

#[path = "../tests/common/mod.rs"]
mod common;

use std::io::Write;

use common::{World, team_limit};
use rand::Rng;
use samphirespread_core::prelude::*;
use samphirespread_limits::{Event, Holder, Limiter, LimitsConfig, TeamLimit};

const S: u64 = 1_000_000;
const SEED: u64 = 5;
const REQUESTS_PER_S: u64 = 24;
const MEASURED_S: u64 = 20;

struct Flow {
    messages: f64,
    bytes: f64,
    reads: f64,
    writes: f64,
}

/// Messages a second of one router, idle or with requests of 10 teams at 60 % of their rate.
fn flow(routers: usize, loaded: bool) -> Flow {
    let limits = (0..10).map(|team| team_limit(&format!("team-{team}"), 50_000, 150_000));
    let config = LimitsConfig::new();
    let mut world: World<Limiter> = World::new(SEED, routers, config, limits.collect());
    world.run_until(20 * S);
    let before = (world.messages, world.message_bytes, world.platform_reads, world.platform_writes);
    let until_us = (20 + MEASURED_S) * S;
    while world.now_us < until_us {
        if loaded {
            for _ in 0..routers {
                let node = world.rng.random_range(0..routers);
                let team = world.rng.random_range(0..10);
                let used = 10 * 30_000 / (REQUESTS_PER_S * routers as u64);
                world.offer(node, team, 2 * used, used, S);
            }
        }
        let next_us = world.now_us + S / REQUESTS_PER_S;
        world.run_until(next_us);
    }
    let per_s = |count: u64| count as f64 / MEASURED_S as f64;
    Flow {
        messages: per_s(world.messages - before.0) / routers as f64,
        bytes: per_s(world.message_bytes - before.1) / routers as f64,
        reads: per_s(world.platform_reads - before.2),
        writes: per_s(world.platform_writes - before.3),
    }
}

/// Resident memory of this process.
fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
    line.split_whitespace().nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// Memory of limiters with so many teams, averaged over many.
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
    // Memory that is kept can't be counted twice.
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
            let flow = flow(routers, loaded);
            let load = if loaded { "24 requests/s a router" } else { "idle" };
            writeln!(
                out,
                "| {routers} | {load} | {:.1} | {:.0} | {:.1} | {:.1} |",
                flow.messages, flow.bytes, flow.reads, flow.writes
            )?;
        }
    }
    Ok(())
}
