//! What a router adds to the first token, and how much one router process relays.
//!
//! `cargo bench -p samphirespread-testkit --bench relay`, after
//! `cargo build --release --bins`. The environment variable `SAMPHIRESPREAD_SEED` sets the seed.

use std::time::{Duration, Instant};

use samphirespread_bench::load::{
    EngineTarget, LoadReport, LoadRun, Pacing, RouterTarget, Target, TargetReport, TeamTraffic,
    Traffic,
};
use samphirespread_standin::engine::EngineConfig;
use samphirespread_testkit::{DEFAULT_MODEL, DEFAULT_TEAM, DEFAULT_VERSION, Fleet, FleetBuilder};

const BLOCK_BYTES: u32 = 8_192;
const TEAM_RATE_TOKENS_PER_S: u64 = 1_000_000_000;
const MAX_TIME: Duration = Duration::from_secs(30);

#[tokio::main]
async fn main() {
    if std::env::args().any(|argument| argument == "--test") {
        return;
    }
    let short = traffic(4_000).requests_per_s(200.0).prefix_blocks(0, 0).rest_tokens(768);
    let long = traffic(4_000).requests_per_s(200.0).prefix_blocks(4, 2).rest_tokens(256);
    let one = Pacing::Closed { concurrency: 1 };
    added_first_token("768-token prompts, one at a time", &short, one, 0).await;
    added_first_token("768-token prompts, 200 requests/s", &short, Pacing::Open, 500).await;
    added_first_token("12,544-token prompts, 200 requests/s", &long, Pacing::Open, 500).await;
    saturation("requests", 20_000, 64, 1).await;
    saturation("tokens", 2_000, 128, 1_000).await;
}

fn fleet(engine: EngineConfig, agents: usize) -> FleetBuilder {
    Fleet::builder()
        .agents(agents)
        .engine(engine.records_requests(false).batch_limit(256))
        .block_bytes(BLOCK_BYTES)
        .team(DEFAULT_TEAM, TEAM_RATE_TOKENS_PER_S, TEAM_RATE_TOKENS_PER_S)
        .router_setting("log", "level", "warning")
        .agent_setting("log", "level", "warning")
        .agent_setting("queue", "concurrency", "256")
}

fn traffic(requests: usize) -> Traffic {
    let seed = std::env::var("SAMPHIRESPREAD_SEED").ok().and_then(|seed| seed.parse().ok());
    Traffic::new(DEFAULT_MODEL)
        .seed(seed.unwrap_or(1))
        .requests(requests)
        .team(TeamTraffic::new(DEFAULT_TEAM, 1.0))
}

fn through_router(fleet: &Fleet) -> Target {
    let address = fleet.routers[0].daemon.callers().to_string();
    let key = fleet.key(DEFAULT_TEAM);
    Target::Router(Box::new(RouterTarget::new(&address).key(DEFAULT_TEAM, &key)))
}

/// Every second request goes straight to the engine that the router's requests end at.
///
/// One at a time, the engine's steps must take no time: they wait for a timer of a millisecond,
/// and whether a request just meets it or just misses it would be all that is seen.
async fn added_first_token(name: &str, traffic: &Traffic, pacing: Pacing, decode_step_us: u64) {
    let engine = EngineConfig::new(DEFAULT_MODEL, DEFAULT_VERSION).prefill_us_per_token(0);
    let fleet = fleet(engine.decode_step_us(decode_step_us), 1).start().await;
    let direct = EngineTarget::new(&fleet.agents[0].engine.address().to_string(), DEFAULT_VERSION);
    let load = LoadRun::new(traffic.clone().output_tokens(16).generate())
        .target("router", through_router(&fleet))
        .target("direct", Target::Engine(direct))
        .pacing(pacing)
        .max_time(MAX_TIME);

    let report = load.run(progress).await.expect("the load runs");

    print(&format!("added time to first token, {name}\n{report}"));
    let [router, direct] = &report.targets[..] else { return };
    let added = |of: fn(&TargetReport) -> f64| of(router) - of(direct);
    print(&format!(
        "added: p50 {:.2} ms, p95 {:.2} ms, p99 {:.2} ms\n",
        added(|target| target.first_token.p50_ms),
        added(|target| target.first_token.p95_ms),
        added(|target| target.first_token.p99_ms),
    ));
}

/// As much as one router process with one worker thread relays.
async fn saturation(name: &str, requests: usize, concurrency: usize, output_tokens: u32) {
    let engine = EngineConfig::new(DEFAULT_MODEL, DEFAULT_VERSION);
    let builder = fleet(engine.prefill_us_per_token(0).decode_step_us(250), 4);
    let fleet = builder.router_environment("TOKIO_WORKER_THREADS", "1").start().await;
    let records =
        traffic(requests).prefix_blocks(0, 0).rest_tokens(64).output_tokens(output_tokens);
    let load = LoadRun::new(records.generate())
        .target("router", through_router(&fleet))
        .pacing(Pacing::Closed { concurrency })
        .max_time(MAX_TIME);
    let router = &fleet.routers[0].daemon;
    let (cpu_before, begun) = (router.cpu_time(), Instant::now());

    let report = load.run(progress).await.expect("the load runs");

    let cpu_s = (router.cpu_time() - cpu_before).as_secs_f64();
    let cores = cpu_s / begun.elapsed().as_secs_f64();
    print(&format!(
        "saturation by {name}, {concurrency} at once, {output_tokens} tokens each\n{report}"
    ));
    print_per_core(&report, cpu_s, cores);
}

fn print_per_core(report: &LoadReport, cpu_s: f64, cores: f64) {
    let target = &report.targets[0];
    let tokens = target.tokens_per_s * report.elapsed_s;
    print(&format!(
        "router used {cores:.2} cores: {:.0} requests and {:.0} tokens for a second of one core\n",
        target.complete as f64 / cpu_s,
        tokens / cpu_s,
    ));
}

#[expect(clippy::print_stderr, reason = "progress of a bench")]
fn progress(line: &str) {
    eprintln!("{line}");
}

#[expect(clippy::print_stdout, reason = "the result of a bench")]
fn print(text: &str) {
    println!("{text}");
}
