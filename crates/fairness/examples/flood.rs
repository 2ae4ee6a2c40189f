//! Measures how long other teams wait while one team sends five times its rate.
//!
//! This is a simulation in virtual time of one engine with a fixed number of slots. The same
//! arrivals go through a first-in-first-out queue and through the fair queue, once with every team
//! at its rate and once with the largest team at five times its rate.
//!
//! Run it with `cargo run --release -p samphirespread-fairness --example flood`.
//! `SAMPHIRESPREAD_SEED` sets the seed.

#![allow(clippy::print_stdout)]

use std::{cmp::Reverse, collections::BinaryHeap, collections::VecDeque};

use rand::{Rng, SeedableRng, rngs::StdRng};
use samphirespread_core::prelude::*;
use samphirespread_fairness::{Admission, Config, Queue, Ticket};

const SLOTS: usize = 16;
const DURATION_MS: u64 = 1_800_000;
const MAX_WAIT_MS: u64 = 10_000;
const MAX_QUEUE_LEN: usize = 512;
const FLOOD_FACTOR: f64 = 5.0;
/// Time in a slot per token, approximately that of an engine that batches requests.
const SLOT_MS_PER_TOKEN: f64 = 0.5;
/// Rate of each team as a fraction of the engine's capacity. The first team is the one that floods.
const TEAM_LOADS: [f64; 5] = [0.25, 0.20, 0.12, 0.05, 0.03];

#[derive(Clone, Copy, Debug)]
struct Job {
    team: usize,
    arrives_at: MonoTime,
    tokens: u64,
}

/// The queue under test, with the operations that the simulation needs.
enum Policy {
    Fifo { waiting: VecDeque<Job>, running: usize },
    Fair { queue: Box<Queue<Job>>, teams: Vec<TeamName> },
}

impl Policy {
    fn fifo() -> Self {
        Self::Fifo { waiting: VecDeque::new(), running: 0 }
    }

    fn fair() -> Self {
        let config = Config::new(SLOTS).max_len(MAX_QUEUE_LEN).max_wait_ms(MAX_WAIT_MS);
        let teams = (0..TEAM_LOADS.len()).map(|n| TeamName::new(format!("team-{n}"))).collect();
        Self::Fair { queue: Box::new(Queue::new(config)), teams }
    }

    /// Adds a job. Returns the job's team if the job was refused.
    fn push(&mut self, now: MonoTime, job: Job) -> Option<usize> {
        match self {
            Self::Fifo { waiting, .. } => {
                if waiting.len() >= MAX_QUEUE_LEN {
                    return Some(job.team);
                }
                waiting.push_back(job);
                None
            }
            Self::Fair { queue, teams } => {
                let weight = (TEAM_LOADS[job.team] * 10_000.0) as u64;
                let admission = Admission::new(&teams[job.team], weight).cost_tokens(job.tokens);
                queue.push(now, &admission, job).err().map(|rejected| rejected.item.team)
            }
        }
    }

    fn pop(&mut self, now: MonoTime) -> Option<(Job, Option<Ticket>)> {
        match self {
            Self::Fifo { running, .. } if *running >= SLOTS => None,
            Self::Fifo { waiting, running } => {
                let job = waiting.pop_front()?;
                *running += 1;
                Some((job, None))
            }
            Self::Fair { queue, .. } => {
                queue.pop(now).map(|popped| (popped.item, Some(popped.ticket)))
            }
        }
    }

    fn expire(&mut self, now: MonoTime) -> Vec<usize> {
        match self {
            Self::Fifo { waiting, .. } => {
                let expired = waiting
                    .iter()
                    .take_while(|job| job.arrives_at.plus_ms(MAX_WAIT_MS) <= now)
                    .count();
                waiting.drain(..expired).map(|job| job.team).collect()
            }
            Self::Fair { queue, .. } => {
                queue.take_dropped(now).into_iter().map(|dropped| dropped.item.team).collect()
            }
        }
    }

    fn complete(&mut self, now: MonoTime, ticket: Option<Ticket>, tokens: u64) {
        match self {
            Self::Fifo { running, .. } => *running -= 1,
            Self::Fair { queue, .. } => queue.complete(now, ticket.expect("ticket is set"), tokens),
        }
    }
}

#[derive(Clone, Debug, Default)]
struct Outcome {
    first_token_ms: [Vec<f64>; TEAM_LOADS.len()],
    wait_ms: [Vec<f64>; TEAM_LOADS.len()],
    not_run: [usize; TEAM_LOADS.len()],
    tokens: [u64; TEAM_LOADS.len()],
}

fn exponential(rng: &mut StdRng, mean: f64) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}

fn service_ms(tokens: u64) -> f64 {
    tokens as f64 * SLOT_MS_PER_TOKEN
}

/// Returns Poisson arrivals. Each team has a random stream of its own, so that a flood doesn't
/// change the arrivals of the other teams.
fn arrivals(seed: u64, flood: bool) -> Vec<Job> {
    let mean_tokens = 1_500.0;
    let mut jobs = Vec::new();
    for (team, &load) in TEAM_LOADS.iter().enumerate() {
        let mut rng = StdRng::seed_from_u64(seed.wrapping_mul(1_000) + team as u64);
        let factor = if flood && team == 0 { FLOOD_FACTOR } else { 1.0 };
        let gap_ms = mean_tokens * SLOT_MS_PER_TOKEN / (load * factor * SLOTS as f64);
        let mut at_ms = exponential(&mut rng, gap_ms);
        while at_ms < DURATION_MS as f64 {
            let tokens = 500 + exponential(&mut rng, mean_tokens - 500.0) as u64;
            let arrives_at = MonoTime::from_us((at_ms * 1_000.0) as u64);
            jobs.push(Job { team, arrives_at, tokens });
            at_ms += exponential(&mut rng, gap_ms);
        }
    }
    jobs.sort_by_key(|job| job.arrives_at);
    jobs
}

fn run(mut policy: Policy, jobs: &[Job]) -> Outcome {
    let mut outcome = Outcome::default();
    let mut ends: BinaryHeap<Reverse<(MonoTime, usize)>> = BinaryHeap::new();
    let mut running: Vec<(Job, Option<Ticket>)> = Vec::new();
    let mut next = 0;
    loop {
        let arrival = jobs.get(next).map(|job| job.arrives_at);
        let end = ends.peek().map(|Reverse((at, _))| *at);
        let now = match (arrival, end) {
            (None, None) => return outcome,
            (Some(arrival), Some(end)) => arrival.min(end),
            (arrival, end) => arrival.or(end).expect("an arrival or an end is pending"),
        };
        while ends.peek().is_some_and(|Reverse((at, _))| *at <= now) {
            let Reverse((_, index)) = ends.pop().expect("the heap is not empty");
            let (job, ticket) = running[index];
            policy.complete(now, ticket, job.tokens);
            outcome.tokens[job.team] += job.tokens;
        }
        while jobs.get(next).is_some_and(|job| job.arrives_at <= now) {
            if let Some(team) = policy.push(now, jobs[next]) {
                outcome.not_run[team] += 1;
            }
            next += 1;
        }
        for team in policy.expire(now) {
            outcome.not_run[team] += 1;
        }
        while let Some((job, ticket)) = policy.pop(now) {
            let wait_ms = now.us_since(job.arrives_at) as f64 / 1_000.0;
            outcome.wait_ms[job.team].push(wait_ms);
            // The prefill is modelled as a third of the time in the slot.
            outcome.first_token_ms[job.team].push(wait_ms + service_ms(job.tokens) / 3.0);
            let ends_at = now.plus_us((service_ms(job.tokens) * 1_000.0) as u64);
            ends.push(Reverse((ends_at, running.len())));
            running.push((job, ticket));
        }
    }
}

fn percentile(values: &[f64], fraction: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let index =
        ((sorted.len() as f64 * fraction).ceil() as usize).clamp(1, sorted.len().max(1)) - 1;
    sorted.get(index).copied().unwrap_or(f64::NAN)
}

fn of_other_teams(values: &[Vec<f64>]) -> Vec<f64> {
    values[1..].concat()
}

fn print_outcome(name: &str, outcome: &Outcome) {
    let wait = of_other_teams(&outcome.wait_ms);
    let first = of_other_teams(&outcome.first_token_ms);
    let worst = outcome.first_token_ms[1..]
        .iter()
        .map(|values| percentile(values, 0.99))
        .fold(0.0, f64::max);
    println!(
        "| {name} | {:.0} | {:.0} | {:.0} | {:.0} | {:.0} | {:.0} | {} | {} |",
        percentile(&wait, 0.5),
        percentile(&wait, 0.95),
        percentile(&wait, 0.99),
        percentile(&first, 0.5),
        percentile(&first, 0.99),
        worst,
        outcome.not_run[1..].iter().sum::<usize>(),
        outcome.not_run[0],
    );
}

fn main() {
    let seed =
        std::env::var("SAMPHIRESPREAD_SEED").ok().and_then(|text| text.parse().ok()).unwrap_or(1);
    let (calm, flood) = (arrivals(seed, false), arrivals(seed, true));
    println!("seed {seed}, {} requests calm, {} in the flood", calm.len(), flood.len());
    println!(
        "| run | others' wait p50 ms | p95 | p99 | others' first token p50 ms | p99 | \
         p99 of the worst-served other team | others not run | flooding team not run |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    print_outcome("first in, first out, calm", &run(Policy::fifo(), &calm));
    print_outcome("first in, first out, flood", &run(Policy::fifo(), &flood));
    let fair_calm = run(Policy::fair(), &calm);
    let fair_flood = run(Policy::fair(), &flood);
    print_outcome("fair, calm", &fair_calm);
    print_outcome("fair, flood", &fair_flood);
    let change = |values: fn(&Outcome) -> &[Vec<f64>]| {
        let before = percentile(&of_other_teams(values(&fair_calm)), 0.99);
        let after = percentile(&of_other_teams(values(&fair_flood)), 0.99);
        (after / before - 1.0) * 100.0
    };
    println!(
        "fair queue, others' p99 in the flood against calm: wait {:+.1} %, first token {:+.1} %",
        change(|outcome| &outcome.wait_ms),
        change(|outcome| &outcome.first_token_ms),
    );
    let served: u64 = fair_flood.tokens.iter().sum();
    println!(
        "flooding team's share of the service: {:.2}",
        fair_flood.tokens[0] as f64 / served as f64
    );
}
