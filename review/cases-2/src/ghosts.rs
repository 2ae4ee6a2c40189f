//! Another writer registers a service that isn't named, at the addresses of workers, and removes its entries.

use std::{path::Path, time::{Duration, Instant}};

use serde_json::json;
use tokio::{task::JoinSet, time};

use crate::{
    client::{self, Answer, Call, HOST, KEY},
    record::{Record, Scratch},
    site::{Addresses, CALLERS_PORT, Process},
    store::Store,
    worker::{Worker, WorkerPlan},
};

const WORKERS_OF_SERVICE: u8 = 3;
const WRITTEN_MS: u64 = 4_000;
const REMOVED_MS: u64 = 8_000;
/// From here on it is counted what is served: `recoverS` after the entries were removed.
const COUNTED_FROM_MS: u64 = REMOVED_MS + 12_000;
const TRAFFIC_MS: u64 = COUNTED_FROM_MS + 16_000;

fn configuration() -> serde_json::Value {
    let route = |name: &str, prefix: &str, kind: &str, service: &str| {
        json!({ "name": name, "hostname": HOST, "pathPrefix": prefix, "routeType": kind,
                "timeoutMs": 800, "targetLatencyMs": 100, "priority": 2, "service": service,
                "maxAttempts": 2 })
    };
    json!({
        "version": 3,
        "routes": [route("issue", "/issue/", "unsafe", "notice-desk"),
                   route("lookup", "/lookup/", "safe", "lookup-desk")],
        "services": [{ "name": "notice-desk", "maxConns": 110 }, { "name": "lookup-desk", "maxConns": 110 }],
        "limits": { "maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                    "idleTimeoutMs": 15000 },
        "tenants": [{ "name": "desk", "apiKeys": [KEY], "unit": "tokens", "uncachedTokens": 200 }]
    })
}

pub async fn run(folder: &Path, has_trouble: bool) -> bool {
    let record = Record::new(folder);
    let scratch = Scratch::new("ghosts");
    let addresses = Addresses::new();
    let store = Store::start().await;
    store.put("config", "main", &configuration().to_string());
    let mut workers = Vec::new();
    for number in 0..2 * WORKERS_OF_SERVICE {
        let service = if number < WORKERS_OF_SERVICE { "notice-desk" } else { "lookup-desk" };
        let plan = WorkerPlan {
            id: format!("i-desk{number}"),
            service: service.to_owned(),
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
    let begun = Instant::now();
    let mut calls: JoinSet<(bool, String, u64, Answer)> = JoinSet::new();
    let (mut number, mut is_written, mut is_removed) = (0, false, false);
    loop {
        let now_ms = u64::try_from(begun.elapsed().as_millis()).unwrap_or(u64::MAX);
        if now_ms >= TRAFFIC_MS {
            break;
        }
        if has_trouble && !is_written && now_ms >= WRITTEN_MS {
            is_written = true;
            for worker in workers.iter().filter(|worker| worker.plan.service == "notice-desk") {
                let mut entry = worker.entry("ready");
                entry["service"] = json!("host-agent");
                entry["born"] = json!(entry["born"].as_u64().unwrap_or(0) + now_ms);
                store.put("servers", &format!("agent-{}", worker.plan.id), &entry.to_string());
            }
            record.line("another writer registers `host-agent` at the addresses of notice-desk's workers");
        }
        if has_trouble && !is_removed && now_ms >= REMOVED_MS {
            is_removed = true;
            for worker in workers.iter().filter(|worker| worker.plan.service == "notice-desk") {
                store.remove("servers", &format!("agent-{}", worker.plan.id));
            }
            record.line("the other writer's entries are removed");
        }
        number += 1;
        let is_issue = number % 2 == 0;
        let attempt = format!("c{number:015x}");
        let call = Call {
            path: if is_issue { "/issue/a" } else { "/lookup/a" }.to_owned(),
            attempt: attempt.clone(),
            deadline_ms: 1_500,
            is_generation: false,
            more: String::new(),
        };
        let address = (ips[number / 2 % ips.len()], CALLERS_PORT).into();
        calls.spawn(async move { (is_issue, attempt, now_ms, client::send(address, &call, None).await) });
        time::sleep(Duration::from_millis(20)).await;
    }
    // Sent and served, of `issue` and of `lookup`: before, while the entries are there, and after.
    let mut counts = [[(0_u32, 0_u32); 2]; 3];
    while let Some(Ok((is_issue, attempt, sent_ms, answer))) = calls.join_next().await {
        let is_served = answer.status == Some(200) && answer.is_whole;
        let span = match sent_ms {
            ..WRITTEN_MS => 0,
            COUNTED_FROM_MS.. => 2,
            _ => 1,
        };
        let (sent, served) = &mut counts[span][usize::from(!is_issue)];
        *sent += 1;
        *served += u32::from(is_served);
        record.line_at(answer.sent, &format!("{} {attempt}: {:?} {}",
            if is_issue { "issue" } else { "lookup" }, answer.status, answer.text().trim()));
    }
    for (span, name) in ["before", "while the entries are there and 12 s after", "later"].iter().enumerate() {
        let [(issues, issues_served), (lookups, lookups_served)] = counts[span];
        record.say(&format!("{name}: issue {issues_served} of {issues}, lookup {lookups_served} of {lookups} served"));
    }
    let (issues, issues_served) = counts.iter().fold((0, 0), |sum, span| (sum.0 + span[0].0, sum.1 + span[0].1));
    let (all, all_served) = counts.iter().flatten().fold((0, 0), |sum, it| (sum.0 + it.0, sum.1 + it.1));
    let is_broken = f64::from(issues_served) / f64::from(issues) < 0.25 * f64::from(all_served) / f64::from(all);
    record.say(&format!("over the whole run: issue {issues_served} of {issues}, all {all_served} of {all}"));
    record.say(&format!("Starved broken: {is_broken}"));
    is_broken
}
