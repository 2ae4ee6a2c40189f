//! A worker starts again under its id with other software while the store is down, and crashes later.

use std::{path::Path, time::{Duration, Instant}};

use samphirespread_standin::published::ObjectStore;
use serde_json::json;
use tokio::{task::JoinSet, time};

use crate::{
    client::{self, Answer, Call, HOST, KEY},
    record::{Record, Scratch},
    site::{Addresses, CALLERS_PORT, Process},
    worker::{MODEL, Worker, WorkerPlan},
};

const ENGINES: u8 = 4;
/// What happens when, since the traffic began.
const STORE_DOWN_MS: u64 = 5_000;
const STORE_DOWN_FOR_MS: u64 = 4_500;
const UPGRADE_MS: u64 = STORE_DOWN_MS + 3_100;
const UPGRADE_TAKES_MS: u64 = 200;
const CRASH_MS: u64 = STORE_DOWN_MS + 6_500;
const CRASH_TAKES_MS: u64 = 1_000;
const TRAFFIC_MS: u64 = STORE_DOWN_MS + 9_000;
/// The time within which a worker writes its entry again after an outage of the store.
const ENTRY_AFTER_MS: u64 = 500;
/// Streams that may hold events of two versions.
const ALLOWED: usize = 2;

fn configuration() -> serde_json::Value {
    json!({
        "version": 3,
        "routes": [
            { "name": "draft", "hostname": HOST, "pathPrefix": "/draft/", "routeType": "stream",
              "timeoutMs": 12000, "targetLatencyMs": 250, "gapTargetMs": 250, "priority": 0,
              "service": "canopy-lm", "maxAttempts": 2, "resumable": true, "sessionAffinity": true }
        ],
        "services": [
            { "name": "canopy-lm", "maxConns": 370, "engine": { "slots": 64,
              "kvCapacityTokens": 164393, "tokenKvBytes": 18432, "linkMbps": 370000.0, "moves": false } }
        ],
        "limits": { "maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000,
                    "idleTimeoutMs": 8000 },
        "tenants": [{ "name": "desk", "apiKeys": [KEY], "unit": "tokens", "uncachedTokens": 200 }]
    })
}

pub async fn run(folder: &Path, has_trouble: bool) -> bool {
    let record = Record::new(folder);
    let scratch = Scratch::new("upgrade");
    let addresses = Addresses::new();
    let store = ObjectStore::start().expect("a store");
    store.put("config", "main", configuration());
    store.put("versions", MODEL, json!({ "model": MODEL, "version": 1 }));
    let (mut engines, mut sidecars, mut gateways) = (Vec::new(), Vec::new(), Vec::new());
    for number in 1..=ENGINES {
        let plan = WorkerPlan {
            id: format!("i-engine{number}"),
            service: "canopy-lm".to_owned(),
            zone: "windhoek-a".to_owned(),
            is_engine: true,
            events: 80,
            event_ms: 50,
            work_ms: 0,
        };
        let mut engine = Worker::new(plan, addresses.at(10 + number));
        engine.start();
        store.put("servers", &engine.plan.id, engine.entry("ready"));
        let name = format!("side-{number}");
        let mut sidecar = Process::sidecar(&name, "windhoek-a", engine.ip, &scratch.0);
        sidecar.start();
        sidecars.push(sidecar);
        engines.push(engine);
    }
    for number in 1..=2 {
        let (name, ip) = (format!("front-{number}"), addresses.at(number));
        let mut gateway = Process::gateway(&name, "windhoek-a", ip, store.address(), &scratch.0);
        gateway.start();
        gateways.push(gateway);
    }
    for gateway in &gateways {
        gateway.until_ready().await;
    }
    time::sleep(Duration::from_secs(3)).await;

    let ips: Vec<_> = gateways.iter().map(|gateway| gateway.ip).collect();
    let mut streams: JoinSet<(usize, String, Answer)> = JoinSet::new();
    let begun = Instant::now();
    let mut steps = plan(has_trouble).into_iter().peekable();
    let mut number = 0;
    loop {
        let now_ms = u64::try_from(begun.elapsed().as_millis()).unwrap_or(u64::MAX);
        while let Some((_, step)) = steps.next_if(|(at_ms, _)| *at_ms <= now_ms) {
            record.line(step);
            match step {
                "the store falls silent" => store.set_frozen(true),
                "the store is back" => store.set_frozen(false),
                "i-engine1 ends, to start with software v2" => engines[0].crash().await,
                "i-engine1 crashes" => engines[0].crash().await,
                "i-engine1 starts under its id, with v2" => {
                    engines[0].set_software("v2");
                    engines[0].start();
                }
                _ => {
                    store.put("servers", &engines[0].plan.id, engines[0].entry("ready"));
                }
            }
        }
        if now_ms >= TRAFFIC_MS {
            break;
        }
        number += 1;
        let gateway = number % ips.len();
        let attempt = format!("d{number:015x}");
        let call = Call {
            path: "/draft/a".to_owned(),
            attempt: attempt.clone(),
            deadline_ms: 12_000,
            is_generation: true,
            more: String::new(),
        };
        let address = (ips[gateway], CALLERS_PORT).into();
        streams.spawn(async move { (gateway, attempt, client::send(address, &call, None).await) });
        time::sleep(Duration::from_millis(35)).await;
    }
    let (mut mixed, mut whole, mut all) = (0, 0, 0);
    while let Some(Ok((gateway, attempt, answer))) = streams.join_next().await {
        let text = answer.text();
        let is_mixed = text.contains("data: v1 ") && text.contains("data: v2 ");
        all += 1;
        mixed += usize::from(is_mixed);
        whole += usize::from(answer.is_whole);
        record.line_at(answer.sent, &format!(
            "stream {attempt} to front-{}: {:?}, {} events, {}{}",
            gateway + 1, answer.status, text.matches("data: ").count(),
            if answer.is_whole { "whole" } else { "not whole" },
            if is_mixed { ", EVENTS OF v1 AND v2" } else { "" }
        ));
        if is_mixed {
            let events: Vec<&str> = text.lines().filter(|line| line.starts_with("data: ")).collect();
            let turn = events.windows(2).find(|pair| pair[0][6..8] != pair[1][6..8]);
            record.line_at(answer.sent, &format!("  where the version changes: {turn:?}"));
        }
    }
    for engine in &engines {
        for arrival in engine.arrivals() {
            record.line_at(arrival.at, &format!(
                "{} ({}) gets {} {} after event {:?}, runs it: {}, whole: {}",
                engine.plan.id, arrival.software, arrival.path, arrival.attempt, arrival.last_event,
                arrival.ran, arrival.ended
            ));
        }
    }
    record.say(&format!("streams {all}, whole {whole}, with events of two versions {mixed}"));
    let is_broken = mixed > ALLOWED;
    record.say(&format!("ORDER broken (more than {ALLOWED}): {is_broken}"));
    drop(sidecars);
    is_broken
}

/// The steps and their times. Without the disruption the store stays up, so that the entry of the new
/// process is written at its start.
fn plan(has_trouble: bool) -> Vec<(u64, &'static str)> {
    let started = UPGRADE_MS + UPGRADE_TAKES_MS;
    let up = STORE_DOWN_MS + STORE_DOWN_FOR_MS;
    let written = if has_trouble { up + ENTRY_AFTER_MS } else { started };
    let mut steps = vec![
        (UPGRADE_MS, "i-engine1 ends, to start with software v2"),
        (started, "i-engine1 starts under its id, with v2"),
        (written, "i-engine1 writes its entry"),
        (CRASH_MS, "i-engine1 crashes"),
        (CRASH_MS + CRASH_TAKES_MS, "i-engine1 starts under its id, with v2"),
        (CRASH_MS + CRASH_TAKES_MS, "i-engine1 writes its entry"),
    ];
    if has_trouble {
        steps.push((STORE_DOWN_MS, "the store falls silent"));
        steps.push((up, "the store is back"));
    }
    steps.sort_by_key(|(at_ms, _)| *at_ms);
    steps
}
