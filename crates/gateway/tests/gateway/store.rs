//! A gateway during faults of its store, and after changes in it.

use http::StatusCode;
use samphirespread_standin::published::{Behaviour, StoreFault};
use serde_json::json;

use crate::support::{
    KEY, Site, call, configuration, eventually, send, settings, start_gateway, start_site,
};

fn without_key() -> serde_json::Value {
    let mut changed = configuration();
    changed["version"] = json!(2);
    changed["tenants"][0]["apiKeys"] = json!([]);
    changed
}

#[tokio::test]
async fn a_withdrawn_key_stops_working() {
    let site = start_site(configuration()).await;
    assert_eq!(site.send(call("/issue/a", "q1")).await.status, StatusCode::OK);

    site.store.put("config", "main", without_key());
    eventually(|| {
        let adopted = |line: &serde_json::Value| line["msg"] == "configuration adopted";
        site.gateway.log.lines().into_iter().find(|line| adopted(line) && line["generation"] == 2)
    })
    .await;

    assert_eq!(site.send(call("/issue/a", "q2")).await.status, StatusCode::UNAUTHORIZED);
    assert_eq!(site.ran(), 1);
}

/// A key may be withdrawn right before the contact to the store is lost, so that the withdrawal is
/// never read.
#[tokio::test]
async fn a_gateway_without_contact_to_the_store_trusts_no_key() {
    for fault in [None, Some(StoreFault::Unavailable), Some(StoreFault::OverRate)] {
        let site = start_site(configuration()).await;
        match fault {
            Some(fault) => site.store.set_fault(fault),
            None => site.store.set_frozen(true),
        }

        let mut refused = None;
        for number in 0..2_000 {
            let answer = site.send(call("/issue/a", &format!("q{number}"))).await;
            if answer.status != StatusCode::OK {
                refused = Some(answer);
                break;
            }
            tokio::time::sleep(std::time::Duration::from_millis(5)).await;
        }
        let refused = refused.expect("the key goes on working");
        let before = site.ran();
        let again = site.send(call("/issue/a", "again")).await;

        assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE, "{fault:?}");
        assert!(refused.headers.contains_key("retry-after"));
        assert_eq!(again.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(site.ran(), before);
    }
}

#[tokio::test]
async fn a_gateway_works_again_after_a_store_outage() {
    let site = start_site(configuration()).await;
    site.store.set_fault(StoreFault::Unavailable);
    eventually(|| site.gateway.log.lines().into_iter().find(|line| line["msg"] == "store lost"))
        .await;

    site.store.set_fault(StoreFault::None);
    site.store.forget_history();
    eventually(|| {
        site.gateway.log.lines().into_iter().find(|line| line["msg"] == "store regained")
    })
    .await;

    assert_eq!(site.send(call("/issue/a", "q1")).await.status, StatusCode::OK);
}

#[tokio::test]
async fn an_older_configuration_is_never_adopted() {
    let site = start_site(without_key()).await;

    site.store.put("config", "main", configuration());
    let reads = site.store.calls().reads;
    eventually(|| (site.store.calls().reads > reads + 20).then_some(())).await;

    assert_eq!(site.send(call("/issue/a", "q1")).await.status, StatusCode::UNAUTHORIZED);
}

#[tokio::test]
async fn learns_new_weights_after_the_stores_history_was_dropped() {
    let site = start_site(configuration()).await;

    site.store.put(
        "versions",
        crate::support::MODEL,
        json!({ "model": crate::support::MODEL, "version": 2 }),
    );
    site.store.forget_history();
    site.store.put(
        "versions",
        crate::support::MODEL,
        json!({ "model": crate::support::MODEL, "version": 3 }),
    );

    eventually(|| {
        let named = |line: &serde_json::Value| line["msg"] == "weights named";
        site.gateway.log.lines().into_iter().find(|line| named(line) && line["version"] == 3)
    })
    .await;
}

#[tokio::test]
async fn a_gateway_registers_although_answers_to_its_writes_are_lost() {
    let site = start_site(configuration()).await;
    site.store.remove("samphirespread-routers", "r1");
    site.store.set_fault(StoreFault::LoseWriteAnswers);

    let spec = eventually(|| site.store.spec("samphirespread-routers", "r1")).await;

    assert_eq!(spec["address"], site.gateway.addresses.peers.to_string());
    assert_eq!(site.send(call("/issue/a", "q1")).await.status, StatusCode::OK);
}

/// The process is asked to stop while a request is at its server.
#[tokio::test]
async fn a_graceful_shutdown_lets_requests_finish() {
    let site = start_site(configuration()).await;
    site.workers.iter().for_each(|worker| worker.expect([Behaviour::AnswerAfterMs(300)]));
    let callers = site.gateway.addresses.callers;
    let running = tokio::spawn(async move { send(callers, call("/issue/a", "q1")).await });
    eventually(|| (site.ran() == 1).then_some(())).await;

    site.gateway.begin_to_leave();
    let during = send(callers, call("/issue/a", "q2")).await.expect("an answer");
    let is_clean = site.gateway.leave().await;

    let answer = running.await.unwrap().expect("an answer");
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(during.status, StatusCode::OK);
    assert_eq!(during.headers["connection"], "close");
    assert!(is_clean);
}

#[tokio::test]
async fn refuses_requests_while_there_is_no_server() {
    let store = samphirespread_standin::published::ObjectStore::start().unwrap();
    let started = tokio::spawn(start_gateway(settings(store.address())));
    tokio::task::yield_now().await;

    store.put("config", "main", configuration());
    let gateway = started.await.unwrap();
    let answer = send(gateway.addresses.callers, call("/issue/a", "q1")).await.expect("an answer");

    // The store has a configuration, but no servers.
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers.contains_key("retry-after"));
    assert!(!KEY.is_empty());
}

/// In a fleet of thousands of servers, some come and go all the time.
#[tokio::test]
async fn a_change_of_one_server_does_not_list_all_servers() {
    let site = start_site(configuration()).await;
    let appeared = async |id: &str| {
        site.store.put("servers", id, site.workers[0].entry("ready"));
        eventually(|| logged(&site, "server appeared", id)).await;
    };
    appeared("x0").await;

    let before = site.store.calls();
    appeared("x1").await;
    appeared("x2").await;
    site.store.remove("servers", "x1");
    eventually(|| logged(&site, "server gone", "x1")).await;
    let after = site.store.calls();

    // The list of routers is read in every third round, each of which makes two other calls.
    let listings = after.listings - before.listings;
    let others = after.reads - before.reads - listings;
    assert!(2 * listings <= others, "{before:?} {after:?}");
}

#[tokio::test]
async fn lists_all_servers_when_the_stores_history_is_gone() {
    let site = start_site(configuration()).await;
    site.store.put("servers", "x1", site.workers[0].entry("ready"));
    eventually(|| logged(&site, "server appeared", "x1")).await;

    site.store.remove("servers", "x1");
    site.store.put("servers", "x2", site.workers[0].entry("ready"));
    site.store.forget_history();

    eventually(|| logged(&site, "server gone", "x1")).await;
    eventually(|| logged(&site, "server appeared", "x2")).await;
}

#[tokio::test]
async fn a_server_whose_entry_becomes_invalid_is_gone() {
    let site = start_site(configuration()).await;
    site.store.put("servers", "x1", site.workers[0].entry("ready"));
    eventually(|| logged(&site, "server appeared", "x1")).await;

    site.store.put("servers", "x1", json!({ "service": 7 }));

    eventually(|| logged(&site, "server gone", "x1")).await;
}

#[tokio::test]
async fn lists_all_servers_after_a_change_without_a_readable_name() {
    let site = start_site(configuration()).await;
    site.store.put("servers", "x1", site.workers[0].entry("ready"));
    eventually(|| logged(&site, "server appeared", "x1")).await;

    // Only the whole list shows what a change without a name has changed.
    site.store.forget("servers", "x1");
    site.store.change_nameless("servers");
    site.store.put("servers", "x2", site.workers[0].entry("ready"));

    eventually(|| logged(&site, "server appeared", "x2")).await;
    eventually(|| logged(&site, "server gone", "x1")).await;
}

fn logged(site: &Site, message: &str, server: &str) -> Option<()> {
    let is_it = |line: &serde_json::Value| line["msg"] == message && line["server"] == server;
    site.gateway.log.lines().iter().any(is_it).then_some(())
}
