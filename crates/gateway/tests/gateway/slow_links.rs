//! Routers on slow links, while a large configuration comes into force and servers leave.

use std::{
    collections::HashMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use http::StatusCode;
use samphirespread_standin::{
    link::Link,
    published::{ObjectStore, Worker, WorkerConfig},
};
use serde_json::{Value, json};
use tokio::{task::JoinSet, time};

use crate::support::{Running, call, configuration, eventually, send, settings_of, start_gateway};

/// The users' bound on a change of the configuration, and on requests to a server that leaves.
const BOUND_MS: u64 = 3_000;
/// What requests leave of the link of a small router, which carries 10 Mbit/s in all.
const SLOW_BYTES_PER_S: u64 = 250_000;
/// A link that carries the lists in time, but not the configuration.
const VERY_SLOW_BYTES_PER_S: u64 = 20_000;
/// Routers on slow links.
const SMALL_ROUTERS: usize = 3;
/// Routes that the change adds.
const ADDED_ROUTES: u64 = 1_400;
/// When a server leaves, after the change of the configuration.
const LEAVING_MS: u64 = 1_500;
/// How long requests are sent after the change.
const WATCHED_MS: u64 = LEAVING_MS + BOUND_MS + 1_500;
/// Time between two rounds of requests.
const ROUND_MS: u64 = 100;

/// A router with a slow link to the store and to the router that reads it.
struct SmallRouter {
    gateway: Running,
    store_link: Link,
}

struct SlowSite {
    store: ObjectStore,
    /// Two servers of the service `desk`, then one of the service `other`.
    workers: Vec<Worker>,
    _reader: Running,
    reader_link: Link,
    small: Vec<SmallRouter>,
}

/// A request, and what became of it.
#[derive(Debug)]
struct Sent {
    id: String,
    path: &'static str,
    sent_ms: u64,
    status: Option<StatusCode>,
}

fn plain_configuration() -> Value {
    let mut plain = configuration();
    plain["routes"][0]["anonymous"] = json!(true);
    plain["services"].as_array_mut().unwrap().push(json!({ "name": "other", "maxConns": 100 }));
    let mut moved = plain["routes"][0].clone();
    moved["name"] = json!("moved");
    moved["pathPrefix"] = json!("/moved/");
    plain["routes"].as_array_mut().unwrap().push(moved);
    plain
}

/// A name without a pattern, as operators' names are for a compression.
fn name_of(number: u64) -> String {
    format!("{:x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ (number << 17))
}

/// The next configuration: a route goes to another service, and many routes are new.
fn large_configuration() -> Value {
    let mut large = plain_configuration();
    large["version"] = json!(2);
    let routes = large["routes"].as_array_mut().unwrap();
    let moved = routes.iter_mut().find(|route| route["name"] == "moved").unwrap();
    moved["service"] = json!("other");
    let mut added = routes[0].clone();
    added["pathPrefix"] = json!("/added/");
    added["name"] = json!("added");
    routes.push(added.clone());
    for number in 0..ADDED_ROUTES {
        added["name"] = json!(format!("route-{}", name_of(number)));
        added["hostname"] = json!(format!("{}.example", name_of(number + ADDED_ROUTES)));
        added["pathPrefix"] = json!(format!("/{}/", name_of(number + 2 * ADDED_ROUTES)));
        routes.push(added.clone());
    }
    large
}

async fn start_router(name: &str, processor_share: f64, store: SocketAddr) -> Running {
    let mut settings = settings_of(name, store);
    settings.store.timeout_ms = 800;
    settings.store.poll_ms = 900;
    settings.bounds.key_withdrawal_ms = 5_000;
    settings.bounds.configuration_ms = BOUND_MS;
    settings.bounds.server_drain_ms = BOUND_MS;
    settings.capacity.processor_share = processor_share;
    start_gateway(settings).await
}

/// Starts a router with a fast link, which reads the store for all, and small ones whose links carry
/// that many bytes per second.
async fn start(bytes_per_s: u64) -> SlowSite {
    let store = ObjectStore::start().unwrap();
    store.put("config", "main", plain_configuration());
    let workers = vec![
        Worker::start(WorkerConfig::new("d1", "desk")).unwrap(),
        Worker::start(WorkerConfig::new("d2", "desk")).unwrap(),
        Worker::start(WorkerConfig::new("o1", "other")).unwrap(),
    ];
    for worker in &workers {
        store.put("servers", worker.id(), worker.entry("ready"));
    }
    let reader = start_router("r1", 1.0, store.address()).await;
    let reader_link = Link::start(reader.addresses.admin).await.unwrap();
    reader_link.set_rate_bytes_per_s(bytes_per_s);
    let mut entry = eventually(|| store.spec("samphirespread-routers", "r1")).await;
    entry["admin"] = json!(reader_link.address().to_string());
    store.put("samphirespread-routers", "r1", entry);
    let mut small = Vec::new();
    for number in 0..SMALL_ROUTERS {
        let store_link = Link::start(store.address()).await.unwrap();
        store_link.set_rate_bytes_per_s(bytes_per_s);
        let name = format!("s{number}");
        let gateway = start_router(&name, 0.09, store_link.address()).await;
        small.push(SmallRouter { gateway, store_link });
    }
    for router in &small {
        eventually(|| {
            let leaves = |line: &Value| line["msg"] == "leaves reading to another";
            router.gateway.log.lines().iter().any(leaves).then_some(())
        })
        .await;
    }
    SlowSite { store, workers, _reader: reader, reader_link, small }
}

/// Sends requests through all small routers, in rounds, until some time after `change`.
async fn send_rounds(site: &SlowSite, change: Instant) -> Vec<Sent> {
    let mut sending = JoinSet::new();
    for round in 0..WATCHED_MS / ROUND_MS {
        if round == LEAVING_MS / ROUND_MS {
            site.store.put("servers", "d1", site.workers[0].entry("draining"));
        }
        for (number, router) in site.small.iter().enumerate() {
            for path in ["/lookup/a", "/moved/a", "/added/a"] {
                let callers = router.gateway.addresses.callers;
                let id = format!("{}-{number}-{round}", path.trim_matches('/'));
                let sent_ms = u64::try_from(change.elapsed().as_millis()).unwrap();
                sending.spawn(async move {
                    let answer = send(callers, call(path, &id)).await;
                    Sent { id, path, sent_ms, status: answer.map(|answer| answer.status) }
                });
            }
        }
        time::sleep(Duration::from_millis(ROUND_MS)).await;
    }
    sending.join_all().await
}

/// The worker that ran each request, by the request's id.
fn runs(site: &SlowSite) -> HashMap<String, String> {
    let of_worker = |worker: &Worker| {
        let id = worker.id().to_owned();
        let received = worker.received().into_iter().filter(|received| received.ran);
        received.map(move |received| (received.request_id().to_owned(), id.clone()))
    };
    site.workers.iter().flat_map(of_worker).collect()
}

/// What breaks a rule of the users: a request that was sent after the bound and is handled as only
/// the older configuration allows, or that reached the leaving server.
fn broken(sent: &Sent, runs: &HashMap<String, String>) -> Option<String> {
    let ran_by = runs.get(&sent.id).map(String::as_str);
    let is_broken = match sent.path {
        "/lookup/a" => sent.sent_ms > LEAVING_MS + BOUND_MS && ran_by == Some("d1"),
        "/moved/a" => sent.sent_ms > BOUND_MS && ran_by.is_some_and(|worker| worker != "o1"),
        _ => sent.sent_ms > BOUND_MS && sent.status == Some(StatusCode::NOT_FOUND),
    };
    is_broken.then(|| format!("{sent:?} ran by {ran_by:?}"))
}

/// Guards against routers that fetch a large configuration anew after each timeout of a slow link,
/// go on with the old one, and learn only with it that a server leaves.
#[tokio::test(flavor = "multi_thread")]
async fn a_large_configuration_and_leaving_servers_reach_routers_on_slow_links_in_time() {
    let site = start(SLOW_BYTES_PER_S).await;

    site.store.put("config", "main", large_configuration());
    let sent = send_rounds(&site, Instant::now()).await;

    let runs = runs(&site);
    let broken: Vec<String> = sent.iter().filter_map(|sent| broken(sent, &runs)).collect();
    let late: Vec<&Sent> = sent.iter().filter(|sent| sent.sent_ms > BOUND_MS).collect();
    let served = late.iter().filter(|sent| sent.status == Some(StatusCode::OK)).count();
    assert!(broken.is_empty(), "{} of {}: {broken:#?}", broken.len(), late.len());
    assert_eq!(served, late.len(), "served under the new configuration after the bound");
}

/// Guards against a router that knows of a newer configuration, can't have it in time, and hands on
/// requests by the old one.
#[tokio::test(flavor = "multi_thread")]
async fn a_router_that_can_not_have_a_newer_configuration_in_time_refuses_what_it_would_change() {
    let site = start(VERY_SLOW_BYTES_PER_S).await;

    site.store.put("config", "main", large_configuration());
    let sent = send_rounds(&site, Instant::now()).await;

    let runs = runs(&site);
    let broken: Vec<String> = sent.iter().filter_map(|sent| broken(sent, &runs)).collect();
    let unanswered = sent.iter().filter(|sent| sent.status.is_none()).count();
    assert!(broken.is_empty(), "{} of {}: {broken:#?}", broken.len(), sent.len());
    assert_eq!(unanswered, 0, "a refusal is an answer");
}

/// Guards against news of a leaving server that reach a router only with a list, which a router
/// without a way to the store and to the reader can't fetch.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_server_is_known_to_a_router_that_can_fetch_nothing() {
    let site = start(SLOW_BYTES_PER_S).await;
    for link in site.small.iter().map(|router| &router.store_link).chain([&site.reader_link]) {
        link.set_down(true);
        link.cut();
    }

    site.store.put("servers", "d1", site.workers[0].entry("draining"));
    time::sleep(Duration::from_millis(BOUND_MS)).await;

    for router in &site.small {
        let lines = router.gateway.log.lines();
        let is_it = |line: &&Value| line["msg"] == "server drains" && line["server"] == "d1";
        assert!(lines.iter().any(|line| is_it(&line)), "not known after {BOUND_MS} ms");
    }
}
