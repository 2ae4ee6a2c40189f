//! A worker in trouble writes bytes without end in the bodies of streams, to clients on slow links.

use std::{
    path::Path,
    sync::{Arc, Mutex, atomic::{AtomicBool, Ordering::SeqCst}},
    time::{Duration, Instant},
};

use samphirespread_standin::published::ObjectStore;
use serde_json::json;
use tokio::{task::JoinSet, time};

use crate::{
    client::{self, Answer, Call, HOST, KEY, Reading},
    record::{Record, Scratch},
    site::{Addresses, CALLERS_PORT, Process},
    worker::{MODEL, Worker, WorkerPlan},
};

const ENGINES: u8 = 8;
pub const MEMORY_LIMIT_BYTES: u64 = 110_000_000;
const TROUBLE_S: f64 = 24.0;
/// A process that ended is started again after this.
const RESTART_MS: u64 = 500;
/// A client on a link of 320 kbit/s.
const SLOW: Reading = Reading { buffer_bytes: 16 * 1_024, piece_bytes: 4_096, pause_ms: 100 };

fn configuration() -> serde_json::Value {
    json!({
        "version": 3,
        "routes": [
            { "name": "draft", "hostname": HOST, "pathPrefix": "/draft/", "routeType": "stream",
              "timeoutMs": 12000, "targetLatencyMs": 250, "gapTargetMs": 250, "priority": 0,
              "service": "canopy-lm", "maxAttempts": 2, "resumable": true, "sessionAffinity": true },
            { "name": "issue", "hostname": HOST, "pathPrefix": "/issue/", "routeType": "unsafe",
              "timeoutMs": 800, "targetLatencyMs": 100, "priority": 2, "service": "notice-desk",
              "maxAttempts": 1 }
        ],
        "services": [
            { "name": "canopy-lm", "maxConns": 370, "engine": { "slots": 64,
              "kvCapacityTokens": 164393, "tokenKvBytes": 18432, "linkMbps": 370000.0, "moves": false } },
            { "name": "notice-desk", "maxConns": 110 }
        ],
        "limits": { "maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000,
                    "idleTimeoutMs": 8000 },
        "tenants": [{ "name": "desk", "apiKeys": [KEY], "unit": "tokens", "uncachedTokens": 200 }]
    })
}

pub async fn run(folder: &Path, has_trouble: bool) -> bool {
    let record = Record::new(folder);
    let scratch = Scratch::new("memory");
    let addresses = Addresses::new();
    let store = ObjectStore::start().expect("a store");
    store.put("config", "main", configuration());
    store.put("versions", MODEL, json!({ "model": MODEL, "version": 1 }));
    let mut engines = Vec::new();
    let mut sidecars = Vec::new();
    for number in 1..=ENGINES {
        let zone = "windhoek-a".to_owned();
        let plan = WorkerPlan {
            id: format!("i-engine{number}"),
            service: "canopy-lm".to_owned(),
            zone: zone.clone(),
            is_engine: true,
            events: 49,
            event_ms: 20,
            work_ms: 0,
        };
        let mut engine = Worker::new(plan, addresses.at(10 + number));
        engine.start();
        store.put("servers", &engine.plan.id, engine.entry("ready"));
        let mut sidecar =
            Process::sidecar(&format!("side-{number}"), &zone, engine.ip, &scratch.0);
        sidecar.start();
        sidecars.push(sidecar);
        engines.push(engine);
    }
    let plan = WorkerPlan {
        id: "i-desk1".to_owned(),
        service: "notice-desk".to_owned(),
        zone: "windhoek-a".to_owned(),
        is_engine: false,
        events: 0,
        event_ms: 0,
        work_ms: 15,
    };
    let mut desk = Worker::new(plan, addresses.at(40));
    desk.start();
    store.put("servers", &desk.plan.id, desk.entry("ready"));
    let mut gateways = Vec::new();
    for number in 1..=2 {
        let name = format!("front-{number}");
        let mut gateway =
            Process::gateway(&name, "windhoek-a", addresses.at(number), store.address(), &scratch.0);
        gateway.start();
        gateways.push(gateway);
    }
    for gateway in &gateways {
        gateway.until_ready().await;
    }
    time::sleep(Duration::from_secs(2)).await;

    let ips: Vec<_> = gateways.iter().map(|gateway| gateway.ip).collect();
    let ends: Arc<Mutex<Vec<(usize, Instant)>>> = Arc::default();
    let peaks: Arc<Mutex<Vec<u64>>> = Arc::new(Mutex::new(vec![0; gateways.len()]));
    let is_over = Arc::new(AtomicBool::new(false));
    let platform = tokio::spawn(limit_memory(
        gateways,
        ends.clone(),
        peaks.clone(),
        is_over.clone(),
        record.clone(),
    ));

    let begun = Instant::now();
    let trouble = (begun + Duration::from_secs(3), begun + Duration::from_secs_f64(3.0 + TROUBLE_S));
    let mut streams: JoinSet<(usize, String, Answer)> = JoinSet::new();
    let mut issues: JoinSet<(usize, String, Answer)> = JoinSet::new();
    let mut number = 0;
    let mut was_in_trouble = false;
    while begun.elapsed().as_secs_f64() < TROUBLE_S + 8.0 {
        let now = Instant::now();
        let is_in_trouble = has_trouble && now >= trouble.0 && now < trouble.1;
        if is_in_trouble != was_in_trouble {
            was_in_trouble = is_in_trouble;
            engines[0].set_in_trouble(is_in_trouble);
            record.line(&format!("i-engine1 is in trouble: {is_in_trouble}"));
        }
        number += 1;
        let gateway = number % ips.len();
        let address = (ips[gateway], CALLERS_PORT).into();
        if number % 5 != 0 {
            let attempt = format!("d{number:015x}");
            let call = Call {
                path: "/draft/a".to_owned(),
                attempt: attempt.clone(),
                deadline_ms: 12_000,
                is_generation: true,
                more: String::new(),
            };
            streams.spawn(async move {
                let answer = client::send(address, &call, Some(SLOW)).await;
                (gateway, attempt, answer)
            });
        }
        let attempt = format!("c{number:015x}");
        let call = Call {
            path: "/issue/a".to_owned(),
            attempt: attempt.clone(),
            deadline_ms: 1_500,
            is_generation: false,
            more: String::new(),
        };
        issues.spawn(async move { (gateway, attempt, client::send(address, &call, None).await) });
        time::sleep(Duration::from_millis(25)).await;
    }
    let mut whole = 0;
    let mut cut = 0;
    while let Some(Ok((gateway, attempt, answer))) = streams.join_next().await {
        let became = if answer.is_whole { "whole" } else { "not whole" };
        if answer.is_whole { whole += 1 } else { cut += 1 }
        record.line_at(answer.sent, &format!(
            "stream {attempt} to front-{}: {:?}, {} bytes, {became}, after {} ms",
            gateway + 1, answer.status, answer.body.len(),
            answer.ended.duration_since(answer.sent).as_millis()
        ));
    }
    let ran = desk.arrivals();
    let mut lost = 0;
    while let Some(Ok((gateway, attempt, answer))) = issues.join_next().await {
        let has_run = ran.iter().any(|arrival| arrival.attempt == attempt && arrival.ran);
        let is_lost = has_run && answer.status.is_none();
        lost += u32::from(is_lost);
        record.line_at(answer.sent, &format!(
            "unsafe {attempt} to front-{}: {:?}, run: {has_run}{}",
            gateway + 1, answer.status, if is_lost { ", LOST" } else { "" }
        ));
    }
    is_over.store(true, SeqCst);
    let _ = platform.await;
    let ends = ends.lock().unwrap().clone();
    let by_gateway: Vec<usize> =
        (0..ips.len()).map(|gateway| ends.iter().filter(|(of, _)| *of == gateway).count()).collect();
    let peaks = peaks.lock().unwrap().clone();
    record.say(&format!("streams whole {whole}, not whole {cut}; i-engine1 wrote {} MB without end",
        engines[0].endless_bytes() / 1_000_000));
    record.say(&format!("peak memory of the gateways: {} MB of 110 MB",
        peaks.iter().map(|peak| (peak / 1_000_000).to_string()).collect::<Vec<_>>().join(", ")));
    record.say(&format!("ends over the memory limit, by gateway: {by_gateway:?}"));
    record.say(&format!("unsafe requests that ran and whose connection ended without an answer: {lost}"));
    let is_fault = by_gateway.iter().filter(|ends| **ends >= 3).count() >= 2;
    let is_lost = lost > 3;
    record.say(&format!("Fault broken: {is_fault}; LOST broken: {is_lost}"));
    drop(sidecars);
    is_fault || is_lost
}

/// Plays the platform's part: kills a process over its limit, and starts it again.
pub async fn limit_memory(
    mut gateways: Vec<Process>,
    ends: Arc<Mutex<Vec<(usize, Instant)>>>,
    peaks: Arc<Mutex<Vec<u64>>>,
    is_over: Arc<AtomicBool>,
    record: Record,
) {
    let mut down: Vec<Option<Instant>> = vec![None; gateways.len()];
    while !is_over.load(SeqCst) {
        for (index, gateway) in gateways.iter_mut().enumerate() {
            if let Some(since) = down[index] {
                if since.elapsed() >= Duration::from_millis(RESTART_MS) {
                    gateway.start();
                    down[index] = None;
                    record.line(&format!("{} starts again", gateway.name));
                }
                continue;
            }
            let bytes = gateway.anonymous_bytes();
            let peak = &mut peaks.lock().unwrap()[index];
            *peak = bytes.max(*peak);
            if bytes > MEMORY_LIMIT_BYTES {
                gateway.kill();
                down[index] = Some(Instant::now());
                ends.lock().unwrap().push((index, Instant::now()));
                record.line(&format!("{} takes {bytes} bytes and is killed", gateway.name));
            }
        }
        time::sleep(Duration::from_millis(10)).await;
    }
}
