//! Tests of requests that a gateway forwards to stand-ins of backend servers, which may fail.

use http::StatusCode;
use samphirespread_standin::published::{Behaviour, Worker};
use serde_json::json;

use crate::support::{
    OTHER_KEY, call, configuration, eventually, generation, request, send, start_site,
};

const WHOLE_STREAM: &str = "id: 1\ndata: q1 1\n\nid: 2\ndata: q1 2\n\nid: 3\ndata: q1 3\n\n\
                            id: 4\ndata: q1 4\n\nid: 5\ndata: q1 5\n\n";

#[tokio::test]
async fn forwards_a_request_with_its_team_and_without_its_key() {
    let site = start_site(configuration()).await;

    let answer = site.send(call("/lookup/a?b=c", "q1")).await;

    assert_eq!((answer.status, answer.body.as_str()), (StatusCode::OK, "answered q1"));
    assert!(answer.headers.contains_key("x-samphirespread-response-seal"));
    let received: Vec<_> = site.workers.iter().flat_map(Worker::received).collect();
    assert_eq!(received.len(), 1);
    assert_eq!(received[0].uri, "/lookup/a?b=c");
    assert_eq!(received[0].body, "a call");
    assert_eq!(received[0].header("x-samphirespread-tenant"), "desk-team");
    assert_eq!(received[0].header("authorization"), "");
}

#[tokio::test]
async fn relays_a_complete_stream() {
    let site = start_site(configuration()).await;

    let answer = site.send(generation("/stream/a", "q1")).await;

    assert_eq!((answer.body.as_str(), answer.is_whole), (WHOLE_STREAM, true));
}

#[tokio::test]
async fn refuses_unknown_routes_and_keys() {
    let site = start_site(configuration()).await;
    let unknown_key = request("GET", "/lookup/a", "q2").body(Default::default()).unwrap();
    let (mut parts, body) = unknown_key.into_parts();
    parts.headers.insert("authorization", "Token never-granted".parse().unwrap());

    let no_route = site.send(call("/nowhere/a", "q1")).await;
    let no_key = site.send(http::Request::from_parts(parts, body)).await;

    assert_eq!(no_route.status, StatusCode::NOT_FOUND);
    assert_eq!(no_key.status, StatusCode::UNAUTHORIZED);
    assert_eq!(site.ran(), 0);
}

#[tokio::test]
async fn refuses_a_body_over_the_limit() {
    let site = start_site(configuration()).await;
    let large = request("POST", "/lookup/a", "q1").body("x".repeat(20_000).into()).unwrap();

    let answer = site.send(large).await;

    assert_eq!(answer.status, StatusCode::PAYLOAD_TOO_LARGE);
    assert_eq!(site.ran(), 0);
}

#[tokio::test]
async fn does_not_repeat_an_unsafe_request_after_its_server_broke_off() {
    let site = start_site(configuration()).await;
    site.workers.iter().for_each(|worker| worker.expect([Behaviour::BreakOff]));

    let answer = site.send(call("/issue/a", "q1")).await;

    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    assert_eq!(site.ran(), 1);
    let line = site.gateway.log.line("request ended", "q1").await;
    assert_eq!(line["outcome"], "unknown");
    let step = site.gateway.log.line("server failed", "q1").await;
    assert_eq!(step["may_repeat"], false);
}

#[tokio::test]
async fn sends_a_refused_unsafe_request_to_another_server() {
    let site = start_site(configuration()).await;
    site.workers[0].expect([Behaviour::Refuse]);

    let first = site.send(call("/issue/a", "q1")).await;
    let second = site.send(call("/issue/a", "q2")).await;

    assert_eq!([first.status, second.status], [StatusCode::OK; 2]);
    assert_eq!(site.ran(), 2);
}

#[tokio::test]
async fn repeats_a_safe_request_at_another_server() {
    for failure in
        [Behaviour::BreakOff, Behaviour::AnswerAnother, Behaviour::AnswerUnsigned, Behaviour::Fail]
    {
        let site = start_site(configuration()).await;
        site.workers[0].expect([failure]);
        site.workers[1].expect([failure]);

        let answer = site.send(call("/lookup/a", "q1")).await;

        // Each server fails once, and the route allows two attempts.
        assert_ne!(answer.status, StatusCode::OK, "{failure:?}");
        assert_eq!(site.ran(), 2, "{failure:?}");
        let answer = site.send(call("/lookup/a", "q2")).await;
        assert_eq!(answer.status, StatusCode::OK, "{failure:?}");
    }
}

#[tokio::test]
async fn discards_unsigned_answers_and_answers_to_other_requests() {
    for failure in [Behaviour::AnswerAnother, Behaviour::AnswerUnsigned] {
        let site = start_site(configuration()).await;
        site.workers.iter().for_each(|worker| worker.expect([failure]));

        let answer = site.send(call("/issue/a", "q1")).await;

        assert_eq!(answer.status, StatusCode::BAD_GATEWAY, "{failure:?}");
        assert!(!answer.headers.contains_key("x-samphirespread-response-seal"));
        assert_eq!(site.ran(), 1);
    }
}

/// A server's signature of a failure is only valid together with the status.
#[tokio::test]
async fn forwards_a_servers_error_unchanged() {
    let site = start_site(configuration()).await;
    site.workers.iter().for_each(|worker| worker.expect([Behaviour::Fail]));

    let answer = site.send(call("/issue/a", "q1")).await;

    assert_eq!(answer.status, StatusCode::INTERNAL_SERVER_ERROR);
    assert_eq!(answer.body, "failed");
    assert!(answer.headers.contains_key("x-samphirespread-response-seal"));
}

#[tokio::test]
async fn resumes_a_stream_without_gaps_or_repeated_events() {
    for events in 0..5 {
        let site = start_site(configuration()).await;
        let cut = Behaviour::CutStreamAfter(events);
        site.workers.iter().for_each(|worker| worker.expect([cut]));

        let answer = site.send(generation("/resumable/a", "q1")).await;

        // The second server cuts the stream too if it has as many events left to send.
        let is_prefix = WHOLE_STREAM.starts_with(&answer.body);
        assert!(is_prefix, "cut after {events}: {}", answer.body);
        assert_eq!(answer.is_whole, answer.body == WHOLE_STREAM, "cut after {events}");
        assert_eq!(site.ran(), 2);
    }
}

#[tokio::test]
async fn cuts_a_broken_stream_that_may_not_be_resumed() {
    let site = start_site(configuration()).await;
    site.workers.iter().for_each(|worker| worker.expect([Behaviour::CutStreamAfter(2)]));

    let answer = site.send(generation("/stream/a", "q1")).await;

    assert!(!answer.is_whole);
    assert_eq!(answer.body, "id: 1\ndata: q1 1\n\nid: 2\ndata: q1 2\n\n");
    assert_eq!(site.ran(), 1);
    let line = site.gateway.log.line("request ended", "q1").await;
    assert_eq!(line["outcome"], "cut");
}

#[tokio::test]
async fn tells_a_team_over_its_quota_when_to_retry() {
    let site = start_site(configuration()).await;
    let ask = |id: String| {
        request("GET", "/lookup/a", &id)
            .header("x-samphirespread-token-usage", "60,20")
            .body(Default::default())
            .map(|mut request| {
                let key = format!("Token {OTHER_KEY}").parse().unwrap();
                request.headers_mut().insert("authorization", key);
                request
            })
            .unwrap()
    };

    let mut refused = None;
    for number in 0..20 {
        let answer = site.send(ask(format!("q{number}"))).await;
        if answer.status == StatusCode::TOO_MANY_REQUESTS {
            refused = Some(answer);
            break;
        }
    }

    let refused = refused.expect("20 requests exceed the quota");
    let seconds: f64 = refused.headers["retry-after"].to_str().unwrap().parse().unwrap();
    assert!(seconds > 0.0 && seconds < 10.0, "{seconds}");
}

#[tokio::test]
async fn avoids_a_server_that_refuses_connections() {
    let site = start_site(configuration()).await;
    site.workers[0].stop().await;

    for number in 0..6 {
        let answer = site.send(call("/issue/a", &format!("q{number}"))).await;
        assert_eq!(answer.status, StatusCode::OK);
    }

    assert_eq!(site.workers[1].ran(), 6);
}

#[tokio::test]
async fn sends_no_new_requests_to_a_draining_server() {
    let site = start_site(configuration()).await;
    let drains = &site.workers[0];
    site.store.put("servers", drains.id(), drains.entry("draining"));
    eventually(|| site.gateway.log.lines().into_iter().find(|line| line["msg"] == "server drains"))
        .await;
    let before = drains.ran();

    for number in 0..6 {
        site.send(call("/issue/a", &format!("q{number}"))).await;
    }

    assert_eq!(drains.ran(), before);
}

/// Another program has written an entry that the gateway can't read.
#[tokio::test]
async fn logs_an_unreadable_entry_once_and_keeps_the_others() {
    let site = start_site(configuration()).await;
    site.store.put("servers", "odd", json!({ "service": 4 }));
    eventually(|| site.gateway.log.lines().into_iter().find(|line| line["entry"] == "odd")).await;

    let answer = site.send(call("/issue/a", "q1")).await;

    assert_eq!(answer.status, StatusCode::OK);
    let lines = site.gateway.log.lines();
    assert_eq!(lines.iter().filter(|line| line["entry"] == "odd").count(), 1);
}

#[tokio::test]
async fn logs_one_line_for_an_uneventful_request() {
    let site = start_site(configuration()).await;

    site.send(call("/issue/a", "q1")).await;

    let line = site.gateway.log.line("request ended", "q1").await;
    assert_eq!(line["outcome"], "served");
    assert_eq!(line["generation"], 1);
    assert_eq!(line["team"], "desk-team");
    let of_request = site.gateway.log.lines().into_iter().filter(|line| line["request"] == "q1");
    assert_eq!(of_request.count(), 1);
}

#[tokio::test]
async fn serves_metrics() {
    let site = start_site(configuration()).await;
    site.send(call("/issue/a", "q1")).await;
    let ask = http::Request::get("/metrics").body(Default::default()).unwrap();

    let metrics = send(site.gateway.addresses.admin, ask).await.unwrap().body;

    assert!(metrics.contains("samphirespread_requests_total{cause=\"served\"} 1"), "{metrics}");
    assert!(metrics.contains("samphirespread_first_event_seconds_bucket"));
}

/// A server has crashed and runs again under another id, and its old entry has not expired yet.
#[tokio::test]
async fn prefers_the_later_start_of_two_entries_with_one_address() {
    let site = start_site(configuration()).await;
    let mut old = site.workers[0].entry("ready");
    old["born"] = json!(0);
    site.store.put("servers", "d0", old);
    eventually(|| {
        let appeared = |line: &serde_json::Value| line["msg"] == "server appeared";
        site.gateway.log.lines().into_iter().find(|line| appeared(line) && line["server"] == "d0")
    })
    .await;

    for number in 0..12 {
        let answer = site.send(call("/issue/a", &format!("q{number}"))).await;
        assert_eq!(answer.status, StatusCode::OK);
    }

    let received: usize = site.workers.iter().map(|worker| worker.received().len()).sum();
    assert_eq!((site.ran(), received), (12, 12));
}

/// A restarted server with a new id has not registered yet, so only its old entry is listed.
#[tokio::test]
async fn avoids_an_entry_whose_address_another_server_answers() {
    let site = start_site(configuration()).await;
    let stale = site.workers[0].entry("ready");
    site.store.remove("servers", "d1");
    site.store.put("servers", "d0", stale);
    eventually(|| {
        let gone = |line: &serde_json::Value| line["msg"] == "server gone";
        site.gateway.log.lines().into_iter().find(|line| gone(line) && line["server"] == "d1")
    })
    .await;

    for number in 0..12 {
        let answer = site.send(call("/issue/a", &format!("q{number}"))).await;
        assert_eq!(answer.status, StatusCode::OK);
    }

    assert!(site.workers[0].received().len() <= 1, "{}", site.workers[0].received().len());
    assert_eq!(site.workers[1].ran(), 12);
}

/// Nobody waits for the answer any more, so the request is abandoned.
#[tokio::test]
async fn drops_a_request_whose_caller_leaves() {
    let site = start_site(configuration()).await;
    let slow = Behaviour::AnswerAfterMs(10_000);
    site.workers.iter().for_each(|worker| worker.expect([slow]));
    let callers = site.gateway.addresses.callers;
    let caller = tokio::spawn(async move { send(callers, call("/lookup/a", "q1")).await });
    eventually(|| (site.ran() == 1).then_some(())).await;

    caller.abort();

    let line = site.gateway.log.line("request ended", "q1").await;
    assert_eq!(line["outcome"], "caller_gone");
    assert_eq!(site.ran(), 1);
}

/// While a machine is frozen, requests and the closing of their connections queue up together.
#[tokio::test]
async fn does_not_forward_a_request_whose_caller_has_left() {
    use std::io::Write;

    let site = start_site(configuration()).await;
    // Leaves idle connections, on which a request can be sent without waiting.
    for number in 0..4 {
        site.send(call("/issue/a", &format!("w{number}"))).await;
    }
    let head = format!(
        "POST /issue/a HTTP/1.1\r\nhost: desk.example\r\nx-samphirespread-attempt-id: gone\r\n\
         x-samphirespread-deadline-ms: 3000\r\nauthorization: Token {}\r\n\
         content-length: 6\r\n\r\na call",
        crate::support::KEY
    );
    // Gateway and test share one thread, so the gateway sees the request and the closing together.
    for _ in 0..5 {
        let mut caller = std::net::TcpStream::connect(site.gateway.addresses.callers).unwrap();
        caller.write_all(head.as_bytes()).unwrap();
        drop(caller);
    }
    std::thread::sleep(std::time::Duration::from_millis(600));

    let line = site.gateway.log.line("request ended", "gone").await;
    let answer = site.send(call("/issue/a", "q1")).await;

    assert_eq!(line["outcome"], "caller_gone");
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(site.ran(), 5);
}
