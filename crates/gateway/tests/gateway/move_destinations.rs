//! Tests of what a gateway knows of an engine by the time at which a run goes on there.

use std::time::Duration;

use samphirespread_core::prelude::*;
use samphirespread_peer::{Datagram, EngineReport, encode};
use samphirespread_standin::published::{
    Behaviour, Copies, CopyBehaviour, EVENTS as EVENTS_HEADER, ObjectStore, Pace, RunCopied,
    Worker, WorkerConfig,
};
use serde_json::json;
use tokio::{net::UdpSocket, task::JoinSet, time};

use crate::{
    moves::{assert_contiguous, engines, moving_configuration, received, site},
    support::{MODEL, Site, eventually, generation, send, settings, start_gateway},
};

/// Streams that run at one engine when it leaves.
const STREAMS: usize = 8;
/// Events of each of them, and the time before each.
const EVENTS: u64 = 150;
const EVENT_MS: u64 = 15;
/// Time of each copy of a run's memory.
const COPY_MS: u64 = 40;
/// Requests sent first, so that the retry budget allows all moves.
const WARM_UP_REQUESTS: usize = 60;

/// Time for a datagram to be received.
const DELIVERY: Duration = Duration::from_millis(50);

/// Reports that the last engine doesn't answer, as its sidecar. All servers have the same IP address here,
/// so that a sidecar's report counts for the last engine.
async fn report_gone(site: &Site) {
    let sidecar = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let report = EngineReport {
        from: InstanceName::new("s2"),
        incarnation: Incarnation(1),
        sequence: 1,
        state: None,
    };
    let bytes = encode(&Datagram::Engine(report));
    sidecar.send_to(&bytes, site.gateway.addresses.peers).await.unwrap();
    time::sleep(DELIVERY).await;
}

/// Guards against a stream that is lost as its run was stopped to be moved to an engine whose sidecar says
/// that it doesn't answer.
#[tokio::test]
async fn a_run_is_not_stopped_for_an_engine_that_is_reported_gone() {
    let site = site(&[]).await;
    let [first, last] = engines(&site) else { unreachable!("there are two engines") };
    first.expect_nothing();
    first.expect([Behaviour::StreamUntilMovedOrWhole(60)]);
    last.expect_nothing();
    last.expect([Behaviour::Refuse]);
    let leave = async {
        eventually(|| received(first).iter().any(|request| request.ran).then_some(())).await;
        last.stop().await;
        report_gone(&site).await;
        site.store.put("servers", first.id(), first.entry("draining"));
    };

    let (answer, ()) = tokio::join!(site.send(generation("/stream/a", "q1")), leave);

    assert!(answer.is_whole, "{:#?}", site.gateway.log.lines());
    assert_contiguous(&answer);
    assert!(first.copied().is_empty(), "{:?}", first.copied());
}

/// Sends a stream that may run once, and lets its engine drain. The call that stops its run is answered
/// after `copy_ms`, and the other engine begins to drain when that call comes. Returns whether the stream is
/// whole, and how often the other engine got it.
async fn move_to_draining_engine(copy_ms: u64) -> (bool, usize) {
    let site = site(&[CopyBehaviour::Copy, CopyBehaviour::CopyAfterMs(copy_ms)]).await;
    let drain = async {
        let is_asked = |engine: &Worker| !received(engine).is_empty();
        let index = eventually(|| engines(&site).iter().position(is_asked)).await;
        let (source, destination) = (&engines(&site)[index], &engines(&site)[1 - index]);
        destination.expect_nothing();
        site.store.put("servers", source.id(), source.entry("draining"));
        eventually(|| source.copied().iter().any(|copy| copy.stops).then_some(())).await;
        site.store.put("servers", destination.id(), destination.entry("draining"));
        destination
    };
    let (answer, destination) = tokio::join!(site.send(generation("/stream/a", "q1")), drain);
    (answer.is_whole, received(destination).len())
}

/// Guards against a stopped run that is sent to an engine that has been draining for long (review/13): it
/// may be gone at any moment, and gets nothing any more by the users' rule.
#[tokio::test]
async fn a_stopped_run_is_not_sent_to_an_engine_that_has_drained_for_long() {
    let (_, sends) = move_to_draining_engine(1_400).await;

    assert_eq!(sends, 0);
}

/// Guards against a stream that is cut as its run may not go on at an engine that has just begun to drain.
/// From there it is moved on.
#[tokio::test]
async fn a_stopped_run_goes_on_at_an_engine_that_has_just_begun_to_drain() {
    let (is_whole, sends) = move_to_draining_engine(300).await;

    assert!(is_whole);
    assert_eq!(sends, 1);
}

/// Starts three engines that take time, and a gateway that may move all their runs.
async fn site_of_paced_engines() -> Site {
    let store = ObjectStore::start().unwrap();
    store.put("config", "main", moving_configuration());
    store.put("versions", MODEL, json!({ "model": MODEL, "version": 1 }));
    let pace = Pace { event_ms: EVENT_MS, load_ms: 0, copy_ms: COPY_MS, copies: Copies::default() };
    let engine = |id: &str| {
        let config = WorkerConfig::new(id, "engines").model(MODEL, 1).pace(pace.clone());
        Worker::start(config).unwrap()
    };
    let workers: Vec<Worker> = ["e1", "e2", "e3"].map(engine).into();
    for worker in &workers {
        store.put("servers", worker.id(), worker.entry("ready"));
    }
    let gateway = start_gateway(settings(store.address())).await;
    let site = Site { store, workers, gateway };
    for number in 0..WARM_UP_REQUESTS {
        site.send(generation("/stream/a", &format!("before{number}"))).await;
    }
    site
}

/// Guards against stopped runs that wait for the first copies of all others, and their callers with them.
#[tokio::test]
async fn runs_that_are_moved_off_one_engine_take_turns() {
    let site = site_of_paced_engines().await;
    let (source, others) = site.workers.split_first().unwrap();
    for other in others {
        other.expect(vec![Behaviour::Refuse; 2 * STREAMS]);
    }
    let mut open = JoinSet::new();
    for number in 0..STREAMS {
        let mut request = generation("/stream/a", &format!("q{number}"));
        request.headers_mut().insert(EVENTS_HEADER, EVENTS.into());
        open.spawn(send(site.gateway.addresses.callers, request));
    }
    let runs = || source.received().iter().filter(|it| it.began.is_some()).count();
    eventually(|| (runs() >= STREAMS).then_some(())).await;
    others.iter().for_each(Worker::expect_nothing);
    site.store.put("servers", source.id(), source.entry("draining"));

    let answers = open.join_all().await;

    assert!(answers.iter().all(|answer| answer.as_ref().is_some_and(|answer| answer.is_whole)));
    let copied = source.copied();
    assert_eq!(copied.iter().filter(|copy| copy.stops).count(), STREAMS);
    for stop in copied.iter().filter(|copy| copy.stops) {
        assert!(copies_before_stop(&copied, stop) <= 1, "{stop:?} in {copied:#?}");
    }
}

/// The first copies of other runs between the first copy of a run and its stop.
fn copies_before_stop(copied: &[RunCopied], stop: &RunCopied) -> usize {
    let is_same = |copy: &&RunCopied| copy.request_id == stop.request_id;
    let since_first = copied.iter().skip_while(|copy| !is_same(copy)).skip(1);
    since_first.take_while(|copy| !is_same(copy)).filter(|copy| !copy.stops).count()
}
