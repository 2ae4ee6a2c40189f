//! New weights are named while engines have long runs, and later engines begin late for a while.

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

const ENGINES: u8 = 3;
/// When the long streams begin, and when new weights are named.
const LONG_MS: u64 = 1_000;
const LONG_STREAMS: usize = 12;
const NAMED_MS: u64 = 2_000;
/// When engines begin late, and by how much.
const LATE_MS: u64 = NAMED_MS + 8_500;
const LATE_FOR_MS: u64 = 3_500;
const BEGIN_MS: u64 = 2_500;
const TRAFFIC_MS: u64 = NAMED_MS + 15_000;
/// Requests from kept channels that may end so.
const ALLOWED: usize = 3;

fn configuration() -> serde_json::Value {
    let route = |name: &str, prefix: &str, timeout_ms: u64, attempts: u32, resumable: bool| {
        json!({ "name": name, "hostname": HOST, "pathPrefix": prefix, "routeType": "stream",
                "timeoutMs": timeout_ms, "targetLatencyMs": 300, "gapTargetMs": 250, "priority": 1,
                "service": "canopy-lm", "maxAttempts": attempts, "resumable": resumable,
                "sessionAffinity": true })
    };
    json!({
        "version": 3,
        "routes": [
            route("verdict", "/verdict/", 4_000, 1, false),
            route("draft", "/draft/", 12_000, 2, true),
            { "name": "issue", "hostname": HOST, "pathPrefix": "/issue/", "routeType": "unsafe",
              "timeoutMs": 800, "targetLatencyMs": 100, "priority": 2, "service": "notice-desk",
              "maxAttempts": 1 }
        ],
        "services": [
            { "name": "canopy-lm", "maxConns": 370, "engine": { "slots": 64,
              "kvCapacityTokens": 164393, "tokenKvBytes": 18432, "linkMbps": 370000.0, "moves": false } },
            { "name": "notice-desk", "maxConns": 110 }
        ],
        "limits": { "maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                    "idleTimeoutMs": 15000 },
        "tenants": [{ "name": "desk", "apiKeys": [KEY], "unit": "tokens", "uncachedTokens": 200 }]
    })
}

pub async fn run(folder: &Path, has_trouble: bool) -> bool {
    let record = Record::new(folder);
    let scratch = Scratch::new("weights");
    let addresses = Addresses::new();
    let store = ObjectStore::start().expect("a store");
    store.put("config", "main", configuration());
    store.put("versions", MODEL, json!({ "model": MODEL, "version": 1 }));
    let (mut workers, mut sidecars, mut gateways) = (Vec::new(), Vec::new(), Vec::new());
    for number in 0..=ENGINES {
        let is_engine = number > 0;
        let plan = WorkerPlan {
            id: format!("i-{}{number}", if is_engine { "engine" } else { "desk" }),
            service: if is_engine { "canopy-lm" } else { "notice-desk" }.to_owned(),
            zone: "windhoek-a".to_owned(),
            is_engine,
            events: 230,
            event_ms: 50,
            work_ms: 15,
        };
        let mut worker = Worker::new(plan, addresses.at(10 + number));
        worker.start();
        store.put("servers", &worker.plan.id, worker.entry("ready"));
        if is_engine {
            let name = format!("side-{number}");
            let mut sidecar = Process::sidecar(&name, "windhoek-a", worker.ip, &scratch.0);
            sidecar.start();
            sidecars.push(sidecar);
        }
        workers.push(worker);
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
    time::sleep(Duration::from_secs(5)).await;

    let ips: Vec<_> = gateways.iter().map(|gateway| gateway.ip).collect();
    let mut long: JoinSet<Answer> = JoinSet::new();
    let mut verdicts: JoinSet<(usize, String, Option<Answer>)> = JoinSet::new();
    let begun = Instant::now();
    let mut number = 0;
    let (mut has_long, mut is_named, mut is_late) = (false, false, false);
    let mut shown = String::new();
    loop {
        let now_ms = u64::try_from(begun.elapsed().as_millis()).unwrap_or(u64::MAX);
        if now_ms >= TRAFFIC_MS {
            break;
        }
        if !has_long && now_ms >= LONG_MS {
            has_long = true;
            for index in 0..LONG_STREAMS {
                let attempt = format!("d{index:015x}");
                let call = call("/draft/a", &attempt, 12_000, true);
                let address = (ips[index % ips.len()], CALLERS_PORT).into();
                long.spawn(async move { client::send(address, &call, None).await });
                time::sleep(Duration::from_millis(30)).await;
            }
        }
        if has_trouble && !is_named && now_ms >= NAMED_MS {
            is_named = true;
            store.put("versions", MODEL, json!({ "model": MODEL, "version": 2 }));
            record.line("version 2 is named");
        }
        let is_late_now = (LATE_MS..LATE_MS + LATE_FOR_MS).contains(&now_ms);
        if is_late != is_late_now {
            is_late = is_late_now;
            for engine in &workers {
                engine.set_begin_ms(if is_late { BEGIN_MS } else { 0 });
            }
            record.line(&format!("engines begin late: {is_late}"));
        }
        let state: Vec<_> = workers[1..].iter().map(|it| (it.weights(), it.is_busy())).collect();
        if shown != format!("{state:?}") {
            shown = format!("{state:?}");
            record.line(&format!("weights of the engines, and whether they carry out an order: {shown}"));
        }
        number += 1;
        let gateway = number % ips.len();
        let attempt = format!("e{number:015x}");
        let first = call("/issue/a", &format!("c{number:015x}"), 1_500, false);
        let second = call("/verdict/a", &attempt, 6_000, true);
        let address = (ips[gateway], CALLERS_PORT).into();
        verdicts.spawn(async move {
            (gateway, attempt, client::send_kept(address, &first, &second).await)
        });
        time::sleep(Duration::from_millis(70)).await;
    }
    let arrivals: Vec<_> = workers[1..]
        .iter()
        .flat_map(|engine| engine.arrivals().into_iter().map(|it| (engine.plan.id.clone(), it)))
        .collect();
    let (mut lost, mut whole, mut all) = (0, 0, 0);
    let mut others = std::collections::BTreeMap::new();
    while let Some(Ok((gateway, attempt, answer))) = verdicts.join_next().await {
        let Some(answer) = answer else { continue };
        let reached: Vec<_> =
            arrivals.iter().filter(|(_, it)| it.attempt == attempt).map(|(id, _)| id.as_str()).collect();
        all += 1;
        whole += usize::from(answer.is_whole && answer.status == Some(200));
        let has_no_answer = !answer.is_whole && answer.body.is_empty();
        let took_ms = answer.ended.duration_since(answer.sent).as_millis();
        let is_lost = has_no_answer && !reached.is_empty() && took_ms < 4_000;
        lost += usize::from(is_lost);
        if answer.status != Some(200) {
            *others.entry(answer.status).or_insert(0) += 1;
        }
        record.line_at(answer.sent, &format!(
            "verdict {attempt} to front-{}: reached {reached:?}, {:?}, {} events, {}, after {took_ms} ms{}",
            gateway + 1, answer.status, answer.text().matches("data: ").count(),
            if answer.is_whole { "whole" } else { "the channel was closed" },
            if is_lost { ", LOST" } else { "" }
        ));
    }
    record.say(&format!("verdicts {all}, whole {whole}, other statuses {others:?}"));
    record.say(&format!("passed on to a sound engine, and the channel was closed without any event: {lost}"));
    let is_broken = lost > ALLOWED;
    record.say(&format!("LOST broken (more than {ALLOWED}): {is_broken}"));
    drop(sidecars);
    is_broken
}

fn call(path: &str, attempt: &str, deadline_ms: u64, is_generation: bool) -> Call {
    Call { path: path.to_owned(), attempt: attempt.to_owned(), deadline_ms, is_generation, more: String::new() }
}
