//! The store comes back from a copy right after the operator has taken a key away.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use serde_json::{Value, json};

use crate::{
    Case, Verdict, http,
    plain_worker::{PlainWorker, Runs},
    record::Record,
    store::Store,
    system::{Network, Program},
};

const KEPT_KEY: &str = "kept-key-5f2c71d09be4";
const WITHDRAWN_KEY: &str = "withdrawn-key-91ab3c07e5";
const REVOKE_MS: u64 = 5_000;
/// How long the store is away.
const AWAY: Duration = Duration::from_millis(1_000);
/// Time from a read of the configuration to the operator's write, and from there to the outage.
/// The router reads every 900 ms.
const PAUSE: Duration = Duration::from_millis(250);
/// How soon the operator writes again what the store has lost.
const WRITTEN_AGAIN: Duration = Duration::from_millis(500);
/// How long requests are sent after the last confirmation.
const WATCHED: Duration = Duration::from_secs(15);
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);

fn configuration(version: u64, timeout_ms: u64, keys: &[&str]) -> Value {
    json!({
        "version": version,
        "routes": [{ "name": "look", "hostname": "desk.example", "pathPrefix": "/look/",
            "routeType": "safe", "timeoutMs": timeout_ms, "targetLatencyMs": 100, "priority": 2,
            "service": "desk", "maxAttempts": 2, "anonymous": false }],
        "services": [{ "name": "desk", "maxConns": 110, "healthPath": "/health" }],
        "tenants": [
            { "name": "tenant-a", "apiKeys": [KEPT_KEY] },
            { "name": "tenant-b", "apiKeys": keys },
        ],
        "limits": { "maxHeaderBytes": 16_384, "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 5_000, "idleTimeoutMs": 15_000 },
    })
}

/// A request that a caller has sent.
struct Sent {
    id: String,
    key: &'static str,
    sent_ms: u64,
    status: Option<u16>,
}

fn send(record: &Record, router: SocketAddr, id: String, key: &'static str) -> Sent {
    let authorization = format!("Token {key}");
    let headers = [
        ("Host", "desk.example"),
        ("X-Samphirespread-Attempt-Id", id.as_str()),
        ("X-Samphirespread-Deadline-Ms", "1500"),
        ("Authorization", authorization.as_str()),
    ];
    let sent_ms = record.now_ms();
    let timeout = Duration::from_millis(1_500);
    let answer = http::call(router, "GET", "/look/file", &headers, b"", timeout);
    let status = answer.ok().map(|answer| answer.status);
    record.line(&format!("sent at {sent_ms} ms {id} with the {key} to {router}: {status:?}"));
    Sent { id, key, sent_ms, status }
}

pub fn run(case: &Case) -> io::Result<Verdict> {
    let (record, network) = (&case.record, Network::new()?);
    let store = Store::start(network.store())?;
    let runs: Runs = Arc::default();
    let worker = |name: &str, zone: &str, machine: u8| {
        let address = network.worker(machine);
        PlainWorker::start(name, "desk", zone, address, &runs, record)
    };
    let first = [worker("i-1", "a", 21)?, worker("i-2", "b", 22)?];
    let joined = [worker("i-3", "a", 23)?, worker("i-4", "b", 24)?];
    let both_keys = [WITHDRAWN_KEY];
    store.put("config", "main", &configuration(5, 800, &both_keys));
    for worker in &first {
        store.put("servers", &worker.id, &worker.entry());
    }
    let mut routers = Vec::new();
    for (name, zone, machine) in [("front-a-1", "a", 11), ("front-b-1", "b", 12)] {
        let folder = &case.folder;
        routers.push(Program::start("gateway", name, zone, machine, &network, folder)?);
    }
    for router in &routers {
        router.wait_until_ready()?;
    }
    let stop = Arc::new(AtomicBool::new(false));
    let all: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let mut callers = Vec::new();
    for (index, router) in routers.iter().map(Program::callers).enumerate() {
        for key in [KEPT_KEY, WITHDRAWN_KEY] {
            let (stop, all, record) = (stop.clone(), all.clone(), record.clone());
            callers.push(thread::spawn(move || {
                for number in 0.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let id = format!("{}-{index}-{number}", &key[..4]);
                    let sent = send(&record, router, id, key);
                    all.lock().unwrap().push(sent);
                    thread::sleep(REQUEST_INTERVAL);
                }
            }));
        }
    }
    // What the programs write at their start is in the store before the copy is made.
    thread::sleep(Duration::from_secs(6));

    let copy = store.copy();
    record.line(&format!("a copy of the store is made at revision {}", store.revision()));
    thread::sleep(Duration::from_millis(500));
    let revision = store.put("config", "main", &configuration(8, 900, &both_keys));
    record.line(&format!("operator: version 8, another timeout, confirmed at revision {revision}"));
    for worker in &joined {
        thread::sleep(Duration::from_millis(500));
        let revision = store.put("servers", &worker.id, &worker.entry());
        record.line(&format!("worker {} joins at revision {revision}", worker.id));
    }
    // The routers have all of this before the key is taken away.
    thread::sleep(Duration::from_millis(2_000));
    store.wait_for_configuration_read();
    thread::sleep(PAUSE);
    let withdrawn = configuration(11, 900, &[]);
    let revision = store.put("config", "main", &withdrawn);
    let mut confirmed_ms = record.now_ms();
    record.line(&format!("operator: version 11, key withdrawn, confirmed at revision {revision}"));
    thread::sleep(PAUSE);
    if case.has_trouble {
        store.go_away();
        record.line("the store is away");
        thread::sleep(AWAY);
        let again: Vec<(&str, &str, Value)> =
            joined.iter().map(|worker| ("servers", worker.id.as_str(), worker.entry())).collect();
        let revision = store.come_back(copy, &again);
        record.line(&format!(
            "the store is back from the copy, and the workers have written their entries again: \
             revision {revision}"
        ));
        thread::sleep(WRITTEN_AGAIN);
        let revision = store.put("config", "main", &withdrawn);
        confirmed_ms = record.now_ms();
        record.line(&format!("operator: version 11 again, confirmed at revision {revision}"));
    }
    thread::sleep(WATCHED);
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.join().map_err(|_| io::Error::other("a caller's thread ended"))?;
    }
    drop(routers);
    let all = all.lock().unwrap();
    if !all.iter().any(|sent| sent.key == KEPT_KEY && sent.status == Some(200)) {
        return Err(io::Error::other("no request was served"));
    }
    Ok(judge(&all, &runs, confirmed_ms, record))
}

/// CONFIG: no request runs that was sent with the key later than the bound after the confirmation of
/// the configuration that took the key away. The later one of two confirmations counts.
fn judge(all: &[Sent], runs: &Runs, confirmed_ms: u64, record: &Record) -> Verdict {
    let runs = runs.lock().unwrap();
    let has_run = |sent: &Sent| runs.iter().any(|run| run.request == sent.id);
    let is_late = |sent: &&Sent| sent.sent_ms > confirmed_ms + REVOKE_MS;
    let late: Vec<&Sent> = all.iter().filter(is_late).collect();
    let with_key = |key: &str| late.iter().filter(|sent| sent.key == key).count();
    let wrong: Vec<&&Sent> =
        late.iter().filter(|sent| sent.key == WITHDRAWN_KEY && has_run(sent)).collect();
    for sent in &wrong {
        let after_ms = sent.sent_ms - confirmed_ms;
        record.line(&format!("broken: {} sent {after_ms} ms after the confirmation ran", sent.id));
    }
    let served =
        |key: &str| late.iter().filter(|sent| sent.key == key && sent.status == Some(200)).count();
    let reason = format!(
        "of {} requests that were sent with the withdrawn key over {REVOKE_MS} ms after the \
         confirmation, {} ran; of {} with the other key, {} were served",
        with_key(WITHDRAWN_KEY),
        wrong.len(),
        with_key(KEPT_KEY),
        served(KEPT_KEY),
    );
    Verdict { is_broken: !wrong.is_empty(), reason }
}
