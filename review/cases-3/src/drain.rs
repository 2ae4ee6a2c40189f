//! Workers are emptied one after the other while the links between them are slow.

use std::{
    io,
    net::SocketAddr,
    path::Path,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use serde_json::json;
use tokio::{task::JoinSet, time};

use crate::{
    client::{Request, send},
    engine::{CopyLink, Engine, EngineSize},
    record::Record,
    site::{Plan, Site, StreamRoute, configuration, tenant},
};

/// The bound on requests to a worker that drains, as the gateways' settings have it.
const DRAIN_MS: u64 = 2_000;
/// The workers of trakiya-mill. Runs of `grade-tag` share 6,300 of their 9,190 prompt tokens.
const MILL: EngineSize = EngineSize {
    memory_tokens: 105_102,
    token_bytes: 327_680,
    link_mbps: 740_000,
    run_tokens: 2_940,
};
/// The time that the memory of one token takes: 327,680 bytes at 740 Gbit/s.
const TOKEN_US: f64 = 327_680.0 * 8.0 / 740_000.0;
/// How much slower moves of memory are while a worker's links are slow, and for how long they are.
const SLOWER: f64 = 8.0;
const SLOW_MS: u64 = 5_500;
/// Two of them are emptied, and the links of one are slow.
const WORKERS: usize = 14;
/// Long streams, on one and the same shared part, each with 50 events in 5 s.
const LONG: Kind = Kind {
    prefix: "q",
    route: "grade-tag",
    prompt_tokens: 9_190,
    events: 50,
    deadline_ms: 6_000,
    count: 55,
    interval_ms: 455,
};
/// Short streams on other parts.
const SHORT: Kind = Kind {
    prefix: "r",
    route: "buyer-reply",
    prompt_tokens: 826,
    events: 5,
    deadline_ms: 15_000,
    count: 200,
    interval_ms: 125,
};
/// The first worker is emptied once it runs that many long streams.
const RUNS_AT_FIRST: usize = 11;
/// The second worker is emptied that long after the first call that stops a run to move it there.
const SECOND_AFTER_MS: u64 = 50;

/// A kind of streams that clients ask for.
#[derive(Clone, Copy)]
struct Kind {
    prefix: &'static str,
    route: &'static str,
    prompt_tokens: u64,
    events: u64,
    deadline_ms: u64,
    count: usize,
    interval_ms: u64,
}

/// Returns whether the rule held.
pub async fn run(directory: &Path, record: &Record, has_trouble: bool) -> io::Result<bool> {
    let route = StreamRoute {
        name: LONG.route,
        is_resumable: false,
        max_attempts: 1,
        timeout_ms: 6_000,
        target_ms: 600,
        gap_target_ms: 400,
    };
    let short = StreamRoute {
        name: SHORT.route,
        is_resumable: true,
        max_attempts: 2,
        timeout_ms: 15_000,
        target_ms: 400,
        gap_target_ms: 400,
    };
    let plan = Plan {
        gateways: vec!["plovdiv-a", "plovdiv-a"],
        engines: vec!["plovdiv-a"; WORKERS],
        event_ms: 100,
        copy_link: CopyLink { token_us: TOKEN_US },
        size: MILL,
        backlog: 1_024,
        software: "v1",
    };
    let tenants = json!([tenant("mills", "key-of-the-mills", false)]);
    let configuration = configuration(&[route, short], plan.size, tenants);
    let site = Site::start(&plan, configuration, directory, record).await?;
    let addresses: Vec<_> = site.gateways.iter().map(|gateway| gateway.callers).collect();
    let whole = Arc::new(AtomicUsize::new(0));
    let mut clients = JoinSet::new();
    for kind in [LONG, SHORT] {
        clients.spawn(ask(kind, addresses.clone(), whole.clone(), record.clone()));
    }
    time::sleep(Duration::from_millis(13_000)).await;
    let first = busy_worker(&site).await?;
    if has_trouble {
        record.line(&format!("the links of {} are slow", first.id));
        first.set_copy_link(CopyLink { token_us: TOKEN_US * SLOWER });
        let (slow, record) = (first.clone(), record.clone());
        tokio::spawn(async move {
            time::sleep(Duration::from_millis(SLOW_MS)).await;
            slow.set_copy_link(CopyLink { token_us: TOKEN_US });
            record.line(&format!("the links of {} are as usual", slow.id));
        });
    }
    let first_drained_ms = empty(&site, &first, record);
    let mut stops = first.first_stop.subscribe();
    let stopped = time::timeout(Duration::from_secs(10), stops.wait_for(Option::is_some)).await;
    let to = stopped.ok().and_then(|to| to.ok().and_then(|to| to.clone()));
    let Some(to) = to else { return Err(io::Error::other("no run was stopped to be moved")) };
    time::sleep(Duration::from_millis(SECOND_AFTER_MS)).await;
    let second = site.engines.iter().find(|engine| to.contains(&engine.address.to_string()));
    let second = second.ok_or_else(|| io::Error::other("a run goes to no worker"))?.clone();
    let second_drained_ms = empty(&site, &second, record);
    while clients.join_next().await.is_some() {}
    let late =
        late_runs(&first, first_drained_ms, record) + late_runs(&second, second_drained_ms, record);
    let (whole, all) = (whole.load(Ordering::Relaxed), LONG.count + SHORT.count);
    record.line(&format!(
        "{whole} of {all} streams were whole; {late} requests reached a worker later than {DRAIN_MS} ms \
         after the store confirmed that it drains"
    ));
    if whole < all / 2 {
        return Err(io::Error::other("too few streams are served"));
    }
    Ok(late == 0)
}

/// Asks for streams of one kind, and counts those that are whole.
async fn ask(kind: Kind, gateways: Vec<SocketAddr>, whole: Arc<AtomicUsize>, record: Record) {
    let mut open = JoinSet::new();
    for number in 0..kind.count {
        let shared = match kind.prefix {
            "q" => "5c1e07a2:6300".to_owned(),
            _ => format!("{:08x}:198", number * 7 % 61),
        };
        let request = Request {
            id: format!("{}{number:05}", kind.prefix),
            path: format!("/{}/1", kind.route),
            key: "key-of-the-mills".to_owned(),
            parts: format!(
                "{shared},{}{number:07x}:628",
                if kind.prefix == "q" { 'a' } else { 'b' }
            ),
            prompt_tokens: kind.prompt_tokens,
            events: kind.events,
            deadline_ms: kind.deadline_ms,
            // Four times the objective, eight times the pause, two seconds: the longest.
            gap_ms: 3_200,
        };
        let (gateway, record) = (gateways[number % gateways.len()], record.clone());
        let whole = whole.clone();
        open.spawn(async move {
            let answer = send(gateway, &request, &record).await;
            whole
                .fetch_add(usize::from(answer.is_whole && answer.status == 200), Ordering::Relaxed);
        });
        time::sleep(Duration::from_millis(kind.interval_ms)).await;
    }
    while open.join_next().await.is_some() {}
}

/// Waits for a worker that runs as many long streams as wanted.
async fn busy_worker(site: &Site) -> io::Result<Arc<Engine>> {
    for _ in 0..1_000 {
        let is_busy = |it: &&Arc<Engine>| it.running(LONG.prompt_tokens) == RUNS_AT_FIRST;
        if let Some(found) = site.engines.iter().find(is_busy) {
            return Ok(found.clone());
        }
        time::sleep(Duration::from_millis(5)).await;
    }
    Err(io::Error::other("no worker runs as many streams as wanted"))
}

/// Lets a worker say in the store that it drains. Returns when the store had confirmed it.
fn empty(site: &Site, worker: &Engine, record: &Record) -> u64 {
    worker.begin_to_drain();
    site.write_entry(worker);
    let confirmed_ms = record.now_ms();
    record.line(&format!("the store has confirmed that {} drains", worker.id));
    confirmed_ms
}

/// The requests that reached a worker too late after it had said that it drains.
fn late_runs(worker: &Engine, drained_ms: u64, record: &Record) -> usize {
    let late = worker.runs().into_iter().filter(|run| run.at_ms > drained_ms + DRAIN_MS);
    let late: Vec<_> = late.collect();
    for run in &late {
        record.line(&format!(
            "{} reached {} {} ms after the confirmation, moved: {}",
            run.request,
            worker.id,
            run.at_ms - drained_ms,
            run.is_moved
        ));
    }
    late.len()
}
