//! Tests of moving runs off an engine that leaves while their streams continue.

use std::time::Duration;

use http_body_util::BodyExt;
use samphirespread_outbound::Connection;
use samphirespread_standin::published::{Behaviour, CopyBehaviour, MOVED_EVENTS, Received, Worker};
use serde_json::{Value, json};
use tokio::time;

use crate::support::{Answer, Site, configuration, eventually, generation, start_site};

pub(super) fn moving_configuration() -> Value {
    let mut configuration = configuration();
    configuration["services"][1]["engine"]["moves"] = json!(true);
    configuration
}

/// Number of requests sent first, so that the retry budget allows a move.
const WARM_UP_REQUESTS: usize = 10;

/// Starts a site where each engine streams its next request until the run is moved. `copies` says
/// how an engine behaves at calls to copy a run.
pub(super) async fn site(copies: &[CopyBehaviour]) -> Site {
    let site = start_site(moving_configuration()).await;
    for number in 0..WARM_UP_REQUESTS {
        site.send(generation("/stream/a", &format!("before{number}"))).await;
    }
    for engine in engines(&site) {
        engine.expect([Behaviour::StreamUntilMoved]);
        engine.expect_copies(copies.iter().copied());
    }
    site
}

pub(super) fn engines(site: &Site) -> &[Worker] {
    &site.workers[2..]
}

/// Sends a request and drains the engine that runs it. Returns the answer and the indices of source
/// and destination.
async fn send_and_drain(site: &Site, path: &str) -> (Answer, usize, usize) {
    send_and_drain_to(site, path, Behaviour::Answer).await
}

/// Like [`send_and_drain`], but the destination treats the request according to `behaviour`.
async fn send_and_drain_to(
    site: &Site,
    path: &str,
    behaviour: Behaviour,
) -> (Answer, usize, usize) {
    send_and_drain_with(site, path, &[behaviour]).await
}

/// Like [`send_and_drain_to`], with a behaviour for each message that the destination receives first.
async fn send_and_drain_with(
    site: &Site,
    path: &str,
    behaviours: &[Behaviour],
) -> (Answer, usize, usize) {
    let source = async {
        let is_asked = |engine: &Worker| !received(engine).is_empty();
        let source = eventually(|| engines(site).iter().position(is_asked)).await;
        let destination = &engines(site)[1 - source];
        destination.expect_nothing();
        destination.expect(behaviours.iter().copied());
        let leaving = &engines(site)[source];
        site.store.put("servers", leaving.id(), leaving.entry("draining"));
        source
    };
    let (answer, source) = tokio::join!(site.send(generation(path, "q1")), source);
    (answer, source, 1 - source)
}

/// The messages of the request whose run is moved that an engine received.
pub(super) fn received(engine: &Worker) -> Vec<Received> {
    engine.received().into_iter().filter(|received| received.request_id() == "q1").collect()
}

fn event_ids(answer: &Answer) -> Vec<u64> {
    let ids = answer.body.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.map(|id| id.parse().unwrap()).collect()
}

pub(super) fn assert_contiguous(answer: &Answer) {
    let ids = event_ids(answer);
    let expected: Vec<u64> = (1..=u64::try_from(ids.len()).unwrap()).collect();
    assert_eq!(ids, expected);
}

#[tokio::test]
async fn continues_an_unresumable_stream_after_moving_its_run() {
    let site = site(&[]).await;

    let (answer, source, destination) = send_and_drain(&site, "/stream/a").await;

    assert!(answer.is_whole);
    assert_contiguous(&answer);
    let stops: Vec<bool> = engines(&site)[source].copied().iter().map(|copy| copy.stops).collect();
    assert_eq!(stops, [false, true]);
    let received = received(&engines(&site)[destination]);
    assert_eq!(received.len(), 1);
    let from = format!("{}/h-q1", engines(&site)[source].address());
    assert_eq!(received[0].header("kv-from"), from);
    let last = u64::try_from(event_ids(&answer).len()).unwrap() - MOVED_EVENTS;
    assert_eq!(received[0].header("last-event-id"), last.to_string());
}

#[tokio::test]
async fn starts_no_second_run_when_the_answer_to_a_stop_is_lost() {
    let site = site(&[CopyBehaviour::Copy, CopyBehaviour::LoseAnswer]).await;

    let (answer, source, destination) = send_and_drain(&site, "/stream/a").await;

    assert!(!answer.is_whole);
    assert_contiguous(&answer);
    assert_eq!(engines(&site)[source].copied().len(), 2);
    assert!(received(&engines(&site)[destination]).is_empty());
}

#[tokio::test]
async fn resumes_a_resumable_stream_after_a_failed_move() {
    let site = site(&[CopyBehaviour::Copy, CopyBehaviour::LoseAnswer]).await;

    let (answer, _, destination) = send_and_drain(&site, "/resumable/a").await;

    assert!(answer.is_whole);
    assert_contiguous(&answer);
    let received = received(&engines(&site)[destination]);
    assert_eq!(received[0].header("kv-from"), "");
}

#[tokio::test]
async fn does_not_return_a_run_to_a_leaving_engine() {
    let site = site(&[CopyBehaviour::Copy, CopyBehaviour::NoRoom]).await;

    let (answer, source, destination) = send_and_drain(&site, "/stream/a").await;

    assert!(!answer.is_whole);
    assert_eq!(engines(&site)[source].copied().len(), 2);
    assert_eq!(received(&engines(&site)[source]).len(), 1);
    assert!(received(&engines(&site)[destination]).is_empty());
}

/// An engine in need names a limit, and would get the runs of every engine that loads weights.
#[tokio::test]
async fn does_not_move_a_run_to_an_engine_that_names_a_limit() {
    let site = start_site(moving_configuration()).await;
    for engine in engines(&site) {
        engine.set_limit(Some("50"));
    }
    let knows_limits = || {
        let lines = site.gateway.log.lines();
        lines.iter().filter(|line| line["msg"] == "server limited").count() == 2
    };
    for number in 0..400 {
        if knows_limits() {
            break;
        }
        let mut request = generation("/stream/a", &format!("before{number}"));
        let parts = format!("a{number:x}:10,b{number:x}:20");
        request.headers_mut().insert("x-samphirespread-prompt-prefix", parts.parse().unwrap());
        site.send(request).await;
    }
    assert!(knows_limits(), "an engine was not asked");
    for engine in engines(&site) {
        engine.expect([Behaviour::StreamUntilMoved]);
    }

    let (answer, source, destination) = send_and_drain(&site, "/stream/a").await;

    assert_contiguous(&answer);
    assert!(engines(&site)[source].copied().is_empty());
    assert!(received(&engines(&site)[destination]).is_empty());
}

/// Once a stream has been resumed, the move is over, and a pause must not be taken for the stream's
/// end.
#[tokio::test]
async fn tolerates_a_pause_in_a_stream_resumed_after_a_failed_move() {
    let site = site(&[CopyBehaviour::Copy, CopyBehaviour::NoRoom]).await;
    let pause_ms = 300;

    let (answer, _, destination) =
        send_and_drain_to(&site, "/resumable/a", Behaviour::AnswerSlowly(pause_ms)).await;

    assert!(answer.is_whole);
    assert_contiguous(&answer);
    assert_eq!(received(&engines(&site)[destination]).len(), 1);
}

/// Guards against a log and metrics that blame a server for a stream that the router ended itself.
#[tokio::test]
async fn log_and_metrics_tell_a_lost_stopped_run_from_a_server_that_broke_off() {
    let site = site(&[CopyBehaviour::Copy, CopyBehaviour::Copy]).await;

    let (answer, source, destination) =
        send_and_drain_with(&site, "/stream/a", &[Behaviour::Refuse; 100]).await;

    assert!(!answer.is_whole);
    let ended = site.gateway.log.line("request ended", "q1").await;
    assert_eq!(ended["outcome"], "cut");
    assert_eq!(ended["cause"], "stopped run lost: the route allows no other run");
    let left = site.gateway.log.line("stopped run not continued", "q1").await;
    assert_eq!(left["server"], engines(&site)[source].id());
    assert_eq!(left["refused"], engines(&site)[destination].id());
    assert_eq!((&left["resumes"], &left["cause"]), (&json!(false), &json!("runs_used_up")));
    let metrics = site.metrics().await;
    assert!(metrics.contains("run_moves_total{cause=\"lost\"} 1"), "{metrics}");
    assert!(metrics.contains("stopped_runs_lost_total{cause=\"runs_used_up\"} 1"), "{metrics}");
}

/// Guards against metrics that can't tell what became of a run that was stopped.
#[tokio::test]
async fn metrics_count_what_became_of_a_stopped_run() {
    let moved = site(&[]).await;
    let resumed = site(&[CopyBehaviour::Copy, CopyBehaviour::NoRoom]).await;

    send_and_drain(&moved, "/stream/a").await;
    send_and_drain(&resumed, "/resumable/a").await;

    let metrics = moved.metrics().await;
    assert!(metrics.contains("run_moves_total{cause=\"continued\"} 1"), "{metrics}");
    let metrics = resumed.metrics().await;
    assert!(metrics.contains("run_moves_total{cause=\"resumed\"} 1"), "{metrics}");
}

/// Guards against giving up a stopped run that may run nowhere else after one refusal.
#[tokio::test]
async fn sends_a_stopped_run_to_its_destination_again_after_refusals() {
    let site = site(&[]).await;

    let (answer, source, destination) =
        send_and_drain_with(&site, "/stream/a", &[Behaviour::Refuse; 3]).await;

    assert!(answer.is_whole);
    assert_contiguous(&answer);
    let sent = received(&engines(&site)[destination]);
    let from = format!("{}/h-q1", engines(&site)[source].address());
    assert_eq!(sent.len(), 4);
    assert!(sent.iter().all(|received| received.header("kv-from") == from));
}

/// Guards against sending a stopped run again to a destination that leaves.
#[tokio::test]
async fn sends_a_stopped_run_no_more_to_a_destination_that_leaves() {
    let site = site(&[]).await;

    let leave = async {
        let is_asked = |engine: &Worker| received(engine).iter().any(|it| !it.ran);
        let leaving = || engines(&site).iter().find(|engine| is_asked(engine));
        let leaving = eventually(leaving).await;
        site.store.put("servers", leaving.id(), leaving.entry("draining"));
        site.gateway.log.line("request ended", "q1").await;
        received(leaving).len()
    };
    let refuse = [Behaviour::Refuse; 100];
    let ((answer, ..), sent) =
        tokio::join!(send_and_drain_with(&site, "/stream/a", &refuse), leave);

    assert!(!answer.is_whole);
    assert!(sent < 8, "{sent} sends");
}

/// Guards against cutting a stream that may run nowhere else as its engine takes long to copy what the
/// stopped run has written.
#[tokio::test]
async fn waits_for_a_slow_copy_of_a_stopped_run_that_may_not_be_resumed() {
    let site = site(&[CopyBehaviour::Copy, CopyBehaviour::CopyAfterMs(1_500)]).await;

    let (answer, _, destination) = send_and_drain(&site, "/stream/a").await;

    assert!(answer.is_whole);
    assert_contiguous(&answer);
    assert_eq!(received(&engines(&site)[destination]).len(), 1);
}

/// Guards against cutting an answer whose run ended just before it was to be stopped.
#[tokio::test]
async fn an_answer_that_ends_before_the_stop_is_whole() {
    let site = site(&[CopyBehaviour::CopyAfterMs(400)]).await;
    let events = 15;
    for engine in engines(&site) {
        engine.expect_nothing();
        engine.expect([Behaviour::StreamUntilMovedOrWhole(events)]);
    }

    let (answer, source, destination) = send_and_drain(&site, "/stream/a").await;

    assert!(answer.is_whole);
    assert_contiguous(&answer);
    assert_eq!(u64::try_from(event_ids(&answer).len()).unwrap(), events);
    assert!(received(&engines(&site)[destination]).is_empty());
    eventually(|| (!engines(&site)[source].released().is_empty()).then_some(())).await;
}

/// Guards against a caller who leaves while the call to stop the run is not answered, and whose
/// request goes on.
#[tokio::test]
async fn sends_nothing_more_for_a_caller_who_left_while_its_run_was_stopped() {
    let site = site(&[CopyBehaviour::Copy, CopyBehaviour::CopyAfterMs(500)]).await;
    let callers = site.gateway.addresses.callers;
    let mut connection = Connection::open(callers, 1_000).await.unwrap();
    let response = connection.send(generation("/stream/a", "q1")).await.unwrap();
    let mut body = response.into_body();
    body.frame().await.unwrap().unwrap();
    let is_asked = |engine: &Worker| !received(engine).is_empty();
    let source = eventually(|| engines(&site).iter().find(|engine| is_asked(engine))).await;
    site.store.put("servers", source.id(), source.entry("draining"));
    eventually(|| source.copied().iter().any(|copy| copy.stops).then_some(())).await;

    drop((connection, body));

    let ended = site.gateway.log.line("request ended", "q1").await;
    assert_eq!(ended["outcome"], "caller_gone", "{ended}");
    time::sleep(Duration::from_millis(700)).await;
    let sends: usize = engines(&site).iter().map(|engine| received(engine).len()).sum();
    assert_eq!(sends, 1);
    assert_eq!(source.released(), ["h-q1"]);
}
