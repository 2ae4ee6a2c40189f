//! A team's limit over several routers, through a crash and an outage of the platform.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use samphirespread_standin::{caller::CompletionAnswer, platform::Outage};
use samphirespread_testkit::{Fleet, FleetBuilder, Signal, steps::request};
use serde_json::Value;
use tokio::{task::JoinSet, time::sleep};

const TEAM: &str = "haulage";
const RATE_TOKENS_PER_S: u64 = 3_000;
const BURST_TOKENS: u64 = 9_000;
const OUTPUT_TOKENS: u32 = 100;
const CALLERS_PER_ROUTER: usize = 6;
const PHASE: Duration = Duration::from_secs(3);
const WHOLE_PARTS: u64 = 840;

fn builder() -> FleetBuilder {
    Fleet::builder()
        .routers(3)
        .agents(2)
        .team(TEAM, RATE_TOKENS_PER_S, BURST_TOKENS)
        .router_setting("limits", "lump_lifetime_ms", "500")
        .router_setting("limits", "revoke_wait_ms", "2000")
}

/// What the whole fleet has answered.
#[derive(Default)]
struct Served {
    stop: AtomicBool,
    tokens: AtomicU64,
    refused: AtomicU64,
}

/// Asks one router again and again, far above the limit.
async fn flood(fleet: &Fleet, router: usize, served: &Arc<Served>, tasks: &mut JoinSet<()>) {
    for index in 0..CALLERS_PER_ROUTER {
        let caller = fleet.caller_of(router, TEAM);
        let served = Arc::clone(served);
        tasks.spawn(async move {
            let ask = request(&format!("Classify receipt {index}."), OUTPUT_TOKENS);
            while !served.stop.load(Ordering::Relaxed) {
                let answer = caller.complete(&ask).await;
                if answer.as_ref().is_ok_and(CompletionAnswer::is_complete) {
                    served.tokens.fetch_add(u64::from(OUTPUT_TOKENS), Ordering::Relaxed);
                    continue;
                }
                served.refused.fetch_add(1, Ordering::Relaxed);
                sleep(Duration::from_millis(20)).await;
            }
        });
    }
}

async fn phase(served: &Served) -> u64 {
    let before = served.tokens.load(Ordering::Relaxed);
    sleep(PHASE).await;
    served.tokens.load(Ordering::Relaxed) - before
}

/// Parts of each holder of the team's slot that one router knows of its own.
async fn own_parts(fleet: &Fleet, router: usize) -> u64 {
    let dump = fleet.dump(&fleet.routers[router].daemon).await;
    let dump: Value = serde_json::from_str(&dump).unwrap();
    let slot = dump["limits"]["teams"][0]["slot"].clone();
    let slots = dump["limits"]["slots"].as_array().cloned().unwrap_or_default();
    let own = slots.iter().find(|found| found["slot"] == slot);
    own.and_then(|own| own["parts"].as_u64()).unwrap_or(0)
}

#[tokio::test]
async fn no_more_than_rate_and_burst_through_a_crash_and_an_outage() {
    let mut fleet = builder().start().await;
    let served = Arc::new(Served::default());
    let mut tasks = JoinSet::new();
    let began = Instant::now();
    for router in 0..3 {
        flood(&fleet, router, &served, &mut tasks).await;
    }

    let calm = phase(&served).await;
    fleet.routers[0].daemon.kill().await;
    let crashed = phase(&served).await;
    fleet.platform.set_outage(Outage::Silent);
    let outage = phase(&served).await;
    served.stop.store(true, Ordering::Relaxed);
    while tasks.join_next().await.is_some() {}
    let elapsed_ms = u64::try_from(began.elapsed().as_millis()).unwrap();

    let most = RATE_TOKENS_PER_S * elapsed_ms / 1_000 + BURST_TOKENS;
    let tokens = served.tokens.load(Ordering::Relaxed);
    assert!(tokens <= most, "{tokens} tokens of at most {most}");
    assert!(served.refused.load(Ordering::Relaxed) > 0, "the flood was within the limit");
    assert!(calm > 0 && crashed > 0 && outage > 0, "{calm} {crashed} {outage}");
}

#[tokio::test]
async fn a_leaving_router_hands_its_shares_back() {
    let mut fleet = builder().start().await;
    let mut before = 0;
    for _ in 0..200 {
        before = own_parts(&fleet, 0).await;
        if before > 0 {
            break;
        }
        sleep(Duration::from_millis(50)).await;
    }

    let metrics = fleet.metrics(&fleet.routers[0].daemon).await;
    fleet.routers[0].daemon.signal(Signal::Term).await;
    let exit = fleet.routers[0].daemon.wait().await;

    let mut parts = 0;
    for _ in 0..200 {
        parts = own_parts(&fleet, 1).await + own_parts(&fleet, 2).await;
        if parts == WHOLE_PARTS {
            break;
        }
        sleep(Duration::from_millis(50)).await;
    }
    assert!(before > 0);
    assert!(metrics.contains("limit_level_tokens{team=\"haulage\"}"), "{metrics}");
    assert_eq!(exit.code(), Some(0), "{}", fleet.routers[0].daemon.log());
    assert_eq!(parts, WHOLE_PARTS);
}
