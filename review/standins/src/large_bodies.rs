//! Many callers send bodies of the size that the configuration allows.

use std::{
    io,
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
    http::KeptChannel,
    plain_worker::{PlainWorker, Run, Runs},
    record::Record,
    store::Store,
    system::{Network, Program},
};

/// `maxBodyBytes` of the users' sites.
const MAX_BODY_BYTES: usize = 4_194_304;
/// `memoryMb` of the `front` machines of the users' first site.
const MEMORY_MB: u64 = 110;
/// Callers at each router at usual times.
const USUAL_CALLERS: usize = 14;
/// The largest burst on the users' sites: this many times the usual.
const BURST: f64 = 1.7;
/// How long that burst lasts there.
const BURST_LASTS: Duration = Duration::from_secs(3);
const WORK: Duration = Duration::from_millis(800);
const DEADLINE: Duration = Duration::from_secs(4);
/// How soon the platform starts a killed process again.
const RESTART: Duration = Duration::from_millis(500);
const MEMORY_CHECK: Duration = Duration::from_millis(2);
/// Requests of this kind that the rule allows to be lost.
const ALLOWED: usize = 3;

fn configuration() -> Value {
    json!({
        "version": 5,
        "routes": [{ "name": "draft", "hostname": "desk.example", "pathPrefix": "/draft/",
            "routeType": "unsafe", "timeoutMs": 4_000, "targetLatencyMs": 1_000, "priority": 1,
            "service": "desk", "maxAttempts": 1, "anonymous": true }],
        "services": [{ "name": "desk", "maxConns": 370, "healthPath": "/health" }],
        "tenants": [],
        "limits": { "maxHeaderBytes": 16_384, "maxBodyBytes": MAX_BODY_BYTES,
            "headerTimeoutMs": 5_000, "idleTimeoutMs": 15_000 },
    })
}

/// A request whose channel ended without an answer.
struct Unanswered {
    id: String,
    is_on_kept_channel: bool,
}

struct Callers {
    record: Record,
    stop: Arc<AtomicBool>,
    unanswered: Arc<Mutex<Vec<Unanswered>>>,
    served: Arc<Mutex<usize>>,
    threads: Vec<thread::JoinHandle<()>>,
}

impl Callers {
    fn start(&mut self, count: usize, name: &str, router: &Program, until: &Arc<AtomicBool>) {
        for number in 0..count {
            let (record, address) = (self.record.clone(), router.callers());
            let (stop, until) = (self.stop.clone(), until.clone());
            let (unanswered, served) = (self.unanswered.clone(), self.served.clone());
            let name = format!("{name}-{number}");
            self.threads.push(thread::spawn(move || {
                let body = vec![b'x'; MAX_BODY_BYTES];
                let mut channel: Option<(KeptChannel, u32)> = None;
                for request in 0.. {
                    if stop.load(Ordering::Relaxed) || until.load(Ordering::Relaxed) {
                        return;
                    }
                    let opened = channel.take().map(Ok).unwrap_or_else(|| {
                        KeptChannel::open(address, DEADLINE).map(|channel| (channel, 0))
                    });
                    let Ok((mut kept, uses)) = opened else {
                        thread::sleep(Duration::from_millis(50));
                        continue;
                    };
                    let id = format!("{name}-{request}");
                    let headers = [
                        ("Host", "desk.example"),
                        ("X-Samphirespread-Attempt-Id", id.as_str()),
                        ("X-Samphirespread-Deadline-Ms", "4000"),
                    ];
                    record.line(&format!("sent      {id} to {address}"));
                    match kept.call("POST", "/draft/letter", &headers, &body) {
                        Ok(answer) => {
                            record.line(&format!("answered  {id}: {}", answer.status));
                            *served.lock().unwrap() += usize::from(answer.status == 200);
                            let closes = answer.header("Connection").is_some_and(|value| value == "close");
                            channel = (!closes).then_some((kept, uses + 1));
                        }
                        Err(error) => {
                            record.line(&format!("closed    {id} without an answer: {error}"));
                            let is_on_kept_channel = uses > 0;
                            unanswered.lock().unwrap().push(Unanswered { id, is_on_kept_channel });
                        }
                    }
                }
            }));
        }
    }
}

/// Kills a program that exceeds its memory, and starts it again, as the platform does. Returns how
/// often it did, and the most memory that was seen.
fn watch(mut program: Program, stop: &AtomicBool, record: &Record) -> (u32, u64) {
    let (mut kills, mut most_kb) = (0, 0);
    while !stop.load(Ordering::Relaxed) {
        let memory_kb = program.memory_kb();
        most_kb = most_kb.max(memory_kb.unwrap_or(0));
        if memory_kb.is_none_or(|memory_kb| memory_kb > MEMORY_MB * 1_000) {
            program.kill();
            kills += 1;
            record.line(&format!("platform  {} is killed: {memory_kb:?} kB", program.ip));
            thread::sleep(RESTART);
            if program.restart().is_err() {
                return (kills, most_kb);
            }
        }
        thread::sleep(MEMORY_CHECK);
    }
    (kills, most_kb)
}

pub fn run(case: &Case) -> io::Result<Verdict> {
    let (record, network) = (&case.record, Network::new());
    let store = Store::start((network.ip(1), 8_601).into())?;
    let runs: Runs = Arc::default();
    for (name, zone, machine) in [("i-1", "a", 21), ("i-2", "b", 22)] {
        let address = (network.ip(machine), 8_602).into();
        let worker = PlainWorker::start(name, "desk", zone, address, WORK, &runs, record)?;
        store.put("servers", name, &worker.entry());
    }
    store.put("config", "main", &configuration());
    let (folder, ip) = (&case.folder, network.ip(11));
    let router = Program::start("gateway", "front-a-1", "a", ip, store.address, &[], folder)?;
    router.wait_until_ready()?;
    thread::sleep(Duration::from_secs(3));
    let mut callers = Callers {
        record: record.clone(),
        stop: Arc::default(),
        unanswered: Arc::default(),
        served: Arc::default(),
        threads: Vec::new(),
    };
    let (burst_is_over, platform_stops) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    callers.start(USUAL_CALLERS, "usual", &router, &Arc::default());
    thread::sleep(Duration::from_secs(4));
    if case.has_trouble {
        record.line("burst     begins");
        #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "small and positive")]
        let more = (USUAL_CALLERS as f64 * (BURST - 1.0)) as usize;
        callers.start(more, "burst", &router, &burst_is_over);
    }
    let platform = {
        let (stop, record) = (platform_stops.clone(), record.clone());
        thread::spawn(move || watch(router, &stop, &record))
    };
    thread::sleep(BURST_LASTS);
    burst_is_over.store(true, Ordering::Relaxed);
    record.line("burst     is over");
    thread::sleep(Duration::from_secs(4));
    callers.stop.store(true, Ordering::Relaxed);
    for caller in callers.threads.drain(..) {
        caller.join().map_err(|_| io::Error::other("a caller's thread ended"))?;
    }
    platform_stops.store(true, Ordering::Relaxed);
    let (kills, most_kb) = platform.join().map_err(|_| io::Error::other("the platform's thread ended"))?;
    let (unanswered, served) = (callers.unanswered.lock().unwrap(), *callers.served.lock().unwrap());
    Ok(judge(&unanswered, &runs.lock().unwrap(), (kills, most_kb, served)))
}

/// LOST: at most three requests from kept channels are passed on to a sound worker and lose their
/// channel without an answer.
fn judge(unanswered: &[Unanswered], runs: &[Run], (kills, most_kb, served): (u32, u64, usize)) -> Verdict {
    let was_passed_on = |lost: &&Unanswered| runs.iter().any(|run| run.request == lost.id);
    let lost = unanswered.iter().filter(|lost| lost.is_on_kept_channel).filter(was_passed_on).count();
    let reason = format!(
        "{lost} requests from kept channels were passed on and got no answer, {ALLOWED} are allowed; \
         the router used up to {} MB of {MEMORY_MB} and was killed {kills} times; {served} requests \
         were served",
        most_kb / 1_000
    );
    Verdict { is_broken: lost > ALLOWED, reason }
}
