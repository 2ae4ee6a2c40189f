//! A long run of random failures with streams and calls under way.
//!
//! `SAMPHIRESPREAD_SEED` sets the seed and `SAMPHIRESPREAD_CASES` the number of failures. For a long run:
//! `SAMPHIRESPREAD_CASES=500 cargo test -p samphirespread-testkit --test chaos`.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use http::Method;
use rand::{Rng, SeedableRng, rngs::StdRng};
use samphirespread_standin::{
    caller::{Caller, CompletionAnswer, PlainAnswer},
    engine::EngineConfig,
    platform::Outage,
    service::ServiceConfig,
    text,
};
use samphirespread_testkit::{DEFAULT_MODEL, DEFAULT_VERSION, Fleet, Signal, steps::request};
use tokio::task::JoinSet;

const DEFAULT_SEED: u64 = 1;
const DEFAULT_CASES: u64 = 8;
const CALLERS: usize = 6;
const TOKENS: u32 = 150;

/// What fails.
#[derive(Clone, Copy, Debug)]
enum Failure {
    KillAgent,
    FreezeAgent,
    CrashEngine,
    SilenceAgent,
    SilenceEngine,
    CutAgent,
    LoseEvents,
    PlatformDown,
    PlatformSilent,
}

const FAILURES: [Failure; 9] = [
    Failure::KillAgent,
    Failure::FreezeAgent,
    Failure::CrashEngine,
    Failure::SilenceAgent,
    Failure::SilenceEngine,
    Failure::CutAgent,
    Failure::LoseEvents,
    Failure::PlatformDown,
    Failure::PlatformSilent,
];

/// What callers saw.
#[derive(Debug, Default)]
struct Seen {
    streams: Vec<(String, CompletionAnswer)>,
    calls: Vec<(String, Option<PlainAnswer>)>,
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn streams_are_whole_and_calls_honest_through_random_failures() {
    run(1).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn streams_are_whole_and_calls_honest_through_pairs_of_failures() {
    run(2).await;
}

/// Brings failures about, so many at once, and checks what callers saw.
async fn run(at_once: usize) {
    let seed = number("SAMPHIRESPREAD_SEED", DEFAULT_SEED);
    let cases = number("SAMPHIRESPREAD_CASES", DEFAULT_CASES);
    let mut rng = StdRng::seed_from_u64(seed);
    let mut fleet = start(at_once + 2).await;
    let stop = Arc::new(AtomicBool::new(false));
    let mut callers = JoinSet::new();
    for index in 0..CALLERS {
        callers.spawn(stream_on(fleet.caller(index % 2), index, Arc::clone(&stop)));
        callers.spawn(call_on(fleet.caller(index % 2), index, Arc::clone(&stop)));
    }

    let mut history = Vec::new();
    for _ in 0..cases {
        let failures: Vec<(Failure, usize)> = draw(&fleet, at_once, &mut rng);
        history.extend(failures.clone());
        for (failure, agent) in &failures {
            begin(&mut fleet, *failure, *agent).await;
        }
        pause_ms(rng.random_range(100..800)).await;
        for (failure, agent) in &failures {
            heal(&mut fleet, *failure, *agent).await;
        }
        pause_ms(rng.random_range(300..900)).await;
    }
    stop.store(true, Ordering::Relaxed);
    let mut seen = Seen::default();
    for part in callers.join_all().await {
        seen.streams.extend(part.streams);
        seen.calls.extend(part.calls);
    }

    let context = format!("seed {seed}, failures {history:?}");
    assert!(!seen.streams.is_empty() && !seen.calls.is_empty(), "{context}");
    for (prompt, answer) in &seen.streams {
        assert_stream(prompt, answer, &context);
    }
    for (id, answer) in &seen.calls {
        assert_call(&fleet, id, answer.as_ref(), &context);
    }
}

async fn pause_ms(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

fn number(variable: &str, default: u64) -> u64 {
    std::env::var(variable).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

async fn start(agents: usize) -> Fleet {
    let engine = EngineConfig::new(DEFAULT_MODEL, DEFAULT_VERSION).decode_step_us(5_000);
    Fleet::builder()
        .routers(2)
        .agents(agents)
        .services(2)
        .engine(engine)
        .service(ServiceConfig::new().run_ms(20))
        .agent_links()
        .engine_links()
        .router_setting("peers", "heartbeat_ms", "100")
        .router_setting("peers", "silence_timeout_ms", "600")
        .agent_setting("peers", "silence_timeout_ms", "600")
        .start()
        .await
}

/// Failures that come at once, each at an agent of its own.
fn draw(fleet: &Fleet, at_once: usize, rng: &mut StdRng) -> Vec<(Failure, usize)> {
    let agents = fleet.agents.len();
    let first = rng.random_range(0..agents);
    let failures = (0..at_once).map(|index| {
        let failure = FAILURES[rng.random_range(0..FAILURES.len())];
        (failure, (first + index) % agents)
    });
    failures.collect()
}

async fn begin(fleet: &mut Fleet, failure: Failure, index: usize) {
    let agent = &mut fleet.agents[index];
    match failure {
        Failure::KillAgent => agent.daemon.kill().await,
        Failure::FreezeAgent => agent.daemon.signal(Signal::Stop).await,
        Failure::CrashEngine => agent.engine.go_down().await.unwrap(),
        Failure::SilenceAgent => agent.agent_link.as_ref().unwrap().silence(),
        Failure::SilenceEngine => agent.engine_link.as_ref().unwrap().silence(),
        Failure::CutAgent => agent.agent_link.as_ref().unwrap().cut(),
        Failure::LoseEvents => agent.engine.drop_next_events(20),
        Failure::PlatformDown => fleet.platform.set_outage(Outage::Unavailable),
        Failure::PlatformSilent => fleet.platform.set_outage(Outage::Silent),
    }
}

/// Ends a failure. Connections that went silent stay so; new ones work anyway.
async fn heal(fleet: &mut Fleet, failure: Failure, index: usize) {
    match failure {
        Failure::KillAgent => fleet.restart_agent(index).await,
        Failure::FreezeAgent => fleet.agents[index].daemon.signal(Signal::Cont).await,
        Failure::CrashEngine => fleet.agents[index].engine.come_back().unwrap(),
        Failure::PlatformDown | Failure::PlatformSilent => {
            fleet.platform.set_outage(Outage::None);
        }
        Failure::SilenceAgent
        | Failure::SilenceEngine
        | Failure::CutAgent
        | Failure::LoseEvents => {}
    }
}

async fn stream_on(caller: Caller, index: usize, stop: Arc<AtomicBool>) -> Seen {
    let mut seen = Seen::default();
    while !stop.load(Ordering::Relaxed) {
        let prompt = format!("Ledger {index}, letter {}: draft.", seen.streams.len());
        let answer = caller.complete(&request(&prompt, TOKENS)).await.expect("the router answers");
        seen.streams.push((prompt, answer));
    }
    seen
}

async fn call_on(caller: Caller, index: usize, stop: Arc<AtomicBool>) -> Seen {
    let mut seen = Seen::default();
    while !stop.load(Ordering::Relaxed) {
        let id = format!("call-{index}-{}", seen.calls.len());
        let named = caller.clone().header("x-call-id", &id);
        let answer = named.call(Method::POST, "/notices/1", "send").await;
        seen.calls.push((id, answer.ok()));
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    seen
}

/// Failures heal and two agents are always well, so each stream must be whole.
fn assert_stream(prompt: &str, answer: &CompletionAnswer, context: &str) {
    let whole = text::answer(prompt, TOKENS as usize);
    assert!(answer.is_complete(), "{context}: {prompt}: {answer:?}");
    assert_eq!(answer.text, whole, "{context}: {prompt}");
}

fn assert_call(fleet: &Fleet, id: &str, answer: Option<&PlainAnswer>, context: &str) {
    let runs: usize = fleet.services.iter().map(|node| node.service.runs_of(id).len()).sum();
    assert!(runs <= 1, "{context}: {id} ran {runs} times: {answer:?}");
    let Some(answer) = answer else { return };
    if answer.status.is_success() {
        assert_eq!(runs, 1, "{context}: {id}: {answer:?}");
    }
    if answer.refusal().is_some_and(|refusal| refusal.not_run) {
        assert_eq!(runs, 0, "{context}: {id}: {answer:?}");
    }
}
