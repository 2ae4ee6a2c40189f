//! Load orders to engines without a sidecar, which one router sends.

use http::StatusCode;
use samphirespread_adapter::{
    EngineClient,
    engine::{LoadOrder, OrderAnswer},
};
use samphirespread_core::prelude::*;
use samphirespread_peer::{Datagram, EngineReport, encode};
use samphirespread_routing::{
    lease::{Orderer, fencing_token},
    model::{EngineState, LoadedModel},
};
use samphirespread_standin::published::{StoreFault, Worker, WorkerConfig};
use serde_json::json;
use tokio::net::UdpSocket;

use crate::support::{
    MODEL, Running, Site, configuration, eventually, generation, settings_of, start_gateway,
    start_site,
};

fn name_version(site: &Site, version: u64) {
    site.store.put("versions", MODEL, json!({ "model": MODEL, "version": version }));
}

fn engines(site: &Site) -> &[Worker] {
    &site.workers[2..]
}

async fn until_all_hold(site: &Site, version: u64) {
    eventually(|| engines(site).iter().all(|engine| engine.version() == version).then_some(()))
        .await;
}

fn was_logged(gateway: &Running, message: &str) -> bool {
    gateway.log.lines().iter().any(|line| line["msg"] == message)
}

#[tokio::test]
async fn orders_load_named_versions_on_engines_without_sidecars() {
    let site = start_site(configuration()).await;

    name_version(&site, 2);
    until_all_hold(&site, 2).await;
    name_version(&site, 5);
    until_all_hold(&site, 5).await;

    // Requests are refused while the engines count as loading, which lasts until their next
    // reports.
    for number in 0.. {
        let answer = site.send(generation("/stream/a", &format!("q{number}"))).await;
        if answer.status == StatusCode::OK {
            break;
        }
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    }
    for engine in engines(&site) {
        let orders = engine.ordered();
        assert!(orders.iter().all(|order| order.holder == "r1"), "{orders:?}");
        let accepted: Vec<u64> =
            orders.iter().filter(|order| order.accepted).map(|order| order.version).collect();
        assert!(accepted.windows(2).all(|pair| pair[0] < pair[1]), "{orders:?}");
        assert!(orders.windows(2).all(|pair| pair[0].token <= pair[1].token), "{orders:?}");
    }
}

#[tokio::test]
async fn only_one_of_several_routers_sends_orders() {
    let site = start_site(configuration()).await;
    let other = start_gateway(settings_of("r2", site.store.address())).await;

    name_version(&site, 2);
    until_all_hold(&site, 2).await;

    let holders: Vec<bool> =
        [&site.gateway, &other].iter().map(|gateway| was_logged(gateway, "orders taken")).collect();
    assert_eq!(holders, [true, false]);
    let orders: Vec<_> = engines(&site).iter().flat_map(Worker::ordered).collect();
    assert!(orders.iter().all(|order| order.holder == "r1"), "{orders:?}");
}

/// The holder's lease has to run out before another router sends orders, under a higher fencing
/// token.
#[tokio::test]
async fn another_router_sends_orders_after_the_holder_has_left() {
    let site = start_site(configuration()).await;
    let other = start_gateway(settings_of("r2", site.store.address())).await;
    name_version(&site, 2);
    until_all_hold(&site, 2).await;

    assert!(site.gateway.leave().await);
    site.store.put("versions", MODEL, json!({ "model": MODEL, "version": 3 }));
    let workers = &site.workers[2..];
    eventually(|| workers.iter().all(|engine| engine.version() == 3).then_some(())).await;

    assert!(was_logged(&other, "orders taken"));
    for engine in workers {
        let orders = engine.ordered();
        let first_of_r2 =
            orders.iter().position(|order| order.holder == "r2").expect("an order of r2");
        assert!(orders[..first_of_r2].iter().all(|order| order.holder == "r1"), "{orders:?}");
        assert!(orders[first_of_r2 - 1].token < orders[first_of_r2].token, "{orders:?}");
    }
}

/// Without the store the lease can't be renewed, so no router sends orders once its term is over.
#[tokio::test]
async fn stops_ordering_when_the_lease_runs_out_and_resumes_with_the_store() {
    let site = start_site(configuration()).await;
    name_version(&site, 2);
    until_all_hold(&site, 2).await;

    site.store.set_fault(StoreFault::Unavailable);
    eventually(|| was_logged(&site.gateway, "orders given up").then_some(())).await;
    let before: usize = engines(&site).iter().map(|engine| engine.ordered().len()).sum();
    site.store.set_fault(StoreFault::None);
    name_version(&site, 3);
    until_all_hold(&site, 3).await;

    let after: usize = engines(&site).iter().map(|engine| engine.ordered().len()).sum();
    assert!(after > before);
}

/// A sidecar orders its engine itself from its first report on.
#[tokio::test]
async fn sends_no_orders_to_an_engine_with_a_sidecar() {
    let site = start_site(configuration()).await;
    // Both engines have the same IP address here, so the sidecar's reports count for the one listed
    // last.
    let sidecar = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let peers = site.gateway.addresses.peers;
    let held = LoadedModel { model: ModelName::new(MODEL), version: 1 };
    let report = |sequence| EngineReport {
        from: InstanceName::new("sidecar"),
        incarnation: Incarnation(1),
        sequence,
        state: Some(EngineState {
            started_unix_ms: Some(1),
            models: vec![held.clone()],
            is_loading: false,
            running: 0,
            waiting: 0,
            used_tokens: 0,
            memory_tokens: 90_000,
        }),
    };
    sidecar.send_to(&encode(&Datagram::Engine(report(1))), peers).await.unwrap();

    name_version(&site, 2);
    eventually(|| engines(&site).iter().any(|engine| engine.version() == 2).then_some(())).await;
    for sequence in 2..40 {
        sidecar.send_to(&encode(&Datagram::Engine(report(sequence))), peers).await.unwrap();
        tokio::time::sleep(std::time::Duration::from_millis(50)).await;
    }

    let ordered = engines(&site).iter().filter(|engine| !engine.ordered().is_empty()).count();
    assert_eq!(ordered, 1);
}

#[test]
fn fencing_tokens_rise_from_holder_to_sidecar_to_next_holder() {
    let tokens = [
        fencing_token(0, Orderer::Sidecar, 7),
        fencing_token(1, Orderer::Holder, 7),
        fencing_token(1, Orderer::Holder, 8),
        fencing_token(1, Orderer::Sidecar, 8),
        fencing_token(2, Orderer::Holder, 8),
    ];

    assert!(tokens.windows(2).all(|pair| pair[0] < pair[1]));
}

/// The stand-in carried out orders that were meant for another engine, whose address it had taken
/// over (soak seed 3000).
#[tokio::test]
async fn a_stand_in_refuses_an_order_that_names_another_engine() {
    let engine = Worker::start(WorkerConfig::new("e1", "engines").model(MODEL, 1)).unwrap();
    let mut client = EngineClient::new(engine.address(), 1_000);
    let model = ModelName::new(MODEL);
    let order =
        LoadOrder { model: &model, version: 2, holder: "s2", fencing_token: 1, after_orders: 0 };

    let answer = client.order("e2", &order).await.unwrap();

    assert_eq!(answer, OrderAnswer::OtherServer);
    assert_eq!(engine.version(), 1);
    assert!(engine.ordered().is_empty());
    assert_eq!(client.order("e1", &order).await.unwrap(), OrderAnswer::Accepted);
}
