//! Two gateways of one fleet: one reads the store for both.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use samphirespread_core::prelude::*;
use samphirespread_peer::{Datagram, EngineReport, encode};
use samphirespread_routing::model::{EngineState, LoadedModel};
use samphirespread_standin::published::StoreFault;
use serde_json::json;
use tokio::net::UdpSocket;

use crate::support::{
    Answer, MODEL, Running, Site, configuration, eventually, generation, send, settings_of,
    start_gateway, start_site,
};

/// Longer than a list of servers counts as current.
const LONG_OUTAGE: Duration = Duration::from_millis(3_300);
/// Longer than a copy may go without a read of one's own before that counts as an outage.
const LONG_WITHOUT_OWN_READ: Duration = Duration::from_millis(1_500);

async fn logged(gateway: &Running, message: &str, field: &str, value: serde_json::Value) {
    eventually(|| {
        let is_it = |line: &serde_json::Value| line["msg"] == message && line[field] == value;
        gateway.log.lines().into_iter().find(is_it)
    })
    .await;
}

/// A server leaves without a word while a router has long relied on another one's reads.
#[tokio::test]
async fn a_router_that_does_not_read_itself_learns_that_a_server_is_gone() {
    let site = start_site(configuration()).await;
    let follower = start_gateway(settings_of("r2", site.store.address())).await;
    logged(&follower, "leaves reading to another", "level", json!("INFO")).await;
    tokio::time::sleep(LONG_WITHOUT_OWN_READ).await;

    site.store.remove("servers", "d1");

    logged(&site.gateway, "server gone", "server", json!("d1")).await;
    logged(&follower, "server gone", "server", json!("d1")).await;
}

#[tokio::test]
async fn a_router_that_does_not_read_itself_learns_of_a_configuration() {
    let site = start_site(configuration()).await;
    let follower = start_gateway(settings_of("r2", site.store.address())).await;
    logged(&follower, "leaves reading to another", "level", json!("INFO")).await;
    let mut changed = configuration();
    changed["version"] = json!(9);

    site.store.put("config", "main", changed);

    logged(&follower, "configuration adopted", "generation", json!(9)).await;
}

#[tokio::test]
async fn another_router_reads_when_the_one_that_did_has_left() {
    let site = start_site(configuration()).await;
    let follower = start_gateway(settings_of("r2", site.store.address())).await;
    logged(&follower, "leaves reading to another", "level", json!("INFO")).await;
    let mut changed = configuration();
    changed["version"] = json!(9);

    assert!(site.gateway.leave().await);
    site.store.put("config", "main", changed);

    logged(&follower, "configuration adopted", "generation", json!(9)).await;
}

/// Reads of the configuration that a gateway has carried out itself.
async fn reads_of_the_configuration(gateway: &Running) -> u64 {
    let request = Request::get("/metrics").body(Full::<Bytes>::default()).unwrap();
    let answer = send(gateway.addresses.admin, request).await.expect("metrics");
    let line = answer.body.lines().find(|line| line.contains("store_call_seconds_count"));
    let count = line.and_then(|line| line.split_whitespace().next_back()).expect("a count");
    count.parse().unwrap()
}

/// A fleet of many routers, in which each change of one list made every router read all of them.
#[tokio::test]
async fn a_router_reads_only_what_another_one_tells_of() {
    let site = start_site(configuration()).await;
    let follower = start_gateway(settings_of("r2", site.store.address())).await;
    logged(&follower, "leaves reading to another", "level", json!("INFO")).await;
    tokio::time::sleep(LONG_WITHOUT_OWN_READ).await;
    let before = reads_of_the_configuration(&follower).await;
    let ids = ["x1", "x2", "x3", "x4", "x5"];

    for id in ids {
        site.store.put("servers", id, site.workers[0].entry("ready"));
        logged(&follower, "server appeared", "server", json!(id)).await;
    }

    let reads = reads_of_the_configuration(&follower).await - before;
    assert!(reads < 3, "{reads} reads for {} changes of the servers", ids.len());
}

/// Tells the gateway, as the sidecar of the last engine, that it began another run, and sends a request.
///
/// All servers share an address here, so a sidecar's word is taken for the last engine.
async fn send_beside_a_restart(site: &Site, sidecar: &UdpSocket, number: u64) -> Answer {
    let held = LoadedModel { model: ModelName::new(MODEL), version: 1 };
    let report = EngineReport {
        from: InstanceName::new("s2"),
        incarnation: Incarnation(1),
        sequence: number + 1,
        state: Some(EngineState {
            started_unix_ms: Some(99),
            models: vec![held],
            is_loading: false,
            running: 0,
            waiting: 0,
            used_tokens: 0,
            memory_tokens: 90_000,
        }),
    };
    let bytes = encode(&Datagram::Engine(report));
    sidecar.send_to(&bytes, site.gateway.addresses.peers).await.unwrap();
    // The gateway takes datagrams before it is asked again.
    tokio::time::sleep(Duration::from_millis(20)).await;
    let mut request = generation("/stream/a", &format!("q{number}"));
    // Each subject has its home at one of the engines.
    let subject = format!("subject-{number}:10").parse().unwrap();
    request.headers_mut().insert("x-samphirespread-prompt-prefix", subject);
    site.send(request).await
}

/// An engine crashes and starts again: its sidecar knows before the list does.
#[tokio::test]
async fn an_engine_that_started_anew_gets_no_request_under_its_old_entry() {
    let site = start_site(configuration()).await;
    let sidecar = UdpSocket::bind("127.0.0.1:0").await.unwrap();

    for number in 0..12 {
        send_beside_a_restart(&site, &sidecar, number).await;
    }

    let received: Vec<usize> = site.workers.iter().map(|worker| worker.received().len()).collect();
    assert_eq!(received, [0, 0, 12, 0]);
}

/// An engine starts again under its id while the store is away, which can't tell of it.
#[tokio::test]
async fn an_engine_that_started_anew_while_the_store_is_down_is_asked() {
    let mut open = configuration();
    open["routes"][2]["anonymous"] = json!(true);
    let site = start_site(open).await;
    let sidecar = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    site.store.set_fault(StoreFault::Unavailable);
    tokio::time::sleep(LONG_OUTAGE).await;

    for number in 0..12 {
        send_beside_a_restart(&site, &sidecar, number).await;
    }

    assert!(site.workers[3].ran() > 0, "{:?}", site.workers[2].ran());
}

/// All routers of a large fleet lose the store at once.
#[tokio::test]
async fn one_router_asks_a_store_that_is_down_and_the_others_seldom_do() {
    let site = start_site(configuration()).await;
    let mut others = Vec::new();
    for name in ["r2", "r3", "r4", "r5"] {
        others.push(start_gateway(settings_of(name, site.store.address())).await);
    }
    for other in &others {
        logged(other, "leaves reading to another", "level", json!("INFO")).await;
    }

    site.store.set_fault(StoreFault::Unavailable);
    eventually(|| (site.store.calls().during_outage > 0).then_some(())).await;
    let before = site.store.calls().during_outage;
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    let asked = site.store.calls().during_outage - before;
    site.store.set_fault(StoreFault::None);

    assert!(asked <= 25, "{asked} calls in a second by five routers");
    logged(&site.gateway, "store regained", "level", json!("INFO")).await;
}
