//! Tests of clients of workers and of the store, while these drop idle connections without notice.

use std::time::Duration;

use samphirespread_adapter::{EngineClient, Kind, Store, engine::LoadOrder};
use samphirespread_core::prelude::*;
use samphirespread_standin::published::{ObjectStore, Worker, WorkerConfig};
use serde_json::json;
use tokio::time;

const DROP_MS: u64 = 100;
const REST: Duration = Duration::from_millis(200);
const TIMEOUT_MS: u64 = 1_000;

/// Guards against a sidecar that takes its engine for gone as each second read meets a dropped connection.
#[tokio::test]
async fn each_report_of_an_engine_is_read() {
    let engine = Worker::start(WorkerConfig::new("e1", "engines").model("reader", 1)).unwrap();
    engine.drop_idle_after(Some(DROP_MS));
    let mut client = EngineClient::new(engine.address(), TIMEOUT_MS);

    for round in 0..4 {
        let report = client.report().await;
        assert!(report.is_ok(), "round {round}: {report:?}");
        time::sleep(REST).await;
    }
}

/// Guards against an order that is lost on a dropped connection, or given twice.
#[tokio::test]
async fn an_order_after_a_rest_is_given_once() {
    let engine = Worker::start(WorkerConfig::new("e1", "engines").model("reader", 1)).unwrap();
    engine.drop_idle_after(Some(DROP_MS));
    let mut client = EngineClient::new(engine.address(), TIMEOUT_MS);
    client.report().await.unwrap();
    time::sleep(REST).await;

    let model = ModelName::new("reader");
    let order =
        LoadOrder { model: &model, version: 2, holder: "r1", fencing_token: 1, after_orders: 0 };
    let answered = client.order("e1", &order).await;

    assert!(answered.is_ok(), "{answered:?}");
    assert_eq!(engine.ordered().len(), 1);
}

/// Guards against a read of the store that fails as the store had dropped the idle connection.
#[tokio::test]
async fn each_read_of_the_store_is_answered() {
    let objects = ObjectStore::start().unwrap();
    objects.put("config", "main", json!({ "version": 1 }));
    objects.drop_idle_after(Some(DROP_MS));
    let store = Store::new(objects.address(), TIMEOUT_MS);

    for round in 0..4 {
        let listed = store.list(Kind::Configuration, |object| Some(object.name.to_owned())).await;
        assert!(listed.is_ok(), "round {round}: {listed:?}");
        time::sleep(REST).await;
    }
}
