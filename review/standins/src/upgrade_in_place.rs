//! The workers of a service that streams are restarted one after the other, under the ids that they
//! had, with newer software.

use std::{
    collections::{BTreeMap, BTreeSet},
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
    record::Record,
    store::Store,
    stream_worker::StreamWorker,
    system::{Network, Program},
};

/// The number of events of a stream.
const EVENTS: u64 = 30;
/// How long a worker is down.
const DOWN: Duration = Duration::from_millis(500);
/// Time from the entry of a restarted worker to the restart of the next one.
const NEXT: Duration = Duration::from_millis(200);
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
/// Streams with events of two versions that the rule allows.
const ALLOWED: usize = 2;

fn configuration() -> Value {
    json!({
        "version": 5,
        "routes": [{ "name": "draft", "hostname": "desk.example", "pathPrefix": "/draft/",
            "routeType": "stream", "timeoutMs": 12_000, "targetLatencyMs": 250, "priority": 0,
            "gapTargetMs": 250, "service": "drafting", "maxAttempts": 2, "anonymous": true,
            "resumable": true }],
        "services": [{ "name": "drafting", "maxConns": 370, "healthPath": "/health" }],
        "tenants": [],
        "limits": { "maxHeaderBytes": 16_384, "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 5_000, "idleTimeoutMs": 15_000 },
    })
}

/// What a caller got of one request.
struct Received {
    id: String,
    events: Vec<String>,
    is_complete: bool,
}

fn send(record: &Record, router: SocketAddr, id: &str) -> Received {
    let headers = [
        ("Host", "desk.example"),
        ("X-Samphirespread-Attempt-Id", id),
        ("X-Samphirespread-Deadline-Ms", "12000"),
    ];
    record.line(&format!("sent      {id} to {router}"));
    let timeout = Duration::from_secs(12);
    let answer = http::call_partly(router, "POST", "/draft/letter", &headers, b"{}", timeout);
    let (status, body, is_complete) = match answer {
        Ok(answer) => (answer.response.status, answer.response.body, answer.is_complete),
        Err(error) => {
            record.line(&format!("no answer {id}: {error}"));
            return Received { id: id.to_owned(), events: Vec::new(), is_complete: false };
        }
    };
    let text = String::from_utf8_lossy(&body).into_owned();
    let events: Vec<String> =
        text.split("\n\n").filter(|event| !event.is_empty()).map(str::to_owned).collect();
    record.line(&format!(
        "answered  {id}: status {status}, {} events, complete: {is_complete}, software {:?}",
        events.len(),
        software_of(&events)
    ));
    Received { id: id.to_owned(), events, is_complete: status == 200 && is_complete }
}

/// The versions of the software that wrote the events.
fn software_of(events: &[String]) -> BTreeSet<&str> {
    events.iter().filter_map(|event| event.split("software ").nth(1)).collect()
}

pub fn run(case: &Case) -> io::Result<Verdict> {
    let (record, network) = (&case.record, Network::new()?);
    let store = Store::start(network.store())?;
    let mut workers = Vec::new();
    for (id, zone, machine) in [("i-1", "a", 21), ("i-2", "b", 22)] {
        let address = network.worker(machine);
        let worker = StreamWorker::start(id, zone, address, 1, EVENTS, record)?;
        store.put("servers", id, &worker.entry());
        workers.push(worker);
    }
    store.put("config", "main", &configuration());
    let mut routers = Vec::new();
    for (name, zone, machine) in [("front-a-1", "a", 11), ("front-b-1", "b", 12)] {
        let folder = &case.folder;
        routers.push(Program::start("gateway", name, zone, machine, &network, folder)?);
    }
    for router in &routers {
        router.wait_until_ready()?;
    }
    thread::sleep(Duration::from_secs(2));
    let stop = Arc::new(AtomicBool::new(false));
    let all: Arc<Mutex<BTreeMap<String, Received>>> = Arc::default();
    let addresses: Vec<SocketAddr> = routers.iter().map(Program::callers).collect();
    let caller = {
        let (stop, all, record) = (stop.clone(), all.clone(), record.clone());
        thread::spawn(move || {
            let mut streams = Vec::new();
            for number in 0.. {
                if stop.load(Ordering::Relaxed) {
                    break;
                }
                let (all, record) = (all.clone(), record.clone());
                let router = addresses[number % addresses.len()];
                streams.push(thread::spawn(move || {
                    let received = send(&record, router, &format!("stream-{number}"));
                    all.lock().unwrap().insert(received.id.clone(), received);
                }));
                thread::sleep(REQUEST_INTERVAL);
            }
            for stream in streams {
                // A stream whose thread ended is missing in the result.
                let _ = stream.join();
            }
        })
    };
    thread::sleep(Duration::from_secs(4));
    // Twice, so that the result does not hang on one read of the list.
    for software in [2, 3] {
        if case.has_trouble {
            for worker in &mut workers {
                worker.crash();
                thread::sleep(DOWN);
                *worker = worker.start_again(software)?;
                let revision = store.put("servers", &worker.id, &worker.entry());
                record
                    .line(&format!("worker    {} has its entry at revision {revision}", worker.id));
                thread::sleep(NEXT);
            }
        }
        thread::sleep(Duration::from_secs(8));
    }
    stop.store(true, Ordering::Relaxed);
    caller.join().map_err(|_| io::Error::other("the caller's thread ended"))?;
    drop(routers);
    let all = all.lock().unwrap();
    if !all.values().any(|received| received.is_complete) {
        return Err(io::Error::other("no stream was complete"));
    }
    Ok(judge(&all, record))
}

/// ORDER: at most two streams hold events from workers of two software versions of one service.
fn judge(all: &BTreeMap<String, Received>, record: &Record) -> Verdict {
    let joined: Vec<&Received> =
        all.values().filter(|received| software_of(&received.events).len() > 1).collect();
    for received in &joined {
        record.line(&format!("joined: {} holds {:?}", received.id, software_of(&received.events)));
    }
    let complete = all
        .values()
        .filter(|received| received.is_complete && received.events.len() as u64 == EVENTS)
        .count();
    let reason = format!(
        "{} of {} streams hold events of two software versions, {ALLOWED} are allowed; {complete} \
         streams are complete",
        joined.len(),
        all.len()
    );
    Verdict { is_broken: joined.len() > ALLOWED, reason }
}
