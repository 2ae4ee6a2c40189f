//! A gateway is told to stop while a worker is emptied, and workers drop idle channels early.

use std::{
    io,
    net::SocketAddr,
    path::Path,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use rustix::process::Signal;
use serde_json::json;
use tokio::{task::JoinSet, time};

use crate::{
    client::{Answer, Request, send},
    engine::{CopyLink, NOTICES},
    record::Record,
    site::{Plan, Site, StreamRoute, configuration, tenant},
};

/// An idle channel is dropped by its worker after this time, when the channels are disturbed.
const DROP_MS: u64 = 1_000;
/// Long streams, which may run once: 45 events in 4.5 s.
const LONG_EVENTS: u64 = 45;
const LONG_INTERVAL_MS: u64 = 250;
/// Short streams, each with seven events in 0.7 s.
const SHORT_EVENTS: u64 = 7;
const SHORT_INTERVAL_MS: u64 = 23;
/// One of them is emptied.
const WORKERS: usize = 8;
const DEADLINE_MS: u64 = 6_000;
/// When the gateway is told to stop, after the first request.
const STOP_MS: u64 = 12_000;
/// When a worker is emptied.
const EMPTY_MS: u64 = 13_600;
/// When clients send nothing more.
const END_MS: u64 = 16_000;

/// An answer, with its request's number, its gateway, and when it was sent and ended.
type Got = (String, usize, (u64, u64), Answer);

/// Returns whether the rule held.
pub async fn run(directory: &Path, record: &Record, has_trouble: bool) -> io::Result<bool> {
    let route = |name, is_resumable, max_attempts| StreamRoute {
        name,
        is_resumable,
        max_attempts,
        timeout_ms: DEADLINE_MS,
        target_ms: 300,
        gap_target_ms: 250,
    };
    let routes = [route("report-verdict", false, 1), route("notice-draft", true, 2)];
    let plan = Plan {
        gateways: vec!["windhoek-a", "windhoek-a"],
        engines: vec!["windhoek-a"; WORKERS],
        event_ms: 100,
        copy_link: CopyLink { token_us: 0.5 },
        size: NOTICES,
        backlog: 1_024,
        software: "v1",
    };
    let tenants = json!([tenant("clerks", "key-of-the-clerks", false)]);
    let configuration = configuration(&routes, plan.size, tenants);
    let site = Site::start(&plan, configuration, directory, record).await?;
    if has_trouble {
        for engine in &site.engines {
            *engine.idle_drop_ms.lock().unwrap() = Some(DROP_MS);
        }
    }
    let addresses: Vec<_> = site.gateways.iter().map(|gateway| gateway.callers).collect();
    // The platform sends new channels to gateways that are ready.
    let is_first_stopping = Arc::new(AtomicBool::new(false));
    let got: Arc<Mutex<Vec<Got>>> = Arc::default();
    let mut clients = JoinSet::new();
    for (prefix, path, events, interval_ms) in [
        ("q", "/report-verdict/1", LONG_EVENTS, LONG_INTERVAL_MS),
        ("r", "/notice-draft/1", SHORT_EVENTS, SHORT_INTERVAL_MS),
    ] {
        let asked = Asked { prefix, path, events, interval_ms };
        let parts = (addresses.clone(), is_first_stopping.clone(), got.clone(), record.clone());
        clients.spawn(ask(asked, parts));
    }
    let began = time::Instant::now();
    time::sleep_until(began + Duration::from_millis(STOP_MS)).await;
    is_first_stopping.store(true, Ordering::Relaxed);
    site.gateways[0].program.signal(Signal::TERM);
    let stop_ms = record.now_ms();
    record.line("front-0 is told to stop (SIGTERM)");
    // The worker with most of its long streams is emptied.
    let busiest = site.engines.iter().max_by_key(|engine| engine.running(1_000));
    let leaving = busiest.ok_or_else(|| io::Error::other("no worker"))?;
    time::sleep_until(began + Duration::from_millis(EMPTY_MS)).await;
    leaving.begin_to_drain();
    site.write_entry(leaving);
    record.line(&format!("the store has confirmed that {} drains", leaving.id));
    while clients.join_next().await.is_some() {}
    let got = got.lock().unwrap();
    let is_complete = |answer: &Answer| answer.is_whole;
    let complete = got.iter().filter(|(_, _, _, answer)| is_complete(answer)).count();
    // Answers of the stopping gateway that had begun and ended early, from the signal on, before their
    // deadline, and not as their client had left.
    let lost: Vec<&Got> = got
        .iter()
        .filter(|(_, gateway, (sent_ms, ended_ms), answer)| {
            let ended_early = *ended_ms >= stop_ms && *ended_ms < sent_ms + DEADLINE_MS;
            let had_begun = answer.status == 200 && !answer.left;
            *gateway == 0 && ended_early && had_begun && !is_complete(answer)
        })
        .collect();
    for (id, _, (sent_ms, ended_ms), answer) in &lost {
        record.line(&format!(
            "LOST: {id}, sent at {sent_ms} ms to front-0, got {} events and broke off at {ended_ms} ms",
            answer.events.len()
        ));
    }
    record.line(&format!(
        "{complete} of {} answers were complete; {} requests that front-0 had passed on lost theirs",
        got.len(),
        lost.len()
    ));
    if complete < got.len() / 2 {
        return Err(io::Error::other("too few requests are answered"));
    }
    Ok(lost.is_empty())
}

/// What a group of clients asks for.
struct Asked {
    prefix: &'static str,
    path: &'static str,
    events: u64,
    interval_ms: u64,
}

async fn ask(
    asked: Asked,
    (gateways, is_first_stopping, got, record): (
        Vec<SocketAddr>,
        Arc<AtomicBool>,
        Arc<Mutex<Vec<Got>>>,
        Record,
    ),
) {
    let mut open = JoinSet::new();
    for number in 0..END_MS / asked.interval_ms {
        let is_long = asked.events > SHORT_EVENTS;
        let gateway = match is_first_stopping.load(Ordering::Relaxed) {
            true => 1,
            false if is_long => 0,
            false => number as usize % gateways.len(),
        };
        let request = Request {
            id: format!("{}{number:05}", asked.prefix),
            path: asked.path.to_owned(),
            key: "key-of-the-clerks".to_owned(),
            parts: format!("{:08x}:198,{}{number:07x}:628", number * 7 % 61, asked.prefix.len()),
            prompt_tokens: if is_long { 9_190 } else { 826 },
            events: asked.events,
            deadline_ms: DEADLINE_MS,
            gap_ms: 2_000,
        };
        let (address, got, record) = (gateways[gateway], got.clone(), record.clone());
        open.spawn(async move {
            let sent_ms = record.now_ms();
            let answer = send(address, &request, &record).await;
            let times_ms = (sent_ms, record.now_ms());
            got.lock().unwrap().push((request.id, gateway, times_ms, answer));
        });
        time::sleep(Duration::from_millis(asked.interval_ms)).await;
    }
    while open.join_next().await.is_some() {}
}
