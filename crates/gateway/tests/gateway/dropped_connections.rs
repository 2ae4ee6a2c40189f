//! Tests of servers that drop idle connections without notice, and reset what is sent on them next.

use std::time::Duration;

use http::StatusCode;
use samphirespread_standin::published::{Behaviour, CrashStyle, CrashTrigger, Received, Worker};
use serde_json::{Value, json};
use tokio::{task::JoinSet, time};

use crate::support::{Answer, Site, call, configuration, eventually, generation, send, start_site};

/// A server drops a connection that was idle for so long.
const DROP_MS: u64 = 300;
/// A rest after which it has dropped all of them.
const REST: Duration = Duration::from_millis(400);
/// A rest that is shown to be safe while nothing is dropped, longer than `REST`.
const LONG_REST: Duration = Duration::from_millis(700);
/// Number of requests sent first, so that the retry budget allows moves.
const WARM_UP_REQUESTS: usize = 10;

async fn dropping_site(configuration: Value) -> Site {
    let site = start_site(configuration).await;
    drop_idle(&site);
    site
}

fn drop_idle(site: &Site) {
    for worker in &site.workers {
        worker.drop_idle_after(Some(DROP_MS));
    }
}

/// Starts a site whose gateway has seen connections survive `LONG_REST`, so that it takes those that were
/// idle for a shorter time to be open. Then the servers begin to drop them after `DROP_MS`.
async fn site_that_begins_to_drop() -> Site {
    let site = start_site(configuration()).await;
    for round in 0..3 {
        burst(&site, "/lookup/a", &format!("calm{round}-"), 6).await;
        time::sleep(LONG_REST).await;
    }
    burst(&site, "/lookup/a", "calm-", 6).await;
    drop_idle(&site);
    time::sleep(REST).await;
    site
}

/// Sends calls at the same time. Returns how many were answered with a success.
async fn burst(site: &Site, path: &str, name: &str, calls: usize) -> usize {
    let address = site.gateway.addresses.callers;
    let mut open = JoinSet::new();
    for number in 0..calls {
        let request = call(path, &format!("{name}{number}"));
        open.spawn(async move { send(address, request).await });
    }
    let is_served = |answer: &Option<Answer>| {
        answer.as_ref().is_some_and(|answer| answer.status == StatusCode::OK)
    };
    open.join_all().await.iter().filter(|answer| is_served(answer)).count()
}

fn lines(site: &Site, message: &str) -> Vec<Value> {
    site.gateway.log.lines().into_iter().filter(|line| line["msg"] == message).collect()
}

fn assert_no_server_blamed(site: &Site) {
    for message in ["server avoided", "run broke off", "crash counted", "server crashed"] {
        let found = lines(site, message);
        assert!(found.is_empty(), "{found:#?}");
    }
}

/// The requests with an id that a server received.
fn received(worker: &Worker, id: &str) -> Vec<Received> {
    worker.received().into_iter().filter(|received| received.request_id() == id).collect()
}

/// Guards against calls that may run once, are answered 502 and were read by no server.
#[tokio::test]
async fn calls_that_may_run_once_meet_no_dropped_connection() {
    let site = dropping_site(configuration()).await;

    for number in 0..6 {
        let answer = site.send(call("/issue/a", &format!("q{number}"))).await;
        assert_eq!(answer.status, StatusCode::OK, "{:#?}", site.gateway.log.lines());
        time::sleep(REST).await;
    }

    assert_eq!(site.ran(), 6);
    assert_no_server_blamed(&site);
}

/// Guards against a burst after a pause, whose calls all meet connections that were dropped in it.
#[tokio::test]
async fn a_burst_after_a_pause_meets_no_dropped_connection() {
    let site = dropping_site(configuration()).await;

    for round in 0..3 {
        assert_eq!(burst(&site, "/issue/a", &format!("q{round}-"), 12).await, 12, "round {round}");
        time::sleep(REST).await;
    }

    assert_eq!(site.ran(), 36);
    assert_no_server_blamed(&site);
}

/// Guards against streams that may run once, are answered 502 and were read by no engine.
#[tokio::test]
async fn streams_that_may_run_once_meet_no_dropped_connection() {
    let site = dropping_site(configuration()).await;

    for number in 0..6 {
        let answer = site.send(generation("/stream/a", &format!("q{number}"))).await;
        assert!(answer.is_whole && answer.status == StatusCode::OK, "{answer:?}");
        time::sleep(REST).await;
    }

    assert_eq!(site.ran(), 6);
    assert_no_server_blamed(&site);
}

/// Guards against a call that may be repeated and fails, or counts against its server, because it was the
/// first to meet a dropped connection.
#[tokio::test]
async fn a_call_that_may_be_repeated_is_sent_again_after_a_reset() {
    let site = site_that_begins_to_drop().await;

    let answer = site.send(call("/lookup/a", "q1")).await;

    assert_eq!(answer.status, StatusCode::OK);
    let dropped = lines(&site, "idle connection dropped");
    assert_eq!(dropped[0]["outcome"], "sent_again", "{dropped:#?}");
    let sends: usize = site.workers.iter().map(|worker| received(worker, "q1").len()).sum();
    assert_eq!(sends, 1);
    assert_no_server_blamed(&site);
    // What follows is not sent on dropped connections.
    assert_eq!(burst(&site, "/issue/a", "q2-", 8).await, 8);
}

/// Guards against a sound server, a version of its software or a request that counts as guilty after a
/// call that no server has read. The call itself may have run for all that the gateway knows.
#[tokio::test]
async fn a_reset_of_a_call_that_may_run_once_is_held_against_nobody() {
    let site = site_that_begins_to_drop().await;

    let answer = site.send(call("/issue/a", "q1")).await;

    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    assert!(site.workers.iter().all(|worker| received(worker, "q1").is_empty()));
    assert_eq!(lines(&site, "idle connection dropped")[0]["outcome"], "lost");
    assert_no_server_blamed(&site);
    assert_eq!(burst(&site, "/issue/a", "q2-", 8).await, 8);
}

/// Guards against a request that crashes servers and is taken for one that met a dropped connection.
#[tokio::test]
async fn a_crash_on_a_kept_connection_still_counts() {
    let site = site_that_begins_to_drop().await;
    for worker in &site.workers {
        worker.drop_idle_after(None);
        worker.crash_on([CrashTrigger::Body("a call".into())], CrashStyle::down_for(0));
    }

    let answer = site.send(call("/issue/a", "q1")).await;
    let has_restarted = |worker: &&Worker| worker.entry("ready")["born"] == 2;
    let crashed = eventually(|| site.workers.iter().find(has_restarted)).await;
    site.store.put("servers", crashed.id(), crashed.entry("ready"));

    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    eventually(|| lines(&site, "crash counted").pop()).await;
    assert_eq!(site.workers.iter().map(Worker::crashes).sum::<usize>(), 1);
    assert!(lines(&site, "idle connection dropped").is_empty());
}

fn moving_configuration() -> Value {
    let mut configuration = configuration();
    configuration["services"][1]["engine"]["moves"] = json!(true);
    configuration
}

/// Starts a site where each engine has idle connections, and streams its next request until the run is
/// moved.
async fn moving_site() -> Site {
    let site = start_site(moving_configuration()).await;
    for number in 0..WARM_UP_REQUESTS {
        let mut open = JoinSet::new();
        for (name, prompt) in [("a", "c:10,d:20"), ("b", "e:10,f:20")] {
            let mut request = generation("/stream/a", &format!("before{number}{name}"));
            request.headers_mut().insert("x-samphirespread-prompt-prefix", prompt.parse().unwrap());
            open.spawn(send(site.gateway.addresses.callers, request));
        }
        open.join_all().await;
    }
    assert!(engines(&site).iter().all(|engine| engine.ran() > 1), "an engine had no request");
    for engine in engines(&site) {
        engine.expect([Behaviour::StreamUntilMoved]);
    }
    site
}

fn engines(site: &Site) -> &[Worker] {
    &site.workers[2..]
}

/// Sends a stream that may run once. After a rest, `prepare` is called with the other engine, and the one
/// that runs it drains. Returns the answer, the source and the destination.
async fn send_and_drain(site: &Site, prepare: impl FnOnce(&Worker)) -> (Answer, &Worker, &Worker) {
    let source = async {
        let is_asked = |engine: &Worker| !received(engine, "q1").is_empty();
        let index = eventually(|| engines(site).iter().position(is_asked)).await;
        let (source, destination) = (&engines(site)[index], &engines(site)[1 - index]);
        time::sleep(REST).await;
        destination.expect_nothing();
        prepare(destination);
        site.store.put("servers", source.id(), source.entry("draining"));
        (source, destination)
    };
    let (answer, (source, destination)) =
        tokio::join!(site.send(generation("/stream/a", "q1")), source);
    (answer, source, destination)
}

/// Guards against a stream that is lost as the engine that is to continue it had dropped the idle
/// connection.
#[tokio::test]
async fn a_stopped_run_goes_on_at_an_engine_that_drops_idle_connections() {
    let site = moving_site().await;
    drop_idle(&site);

    let (answer, _, destination) = send_and_drain(&site, |_| {}).await;

    assert!(answer.is_whole, "{:#?}", site.gateway.log.lines());
    assert_eq!(received(destination, "q1").len(), 1);
    assert_no_server_blamed(&site);
}

/// Guards against a stream that is lost as the engine that is to continue it is silent on the idle
/// connection.
#[tokio::test]
async fn a_stopped_run_goes_on_at_an_engine_whose_idle_connections_are_silent() {
    let site = moving_site().await;

    let (answer, _, destination) = send_and_drain(&site, Worker::silence_open_connections).await;

    assert!(answer.is_whole, "{:#?}", site.gateway.log.lines());
    assert_eq!(received(destination, "q1").len(), 1);
}

/// Guards against a second send with the same handle that is not tried, although it can't run twice.
#[tokio::test]
async fn a_stopped_run_is_sent_again_with_its_handle_after_a_reset() {
    let site = moving_site().await;
    let break_off_once = |engine: &Worker| engine.expect([Behaviour::BreakOff]);

    let (answer, source, destination) = send_and_drain(&site, break_off_once).await;

    assert!(answer.is_whole, "{:#?}", site.gateway.log.lines());
    let sends = received(destination, "q1");
    let from = format!("{}/h-q1", source.address());
    assert_eq!(sends.len(), 2);
    assert!(sends.iter().all(|send| send.header("kv-from") == from), "{sends:?}");
}

/// Guards against a refusal of the second send that is taken for proof that the first has not run, so that
/// the run goes on somewhere else too.
#[tokio::test]
async fn a_refusal_of_the_second_send_of_a_stopped_run_proves_nothing() {
    let site = moving_site().await;
    // The first send has used the handle up.
    let use_handle = |engine: &Worker| engine.expect([Behaviour::BreakOff, Behaviour::Refuse]);

    let (answer, source, destination) = send_and_drain(&site, use_handle).await;

    assert!(!answer.is_whole);
    assert_eq!((received(source, "q1").len(), received(destination, "q1").len()), (1, 2));
    let ended = site.gateway.log.line("request ended", "q1").await;
    assert_eq!(ended["outcome"], "cut", "{ended}");
}

/// Guards against checks and new connections that a day without dropped connections pays for.
#[tokio::test]
async fn calls_in_calm_open_no_more_connections_than_there_are_servers() {
    let site = start_site(configuration()).await;

    for number in 0..30 {
        site.send(call("/issue/a", &format!("q{number}"))).await;
        time::sleep(Duration::from_millis(120)).await;
    }

    let metrics = site.metrics().await;
    let opened = metric(&metrics, "samphirespread_server_connections_total ");
    let checked = metric(&metrics, "samphirespread_idle_connections_total{cause=\"open\"} ");
    assert!(opened <= 2, "{opened} connections to two servers");
    assert!(checked <= 3, "{checked} checks");
}

fn metric(metrics: &str, name: &str) -> u64 {
    let value = metrics.lines().find_map(|line| line.strip_prefix(name));
    value.map_or(0, |value| value.parse().unwrap())
}
