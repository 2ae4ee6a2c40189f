//! A part of prompts crashes each worker that begins to write an answer on it, and the crash is silent.

use std::{collections::HashMap, io, path::Path, time::Duration};

use serde_json::json;
use tokio::{task::JoinSet, time};

use crate::{
    client::{Request, send},
    engine::{CopyLink, NOTICES},
    record::Record,
    site::{Plan, Site, StreamRoute, configuration, tenant},
};

/// The part that crashes workers.
const CRASHING_PART: &str = "bad0bad0";
/// At most two of them are down at a time.
const WORKERS: usize = 8;
/// A worker is back that long after it crashed.
const DOWN_MS: u64 = 3_000;
/// Time between two requests with the part.
const CRASHING_INTERVAL_MS: u64 = 2_000;
const CRASHING_REQUESTS: u64 = 24;
/// Time between two sound requests.
const SOUND_INTERVAL_MS: u64 = 100;
/// `contactMs` of the deployment.
const CONTACT_MS: u64 = 3_000;
/// The crash from which on the rule counts.
const COUNTED_CRASHES: usize = 5;
/// More requests than that may not reach workers then.
const MAX_REQUESTS: usize = 3;

/// Returns whether the rule held.
pub async fn run(directory: &Path, record: &Record, has_trouble: bool) -> io::Result<bool> {
    let routes = [StreamRoute {
        name: "report-verdict",
        is_resumable: false,
        max_attempts: 1,
        timeout_ms: 4_000,
        target_ms: 300,
        gap_target_ms: 300,
    }];
    let plan = Plan {
        gateways: vec!["windhoek-a", "windhoek-b"],
        engines: [["windhoek-a"; 3], ["windhoek-b"; 3], ["okahandja"; 3]].concat()[..WORKERS]
            .to_vec(),
        event_ms: 50,
        copy_link: CopyLink { token_us: 0.5 },
        size: NOTICES,
        backlog: 8,
        software: "v1",
    };
    let tenants = json!([tenant("clerks", "key-of-the-clerks", false)]);
    let mut site =
        Site::start(&plan, configuration(&routes, plan.size, tenants), directory, record).await?;
    if has_trouble {
        for engine in &site.engines {
            *engine.crashing_part.lock().unwrap() = Some(CRASHING_PART.to_owned());
        }
    }
    let addresses: Vec<_> = site.gateways.iter().map(|gateway| gateway.callers).collect();
    let began = time::Instant::now();
    let clients = |prefix: &'static str, interval_ms: u64, count: u64, shared: &'static str| {
        let (addresses, record) = (addresses.clone(), record.clone());
        tokio::spawn(async move {
            let mut open = JoinSet::new();
            for number in 0..count {
                time::sleep_until(began + Duration::from_millis(number * interval_ms)).await;
                let request = Request {
                    id: format!("{prefix}{number:05}"),
                    path: "/report-verdict/1".to_owned(),
                    key: "key-of-the-clerks".to_owned(),
                    parts: format!("{shared}{number:08x}:602"),
                    prompt_tokens: 800,
                    events: 20,
                    deadline_ms: 4_000,
                    gap_ms: 2_000,
                };
                let gateway = addresses[number as usize % addresses.len()];
                let record = record.clone();
                open.spawn(async move { send(gateway, &request, &record).await });
            }
            let mut whole = 0;
            while let Some(answer) = open.join_next().await {
                whole +=
                    u64::from(answer.is_ok_and(|answer| answer.is_whole && answer.status == 200));
            }
            whole
        })
    };
    let duration_ms = CRASHING_REQUESTS * CRASHING_INTERVAL_MS;
    let sound_count = duration_ms / SOUND_INTERVAL_MS;
    let sound = clients("s", SOUND_INTERVAL_MS, sound_count, "5c1e07a2:198,");
    let crashing =
        clients("x", CRASHING_INTERVAL_MS, CRASHING_REQUESTS, "5c1e07a2:198,bad0bad0:40,");
    let mut back_at: HashMap<usize, time::Instant> = HashMap::new();
    let mut crashes_ms = Vec::new();
    while !(sound.is_finished() && crashing.is_finished()) {
        time::sleep(Duration::from_millis(20)).await;
        for (index, engine) in site.engines.iter().enumerate() {
            if engine.is_dark() && !back_at.contains_key(&index) {
                crashes_ms.push(record.now_ms());
                // The whole machine is without power.
                site.sidecars[index].kill();
                back_at.insert(index, time::Instant::now() + Duration::from_millis(DOWN_MS));
            }
            if back_at.get(&index).is_some_and(|at| time::Instant::now() >= *at) {
                back_at.remove(&index);
                engine.start_again();
                site.sidecars[index].start()?;
                site.write_entry(engine);
            }
        }
    }
    let (sound, crashing) = (sound.await.unwrap_or(0), crashing.await.unwrap_or(0));
    let fifth_ms = crashes_ms.get(COUNTED_CRASHES - 1).copied();
    let is_counted = |at_ms: u64| fifth_ms.is_some_and(|fifth_ms| at_ms > fifth_ms + CONTACT_MS);
    let runs = site.engines.iter().flat_map(|engine| engine.runs());
    let late =
        runs.filter(|run| run.parts.contains(CRASHING_PART) && is_counted(run.at_ms)).count();
    record.line(&format!(
        "{sound} of {sound_count} sound streams and {crashing} of {CRASHING_REQUESTS} with the part were whole; \
         {} crashes, the fifth at {fifth_ms:?} ms; {late} requests with the part reached workers later than \
         {CONTACT_MS} ms after it",
        crashes_ms.len()
    ));
    if sound < sound_count / 4 {
        return Err(io::Error::other("too few streams are served"));
    }
    Ok(late <= MAX_REQUESTS)
}
