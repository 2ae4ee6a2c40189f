//! A worker in trouble repeats an event without end, beside a service that is sound.

use std::{
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::{
    Case, Verdict,
    http::{self, Request, Then},
    plain_worker::{PlainWorker, Runs, unix_ms},
    record::Record,
    store::Store,
    system::{Network, Program},
};

const LOOK_TIMEOUT_MS: u64 = 800;
const LOOK_DEADLINE: Duration = Duration::from_millis(1_500);
const DRAFT_DEADLINE: Duration = Duration::from_millis(4_000);
/// How long after the route's timeout an answer may come.
const SLACK_MS: u64 = 500;
const EVENTS: u64 = 10;
const EVENT_INTERVAL: Duration = Duration::from_millis(100);
/// What the worker in trouble repeats.
const JUNK: &[u8] = b"id: 1\n\n";
const JUNK_BYTES: usize = 65536;
/// Time between two writes of it.
const JUNK_INTERVAL: Duration = Duration::from_millis(10);
const DRAFT_INTERVAL: Duration = Duration::from_millis(100);
const LOOK_INTERVAL: Duration = Duration::from_millis(50);
const SENT_FOR: Duration = Duration::from_secs(15);

fn configuration() -> Value {
    json!({
        "version": 5,
        "routes": [
            { "name": "draft", "hostname": "desk.example", "pathPrefix": "/draft/",
              "routeType": "stream", "timeoutMs": 4_000, "targetLatencyMs": 300,
              "gapTargetMs": 250, "priority": 1, "service": "drafting", "maxAttempts": 1,
              "anonymous": true, "resumable": false },
            { "name": "look", "hostname": "desk.example", "pathPrefix": "/look/",
              "routeType": "safe", "timeoutMs": LOOK_TIMEOUT_MS, "targetLatencyMs": 100,
              "priority": 2, "service": "desk", "maxAttempts": 2, "anonymous": true }],
        "services": [{ "name": "drafting", "maxConns": 370, "healthPath": "/health" },
            { "name": "desk", "maxConns": 110, "healthPath": "/health" }],
        "tenants": [],
        "limits": { "maxHeaderBytes": 16_384, "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 5_000, "idleTimeoutMs": 15_000 },
    })
}

fn answer(
    own: &str,
    is_in_trouble: bool,
    request: &Request,
    stream: &mut TcpStream,
) -> io::Result<Then> {
    if request.header("X-Samphirespread-Expect-Instance").is_some_and(|expected| expected != own) {
        return http::answer(stream, 421, &[("X-Samphirespread-Instance-Id", own)], b"");
    }
    let id = request.header("X-Samphirespread-Attempt-Id").unwrap_or_default();
    write!(
        stream,
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
         X-Samphirespread-Attempt-Id: {id}\r\n\
         X-Samphirespread-Response-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n\r\n"
    )?;
    let junk = JUNK.repeat(JUNK_BYTES / JUNK.len());
    if is_in_trouble {
        loop {
            write!(stream, "{:x}\r\n", junk.len())?;
            stream.write_all(&junk)?;
            stream.write_all(b"\r\n")?;
            thread::sleep(JUNK_INTERVAL);
        }
    }
    for number in 1..=EVENTS {
        thread::sleep(EVENT_INTERVAL);
        let event = format!("id: {number}\ndata: text {number}\n\n");
        write!(stream, "{:x}\r\n{event}\r\n", event.len())?;
    }
    stream.write_all(b"0\r\n\r\n")?;
    Ok(Then::Keep)
}

/// What a caller saw of a request to the sound service.
struct Look {
    /// When its answer was there; `None` if it was not when the caller left.
    answered_after_ms: Option<u64>,
    status: Option<u16>,
}

pub fn run(case: &Case) -> io::Result<Verdict> {
    let (record, network) = (&case.record, Network::new()?);
    let store = Store::start(network.store())?;
    for (id, zone, machine) in [("s-1", "a", 31), ("s-2", "b", 32), ("s-3", "a", 33)] {
        let is_in_trouble = case.has_trouble && id == "s-1";
        let address = network.worker(machine);
        let notes = record.clone();
        http::serve(address, move |request, stream| {
            let attempt = request.header("X-Samphirespread-Attempt-Id").unwrap_or_default();
            notes.line(&format!("run       {attempt} at {id}"));
            answer(id, is_in_trouble, &request, stream)
        })?;
        store.put(
            "servers",
            id,
            &json!({ "service": "drafting", "address": address.to_string(),
            "zone": zone, "version": "1", "slots": 64, "state": "ready", "coldRemainingMs": 0,
            "seq": 1, "born": unix_ms() }),
        );
    }
    let runs: Runs = Arc::default();
    for (id, zone, machine) in [("i-1", "a", 21), ("i-2", "b", 22)] {
        let address = network.worker(machine);
        let worker = PlainWorker::start(id, "desk", zone, address, &runs, record)?;
        store.put("servers", id, &worker.entry());
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
    thread::sleep(Duration::from_secs(4));
    let addresses: Vec<SocketAddr> = routers.iter().map(Program::callers).collect();
    let (looks, is_over) = (Mutex::new(Vec::new()), AtomicBool::new(false));
    thread::scope(|scope| {
        let (addresses, looks, is_over) = (&addresses, &looks, &is_over);
        scope.spawn(move || {
            for number in 0.. {
                if is_over.load(Ordering::Relaxed) {
                    return;
                }
                let router = addresses[number % addresses.len()];
                scope.spawn(move || draft(record, router, &format!("draft-{number}")));
                thread::sleep(DRAFT_INTERVAL);
            }
        });
        scope.spawn(move || {
            for number in 0.. {
                if is_over.load(Ordering::Relaxed) {
                    return;
                }
                let router = addresses[number % addresses.len()];
                scope.spawn(move || look(record, looks, router, &format!("look-{number}")));
                thread::sleep(LOOK_INTERVAL);
            }
        });
        thread::sleep(SENT_FOR);
        is_over.store(true, Ordering::Relaxed);
    });
    drop(routers);
    let looks = looks.lock().unwrap();
    if looks.is_empty() {
        return Err(io::Error::other("no request was sent"));
    }
    Ok(judge(&looks))
}

fn draft(record: &Record, router: SocketAddr, id: &str) {
    let headers = [
        ("Host", "desk.example"),
        ("X-Samphirespread-Attempt-Id", id),
        ("X-Samphirespread-Deadline-Ms", "4000"),
    ];
    record.line(&format!("sent      {id} to {router}"));
    let answer = http::call_partly(router, "POST", "/draft/x", &headers, b"{}", DRAFT_DEADLINE);
    let is_complete = answer.as_ref().is_ok_and(|answer| answer.is_complete);
    let status = answer.ok().map(|answer| answer.response.status);
    record.line(&format!("answered  {id}: {status:?}, complete: {is_complete}"));
}

fn look(record: &Record, looks: &Mutex<Vec<Look>>, router: SocketAddr, id: &str) {
    let headers = [
        ("Host", "desk.example"),
        ("X-Samphirespread-Attempt-Id", id),
        ("X-Samphirespread-Deadline-Ms", "1500"),
    ];
    record.line(&format!("sent      {id} to {router}"));
    let began = Instant::now();
    let answer = http::call(router, "GET", "/look/x", &headers, b"", LOOK_DEADLINE);
    let passed_ms = u64::try_from(began.elapsed().as_millis()).unwrap_or(u64::MAX);
    let status = answer.as_ref().ok().map(|answer| answer.status);
    record.line(&format!("answered  {id}: {status:?} after {passed_ms} ms"));
    looks.lock().unwrap().push(Look { answered_after_ms: status.map(|_| passed_ms), status });
}

/// CONFIG: of the requests that are unanswered at their route's timeout, more than half have no answer
/// half a second later.
fn judge(looks: &[Look]) -> Verdict {
    let unanswered = |limit_ms| {
        let late = |look: &&Look| look.answered_after_ms.is_none_or(|after_ms| after_ms > limit_ms);
        looks.iter().filter(late).count()
    };
    let at_timeout = unanswered(LOOK_TIMEOUT_MS);
    let later = unanswered(LOOK_TIMEOUT_MS + SLACK_MS);
    let served = looks.iter().filter(|look| look.status == Some(200)).count();
    let reason = format!(
        "of {} requests to the sound service {served} were served; {at_timeout} were unanswered at \
         their route's timeout of {LOOK_TIMEOUT_MS} ms, and {later} of these {SLACK_MS} ms later",
        looks.len()
    );
    Verdict { is_broken: 2 * later > at_timeout, reason }
}
