//! Streams whose engine dies, and whose run has a copy of its memory elsewhere.

use http::StatusCode;
use samphirespread_standin::published::{Behaviour, Received, Worker};
use serde_json::{Value, json};

use crate::support::{Answer, Site, configuration, eventually, generation, start_site};

/// Events after which an engine dies.
const EVENTS_BEFORE: u64 = 3;

fn backing_up() -> Value {
    let mut configuration = configuration();
    configuration["services"][1]["engine"]["backups"] = json!(true);
    configuration
}

fn engines(site: &Site) -> &[Worker] {
    &site.workers[2..]
}

/// What an engine was sent of the request whose engine dies.
fn received(engine: &Worker) -> Vec<Received> {
    engine.received().into_iter().filter(|received| received.request_id() == "q1").collect()
}

/// Breaks a stream off, so that copies are kept from now on.
async fn lose_a_stream(site: &Site) {
    for engine in engines(site) {
        engine.expect([Behaviour::CutStreamAfter(1)]);
    }
    let answer = site.send(generation("/stream/a", "lost")).await;
    assert!(!answer.is_whole);
    site.gateway.log.line("request ended", "lost").await;
    engines(site).iter().for_each(Worker::expect_nothing);
}

/// Sends a request whose first engine dies in the middle of its stream. Returns the answer and that engine.
async fn send_and_kill(site: &Site, path: &str) -> (Answer, usize) {
    for engine in engines(site) {
        engine.expect([Behaviour::StreamUntilMoved]);
    }
    let killing = async {
        let is_asked = |engine: &Worker| !received(engine).is_empty();
        let index = eventually(|| engines(site).iter().position(is_asked)).await;
        engines(site)[1 - index].expect_nothing();
        let streams = || engines(site)[index].events_sent("q1") >= EVENTS_BEFORE;
        eventually(|| streams().then_some(())).await;
        engines(site)[index].begin_to_stop();
        index
    };
    tokio::join!(site.send(generation(path, "q1")), killing)
}

fn event_ids(answer: &Answer) -> Vec<u64> {
    let ids = answer.body.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.map(|id| id.parse().unwrap()).collect()
}

#[tokio::test]
async fn a_stream_that_may_not_be_resumed_outlives_its_engine() {
    let site = start_site(backing_up()).await;
    lose_a_stream(&site).await;

    let (answer, dead) = send_and_kill(&site, "/stream/a").await;

    assert!(answer.is_whole);
    let ids = event_ids(&answer);
    assert!(ids.windows(2).all(|pair| pair[1] == pair[0] + 1), "{ids:?}");
    let (first, keeper) = (received(&engines(&site)[dead]), received(&engines(&site)[1 - dead]));
    let keeper_address = engines(&site)[1 - dead].address().to_string();
    assert_eq!(first[0].header("x-samphirespread-kv-backup"), keeper_address);
    assert_eq!(keeper.len(), 1);
    assert_eq!(keeper[0].header("kv-from"), format!("{keeper_address}/q1"));
}

/// The connection broke, and the engine may still work on the request.
#[tokio::test]
async fn a_stream_whose_engine_lives_does_not_go_on_elsewhere() {
    let site = start_site(backing_up()).await;
    lose_a_stream(&site).await;
    for engine in engines(&site) {
        engine.expect([Behaviour::CutStreamAfter(2)]);
    }

    let answer = site.send(generation("/stream/a", "q1")).await;

    assert_eq!((answer.status, answer.is_whole), (StatusCode::OK, false));
    let sent: usize = engines(&site).iter().map(|engine| received(engine).len()).sum();
    assert_eq!(sent, 1);
}

/// Engines that read the prompt again keep no copy: that stream is resumed in the ordinary way.
#[tokio::test]
async fn a_resumable_stream_needs_no_copy() {
    let site = start_site(backing_up()).await;
    lose_a_stream(&site).await;

    let (answer, dead) = send_and_kill(&site, "/resumable/a").await;

    assert!(answer.is_whole);
    assert_eq!(received(&engines(&site)[dead])[0].header("x-samphirespread-kv-backup"), "");
    assert_eq!(received(&engines(&site)[1 - dead])[0].header("kv-from"), "");
}

/// Copies push cached parts out of memory, so they are kept only where engines are lost.
#[tokio::test]
async fn no_copy_is_kept_while_no_engine_was_lost() {
    let site = start_site(backing_up()).await;

    site.send(generation("/stream/a", "q1")).await;

    let headers = engines(&site).iter().flat_map(received);
    let backups: Vec<String> =
        headers.map(|sent| sent.header("x-samphirespread-kv-backup").to_owned()).collect();
    assert_eq!(backups, [""]);
}
