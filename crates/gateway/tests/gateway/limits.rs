//! Backend servers in need, which limit the requests of all routers together.

use std::time::{Duration, Instant};

use http::StatusCode;
use samphirespread_standin::published::{Behaviour, Worker};
use serde_json::{Value, json};
use tokio::task::JoinSet;

use crate::support::{
    Running, Site, call, configuration, eventually, generation, send, settings_of, start_gateway,
    start_site,
};

/// The span in which requests to a server are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Requests in a window beyond one and a half times what the limit allows.
const SLACK: f64 = 5.0;
/// The limit in these tests, as a server names it. All requests of a test are sent in much less
/// than a window.
const LIMIT: &str = "0.5";
const ALLOWED: f64 = 1.5 * 0.5 * 4.0 + SLACK;

async fn logged(gateway: &Running, message: &str, server: &str) -> Value {
    eventually(|| {
        let is_it = |line: &Value| line["msg"] == message && line["server"] == server;
        gateway.log.lines().into_iter().find(is_it)
    })
    .await
}

/// Sends calls through a router until it knows that a server of theirs names a limit.
async fn until_known(router: &Running, server: &str) {
    let callers = router.addresses.callers;
    for number in 0..200 {
        let is_it = |line: &Value| line["msg"] == "server limited" && line["server"] == server;
        if router.log.lines().iter().any(is_it) {
            return;
        }
        // Of several calls at the same time, each server gets some.
        let calls = (0..4).map(|index| call("/lookup/a", &format!("k{server}{number}-{index}")));
        let _: Vec<_> =
            calls.map(|call| send(callers, call)).collect::<JoinSet<_>>().join_all().await;
    }
    panic!("no answer of {server} came through the router");
}

/// The largest number of requests that reached a server within a window that begins after `since`.
#[expect(clippy::cast_precision_loss, reason = "there are few requests")]
fn most_in_a_window(worker: &Worker, since: Instant) -> f64 {
    let arrivals: Vec<Instant> = worker.received().iter().map(|received| received.at).collect();
    let arrivals: Vec<Instant> = arrivals.into_iter().filter(|at| *at >= since).collect();
    let within = |start: &Instant| {
        arrivals.iter().filter(|at| **at >= *start && **at < *start + WINDOW).count()
    };
    arrivals.iter().map(within).max().unwrap_or(0) as f64
}

#[tokio::test]
async fn a_servers_limit_and_its_end_are_logged() {
    let site = start_site(configuration()).await;

    site.workers[0].set_limit(Some("2.7"));
    site.until_first_server_gets_a_call().await;
    let limited = logged(&site.gateway, "server limited", "d1").await;
    site.workers[0].set_limit(None);
    eventually_unlimited(&site).await;

    assert_eq!((&limited["server"], &limited["source"]), (&json!("d1"), &json!("answer")));
    assert_eq!(limited["limit_per_s"], json!(2.7));
}

/// Sends calls until the router knows that a limit has ended.
async fn eventually_unlimited(site: &Site) {
    for number in 0..2_000 {
        let _ = site.send(call("/lookup/a", &format!("u{number}"))).await;
        if site.gateway.log.lines().iter().any(|line| line["msg"] == "server unlimited") {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("the limit does not end");
}

#[tokio::test]
async fn a_limit_that_cannot_be_read_is_logged_and_changes_nothing() {
    let site = start_site(configuration()).await;
    site.workers[0].set_limit(Some("plenty"));

    site.until_first_server_gets_a_call().await;

    let left_out = logged(&site.gateway, "server limit left out", "d1").await;
    assert!(left_out["error"].as_str().unwrap().contains("0 or more"), "{left_out}");
    assert!(!site.gateway.log.lines().iter().any(|line| line["msg"] == "server limited"));
}

/// A server in need got the requests of every router as if it had named no limit.
#[tokio::test]
async fn all_routers_together_keep_a_servers_limit() {
    let site = start_site(configuration()).await;
    let other = start_gateway(settings_of("r2", site.store.address())).await;
    let routers = [&site.gateway, &other];
    site.workers[0].set_limit(Some(LIMIT));
    for router in routers {
        until_known(router, "d1").await;
    }
    let since = Instant::now();

    for number in 0..60 {
        for (index, router) in routers.iter().enumerate() {
            let request = call("/lookup/a", &format!("q{index}-{number}"));
            let answer = send(router.addresses.callers, request).await.expect("an answer");
            assert_eq!(answer.status, StatusCode::OK, "the other server has room");
        }
    }

    let most = most_in_a_window(&site.workers[0], since);
    assert!(most <= ALLOWED, "{most} requests, allowed {ALLOWED}");
}

/// Streams, and streams that resume at another engine, reached engines in need without regard to
/// their limits.
#[tokio::test]
async fn streams_and_resumed_streams_keep_the_limits_of_engines() {
    let site = start_site(configuration()).await;
    let engine = &site.workers[3];
    engine.set_limit(Some(LIMIT));
    for number in 0..200 {
        if !engine.received().is_empty() {
            break;
        }
        // Different prompts have different preferred engines.
        let request = generation(&format!("/stream/{number}"), &format!("f{number}"));
        let _ = site.send(varied(request, number)).await;
    }
    logged(&site.gateway, "server limited", "e2").await;
    let since = Instant::now();

    for number in 0..60 {
        site.workers[2].expect([Behaviour::CutStreamAfter(2)]);
        let request = generation("/resumable/a", &format!("q{number}"));
        let _ = site.send(varied(request, number)).await;
    }

    let most = most_in_a_window(engine, since);
    assert!(most <= ALLOWED, "{most} requests, allowed {ALLOWED}");
}

fn varied(
    mut request: http::Request<http_body_util::Full<bytes::Bytes>>,
    number: usize,
) -> http::Request<http_body_util::Full<bytes::Bytes>> {
    let parts = format!("a{number:x}:10,b{number:x}:20");
    request.headers_mut().insert("x-samphirespread-prompt-prefix", parts.parse().unwrap());
    request
}

/// All servers of a service were in need, and requests were sent to them all the same.
#[tokio::test]
async fn a_request_that_limits_leave_no_room_for_is_refused_at_once() {
    let site = start_site(configuration()).await;
    for (worker, id) in site.workers[..2].iter().zip(["d1", "d2"]) {
        worker.set_limit(Some(LIMIT));
        until_known(&site.gateway, id).await;
    }
    let since = Instant::now();
    let ran_before = site.ran();

    let (mut served, mut refused) = (0, 0);
    for number in 0..40 {
        let answer = site.send(call("/issue/a", &format!("q{number}"))).await;
        match answer.status {
            StatusCode::OK => served += 1,
            StatusCode::SERVICE_UNAVAILABLE => {
                refused += 1;
                let seconds: f64 = answer.headers["retry-after"].to_str().unwrap().parse().unwrap();
                assert!(seconds > 0.0 && seconds <= 2.0, "{seconds}");
                assert_eq!(answer.body, "server_limit\n");
            }
            status => panic!("{status}"),
        }
    }

    assert_eq!(site.ran() - ran_before, served, "a refused call has not run");
    assert!(refused > 0, "no call was refused");
    for worker in &site.workers[..2] {
        let most = most_in_a_window(worker, since);
        assert!(most <= ALLOWED, "{most} requests, allowed {ALLOWED}");
    }
}

#[tokio::test]
async fn other_routers_learn_of_a_limit_and_of_its_end() {
    let site = start_site(configuration()).await;
    let other = start_gateway(settings_of("r2", site.store.address())).await;

    site.workers[0].set_limit(Some("20"));
    until_known(&site.gateway, "d1").await;
    let limited = logged(&other, "server limited", "d1").await;
    site.workers[0].set_limit(None);
    eventually_unlimited(&site).await;
    let unlimited = logged(&other, "server unlimited", "d1").await;

    assert_eq!((&limited["source"], &limited["limit_per_s"]), (&json!("r1"), &json!(20.0)));
    assert_eq!(unlimited["source"], json!("r1"));
}

/// A router that started after the limit was named sent the server everything until its first
/// answer.
#[tokio::test]
async fn a_router_that_starts_later_learns_of_a_limit() {
    let site = start_site(configuration()).await;
    site.workers[0].set_limit(Some("20"));
    until_known(&site.gateway, "d1").await;

    let other = start_gateway(settings_of("r2", site.store.address())).await;

    let limited = logged(&other, "server limited", "d1").await;
    assert_eq!(limited["source"], json!("r1"));
}

/// The list shows the server again after its entry lapsed, as after an outage of the store.
#[tokio::test]
async fn a_limit_is_remembered_while_an_entry_is_missing() {
    let site = start_site(configuration()).await;
    site.workers[0].set_limit(Some(LIMIT));
    until_known(&site.gateway, "d1").await;
    site.store.remove("servers", "d1");
    logged(&site.gateway, "server gone", "d1").await;
    site.store.put("servers", "d1", site.workers[0].entry("ready"));
    eventually(|| {
        let lines = site.gateway.log.lines();
        let appeared = |line: &&Value| line["msg"] == "server appeared" && line["server"] == "d1";
        (lines.iter().filter(appeared).count() == 2).then_some(())
    })
    .await;
    let since = Instant::now();

    for number in 0..40 {
        let answer = site.send(call("/lookup/a", &format!("q{number}"))).await;
        assert_eq!(answer.status, StatusCode::OK);
    }

    let most = most_in_a_window(&site.workers[0], since);
    assert!(most <= ALLOWED, "{most} requests, allowed {ALLOWED}");
}

/// The longest time for which the server of this test works on a call.
const LONG_WORK_MS: u64 = 1_000;

/// A server resets connections beyond those that it accepts from all routers together. A call that
/// may not be repeated then ended as unknown.
#[tokio::test]
async fn all_routers_together_keep_the_connections_that_a_server_accepts() {
    let mut configuration = configuration();
    configuration["services"][0]["maxConns"] = json!(9);
    let site = start_site(configuration).await;
    let other = start_gateway(settings_of("r2", site.store.address())).await;
    eventually(|| {
        let lines = site.gateway.log.lines();
        lines.iter().any(|line| line["msg"] == "router appeared").then_some(())
    })
    .await;
    for worker in &site.workers[..2] {
        worker.expect([Behaviour::AnswerAfterMs(LONG_WORK_MS); 60]);
    }

    let mut calls = JoinSet::new();
    for (index, router) in [&site.gateway, &other].into_iter().enumerate() {
        for number in 0..30 {
            let request = call("/issue/a", &format!("q{index}-{number}"));
            calls.spawn(send(router.addresses.callers, request));
        }
    }
    let answers = calls.join_all().await;

    let served = answers.iter().flatten().filter(|answer| answer.status == StatusCode::OK).count();
    for worker in &site.workers[..2] {
        let first = worker.received().first().expect("a call").at;
        let is_at_once = |at: Instant| at < first + Duration::from_millis(LONG_WORK_MS);
        let at_once = worker.received().iter().filter(|call| is_at_once(call.at)).count();
        assert!(at_once <= 9, "{at_once} calls at the same time, 9 connections allowed");
    }
    assert_eq!(site.ran(), served, "a refused call has not run");
    let refused = |answer: &&crate::support::Answer| {
        answer.status == StatusCode::SERVICE_UNAVAILABLE
            && answer.headers.contains_key("retry-after")
    };
    assert_eq!(answers.iter().flatten().filter(refused).count(), 60 - served);
}
