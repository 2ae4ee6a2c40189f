//! Machines of workers restart one after the other: each worker comes back under its id with new
//! software, before its sidecar does, and crashes once more soon after.

use std::{
    collections::BTreeSet,
    io,
    path::Path,
    sync::{Arc, Mutex},
    time::Duration,
};

use serde_json::json;
use tokio::time;

use crate::{
    client::{Answer, Request, send},
    engine::{CopyLink, NOTICES},
    record::Record,
    site::{Plan, Site, StreamRoute, configuration, tenant},
};

/// Streams that begin each second: 12 for each worker, as at the small deployments.
const STREAMS_PER_S: u64 = 72;
/// For how long streams begin.
const STREAMS_S: u64 = 30;
/// Events of each, one each 100 ms.
const EVENTS: u64 = 40;
/// More streams than that may not hold events of two versions.
const MAX_MIXED: usize = 2;
/// Machines that get new software, one after the other.
const MACHINES_ROLLED: usize = 5;
/// When the first of them restarts, after the first stream.
const FIRST_RESTART_MS: u64 = 5_500;
const MACHINE_INTERVAL_MS: u64 = 4_800;
/// The new software crashes that long after the restart of its machine began.
const NEXT_CRASH_MS: u64 = 3_000;
/// A worker is back that long after a crash.
const RESTART_MS: u64 = 500;
/// Its sidecar is back that long after it was killed.
const SIDECAR_DOWN_MS: u64 = 3_500;

/// Returns whether the rule held.
pub async fn run(directory: &Path, record: &Record, has_trouble: bool) -> io::Result<bool> {
    let routes = [StreamRoute {
        name: "notice-draft",
        is_resumable: true,
        max_attempts: 2,
        timeout_ms: 12_000,
        target_ms: 250,
        gap_target_ms: 250,
    }];
    let plan = Plan {
        gateways: vec!["windhoek-a", "windhoek-b"],
        engines: vec![
            "windhoek-a",
            "windhoek-a",
            "windhoek-b",
            "windhoek-b",
            "okahandja",
            "okahandja",
        ],
        event_ms: 100,
        copy_link: CopyLink { token_us: 0.5 },
        size: NOTICES,
        software: "v1",
    };
    let tenants = json!([tenant("clerks", "key-of-the-clerks", false)]);
    let mut site =
        Site::start(&plan, configuration(&routes, plan.size, tenants), directory, record).await?;
    let answers: Arc<Mutex<Vec<(String, Answer)>>> = Arc::default();
    let began = time::Instant::now();
    let addresses: Vec<_> = site.gateways.iter().map(|gateway| gateway.callers).collect();
    let clients = tokio::spawn({
        let (answers, record) = (answers.clone(), record.clone());
        async move {
            let mut open = tokio::task::JoinSet::new();
            for number in 0..STREAMS_PER_S * STREAMS_S {
                time::sleep_until(began + Duration::from_millis(number * 1_000 / STREAMS_PER_S))
                    .await;
                let gateway = addresses[number as usize % addresses.len()];
                let request = Request {
                    id: format!("q{number:05}"),
                    path: "/notice-draft/1".to_owned(),
                    key: "key-of-the-clerks".to_owned(),
                    parts: format!("5c1e07a2:198,{number:08x}:602"),
                    prompt_tokens: 800,
                    events: EVENTS,
                    deadline_ms: 12_000,
                    gap_ms: 2_000,
                };
                let (answers, record) = (answers.clone(), record.clone());
                open.spawn(async move {
                    let answer = send(gateway, &request, &record).await;
                    answers.lock().unwrap().push((request.id, answer));
                });
            }
            while open.join_next().await.is_some() {}
        }
    });
    if has_trouble {
        for index in 0..MACHINES_ROLLED {
            let begins_ms = FIRST_RESTART_MS + index as u64 * MACHINE_INTERVAL_MS;
            roll(&mut site, index, began + Duration::from_millis(begins_ms), record).await?;
        }
    }
    let _ = clients.await;
    let answers = answers.lock().unwrap();
    let whole =
        answers.iter().filter(|(_, answer)| answer.is_whole && answer.status == 200).count();
    let mixed: Vec<&String> =
        answers.iter().filter(|(_, answer)| versions(answer).len() > 1).map(|(id, _)| id).collect();
    record.line(&format!(
        "{} streams, {whole} of them whole; {} hold events of two software versions: {mixed:?}",
        answers.len(),
        mixed.len()
    ));
    if whole < answers.len() / 4 {
        return Err(io::Error::other("too few streams are served"));
    }
    Ok(mixed.len() <= MAX_MIXED)
}

/// Restarts one machine, with new software of its worker, which crashes once more soon after.
async fn roll(
    site: &mut Site,
    index: usize,
    begins: time::Instant,
    record: &Record,
) -> io::Result<()> {
    let worker = site.engines[index].clone();
    time::sleep_until(begins).await;
    worker.crash().await;
    site.sidecars[index].kill();
    record.line(&format!("the sidecar of {} is killed", worker.id));
    time::sleep(Duration::from_millis(RESTART_MS)).await;
    worker.start("v2").await?;
    site.write_entry(&worker);
    time::sleep_until(begins + Duration::from_millis(NEXT_CRASH_MS)).await;
    worker.crash().await;
    time::sleep(Duration::from_millis(RESTART_MS)).await;
    worker.start("v2").await?;
    site.write_entry(&worker);
    time::sleep_until(begins + Duration::from_millis(SIDECAR_DOWN_MS)).await;
    site.sidecars[index].start()?;
    record.line(&format!("the sidecar of {} is back", worker.id));
    Ok(())
}

/// The software versions whose workers wrote the events of an answer.
fn versions(answer: &Answer) -> BTreeSet<&str> {
    answer.events.iter().filter_map(|event| event.split(' ').nth(2)).collect()
}
