//! What a gateway does before it knows the other routers.

use http::{Request, StatusCode};
use samphirespread_adapter::Kind;
use samphirespread_standin::published::StoreFault;
use tokio::time;

use crate::support::{
    KEY, LogText, OTHER_KEY, Running, Site, bind_gateway, call, configuration, eventually, send,
    settings_of, start_site, wait_until_ready,
};

/// Time between two rounds of reads, longer than a gateway takes to become ready.
const POLL_MS: u64 = 3_000;

/// Starts a second gateway without waiting until it is ready.
async fn second_gateway(site: &Site) -> Running {
    let mut settings = settings_of("r2", site.store.address());
    settings.store.poll_ms = POLL_MS;
    bind_gateway(settings).await
}

fn has_line(log: &LogText, message: &str) -> bool {
    log.lines().iter().any(|line| line["msg"] == message)
}

/// Guards against a gateway that serves without knowing the others, as its first read of the store failed
/// and used up the turn of the list of routers (review/14).
#[tokio::test]
async fn a_gateway_whose_first_read_failed_knows_the_others_when_it_is_ready() {
    let site = start_site(configuration()).await;
    site.store.set_fault(StoreFault::Unavailable);
    let second = second_gateway(&site).await;
    eventually(|| has_line(&second.log, "store lost").then_some(())).await;
    site.store.set_fault(StoreFault::None);

    wait_until_ready(second.addresses.readiness).await;

    assert!(has_line(&second.log, "router appeared"), "{:#?}", second.log.lines());
}

/// Guards against a team's whole quota at each gateway that doesn't know how many there are.
#[tokio::test]
async fn a_gateway_that_does_not_know_the_others_serves_only_teams_without_a_limit() {
    let site = start_site(configuration()).await;
    let routers = Kind::Routers.name();
    site.store.refuse_listings_of(Some(routers));
    let second = second_gateway(&site).await;
    eventually(|| has_line(&second.log, "configuration adopted").then_some(())).await;
    let call_of = |key: &str, id: &str| {
        let mut request: Request<_> = call("/lookup/a", id);
        request.headers_mut().insert("authorization", format!("Token {key}").parse().unwrap());
        send(second.addresses.callers, request)
    };
    for number in 0..200 {
        // The list of servers comes after the configuration.
        let answer = call_of(KEY, &format!("w{number}")).await.unwrap();
        if answer.status == StatusCode::OK {
            break;
        }
        time::sleep(time::Duration::from_millis(10)).await;
    }

    let unlimited = call_of(KEY, "q1").await.unwrap();
    let limited = call_of(OTHER_KEY, "q2").await.unwrap();
    let ready = send(
        second.addresses.readiness,
        Request::get("/-/ready").body(Default::default()).unwrap(),
    );
    let ready = ready.await.unwrap();
    site.store.refuse_listings_of(None);
    wait_until_ready(second.addresses.readiness).await;
    // The team's bucket begins empty.
    let mut is_served_later = false;
    for number in 0..200 {
        let answer = call_of(OTHER_KEY, &format!("q3-{number}")).await.unwrap();
        is_served_later |= answer.status == StatusCode::OK;
        if is_served_later {
            break;
        }
        time::sleep(time::Duration::from_millis(10)).await;
    }

    assert_eq!(unlimited.status, StatusCode::OK);
    assert_eq!(limited.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(limited.headers.contains_key("retry-after"));
    assert_ne!(ready.status, StatusCode::OK);
    assert!(is_served_later);
}
