//! All processes of the system are killed at once while streams of two software versions are under
//! way; their callers take them up again.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use serde_json::{Value, json};

use crate::{
    Case, Verdict,
    record::Record,
    store::Store,
    stream_worker::{MODEL, StreamWorker},
    system::{Network, Program},
};

const DEADLINE_MS: u64 = 12_000;
/// Streams last ten seconds.
const EVENTS: u64 = 100;
const CONTACT_MS: u64 = 3_000;
/// How long the processes are down.
const DOWN: Duration = Duration::from_millis(1_000);
/// Pauses of a caller before each of its tries to take its stream up.
const PAUSES_MS: [u64; 4] = [500, 1_000, 2_000, 4_000];
/// A caller leaves a try without an event after this.
const PATIENCE: Duration = Duration::from_millis(2_000);
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
const MIN_TAKEN_UP: usize = 12;

fn configuration() -> Value {
    json!({
        "version": 5,
        "routes": [{ "name": "draft", "hostname": "desk.example", "pathPrefix": "/draft/",
            "routeType": "stream", "timeoutMs": DEADLINE_MS, "targetLatencyMs": 250, "priority": 0,
            "gapTargetMs": 250, "service": "drafting", "maxAttempts": 2, "anonymous": true,
            "resumable": true, "sessionAffinity": true }],
        "services": [{ "name": "drafting", "maxConns": 370, "healthPath": "/health",
            "engine": { "slots": 64, "kvCapacityTokens": 164_393, "tokenKvBytes": 18_432,
                "linkMbps": 370_000.0, "moves": false } }],
        "tenants": [],
        "limits": { "maxHeaderBytes": 16_384, "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 5_000, "idleTimeoutMs": 15_000 },
    })
}

/// One try of a caller.
struct Try {
    sent_ms: u64,
    /// Whether it takes a stream up that had begun.
    takes_up: bool,
    /// Whether an event came.
    goes_on: bool,
}

/// What all callers share.
struct Callers {
    record: Record,
    routers: Vec<SocketAddr>,
    tries: Mutex<Vec<Try>>,
    /// When channels break.
    has_broken: AtomicBool,
    is_over: AtomicBool,
}

impl Callers {
    /// Sends one try and reads until the stream ends, its channel breaks, or `leaves` says so.
    /// Returns the last event and whether the stream is complete.
    fn call(
        &self,
        number: usize,
        id: &str,
        first: Option<(&str, u64)>,
        leaves: impl Fn() -> bool,
    ) -> io::Result<(u64, bool)> {
        let router = self.routers[number % self.routers.len()];
        let mut stream = TcpStream::connect(router)?;
        stream.set_read_timeout(Some(Duration::from_millis(50)))?;
        let taken_up = first.map_or(String::new(), |(first, last)| {
            format!("Last-Event-Id: {last}\r\nResumes: {first}\r\n")
        });
        write!(
            stream,
            "POST /draft/letter HTTP/1.1\r\nHost: desk.example\r\nX-Samphirespread-Attempt-Id: {id}\r\n\
             X-Samphirespread-Deadline-Ms: {DEADLINE_MS}\r\nX-Samphirespread-Model: {MODEL}\r\n\
             X-Samphirespread-Token-Usage: 900,400\r\n\
             X-Samphirespread-Prompt-Prefix: 5c1e07a2:800,{:x}:100\r\n{taken_up}\
             Content-Length: 2\r\n\r\n{{}}",
            0x91bd_0000 + number
        )?;
        let (mut text, mut buffer) = (String::new(), vec![0; 16 * 1024]);
        let began_ms = self.record.now_ms();
        loop {
            let read = match stream.read(&mut buffer) {
                Ok(read) => read,
                Err(error)
                    if matches!(
                        error.kind(),
                        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                    ) =>
                {
                    let is_silent = last_event(&text).is_none()
                        && self.record.now_ms() > began_ms + PATIENCE.as_millis() as u64;
                    if is_silent || leaves() {
                        break;
                    }
                    continue;
                }
                Err(_) => 0,
            };
            text.push_str(&String::from_utf8_lossy(&buffer[..read]));
            let is_refused = text.starts_with("HTTP/1.1 5") && text.contains("\r\n\r\n");
            if read == 0 || is_refused || text.ends_with("\r\n0\r\n\r\n") || leaves() {
                break;
            }
        }
        let status = text.lines().next().unwrap_or("no answer").to_owned();
        let last = last_event(&text);
        self.record.line(&format!("answered  {id}: {status}, last event {last:?}"));
        Ok((last.unwrap_or(0), text.ends_with("\r\n0\r\n\r\n")))
    }

    /// A stream from its first try to its last.
    fn stream(&self, number: usize) {
        let (id, sent_ms) = (format!("stream-{number}"), self.record.now_ms());
        let was_broken = self.has_broken.load(Ordering::Relaxed);
        let leaves = || {
            let breaks = !was_broken && self.has_broken.load(Ordering::Relaxed);
            breaks || self.record.now_ms() > sent_ms + DEADLINE_MS
        };
        let (last, is_complete) = self.call(number, &id, None, leaves).unwrap_or_default();
        self.tries.lock().unwrap().push(Try { sent_ms, takes_up: false, goes_on: last > 0 });
        if last == 0 || is_complete || was_broken {
            return;
        }
        for (index, pause_ms) in PAUSES_MS.iter().enumerate() {
            thread::sleep(Duration::from_millis(*pause_ms));
            let now_ms = self.record.now_ms();
            if now_ms > sent_ms + DEADLINE_MS {
                return;
            }
            let again = format!("{id}-again-{index}");
            let leaves = || self.record.now_ms() > sent_ms + DEADLINE_MS;
            let called = self.call(number + index, &again, Some((&id, last)), leaves);
            let goes_on = called.is_ok_and(|(last, _)| last > 0);
            self.tries.lock().unwrap().push(Try { sent_ms: now_ms, takes_up: true, goes_on });
            if goes_on {
                return;
            }
        }
    }
}

/// The number of the last event in a text.
fn last_event(text: &str) -> Option<u64> {
    let line = text.rsplit_once("id: ")?.1;
    line.split('\n').next()?.trim().parse().ok()
}

pub fn run(case: &Case) -> io::Result<Verdict> {
    let (record, network) = (&case.record, Network::new()?);
    let store = Store::start(network.store())?;
    let (mut workers, mut programs) = (Vec::new(), Vec::new());
    for (id, zone, machine, software) in
        [("i-1", "a", 21, 1), ("i-2", "b", 22, 1), ("i-3", "a", 23, 2), ("i-4", "b", 24, 2)]
    {
        let address = network.worker(machine);
        let worker = StreamWorker::start(id, zone, address, software, EVENTS, record)?;
        store.put("servers", id, &worker.entry());
        workers.push(worker);
        let (name, folder) = (format!("side-{id}"), &case.folder);
        programs.push(Program::start("sidecar", &name, zone, machine, &network, folder)?);
    }
    store.put("versions", MODEL, &json!({ "model": MODEL, "version": 1 }));
    store.put("config", "main", &configuration());
    for (name, zone, machine) in [("front-a-1", "a", 11), ("front-b-1", "b", 12)] {
        let folder = &case.folder;
        programs.push(Program::start("gateway", name, zone, machine, &network, folder)?);
    }
    let routers = programs.len() - 2..programs.len();
    for router in &programs[routers.clone()] {
        router.wait_until_ready()?;
    }
    thread::sleep(Duration::from_secs(4));
    let callers = Arc::new(Callers {
        record: record.clone(),
        routers: programs[routers.clone()].iter().map(Program::callers).collect(),
        tries: Mutex::default(),
        has_broken: AtomicBool::new(false),
        is_over: AtomicBool::new(false),
    });
    let in_touch_from_ms = thread::scope(|scope| {
        let callers = &*callers;
        scope.spawn(move || {
            for number in 0.. {
                if callers.is_over.load(Ordering::Relaxed) {
                    return;
                }
                scope.spawn(move || callers.stream(number));
                thread::sleep(REQUEST_INTERVAL);
            }
        });
        // The callers' threads end in any case, also where a program can't be started again.
        let mut play = || {
            thread::sleep(Duration::from_secs(6));
            if case.has_trouble {
                record.line("all processes are killed");
                programs.iter_mut().for_each(Program::kill);
                thread::sleep(DOWN);
                for program in &mut programs {
                    program.restart()?;
                }
            }
            // Without the kill, callers leave their channels at the same time.
            callers.has_broken.store(true, Ordering::Relaxed);
            for router in &programs[routers.clone()] {
                router.wait_until_ready()?;
            }
            let in_touch_from_ms = record.now_ms() + CONTACT_MS;
            record.line(&format!("all routers are ready, and in touch from {in_touch_from_ms} ms"));
            thread::sleep(Duration::from_secs(9));
            Ok::<u64, io::Error>(in_touch_from_ms)
        };
        let played = play();
        callers.is_over.store(true, Ordering::Relaxed);
        played
    })?;
    drop(programs);
    let from_ms = if case.has_trouble { in_touch_from_ms } else { 0 };
    let tries = callers.tries.lock().unwrap();
    let taken_up = tries.iter().filter(|one| one.takes_up && one.sent_ms >= from_ms).count();
    if taken_up < MIN_TAKEN_UP {
        return Err(io::Error::other("too few streams were taken up"));
    }
    Ok(judge(&tries, from_ms))
}

/// LOST: of twelve or more streams that are taken up at machines in touch, at least half as many go on
/// as new streams begin.
fn judge(tries: &[Try], from_ms: u64) -> Verdict {
    let count = |takes_up: bool, goes_on: bool| {
        let fits = |one: &&Try| {
            one.sent_ms >= from_ms && one.takes_up == takes_up && (one.goes_on || !goes_on)
        };
        tries.iter().filter(fits).count()
    };
    let (taken_up, went_on) = (count(true, false), count(true, true));
    let (new, begun) = (count(false, false), count(false, true));
    let reason = format!(
        "at routers in touch, {went_on} of {taken_up} streams that were taken up went on, and {begun} \
         of {new} new ones began"
    );
    let is_under_half = 2 * went_on * new < begun * taken_up;
    Verdict { is_broken: taken_up >= MIN_TAKEN_UP && is_under_half, reason }
}
