//! Orders to move a service to a new version of its software: sound and bad versions, and failures of
//! the routers and the store meanwhile.

use std::time::Duration;

use http::Request;
use http_body_util::Full;
use samphirespread_standin::published::{Behaviour, StoreFault, Worker, WorkerConfig};
use serde_json::{Value, json};
use tokio::{task::JoinSet, time};

use crate::support::{
    Answer, Running, Site, call, configuration, eventually, send, settings_of, start_gateway,
    start_site_with,
};

/// The share that a version may get before its release.
const SHARE: f64 = 0.2;
/// Calls that are made at the same time.
const CONCURRENT: usize = 8;

/// A site whose service of plain servers may be moved to another version.
async fn site() -> Site {
    site_with_share(SHARE).await
}

async fn site_with_share(share: f64) -> Site {
    start_site_with(configuration(), |settings| {
        settings.bounds.exposure_share = share;
        settings.bounds.key_withdrawal_ms = 20_000;
        settings.bounds.configuration_ms = 20_000;
    })
    .await
}

/// Gives the order, and starts the servers of the version.
fn order(site: &Site, duration_s: u64) -> Vec<Worker> {
    let order = json!({ "service": "desk", "to": "v2", "durationS": duration_s });
    site.store.put("rollouts", "desk", order);
    start_new_version(site)
}

fn start_new_version(site: &Site) -> Vec<Worker> {
    let start = |id: &str| {
        let worker = Worker::start(WorkerConfig::new(id, "desk").software("v2")).unwrap();
        site.store.put("servers", worker.id(), worker.entry("ready"));
        worker
    };
    ["n1", "n2", "n3"].map(start).into()
}

/// Makes all answers of these servers failures.
fn make_bad(workers: &[Worker]) {
    for worker in workers {
        worker.expect([Behaviour::Fail; 1_000]);
    }
}

fn received(workers: &[Worker]) -> usize {
    workers.iter().map(|worker| worker.received().len()).sum()
}

/// Sends calls to a router, a few at a time. Returns how many were answered with a success.
async fn call_many(router: &Running, name: &str, calls: usize) -> usize {
    let address = router.addresses.callers;
    let mut open = JoinSet::new();
    let mut served = 0;
    let is_served =
        |answer: Option<Answer>| answer.is_some_and(|answer| answer.status.is_success());
    for number in 0..calls {
        if open.len() == CONCURRENT
            && let Some(answer) = open.join_next().await
        {
            served += usize::from(is_served(answer.unwrap()));
        }
        let request = call("/lookup/a", &format!("{name}{number}"));
        open.spawn(async move { send(address, request).await });
    }
    served + open.join_all().await.into_iter().map(is_served).filter(|is_served| *is_served).count()
}

/// Sends calls until the order's status has this state.
async fn call_until(site: &Site, state: &str) {
    for round in 0..400 {
        if status(site)["state"] == state {
            return;
        }
        call_many(&site.gateway, &format!("u{round}-"), 20).await;
        time::sleep(Duration::from_millis(10)).await;
    }
    panic!("the status does not become {state}: {}", status(site));
}

fn status(site: &Site) -> Value {
    site.store.object("rollouts", "desk").map_or(Value::Null, |object| object["status"].clone())
}

async fn until_phase(router: &Running, phase: &str) {
    eventually(|| {
        let is_it = |line: &Value| line["msg"] == "service roll-out" && line["phase"] == phase;
        router.log.lines().iter().any(is_it).then_some(())
    })
    .await;
}

/// Guards against a bad version that gets requests after its verdict, or far more than its share before.
#[tokio::test]
async fn a_bad_version_is_withdrawn_and_gets_nothing_more() {
    let site = site().await;
    let new = order(&site, 30);
    make_bad(&new);

    call_until(&site, "rolled_back").await;
    let exposed = received(&new);
    assert_eq!(call_many(&site.gateway, "after", 200).await, 200);

    assert_eq!(received(&new), exposed, "requests after the verdict");
    let all = exposed + received(&site.workers[..2]);
    #[expect(clippy::cast_precision_loss, reason = "small numbers")]
    let permitted = SHARE * all as f64;
    assert!(exposed as f64 <= permitted, "{exposed} of {all}");
    assert_eq!(status(&site), json!({ "state": "rolled_back", "to": "v2" }));
}

/// Guards against a sound version that is withdrawn as its servers drop idle connections, and requests that
/// meet one count as bad answers.
#[tokio::test]
async fn a_sound_version_whose_servers_drop_idle_connections_is_released() {
    let site = site().await;
    let new = order(&site, 6);
    for worker in &new {
        worker.drop_idle_after(Some(120));
    }
    let has_verdict = || status(&site)["state"] != "running" && !status(&site).is_null();

    for round in 0..200 {
        if has_verdict() {
            break;
        }
        call_many(&site.gateway, &format!("u{round}-"), 20).await;
        // In this time, all idle connections to them are dropped.
        time::sleep(Duration::from_millis(150)).await;
    }

    assert_eq!(status(&site)["state"], "completed", "{}", status(&site));
}

/// Guards against a sound version that is not released in its time, and against requests to servers
/// that stop at that moment.
#[tokio::test]
async fn a_sound_version_is_released_and_gets_everything() {
    let site = site().await;
    let new = order(&site, 6);

    call_until(&site, "completed").await;
    until_phase(&site.gateway, "completed").await;
    let before = received(&site.workers[..2]);
    assert_eq!(call_many(&site.gateway, "after", 100).await, 100);

    assert_eq!(received(&site.workers[..2]), before, "requests to servers that have stopped");
    assert!(received(&new) > 100);
}

/// Guards against routers that start after the verdict and use the bad version.
#[tokio::test]
async fn a_router_that_starts_keeps_to_the_verdict_in_the_store() {
    let site = site().await;
    let order = json!({ "service": "desk", "to": "v2", "durationS": 30 });
    site.store.put("rollouts", "desk", order);
    site.store.put_status("rollouts", "desk", &json!({ "state": "rolled_back", "to": "v2" }));
    let new = start_new_version(&site);
    let mut settings = settings_of("r2", site.store.address());
    settings.bounds.exposure_share = SHARE;

    let started = start_gateway(settings).await;
    assert_eq!(call_many(&started, "a", 200).await, 200);

    assert_eq!(received(&new), 0);
    assert_eq!(status(&site)["state"], "rolled_back");
}

/// Guards against a version that goes on getting requests because the store can't take its verdict, and
/// against a verdict that is lost.
#[tokio::test]
async fn a_bad_version_is_withdrawn_while_the_store_is_away() {
    let site = site().await;
    let new = order(&site, 30);
    until_phase(&site.gateway, "canary").await;
    eventually(|| (status(&site)["state"] == "running").then_some(())).await;
    call_many(&site.gateway, "warm", 200).await;
    make_bad(&new);

    site.store.set_fault(StoreFault::Unavailable);
    for round in 0..40 {
        call_many(&site.gateway, &format!("down{round}-"), 20).await;
    }
    until_phase(&site.gateway, "halted").await;
    let exposed = received(&new);
    assert_eq!(call_many(&site.gateway, "halted", 100).await, 100);

    assert_eq!(received(&new), exposed, "requests after the version was found bad");
    assert_eq!(status(&site)["state"], "running");
    site.store.set_fault(StoreFault::None);
    eventually(|| (status(&site)["state"] == "rolled_back").then_some(())).await;
}

/// Guards against a verdict that is lost with the router that would have written it.
#[tokio::test]
async fn another_router_writes_the_verdict_if_the_first_one_leaves() {
    let site = site().await;
    let mut settings = settings_of("r2", site.store.address());
    settings.bounds.exposure_share = SHARE;
    settings.bounds.key_withdrawal_ms = 20_000;
    settings.bounds.configuration_ms = 20_000;
    let other = start_gateway(settings).await;
    let new = order(&site, 30);
    until_phase(&other, "canary").await;
    call_many(&site.gateway, "warm", 200).await;
    call_many(&other, "warm", 200).await;
    make_bad(&new);
    site.store.set_fault(StoreFault::Unavailable);
    for round in 0..40 {
        call_many(&site.gateway, &format!("down{round}-"), 20).await;
    }
    until_phase(&other, "halted").await;

    let Site { store, workers: _workers, gateway } = site;
    gateway.leave().await;
    store.set_fault(StoreFault::None);

    eventually(|| {
        let object = store.object("rollouts", "desk")?;
        (object["status"]["state"] == "rolled_back").then_some(())
    })
    .await;
}

/// Guards against an invalid order whose operator isn't told.
#[tokio::test]
async fn an_order_with_an_error_gets_it_in_its_status() {
    let site = site().await;
    let order = json!({ "service": "desk", "to": "v2", "durationS": -1 });
    site.store.put("rollouts", "desk", order);

    let error = eventually(|| status(&site)["error"].as_str().map(str::to_owned)).await;

    assert!(error.contains("durationS = -1: allowed is more than 0"), "{error}");
}

/// Guards against deployments that don't compare versions and wait for orders all the same.
#[tokio::test]
async fn without_a_share_all_servers_are_used() {
    let site = site_with_share(0.0).await;
    let new = order(&site, 30);

    for round in 0..100 {
        call_many(&site.gateway, &format!("r{round}-"), 20).await;
        if received(&new) > 0 {
            return;
        }
    }
    panic!("the new servers get nothing");
}

/// Guards against a verdict that is taken back because the store came back from an older copy.
#[tokio::test]
async fn a_verdict_that_the_store_has_lost_is_written_again() {
    let site = site().await;
    let new = order(&site, 30);
    eventually(|| (status(&site)["state"] == "running").then_some(())).await;
    let copy = site.store.snapshot();
    make_bad(&new);
    call_until(&site, "rolled_back").await;
    let exposed = received(&new);

    site.store.restore(&copy);
    eventually(|| (status(&site)["state"] == "rolled_back").then_some(())).await;
    assert_eq!(call_many(&site.gateway, "after", 100).await, 100);

    assert_eq!(received(&new), exposed, "requests after the verdict");
}

/// Guards against routers that start long after a release and refuse to use the versions that have
/// come since, without an order.
#[tokio::test]
async fn a_router_that_starts_uses_versions_later_than_a_complete_release() {
    let site = site().await;
    let order = json!({ "service": "desk", "to": "v0", "durationS": 30 });
    site.store.put("rollouts", "desk", order);
    site.store.put_status("rollouts", "desk", &json!({ "state": "completed", "to": "v0" }));
    let mut settings = settings_of("r2", site.store.address());
    settings.bounds.exposure_share = SHARE;

    let started = start_gateway(settings).await;
    assert_eq!(call_many(&started, "a", 50).await, 50);

    assert_eq!(received(&site.workers[..2]), 50);
}

/// Guards against an invalid order that ends the roll-out before it, so that a bad version is used.
#[tokio::test]
async fn an_order_that_becomes_invalid_does_not_take_back_a_verdict() {
    let site = site().await;
    let new = order(&site, 30);
    make_bad(&new);
    call_until(&site, "rolled_back").await;
    let exposed = received(&new);

    site.store.put("rollouts", "desk", json!({ "service": "desk", "to": "v2", "durationS": -1 }));
    eventually(|| status(&site)["error"].as_str().map(str::to_owned)).await;
    assert_eq!(call_many(&site.gateway, "after", 100).await, 100);

    assert_eq!(received(&new), exposed, "requests after the verdict");
}

/// Guards against a version whose order is not read yet and that gets its full part, as the service had
/// an order for another version before.
#[tokio::test]
async fn the_next_version_gets_its_share_only() {
    let site = site().await;
    let order = json!({ "service": "desk", "to": "v1", "durationS": 30 });
    site.store.put("rollouts", "desk", order);
    site.store.put_status("rollouts", "desk", &json!({ "state": "completed", "to": "v1" }));
    until_phase(&site.gateway, "completed").await;

    site.store.put("rollouts", "desk", json!({ "service": "desk", "to": "v2", "durationS": 30 }));
    let new = start_new_version(&site);
    let calls = 400;
    call_many(&site.gateway, "a", calls).await;

    #[expect(clippy::cast_precision_loss, reason = "small numbers")]
    let permitted = SHARE * calls as f64;
    assert!(received(&new) as f64 <= permitted, "{} of {calls}", received(&new));
}

/// What operators see of the orders once the answers to the calls so far have been evaluated, which
/// happens at intervals.
async fn rollouts_with_answers(site: &Site) -> Value {
    for _ in 0..200 {
        let request = Request::get("/rollouts").body(Full::default()).unwrap();
        let answer = send(site.gateway.addresses.admin, request).await.unwrap();
        let rollouts: Value = serde_json::from_str(&answer.body).unwrap();
        if rollouts[0]["answers"].as_u64() > Some(0) {
            return rollouts;
        }
        time::sleep(Duration::from_millis(10)).await;
    }
    panic!("operators see no answers");
}

/// Guards against operators who can't see why an order isn't carried out further.
#[tokio::test]
async fn operators_see_what_an_order_waits_for() {
    let site = site().await;
    let _new = order(&site, 30);
    until_phase(&site.gateway, "canary").await;
    call_many(&site.gateway, "a", 100).await;

    let rollouts = rollouts_with_answers(&site).await;

    let waits_for = rollouts[0]["waits_for"].as_str().unwrap();
    assert_eq!(rollouts[0]["service"], "desk");
    assert_eq!(rollouts[0]["phase"], "canary");
    assert!(waits_for.starts_with("for the end of the time in which evidence"), "{waits_for}");
}
