//! Another writer leaves large entries in the store's list of servers, which name no worker.

use std::{
    path::Path,
    sync::{Arc, Mutex, atomic::{AtomicBool, Ordering::SeqCst}},
    time::{Duration, Instant},
};

use serde_json::json;
use tokio::{task::JoinSet, time};

use crate::{
    client::{self, Answer, Call, HOST, KEY},
    memory::limit_memory,
    record::{Record, Scratch},
    site::{Addresses, CALLERS_PORT, Process},
    store::Store,
    worker::{Worker, WorkerPlan},
};

const WORKERS: u8 = 3;
/// Entries of the other writer, and their size: the store takes values of 1,048,576 bytes.
const FOREIGN_ENTRIES: usize = 8;
const FOREIGN_BYTES: usize = 1_000_000;
const FOREIGN_FROM_MS: u64 = 4_000;
const FOREIGN_PAUSE_MS: u64 = 1_000;
const TRAFFIC_MS: u64 = 36_000;
/// From here on it is counted what is served: `recoverS` after the last entry was written.
const COUNTED_FROM_MS: u64 = FOREIGN_FROM_MS + FOREIGN_PAUSE_MS * 8 + 12_000;

fn configuration() -> serde_json::Value {
    json!({
        "version": 3,
        "routes": [
            { "name": "issue", "hostname": HOST, "pathPrefix": "/issue/", "routeType": "unsafe",
              "timeoutMs": 800, "targetLatencyMs": 100, "priority": 2, "service": "notice-desk",
              "maxAttempts": 1 }
        ],
        "services": [{ "name": "notice-desk", "maxConns": 110 }],
        "limits": { "maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                    "idleTimeoutMs": 15000 },
        "tenants": [{ "name": "desk", "apiKeys": [KEY], "unit": "tokens", "uncachedTokens": 200 }]
    })
}

/// An entry without the fields of a server: samples of some measurement.
fn foreign_entry() -> String {
    let mut text = String::from("{\"source\":\"meter\",\"samples\":[0");
    while text.len() < FOREIGN_BYTES - 2 {
        text.push_str(",0");
    }
    text.push_str("]}");
    text
}

pub async fn run(folder: &Path, has_trouble: bool) -> bool {
    let record = Record::new(folder);
    let scratch = Scratch::new("entries");
    let addresses = Addresses::new();
    let store = Store::start().await;
    store.put("config", "main", &configuration().to_string());
    let mut workers = Vec::new();
    for number in 1..=WORKERS {
        let plan = WorkerPlan {
            id: format!("i-desk{number}"),
            service: "notice-desk".to_owned(),
            zone: "windhoek-a".to_owned(),
            is_engine: false,
            events: 0,
            event_ms: 0,
            work_ms: 15,
        };
        let mut worker = Worker::new(plan, addresses.at(10 + number));
        worker.start();
        store.put("servers", &worker.plan.id, &worker.entry("ready").to_string());
        workers.push(worker);
    }
    let mut gateways = Vec::new();
    for number in 1..=2 {
        let (name, ip) = (format!("front-{number}"), addresses.at(number));
        let mut gateway = Process::gateway(&name, "windhoek-a", ip, store.address(), &scratch.0);
        gateway.start();
        gateways.push(gateway);
    }
    for gateway in &gateways {
        gateway.until_ready().await;
    }
    time::sleep(Duration::from_secs(2)).await;
    let ips: Vec<_> = gateways.iter().map(|gateway| gateway.ip).collect();
    let ends: Arc<Mutex<Vec<(usize, Instant)>>> = Arc::default();
    let peaks = Arc::new(Mutex::new(vec![0; gateways.len()]));
    let is_over = Arc::new(AtomicBool::new(false));
    let platform = tokio::spawn(limit_memory(
        gateways,
        ends.clone(),
        peaks.clone(),
        is_over.clone(),
        record.clone(),
    ));

    let begun = Instant::now();
    let mut calls: JoinSet<(usize, String, u64, Answer)> = JoinSet::new();
    let (mut number, mut written) = (0, 0);
    loop {
        let now_ms = u64::try_from(begun.elapsed().as_millis()).unwrap_or(u64::MAX);
        if now_ms >= TRAFFIC_MS {
            break;
        }
        let is_due = now_ms >= FOREIGN_FROM_MS + FOREIGN_PAUSE_MS * written as u64;
        if has_trouble && written < FOREIGN_ENTRIES && is_due {
            written += 1;
            let entry = foreign_entry();
            record.line(&format!("another writer leaves servers/meter-{written}, {} bytes", entry.len()));
            store.put("servers", &format!("meter-{written}"), &entry);
        }
        number += 1;
        let gateway = number % ips.len();
        let attempt = format!("c{number:015x}");
        let call = Call {
            path: "/issue/a".to_owned(),
            attempt: attempt.clone(),
            deadline_ms: 1_500,
            is_generation: false,
            more: String::new(),
        };
        let address = (ips[gateway], CALLERS_PORT).into();
        calls.spawn(async move { (gateway, attempt, now_ms, client::send(address, &call, None).await) });
        time::sleep(Duration::from_millis(20)).await;
    }
    let ran: Vec<_> = workers.iter().flat_map(Worker::arrivals).filter(|it| it.ran).collect();
    let (mut sent_after, mut served_after, mut served_before, mut sent_before, mut lost) = (0, 0, 0, 0, 0);
    while let Some(Ok((gateway, attempt, sent_ms, answer))) = calls.join_next().await {
        let is_served = answer.status == Some(200) && answer.is_whole;
        let has_run = ran.iter().any(|arrival| arrival.attempt == attempt);
        if sent_ms < FOREIGN_FROM_MS {
            sent_before += 1;
            served_before += u32::from(is_served);
        } else if sent_ms >= COUNTED_FROM_MS {
            sent_after += 1;
            served_after += u32::from(is_served);
        }
        let is_lost = has_run && answer.status.is_none();
        lost += u32::from(is_lost);
        record.line_at(answer.sent, &format!(
            "unsafe {attempt} to front-{}: connected: {}, {:?}, run: {has_run}{}",
            gateway + 1, answer.connected, answer.status, if is_lost { ", LOST" } else { "" }
        ));
    }
    is_over.store(true, SeqCst);
    let _ = platform.await;
    let ends = ends.lock().unwrap().clone();
    let by_gateway: Vec<usize> =
        (0..ips.len()).map(|gateway| ends.iter().filter(|(of, _)| *of == gateway).count()).collect();
    let peaks: Vec<u64> = peaks.lock().unwrap().iter().map(|peak: &u64| peak / 1_000_000).collect();
    record.say(&format!("peak memory of the gateways: {peaks:?} MB of 110 MB"));
    record.say(&format!("ends over the memory limit, by gateway: {by_gateway:?}"));
    record.say(&format!("served before the entries: {served_before} of {sent_before}"));
    record.say(&format!("served from 12 s after the last entry: {served_after} of {sent_after}"));
    record.say(&format!("ran, and the connection ended without an answer: {lost}"));
    let is_fault = by_gateway.iter().filter(|ends| **ends >= 3).count() >= 2;
    record.say(&format!("Fault broken: {is_fault}"));
    is_fault
}
