//! Runs that are moved off an engine that leaves, while their streams go on.

use samphirespread_standin::published::{Behaviour, CopyBehaviour, MOVED_EVENTS, Received, Worker};
use serde_json::{Value, json};

use crate::support::{Answer, Site, configuration, generation, start_site};

fn moving_configuration() -> Value {
    let mut configuration = configuration();
    configuration["services"][1]["engine"]["moves"] = json!(true);
    configuration
}

/// Requests that leave room for a move in the budget for repeats.
const REQUESTS_BEFORE: usize = 10;

/// A site where both engines treat their next request as one whose stream goes on until it is moved.
async fn site(copies: &[CopyBehaviour]) -> Site {
    let site = start_site(moving_configuration()).await;
    for number in 0..REQUESTS_BEFORE {
        site.send(generation("/stream/a", &format!("before{number}"))).await;
    }
    for engine in engines(&site) {
        engine.expect([Behaviour::StreamUntilMoved]);
        engine.expect_copies(copies.iter().copied());
    }
    site
}

fn engines(site: &Site) -> &[Worker] {
    &site.workers[2..]
}

/// Sends a request, and lets the engine that runs it leave. Returns the answer, source and destination.
async fn send_and_drain(site: &Site, path: &str) -> (Answer, usize, usize) {
    send_and_drain_to(site, path, Behaviour::Answer).await
}

/// The same, where the other engine treats the request that way.
async fn send_and_drain_to(
    site: &Site,
    path: &str,
    behaviour: Behaviour,
) -> (Answer, usize, usize) {
    let source = async {
        let is_asked = |engine: &Worker| !received(engine).is_empty();
        let source = crate::support::eventually(|| engines(site).iter().position(is_asked)).await;
        let destination = &engines(site)[1 - source];
        destination.expect_nothing();
        destination.expect([behaviour]);
        let leaving = &engines(site)[source];
        site.store.put("servers", leaving.id(), leaving.entry("draining"));
        source
    };
    let (answer, source) = tokio::join!(site.send(generation(path, "q1")), source);
    (answer, source, 1 - source)
}

/// What an engine was sent of the request whose run is moved.
fn received(engine: &Worker) -> Vec<Received> {
    engine.received().into_iter().filter(|received| received.request_id() == "q1").collect()
}

fn event_ids(answer: &Answer) -> Vec<u64> {
    let ids = answer.body.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.map(|id| id.parse().unwrap()).collect()
}

fn assert_contiguous(answer: &Answer) {
    let ids = event_ids(answer);
    let expected: Vec<u64> = (1..=u64::try_from(ids.len()).unwrap()).collect();
    assert_eq!(ids, expected);
}

#[tokio::test]
async fn a_stream_that_may_not_be_resumed_goes_on_where_its_run_was_moved() {
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
async fn a_stop_whose_answer_is_lost_starts_no_second_run() {
    let site = site(&[CopyBehaviour::Copy, CopyBehaviour::LoseAnswer]).await;

    let (answer, source, destination) = send_and_drain(&site, "/stream/a").await;

    assert!(!answer.is_whole);
    assert_contiguous(&answer);
    assert_eq!(engines(&site)[source].copied().len(), 2);
    assert!(received(&engines(&site)[destination]).is_empty());
}

#[tokio::test]
async fn a_resumable_stream_outlives_a_move_that_failed() {
    let site = site(&[CopyBehaviour::Copy, CopyBehaviour::LoseAnswer]).await;

    let (answer, _, destination) = send_and_drain(&site, "/resumable/a").await;

    assert!(answer.is_whole);
    assert_contiguous(&answer);
    let received = received(&engines(&site)[destination]);
    assert_eq!(received[0].header("kv-from"), "");
}

#[tokio::test]
async fn a_server_that_leaves_does_not_get_its_run_back() {
    let site = site(&[CopyBehaviour::Copy, CopyBehaviour::NoRoom]).await;

    let (answer, source, destination) = send_and_drain(&site, "/stream/a").await;

    assert!(!answer.is_whole);
    assert_eq!(engines(&site)[source].copied().len(), 2);
    assert_eq!(received(&engines(&site)[source]).len(), 1);
    assert!(received(&engines(&site)[destination]).is_empty());
}

/// The move is over when the stream has been resumed: it may pause like any other one.
#[tokio::test]
async fn a_stream_that_is_resumed_after_a_move_that_failed_may_pause() {
    let site = site(&[CopyBehaviour::Copy, CopyBehaviour::NoRoom]).await;
    let pause_ms = 300;

    let (answer, _, destination) =
        send_and_drain_to(&site, "/resumable/a", Behaviour::AnswerSlowly(pause_ms)).await;

    assert!(answer.is_whole);
    assert_contiguous(&answer);
    assert_eq!(received(&engines(&site)[destination]).len(), 1);
}
