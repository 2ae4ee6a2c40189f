//! Backend servers in need, which limit the requests of all routers together.

use serde_json::{Value, json};

use crate::support::{Site, configuration, eventually, start_site};

async fn logged(site: &Site, message: &str) -> Value {
    eventually(|| site.gateway.log.lines().into_iter().find(|line| line["msg"] == message)).await
}

#[tokio::test]
async fn a_servers_limit_and_its_end_are_logged() {
    let site = start_site(configuration()).await;

    site.workers[0].set_limit(Some("2.7"));
    site.until_first_server_gets_a_call().await;
    let limited = logged(&site, "server limited").await;
    site.workers[0].set_limit(None);
    eventually_unlimited(&site).await;

    assert_eq!((&limited["server"], &limited["source"]), (&json!("d1"), &json!("answer")));
    assert_eq!(limited["limit_per_s"], json!(2.7));
}

/// Sends calls until the router knows that a limit has ended.
async fn eventually_unlimited(site: &Site) {
    for number in 0..2_000 {
        let _ = site.send(crate::support::call("/lookup/a", &format!("u{number}"))).await;
        if site.gateway.log.lines().iter().any(|line| line["msg"] == "server unlimited") {
            return;
        }
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
    panic!("the limit does not end");
}

#[tokio::test]
async fn a_limit_that_cannot_be_read_is_logged_and_changes_nothing() {
    let site = start_site(configuration()).await;
    site.workers[0].set_limit(Some("plenty"));

    site.until_first_server_gets_a_call().await;

    let left_out = logged(&site, "server limit left out").await;
    assert_eq!(left_out["server"], json!("d1"));
    assert!(left_out["error"].as_str().unwrap().contains("0 or more"), "{left_out}");
    assert!(!site.gateway.log.lines().iter().any(|line| line["msg"] == "server limited"));
}
