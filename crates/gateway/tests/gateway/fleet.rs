//! Two gateways of one fleet: one reads the store for both.

use std::time::Duration;

use serde_json::json;

use crate::support::{Running, configuration, eventually, settings_of, start_gateway, start_site};

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
