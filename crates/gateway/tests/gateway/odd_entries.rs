//! Entries of the store that another writer left and that can't be decoded, among those that can.

use http::StatusCode;
use serde_json::{Value, json};

use crate::support::{
    MODEL, Running, Site, call, configuration, eventually, send, settings_of, start_gateway,
    start_site,
};

/// Specs of odd entries, and what is odd about them.
fn odd_specs() -> Vec<(&'static str, String)> {
    let valid = |address: &str, slots: &str| {
        format!(
            r#"{{"service":"desk","address":"{address}","zone":"khomas-1","version":"v1",
                "slots":{slots},"state":"ready","models":[],"seq":1,"born":1}}"#
        )
    };
    let nested = format!("{}{}", "[".repeat(200), "]".repeat(200));
    let deep = format!("{}{}", "[".repeat(100_000), "]".repeat(100_000));
    vec![
        ("nested", nested.clone()),
        ("nested-field", format!(r#"{{"service":"desk","extra":{nested}}}"#)),
        ("very-deeply-nested", deep),
        ("large-number", valid("127.0.0.1:9", "1e400")),
        ("port", valid("127.0.0.1:99999", "6")),
        ("no-port", valid("127.0.0.1", "6")),
        ("half-a-character", r#"{"service":"\ud800"}"#.to_owned()),
        ("null", "null".to_owned()),
    ]
}

async fn logged(gateway: &Running, message: &str, server: &str) {
    eventually(|| {
        let is_it = |line: &Value| line["msg"] == message && line["server"] == server;
        gateway.log.lines().iter().any(is_it).then_some(())
    })
    .await;
}

/// Writes an odd entry, which its name puts before, between or after those of the servers, and sees
/// that the gateway goes on following the list.
async fn write_and_follow(site: &Site, kind: &str, spec: &str) {
    for (number, prefix) in ["a", "e", "z"].iter().enumerate() {
        site.store.put_text("servers", &format!("{prefix}-{kind}"), spec);
        let id = format!("{kind}-{number}");
        site.store.put("servers", &id, site.workers[0].entry("ready"));
        logged(&site.gateway, "server appeared", &id).await;
    }
}

/// Guards against an odd entry that leaves each watch of the list unread.
#[tokio::test]
async fn a_gateway_follows_the_list_of_servers_past_odd_entries() {
    for (kind, spec) in odd_specs() {
        let site = start_site(configuration()).await;

        write_and_follow(&site, kind, &spec).await;

        assert_eq!(site.send(call("/lookup/a", "q1")).await.status, StatusCode::OK, "{kind}");
    }
}

/// Guards against an odd entry that leaves the whole list unread, so that a gateway never becomes
/// ready, and against the same by way of another router's copy.
#[tokio::test]
async fn a_gateway_starts_with_odd_entries_on_the_list_of_servers() {
    for (kind, spec) in odd_specs() {
        let site = start_site(configuration()).await;
        site.store.put_text("servers", &format!("a-{kind}"), &spec);
        site.store.put_text("servers", &format!("z-{kind}"), &spec);

        let other = start_gateway(settings_of("r2", site.store.address())).await;
        site.store.put("servers", "new", site.workers[0].entry("ready"));
        logged(&other, "server appeared", "new").await;

        let answer = send(other.addresses.callers, call("/lookup/a", "q1")).await.unwrap();
        assert_eq!(answer.status, StatusCode::OK, "{kind}");
    }
}

/// Guards against an odd entry of a server that was in use: it names no server any more.
#[tokio::test]
async fn a_server_whose_entry_becomes_odd_is_not_used() {
    let site = start_site(configuration()).await;

    site.store.put_text("servers", "d1", &odd_specs()[0].1);
    logged(&site.gateway, "server gone", "d1").await;

    let before = site.workers[0].ran();
    for number in 0..10 {
        let answer = site.send(call("/lookup/a", &format!("q{number}"))).await;
        assert_eq!(answer.status, StatusCode::OK);
    }
    assert_eq!(site.workers[0].ran(), before);
}

/// Guards against the same among the entries of routers and of weights.
#[tokio::test]
async fn a_gateway_follows_routers_and_weights_past_odd_entries() {
    for (kind, spec) in odd_specs() {
        let site = start_site(configuration()).await;
        for objects in ["samphirespread-routers", "versions", "samphirespread-rollouts"] {
            site.store.put_text(objects, &format!("a-{kind}"), &spec);
        }

        site.store.put("versions", MODEL, json!({ "model": MODEL, "version": 2 }));
        let other = start_gateway(settings_of("r2", site.store.address())).await;

        eventually(|| {
            let is_it = |line: &Value| line["msg"] == "weights named" && line["version"] == 2;
            site.gateway.log.lines().iter().any(is_it).then_some(())
        })
        .await;
        eventually(|| {
            let is_it = |line: &Value| line["msg"] == "router appeared" && line["router"] == "r2";
            site.gateway.log.lines().iter().any(is_it).then_some(())
        })
        .await;
        drop(other);
    }
}
