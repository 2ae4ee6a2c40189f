//! Measures how long other teams wait when one team sends five times its usual rate.
//!
//! An agent serves a stand-in engine, both on loopback. Five teams send prompts at Poisson arrival
//! times without waiting for answers. A second run repeats the arrivals, but the largest team sends
//! five times its rate. `SAMPHIRESPREAD_RATE` is the total rate of all teams in requests per
//! second, `SAMPHIRESPREAD_RUN_S` the length of each run in seconds, and `SAMPHIRESPREAD_SEED` the
//! seed.
//!
//! Run it with `cargo run --release -p samphirespread-agent --example flood`.

#![allow(clippy::print_stdout)]

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use rand::{Rng, SeedableRng, rngs::StdRng};
use samphirespread_agent::Agent;
use samphirespread_core::prelude::*;
use samphirespread_settings::AgentSettings;
use samphirespread_standin::engine::{Engine, EngineConfig};
use samphirespread_wire::{
    Connection, HelloSource, Secret, WireConfig,
    message::{Hello, ModelWork, ObjectVersion, Reply, Request, Run, Work},
};
use slog::{Discard, Logger, o};
use tokio::{task::JoinSet, time::Instant};
use tokio_util::sync::CancellationToken;

const SECRET: &str = "a-secret-of-the-flood-example";
const CONCURRENCY: usize = 16;
const PROMPT_TOKENS: u64 = 2_048;
const OUTPUT_TOKENS: u32 = 16;
/// Share of each team in the total rate. The first team is the one that floods.
const TEAM_SHARES: [f64; 5] = [0.38, 0.31, 0.18, 0.08, 0.05];
const FLOOD_FACTOR: f64 = 5.0;

#[derive(Clone)]
struct Router;

impl HelloSource for Router {
    fn hello(&self) -> Hello {
        Hello {
            name: InstanceName::new("r1"),
            incarnation: Incarnation(1),
            generation: Generation(0),
            live_version: ObjectVersion::default(),
            leaving: false,
        }
    }

    fn receive_hello(&self, _: &Hello) {}
}

#[derive(Clone, Copy)]
struct Arrival {
    team: usize,
    at_s: f64,
}

#[derive(Default)]
struct Outcome {
    first_token_ms: [Vec<f64>; TEAM_SHARES.len()],
    finished: [usize; TEAM_SHARES.len()],
    not_run: [usize; TEAM_SHARES.len()],
}

fn env(name: &str, default: f64) -> f64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Returns the arrivals of all teams. Each team has its own random number generator, so that a
/// flood doesn't change the arrivals of the others.
fn arrivals(seed: u64, rate: f64, run_s: f64, flood: bool) -> Vec<Arrival> {
    let mut all = Vec::new();
    for (team, part) in TEAM_SHARES.iter().enumerate() {
        let mut rng = StdRng::seed_from_u64(seed.wrapping_mul(1_000) + team as u64);
        let factor = if flood && team == 0 { FLOOD_FACTOR } else { 1.0 };
        let mut at_s = 0.0;
        loop {
            at_s -= (1.0 - rng.random::<f64>()).ln() / (rate * part * factor);
            if at_s > run_s {
                break;
            }
            all.push(Arrival { team, at_s });
        }
    }
    all.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    all
}

fn request(serial: u64, team: usize) -> Run {
    Run {
        attempt: AttemptId { request: RequestId { origin: 1, serial }, number: 0 },
        fence: FencingNumber(1),
        generation: Generation(0),
        team: TeamName::new(format!("team-{team}")),
        weight: (TEAM_SHARES[team] * 10_000.0) as u64,
        priority: 100,
        queue_limit_ms: 10_000,
        work: Work::Model(ModelWork {
            model: ModelName::new("reader"),
            version: WeightsVersion::new("v1"),
            cache_salt: format!("salt-{team}"),
            prompt: format!("{serial:08}").repeat(PROMPT_TOKENS as usize / 2),
            prompt_tokens: PROMPT_TOKENS,
            max_output_tokens: OUTPUT_TOKENS,
            sampling: "{}".to_owned(),
            blocks: vec![BlockKey(serial)],
            block_bytes: 8_192,
        }),
    }
}

async fn send(connection: &Connection, serial: u64, team: usize, outcome: &Mutex<Outcome>) {
    let sent_at = Instant::now();
    let request = Request::Run(Box::new(request(serial, team)));
    let mut replies = connection.open(&request).await.expect("the agent is reachable");
    let mut is_first = true;
    while let Some(reply) = replies.next().await.expect("the agent is reachable") {
        let mut outcome = outcome.lock().expect("no sender panics");
        match reply {
            Reply::Output(_) if is_first => {
                is_first = false;
                let first_token_ms = sent_at.elapsed().as_secs_f64() * 1_000.0;
                outcome.first_token_ms[team].push(first_token_ms);
            }
            Reply::Finished(_) => outcome.finished[team] += 1,
            Reply::NotRun(_) => outcome.not_run[team] += 1,
            _ => {}
        }
    }
}

async fn run(connection: &Connection, first_serial: u64, arrivals: &[Arrival]) -> Outcome {
    let outcome = Arc::new(Mutex::new(Outcome::default()));
    let mut senders = JoinSet::new();
    let start = Instant::now();
    for (serial, arrival) in (first_serial..).zip(arrivals) {
        tokio::time::sleep_until(start + Duration::from_secs_f64(arrival.at_s)).await;
        let (connection, outcome, team) = (connection.clone(), outcome.clone(), arrival.team);
        senders.spawn(async move { send(&connection, serial, team, &outcome).await });
    }
    while senders.join_next().await.is_some() {}
    std::mem::take(&mut outcome.lock().expect("no sender panics"))
}

fn percentile(values: &[f64], part: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let index = ((sorted.len() as f64 * part).ceil() as usize).clamp(1, sorted.len().max(1)) - 1;
    sorted.get(index).copied().unwrap_or(f64::NAN)
}

fn print_outcome(name: &str, outcome: &Outcome) -> f64 {
    let others = outcome.first_token_ms[1..].concat();
    let worst = outcome.first_token_ms[1..]
        .iter()
        .map(|values| percentile(values, 0.99))
        .fold(0.0, f64::max);
    let p99 = percentile(&others, 0.99);
    println!(
        "| {name} | {:.1} | {:.1} | {p99:.1} | {worst:.1} | {} | {} | {} | {} |",
        percentile(&others, 0.5),
        percentile(&others, 0.95),
        outcome.finished[1..].iter().sum::<usize>(),
        outcome.not_run[1..].iter().sum::<usize>(),
        outcome.finished[0],
        outcome.not_run[0],
    );
    p99
}

async fn agent_before(engine: &Engine) -> Connection {
    let text = format!(
        "[instance]\nname = a1\nregion = khomas\nfailure_domain = khomas-1\n\
         [listen]\npeers = 127.0.0.1:0\nadmin = 127.0.0.1:0\n\
         [backend]\nkind = model\naddress = {}\nset = drafting\n\
         [queue]\nconcurrency = {CONCURRENCY}\nmax_wait_ms = 10000\nmax_requests = 512\n\
         [security]\npeer_secret = {SECRET}\n",
        engine.address()
    );
    let settings = AgentSettings::parse(&text).expect("the settings are valid");
    let agent = Agent::bind(settings, Logger::root(Discard, o!())).await.expect("ports are free");
    let address = agent.peers_address().to_string();
    tokio::spawn(agent.run(CancellationToken::new()));
    tokio::time::sleep(Duration::from_millis(500)).await;
    let config = WireConfig::new(Secret::new(SECRET));
    Connection::dial(&address, &config, Router).await.expect("the agent is reachable")
}

#[tokio::main]
async fn main() {
    let seed = env("SAMPHIRESPREAD_SEED", 1.0) as u64;
    let rate = env("SAMPHIRESPREAD_RATE", 40.0);
    let run_s = env("SAMPHIRESPREAD_RUN_S", 60.0);
    let config = EngineConfig::new("reader", "v1")
        .batch_limit(CONCURRENCY)
        .prefill_us_per_token(5)
        .decode_step_us(2_000)
        .records_requests(false);
    let engine = Engine::start(config).await.expect("a port is free");
    let connection = agent_before(&engine).await;
    println!("seed {seed}, {rate} requests/s, {run_s} s a run");
    println!(
        "| run | others' first token p50 ms | p95 | p99 | p99 of the worst-served other team | \
         others finished | others not run | flooding team finished | not run |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let calm = run(&connection, 0, &arrivals(seed, rate, run_s, false)).await;
    let calm_p99 = print_outcome("calm", &calm);
    let flood = run(&connection, 1_000_000, &arrivals(seed, rate, run_s, true)).await;
    let flood_p99 = print_outcome("flood", &flood);
    println!("others' p99, flood against calm: {:+.1} %", (flood_p99 / calm_p99 - 1.0) * 100.0);
}
