//! Requests that crash the backend servers that run them.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use samphirespread_routing::crash_causes::CauseKey;
use samphirespread_standin::published::{
    Behaviour, CrashTrigger, ObjectStore, Received, Worker, WorkerConfig,
};
use serde_json::{Value, json};
use tokio::{task::JoinSet, time};

use crate::support::{
    Answer, MODEL, Running, call, configuration, eventually, generation, request, send,
    settings_of, start_gateway,
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
        let engine =
            |number: usize| WorkerConfig::new(&format!("e{number}"), "engines").model(MODEL, 1);
        Self::start_with((0..engines).map(engine), gateways).await
    }

    /// Starts servers without an engine.
    async fn start_plain(servers: usize, gateways: usize) -> Self {
        let server = |number: usize| WorkerConfig::new(&format!("d{number}"), "desk");
        Self::start_with((0..servers).map(server), gateways).await
    }

    async fn start_with(servers: impl Iterator<Item = WorkerConfig>, gateways: usize) -> Self {
        let store = ObjectStore::start().unwrap();
        store.put("config", "main", configuration());
        store.put("versions", MODEL, json!({ "model": MODEL, "version": 1 }));
        let engines: Vec<Worker> = servers.map(|config| Worker::start(config).unwrap()).collect();
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
    let (head, _) = generation("/stream/a", id).into_parts();
    let mut request =
        Request::from_parts(head, Full::from(format!("a prompt that ends with {id}")));
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

/// With many gateways, each of them sees such a request only now and then.
#[tokio::test]
async fn many_gateways_together_stop_sending_a_part_that_crashes_engines() {
    let fleet = Fleet::start(18, 23).await;
    fleet.crash_on(&CrashTrigger::Part(GUILTY_PART.to_owned()));

    let outcome = send_mixed(&fleet).await;

    assert_contained(&fleet, &outcome);
}

/// Engines that are killed with no guilty request at all had prompt parts refused.
#[tokio::test]
async fn engines_that_are_killed_have_nothing_refused() {
    let fleet = Fleet::start(9, 3).await;
    let (mut sent, mut refused) = (0, 0);
    for round in 0..3_usize {
        let killed: Vec<&Worker> = fleet.engines.iter().skip(round).step_by(3).collect();
        for engine in &killed {
            engine.crash_on([CrashTrigger::Any], DOWN_MS);
        }
        let burst = (0..9).map(|number| {
            let id = format!("k{round}-{number}");
            let gateway = &fleet.gateways[number % 3];
            // Nine in ten have a part in common.
            let part = if number == 0 { id.clone() } else { "hot".to_owned() };
            send(gateway.addresses.callers, prompt(&id, &part))
        });
        let burst: Vec<_> = burst.collect::<JoinSet<_>>().join_all().await;
        for engine in &killed {
            engine.crash_on([], DOWN_MS);
        }
        sent += burst.len();
        refused += burst.iter().flatten().filter(|it| it.body == "crash_cause\n").count();
        time::sleep(Duration::from_millis(2 * DOWN_MS)).await;
        fleet.list_engines();
    }
    for number in 0..30 {
        let part = if number % 10 == 0 { format!("k{number}") } else { "hot".to_owned() };
        let answer = fleet.send(number, prompt(&format!("s{number}"), &part)).await;
        sent += 1;
        refused += usize::from(answer.body == "crash_cause\n");
    }

    assert!(fleet.crashes() > 0, "no engine was killed");
    assert_eq!(refused, 0, "of {sent}");
}

/// A gateway that was not there when engines crashed sent the part to one more after the other.
#[tokio::test]
async fn a_gateway_that_starts_later_learns_what_crashes_engines() {
    let mut fleet = Fleet::start(8, 2).await;
    fleet.crash_on(&CrashTrigger::Part(GUILTY_PART.to_owned()));
    until_refused(&fleet).await;
    let crashes = fleet.crashes();

    fleet.add_gateway("late").await;
    let late = fleet.gateways.last().unwrap();
    eventually(|| has_line(late, "crash counted", &[])).await;
    let callers = late.addresses.callers;
    let answer = send(callers, prompt("after", GUILTY_PART)).await.expect("an answer");

    assert_eq!((answer.status.as_u16(), answer.body.as_str()), (503, "crash_cause\n"));
    assert!(answer.headers.contains_key("retry-after"));
    assert!(fleet.crashes() <= crashes + 1, "a trial may have been made meanwhile");
}

/// Sends requests with the guilty part until one is refused.
async fn until_refused(fleet: &Fleet) {
    for number in 0..200 {
        let answer = fleet.send(number, prompt(&format!("bad{number}"), GUILTY_PART)).await;
        if answer.body == "crash_cause\n" {
            return;
        }
        time::sleep(PAUSE).await;
    }
    panic!("no request is refused");
}

/// A part that no longer crashes engines, or never did, must not be refused for good.
#[tokio::test]
async fn requests_go_on_once_one_on_trial_survives() {
    let fleet = Fleet::start(8, 2).await;
    fleet.crash_on(&CrashTrigger::Part(GUILTY_PART.to_owned()));
    until_refused(&fleet).await;

    for engine in &fleet.engines {
        engine.crash_on([], DOWN_MS);
    }
    let mut number = 0;
    while !fleet.send(number, prompt(&format!("again{number}"), GUILTY_PART)).await.is_whole
        || fleet.gateways.iter().any(|it| has_line(it, "crash cause cleared", &guilty()).is_none())
    {
        number += 1;
        assert!(number < 400, "requests with the part are refused for good");
        time::sleep(PAUSE).await;
    }

    for number in 0..4 {
        let answer = fleet.send(number, prompt(&format!("end{number}"), GUILTY_PART)).await;
        assert!(answer.is_whole && answer.status == 200, "{answer:?}");
    }
}

fn guilty() -> [(&'static str, Value); 1] {
    [("cause", json!(CauseKey::of_part(GUILTY_PART).to_string()))]
}

/// An operator who knows better lifts a verdict on all gateways at once.
#[tokio::test]
async fn an_operator_clears_a_cause_on_all_gateways() {
    let fleet = Fleet::start(8, 2).await;
    fleet.crash_on(&CrashTrigger::Part(GUILTY_PART.to_owned()));
    until_refused(&fleet).await;
    for engine in &fleet.engines {
        engine.crash_on([], DOWN_MS);
    }

    let admin = fleet.gateways[0].addresses.admin;
    let path = format!("/clear-crash-cause?cause={}", CauseKey::of_part(GUILTY_PART));
    let cleared = send(admin, Request::post(path).body(Full::default()).unwrap()).await.unwrap();
    let bad = Request::post("/clear-crash-cause?cause=12").body(Full::default()).unwrap();
    let bad = send(admin, bad).await.unwrap();
    eventually(|| has_line(&fleet.gateways[1], "crash cause cleared", &guilty())).await;

    assert_eq!(cleared.status, 200);
    assert!(bad.status == 400 && bad.body.contains("32 hexadecimal digits"), "{bad:?}");
    for number in 0..4 {
        let answer = fleet.send(number, prompt(&format!("end{number}"), GUILTY_PART)).await;
        assert!(answer.is_whole && answer.status == 200, "{answer:?}");
    }
}

/// The body of the request that crashes servers.
const GUILTY_BODY: &str = "a guilty body";

/// The same request to a plain server again, as its caller sends it under a new id.
fn repeated_call(id: &str) -> Request<Full<Bytes>> {
    request("POST", "/lookup/guilty", id).body(Full::from(GUILTY_BODY)).unwrap()
}

/// The same request to an engine again. Other requests have all of its shared parts.
fn repeated_prompt(id: &str) -> Request<Full<Bytes>> {
    let (parts, _) = prompt(id, "c1").into_parts();
    Request::from_parts(parts, Full::from(GUILTY_BODY))
}

/// Sends the guilty request and sound ones in turn. Returns what came of it.
async fn send_repeats(
    fleet: &Fleet,
    guilty: impl Fn(&str) -> Request<Full<Bytes>>,
    sound: impl Fn(&str, usize) -> Request<Full<Bytes>>,
) -> Outcome {
    let mut outcome = Outcome::default();
    for number in 0..REQUESTS {
        let _ = fleet.send(number, guilty(&format!("bad{number}"))).await;
        outcome.sound += 1;
        let answer = fleet.send(number, sound(&format!("good{number}"), number)).await;
        outcome.sound_served += usize::from(answer.is_whole && answer.status == 200);
        time::sleep(PAUSE).await;
    }
    outcome
}

fn assert_repeats_contained(fleet: &Fleet, outcome: &Outcome) {
    let crashes = fleet.crashes();
    assert!(crashes <= ALLOWED_CRASHES, "{crashes} crashes, {outcome:?}");
    assert!(100 * outcome.sound_served >= 95 * outcome.sound, "{outcome:?}");
}

/// A request that crashes the engines that run it came again and again, each time at another one.
#[tokio::test]
async fn a_request_that_crashes_engines_is_no_longer_sent() {
    let fleet = Fleet::start(8, 3).await;
    fleet.crash_on(&CrashTrigger::Body(GUILTY_BODY.into()));

    let sound = |id: &str, number: usize| prompt(id, &format!("c{}", number % 7));
    let outcome = send_repeats(&fleet, repeated_prompt, sound).await;

    assert_repeats_contained(&fleet, &outcome);
}

/// The same with servers that have no prompts, and that end without the head of an answer.
#[tokio::test]
async fn a_call_that_crashes_servers_is_no_longer_sent() {
    let fleet = Fleet::start_plain(8, 3).await;
    fleet.crash_on(&CrashTrigger::Body(GUILTY_BODY.into()));

    let sound = |id: &str, _| call("/lookup/guilty", id);
    let outcome = send_repeats(&fleet, repeated_call, sound).await;

    assert_repeats_contained(&fleet, &outcome);
}
