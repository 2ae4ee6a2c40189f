//! Several gateways of one fleet, of which one reads the store for all.

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

/// Longer than a list of servers counts as current without a confirmation.
const LONG_OUTAGE: Duration = Duration::from_millis(3_300);
/// Long enough that a copy which no other router confirms would count as unread during an outage.
const LONG_WITHOUT_OWN_READ: Duration = Duration::from_millis(1_500);

/// Waits for a line with `message` in which a field has this value.
pub(crate) async fn logged(
    gateway: &Running,
    message: &str,
    field: &str,
    value: serde_json::Value,
) {
    eventually(|| {
        let is_it = |line: &serde_json::Value| line["msg"] == message && line[field] == value;
        gateway.log.lines().into_iter().find(is_it)
    })
    .await;
}

/// A server's entry is removed after a router has relied on another one's reads for a long time.
#[tokio::test]
async fn a_router_that_does_not_read_the_store_learns_of_a_removed_server() {
    let site = start_site(configuration()).await;
    let follower = start_gateway(settings_of("r2", site.store.address())).await;
    logged(&follower, "leaves reading to another", "level", json!("INFO")).await;
    tokio::time::sleep(LONG_WITHOUT_OWN_READ).await;

    site.store.remove("servers", "d1");

    logged(&site.gateway, "server gone", "server", json!("d1")).await;
    logged(&follower, "server gone", "server", json!("d1")).await;
}

#[tokio::test]
async fn a_router_that_does_not_read_the_store_learns_of_a_new_configuration() {
    let site = start_site(configuration()).await;
    let follower = start_gateway(settings_of("r2", site.store.address())).await;
    logged(&follower, "leaves reading to another", "level", json!("INFO")).await;
    let mut changed = configuration();
    changed["version"] = json!(9);

    site.store.put("config", "main", changed);

    logged(&follower, "configuration adopted", "generation", json!(9)).await;
}

#[tokio::test]
async fn another_router_reads_the_store_after_the_reader_has_left() {
    let site = start_site(configuration()).await;
    let follower = start_gateway(settings_of("r2", site.store.address())).await;
    logged(&follower, "leaves reading to another", "level", json!("INFO")).await;
    let mut changed = configuration();
    changed["version"] = json!(9);

    assert!(site.gateway.leave().await);
    site.store.put("config", "main", changed);

    logged(&follower, "configuration adopted", "generation", json!(9)).await;
}

/// Returns how often a gateway has read the configuration from the store itself.
async fn reads_of_the_configuration(gateway: &Running) -> u64 {
    let request = Request::get("/metrics").body(Full::<Bytes>::default()).unwrap();
    let answer = send(gateway.addresses.admin, request).await.expect("metrics");
    let line = answer.body.lines().find(|line| line.contains("store_call_seconds_count"));
    let count = line.and_then(|line| line.split_whitespace().next_back()).expect("a count");
    count.parse().unwrap()
}

/// In a fleet of many routers, each change of one list must not make every router read all lists.
#[tokio::test]
async fn a_router_reads_only_the_copies_that_another_one_announces() {
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

/// Reports to the gateway, as the sidecar of the last engine, that the engine began another run,
/// and sends a request.
///
/// All servers have the same IP address here, so a sidecar's report counts for the last engine.
pub(crate) async fn report_new_run_and_send(
    site: &Site,
    sidecar: &UdpSocket,
    number: u64,
) -> Answer {
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
    // The gateway has to receive the datagram before the request.
    tokio::time::sleep(Duration::from_millis(20)).await;
    let mut request = generation("/stream/a", &format!("q{number}"));
    // Requests with different prompt prefixes prefer different engines.
    let subject = format!("subject-{number}:10").parse().unwrap();
    request.headers_mut().insert("x-samphirespread-prompt-prefix", subject);
    site.send(request).await
}

/// An engine crashes and restarts, and its sidecar reports it before the list shows it.
#[tokio::test]
async fn an_engine_in_an_unlisted_run_gets_no_requests() {
    let site = start_site(configuration()).await;
    let sidecar = UdpSocket::bind("127.0.0.1:0").await.unwrap();

    for number in 0..12 {
        report_new_run_and_send(&site, &sidecar, number).await;
    }

    let received: Vec<usize> = site.workers.iter().map(|worker| worker.received().len()).collect();
    assert_eq!(received, [0, 0, 12, 0]);
}

/// An engine restarts under its id while the store is down, so the list can't show the new run.
#[tokio::test]
async fn an_engine_that_restarted_during_a_store_outage_gets_requests() {
    let mut open = configuration();
    open["routes"][2]["anonymous"] = json!(true);
    let site = start_site(open).await;
    let sidecar = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    site.store.set_fault(StoreFault::Unavailable);
    tokio::time::sleep(LONG_OUTAGE).await;

    for number in 0..12 {
        report_new_run_and_send(&site, &sidecar, number).await;
    }

    assert!(site.workers[3].ran() > 0, "{:?}", site.workers[2].ran());
}

/// All routers of a fleet lose the store at once, and must not all retry often.
#[tokio::test]
async fn only_one_router_retries_often_while_the_store_is_down() {
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
    let calls = site.store.calls().during_outage - before;
    site.store.set_fault(StoreFault::None);

    assert!(calls <= 25, "{calls} calls in a second by five routers");
    logged(&site.gateway, "store regained", "level", json!("INFO")).await;
}
