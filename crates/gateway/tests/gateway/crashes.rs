//! Requests that crash the backend servers that run them.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use samphirespread_standin::published::{
    Behaviour, CrashTrigger, ObjectStore, Received, Worker, WorkerConfig,
};
use serde_json::{Value, json};
use tokio::time;

use crate::support::{
    Answer, MODEL, Running, configuration, eventually, generation, send, settings_of, start_gateway,
};

/// How long a worker is down after a crash.
const DOWN_MS: u64 = 300;
/// The part that crashes engines.
const GUILTY_PART: &str = "bad";

/// Engines that crash on what a test chooses, behind some gateways.
struct Fleet {
    store: ObjectStore,
    engines: Vec<Worker>,
    gateways: Vec<Running>,
}

impl Fleet {
    async fn start(engines: usize, gateways: usize) -> Self {
        let store = ObjectStore::start().unwrap();
        store.put("config", "main", configuration());
        store.put("versions", MODEL, json!({ "model": MODEL, "version": 1 }));
        let start = |number: usize| {
            let config = WorkerConfig::new(&format!("e{number}"), "engines").model(MODEL, 1);
            Worker::start(config).unwrap()
        };
        let engines: Vec<Worker> = (0..engines).map(start).collect();
        let mut fleet = Self { store, engines, gateways: Vec::new() };
        fleet.list_engines();
        for number in 0..gateways {
            fleet.add_gateway(&format!("r{number}")).await;
        }
        fleet
    }

    async fn add_gateway(&mut self, name: &str) {
        let gateway = start_gateway(settings_of(name, self.store.address())).await;
        self.gateways.push(gateway);
    }

    /// Writes the engines' entries, as each of them does when it starts.
    fn list_engines(&self) {
        for engine in &self.engines {
            self.store.put("servers", engine.id(), engine.entry("ready"));
        }
    }

    fn crash_on(&self, trigger: &CrashTrigger) {
        for engine in &self.engines {
            engine.crash_on([trigger.clone()], DOWN_MS);
        }
    }

    fn crashes(&self) -> usize {
        self.engines.iter().map(Worker::crashes).sum()
    }

    async fn send(&self, number: usize, request: Request<Full<Bytes>>) -> Answer {
        let gateway = &self.gateways[number % self.gateways.len()];
        let answer = send(gateway.addresses.callers, request).await;
        self.list_engines();
        answer.expect("an answer")
    }
}

/// A request of which only the first part and the caller are shared with others, but for `part`.
fn prompt(id: &str, part: &str) -> Request<Full<Bytes>> {
    let mut request = generation("/stream/a", id);
    let parts = format!("a:10,{part}:20,{id}:5");
    request.headers_mut().insert("x-samphirespread-prompt-prefix", parts.parse().unwrap());
    request
}

fn has_line(gateway: &Running, message: &str, fields: &[(&str, Value)]) -> Option<Value> {
    let is_it = |line: &Value| {
        line["msg"] == message && fields.iter().all(|(name, value)| line[name] == *value)
    };
    gateway.log.lines().into_iter().find(is_it)
}

#[tokio::test]
async fn a_crash_and_the_parts_it_counts_against_are_logged() {
    let fleet = Fleet::start(2, 1).await;
    fleet.crash_on(&CrashTrigger::Part(GUILTY_PART.to_owned()));

    let broken = fleet.send(0, prompt("q1", GUILTY_PART)).await;
    let gateway = &fleet.gateways[0];
    let crashed = eventually(|| has_line(gateway, "server crashed", &[])).await;
    let counted = |part| [("part", json!(part)), ("crashes", json!(1))];
    eventually(|| has_line(gateway, "crash counted", &counted("a"))).await;
    let guilty = eventually(|| has_line(gateway, "crash counted", &counted(GUILTY_PART))).await;
    let sound = fleet.send(0, prompt("q2", "good")).await;
    eventually(|| has_line(gateway, "crash cause cleared", &[("part", json!("a"))])).await;

    assert!(!broken.is_whole && sound.is_whole);
    assert_eq!((&crashed["request"], &guilty["request"]), (&json!("q1"), &json!("q1")));
    assert_eq!((&guilty["team"], &guilty["route"]), (&json!("desk-team"), &json!("stream")));
    let last_part = has_line(gateway, "crash counted", &[("part", json!("q1"))]);
    assert_eq!(last_part, None, "the last part is the request's own");
    let cleared = has_line(gateway, "crash cause cleared", &[("part", json!(GUILTY_PART))]);
    assert_eq!(cleared, None);
}

/// A stream that is broken off by a server that lives on says nothing of its parts.
#[tokio::test]
async fn a_stream_that_is_cut_is_no_crash() {
    let fleet = Fleet::start(2, 1).await;
    for engine in &fleet.engines {
        engine.expect([Behaviour::CutStreamAfter(0); 4]);
    }

    for number in 0..4 {
        let answer = fleet.send(0, prompt(&format!("q{number}"), GUILTY_PART)).await;
        assert!(!answer.is_whole);
    }
    time::sleep(Duration::from_millis(600)).await;

    assert_eq!(has_line(&fleet.gateways[0], "crash counted", &[]), None);
}

/// How long after the fifth crash every gateway has to know of the cause, which is the `contactMs`
/// that the users promise.
const CONTACT: Duration = Duration::from_secs(3);
/// Crashes from which that time counts.
const RULED_CRASHES: usize = 5;
/// Requests with the cause that may reach engines after that, from all gateways together.
const ALLOWED_SENDS: usize = 3;
/// Engines that one cause may crash in these tests.
const ALLOWED_CRASHES: usize = 8;
/// Requests with the cause, and as many sound ones, that a test sends.
const REQUESTS: usize = 100;
/// Pause between two of them.
const PAUSE: Duration = Duration::from_millis(60);

/// What came of a test's requests.
#[derive(Debug, Default)]
struct Outcome {
    sound: usize,
    sound_served: usize,
    /// When the engines had crashed for the fifth time.
    fifth_crash: Option<Instant>,
}

/// Sends requests with and without the guilty part in turn, each to the next gateway.
async fn send_mixed(fleet: &Fleet) -> Outcome {
    let mut outcome = Outcome::default();
    for number in 0..REQUESTS {
        let _ = fleet.send(number, prompt(&format!("bad{number}"), GUILTY_PART)).await;
        if outcome.fifth_crash.is_none() && fleet.crashes() >= RULED_CRASHES {
            outcome.fifth_crash = Some(Instant::now());
        }
        let sound = prompt(&format!("good{number}"), &format!("c{}", number % 7));
        outcome.sound += 1;
        outcome.sound_served += usize::from(fleet.send(number, sound).await.is_whole);
        time::sleep(PAUSE).await;
    }
    outcome
}

/// Requests whose path or prompt parts contain `text` that reached engines later than a time.
fn arrivals_after(fleet: &Fleet, text: &str, since: Instant) -> usize {
    let received = fleet.engines.iter().flat_map(Worker::received);
    let is_it = |received: &Received| {
        received.at > since && received.header("x-samphirespread-prompt-prefix").contains(text)
    };
    received.filter(is_it).count()
}

fn assert_contained(fleet: &Fleet, outcome: &Outcome) {
    let crashes = fleet.crashes();
    assert!(crashes <= ALLOWED_CRASHES, "{crashes} crashes, {outcome:?}");
    if let Some(fifth) = outcome.fifth_crash {
        let sends = arrivals_after(fleet, GUILTY_PART, fifth + CONTACT);
        assert!(sends <= ALLOWED_SENDS, "{sends} sends, {outcome:?}");
    }
}

/// Requests that share a prompt part which crashes engines were sent on to engine after engine.
#[tokio::test]
async fn a_part_that_crashes_engines_is_no_longer_sent() {
    let fleet = Fleet::start(8, 1).await;
    fleet.crash_on(&CrashTrigger::Part(GUILTY_PART.to_owned()));

    let outcome = send_mixed(&fleet).await;

    assert_contained(&fleet, &outcome);
}

/// Each gateway counted only the crashes of its own requests, so the sum over all was too large.
#[tokio::test]
async fn all_gateways_together_stop_sending_a_part_that_crashes_engines() {
    let fleet = Fleet::start(8, 3).await;
    fleet.crash_on(&CrashTrigger::Part(GUILTY_PART.to_owned()));

    let outcome = send_mixed(&fleet).await;

    assert_contained(&fleet, &outcome);
    assert!(
        100 * outcome.sound_served >= 95 * outcome.sound,
        "requests with the other parts of the prompt: {outcome:?}"
    );
}
