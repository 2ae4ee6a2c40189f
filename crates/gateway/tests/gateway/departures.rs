//! Backend servers that drain or ask for a pause, and ones that send bytes without end.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use http::StatusCode;
use samphirespread_standin::published::{Behaviour, Worker};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task::JoinSet,
};

use crate::support::{
    Site, call, configuration, eventually, send, settings_of, start_gateway, start_site,
};

/// A pause that is longer than any test.
const LONG_REST_MS: u64 = 30_000;

async fn send_calls(site: &Site, prefix: &str, count: usize) {
    for number in 0..count {
        let answer = site.send(call("/lookup/a", &format!("{prefix}{number}"))).await;
        assert_eq!(answer.status, StatusCode::OK);
    }
}

#[tokio::test]
async fn a_server_that_says_it_drains_gets_no_more_requests() {
    let site = start_site(configuration()).await;
    site.workers[0].expect([Behaviour::AnswerLeaving]);
    site.until_first_server_gets_a_call().await;
    let before = site.workers[0].received().len();

    send_calls(&site, "q", 20).await;

    assert_eq!(site.workers[0].received().len(), before);
}

/// The list still shows the server as ready, then its entry is removed and comes back.
#[tokio::test]
async fn a_departure_is_remembered_when_list_and_configuration_change() {
    let site = start_site(configuration()).await;
    site.workers[0].expect([Behaviour::AnswerLeaving]);
    site.until_first_server_gets_a_call().await;
    let before = site.workers[0].received().len();

    site.store.remove("servers", "d1");
    logged(&site, "server gone", "server", "d1").await;
    site.store.put("servers", "d1", site.workers[0].entry("ready"));
    logged_times(&site, "server appeared", "server", "d1", 2).await;
    let mut changed = configuration();
    changed["version"] = json!(9);
    site.store.put("config", "main", changed);
    eventually(|| {
        let is_it = |line: &serde_json::Value| line["generation"] == json!(9);
        site.gateway.log.lines().into_iter().find(is_it)
    })
    .await;
    send_calls(&site, "q", 20).await;

    assert_eq!(site.workers[0].received().len(), before);
}

#[tokio::test]
async fn a_new_run_of_a_drained_server_gets_requests() {
    let site = start_site(configuration()).await;
    site.workers[0].expect([Behaviour::AnswerLeaving]);
    site.until_first_server_gets_a_call().await;
    let before = site.workers[0].received().len();

    site.workers[0].restart();
    site.store.put("servers", "d1", site.workers[0].entry("ready"));
    logged(&site, "server restarted", "server", "d1").await;

    for number in 0..100 {
        let (one, two) = (format!("n{number}a"), format!("n{number}b"));
        let _ =
            tokio::join!(site.send(call("/lookup/a", &one)), site.send(call("/lookup/a", &two)));
    }
    assert!(site.workers[0].received().len() > before);
}

#[tokio::test]
async fn other_routers_learn_of_a_departure() {
    let site = start_site(configuration()).await;
    let other = start_gateway(settings_of("r2", site.store.address())).await;
    site.workers[0].expect([Behaviour::AnswerLeaving]);
    site.until_first_server_gets_a_call().await;

    let line = eventually(|| {
        let is_it =
            |line: &serde_json::Value| line["msg"] == "server drains" && line["server"] == "d1";
        other.log.lines().into_iter().find(is_it)
    })
    .await;

    assert_eq!(line["source"], "r1");
}

#[tokio::test]
async fn a_server_that_asks_for_a_pause_gets_no_requests() {
    let site = start_site(configuration()).await;
    site.workers[0].expect([Behaviour::RefuseForMs(LONG_REST_MS)]);
    site.until_first_server_gets_a_call().await;
    let before = site.workers[0].received().len();

    send_calls(&site, "q", 20).await;

    assert_eq!(site.workers[0].received().len(), before);
}

/// No server takes requests before the pause is over, so `retry-after` gives the rest of the pause.
#[tokio::test]
async fn a_refusal_says_when_the_first_server_takes_requests_again() {
    let site = start_site(configuration()).await;
    for worker in &site.workers[..2] {
        worker.expect([Behaviour::RefuseForMs(LONG_REST_MS)]);
    }

    let answer = site.send(call("/issue/a", "q1")).await;

    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    let seconds: f64 = answer.headers["retry-after"].to_str().unwrap().parse().unwrap();
    assert!((25.0..=30.0).contains(&seconds), "{seconds}");
    assert_eq!(site.ran(), 0);
}

async fn logged(site: &Site, message: &str, field: &str, value: &str) {
    logged_times(site, message, field, value, 1).await;
}

async fn logged_times(site: &Site, message: &str, field: &str, value: &str, times: usize) {
    eventually(|| {
        let is_it = |line: &&serde_json::Value| line["msg"] == message && line[field] == value;
        (site.gateway.log.lines().iter().filter(is_it).count() >= times).then_some(())
    })
    .await;
}

/// A server that answers every request with a text, followed by filler until the caller closes the
/// connection.
struct Endless {
    address: SocketAddr,
    open: Arc<AtomicUsize>,
    requests: Arc<AtomicUsize>,
}

impl Endless {
    async fn start(text: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (open, requests) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
        let counts = (open.clone(), requests.clone());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(send_without_end(stream, text, counts.clone()));
            }
        });
        Self { address, open, requests }
    }

    fn entry(&self) -> serde_json::Value {
        json!({ "service": "desk", "address": self.address.to_string(), "zone": "khomas-1",
                "version": "v1", "slots": 6, "state": "ready", "models": [], "seq": 1, "born": 1 })
    }
}

async fn send_without_end(
    mut stream: TcpStream,
    text: &'static str,
    (open, requests): (Arc<AtomicUsize>, Arc<AtomicUsize>),
) {
    open.fetch_add(1, Ordering::SeqCst);
    let mut request = [0; 4_096];
    if stream.read(&mut request).await.is_ok_and(|length| length > 0) {
        requests.fetch_add(1, Ordering::SeqCst);
        let filler = [b'x'; 16 * 1024];
        let mut written = stream.write_all(text.as_bytes()).await;
        while written.is_ok() {
            written = stream.write_all(&filler).await;
        }
    }
    open.fetch_sub(1, Ordering::SeqCst);
}

/// Starts of answers, so that the bytes without end are in the status line, in a header, in a body
/// without a length, and in a chunk.
const ENDLESS: [&str; 4] = [
    "",
    "HTTP/1.1 200 OK\r\nx-filler: ",
    "HTTP/1.1 200 OK\r\nx-samphirespread-response-seal: s\r\nconnection: close\r\n\r\n",
    "HTTP/1.1 200 OK\r\nx-samphirespread-response-seal: s\r\ntransfer-encoding: chunked\r\n\r\nfffffffff\r\n",
];

#[tokio::test]
async fn an_endless_answer_fails_at_once() {
    for text in ENDLESS {
        let site = start_site(configuration()).await;
        let server = Endless::start(text).await;
        site.store.remove("servers", "d1");
        site.store.remove("servers", "d2");
        site.store.put("servers", "endless", server.entry());
        logged(&site, "server appeared", "server", "endless").await;
        logged(&site, "server gone", "server", "d2").await;
        let callers = site.gateway.addresses.callers;

        let mut calls = JoinSet::new();
        for number in 0..6 {
            calls.spawn(send(callers, call("/issue/a", &format!("q{number}"))));
        }

        // A call that only ended at its deadline would have another status.
        for answer in calls.join_all().await {
            assert_eq!(answer.expect("an answer").status, StatusCode::BAD_GATEWAY, "{text:?}");
        }
        assert_eq!(server.requests.load(Ordering::SeqCst), 6);
        let open = server.open.clone();
        eventually(|| (open.load(Ordering::SeqCst) == 0).then_some(())).await;
        logged(&site, "server failed", "server", "endless").await;
    }
}

/// The stream has bytes without end that never complete an event.
#[tokio::test]
async fn a_stream_with_an_endless_event_is_cut() {
    let text = "HTTP/1.1 200 OK\r\nx-samphirespread-response-seal: s\r\ntransfer-encoding: chunked\r\n\r\nfffffffff\r\n";
    let site = start_site(configuration()).await;
    let server = Endless::start(text).await;
    let mut entry = server.entry();
    entry["service"] = json!("engines");
    entry["models"] = json!([{ "name": crate::support::MODEL, "version": 1, "adapters": [] }]);
    site.store.remove("servers", "e1");
    site.store.remove("servers", "e2");
    site.store.put("servers", "endless", entry);
    logged(&site, "server gone", "server", "e2").await;
    logged(&site, "server appeared", "server", "endless").await;

    let request = crate::support::generation("/stream/a", "q1");
    let answer = send(site.gateway.addresses.callers, request).await.expect("a head");

    assert!(!answer.is_whole);
    let open = server.open.clone();
    eventually(|| (open.load(Ordering::SeqCst) == 0).then_some(())).await;
}

#[tokio::test]
async fn a_servers_drain_header_does_not_reach_callers() {
    let site = start_site(configuration()).await;
    site.workers.iter().for_each(|worker| worker.expect([Behaviour::AnswerLeaving]));

    let answer = site.send(call("/lookup/a", "q1")).await;

    assert_eq!(answer.status, StatusCode::OK);
    assert!(!answer.headers.contains_key("server-leaving"));
    assert_eq!(site.workers.iter().map(Worker::ran).sum::<usize>(), 1);
}

/// Answers with the head of a stream, and then with an empty comment every 20 ms without end.
async fn send_comments_without_end(mut stream: TcpStream) {
    let head = "HTTP/1.1 200 OK\r\nx-samphirespread-response-seal: s\r\ntransfer-encoding: chunked\r\n\r\n";
    let mut request = [0; 4_096];
    let mut written = match stream.read(&mut request).await {
        Ok(length) if length > 0 => stream.write_all(head.as_bytes()).await,
        _ => return,
    };
    while written.is_ok() {
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        written = stream.write_all(b"2\r\n:\n\r\n").await;
    }
}

/// Bytes that make up no event must not keep a stream open beyond its caller's deadline.
#[tokio::test]
async fn a_stream_without_events_ends_at_the_deadline() {
    let site = start_site(configuration()).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(send_comments_without_end(stream));
        }
    });
    let model = json!([{ "name": crate::support::MODEL, "version": 1, "adapters": [] }]);
    let entry = json!({ "service": "engines", "address": address.to_string(), "zone": "khomas-1",
        "version": "v1", "slots": 6, "state": "ready", "models": model, "seq": 1, "born": 1 });
    site.store.remove("servers", "e1");
    site.store.remove("servers", "e2");
    site.store.put("servers", "stalls", entry);
    logged(&site, "server gone", "server", "e2").await;
    logged(&site, "server appeared", "server", "stalls").await;

    let mut request = crate::support::generation("/stream/a", "q1");
    let deadline = "700".parse().unwrap();
    request.headers_mut().insert("x-samphirespread-deadline-ms", deadline);
    let answer = send(site.gateway.addresses.callers, request).await.expect("a head");

    assert!(!answer.is_whole);
    let end = site.gateway.log.line("request ended", "q1").await;
    assert_eq!((end["outcome"].as_str(), end["cause"].as_str()), (Some("cut"), Some("timeout")));
}

/// Guards against news of a drain that outlast it: a server whose entry says again that it is ready
/// takes requests, at the router that reads the store and at another one.
#[tokio::test]
async fn a_server_whose_drain_is_called_off_is_used_again() {
    let site = start_site(configuration()).await;
    let other = start_gateway(settings_of("r2", site.store.address())).await;
    site.store.put("servers", "d1", site.workers[0].entry("draining"));
    logged(&site, "server drains", "server", "d1").await;
    let heard = |line: &serde_json::Value| line["msg"] == "server drains" && line["server"] == "d1";
    eventually(|| other.log.lines().iter().any(heard).then_some(())).await;
    let before = site.workers[0].ran();

    site.store.put("servers", "d1", site.workers[0].entry("ready"));

    for callers in [site.gateway.addresses.callers, other.addresses.callers] {
        let ran = site.workers[0].ran();
        let mut number = 0;
        while site.workers[0].ran() == ran {
            number += 1;
            assert!(number < 2_000, "no request reaches the server; {before} before it drained");
            let id = format!("{}-{number}", callers.port());
            // Two calls at the same time reach both servers.
            let other_id = format!("{id}b");
            let _ = tokio::join!(
                send(callers, call("/lookup/a", &id)),
                send(callers, call("/lookup/a", &other_id))
            );
        }
    }
}
