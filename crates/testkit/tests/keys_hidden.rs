//! No backend server ever sees a caller's key, and neither do logs, dumps and metrics.

use http::Method;
use samphirespread_testkit::{
    DEFAULT_TEAM, Fleet,
    steps::{assert_whole, request},
};

#[tokio::test]
async fn no_key_gets_past_the_router() {
    let fleet = Fleet::builder().routers(2).agents(1).services(1).start().await;
    let key = fleet.key(DEFAULT_TEAM);
    let caller = fleet.caller(0).header("x-call-id", "hidden");
    let elsewhere = [("cookie", key.clone()), ("x-api-key", key.clone()), ("x-note", key.clone())];
    let talkative =
        elsewhere.iter().fold(caller.clone(), |caller, (name, value)| caller.header(name, value));

    let answer = caller.complete(&request("Show no key.", 10)).await.unwrap();
    let plain = caller.call(Method::POST, "/notices/1", "a body").await.unwrap();
    let path = format!("/notices/1?token={key}");
    let in_query = caller.call(Method::GET, &path, "").await;
    let in_body = caller.call(Method::POST, "/notices/1", key.clone()).await;
    let in_prompt = caller.complete(&request(&format!("My key is {key}."), 5)).await;
    let in_headers = talkative.call(Method::POST, "/notices/1", "a body").await;

    assert_whole(&answer, "Show no key.", 10);
    assert!(plain.status.is_success(), "{plain:?}");
    // Whatever became of these, the backend servers must not have seen the key.
    drop((in_query, in_body, in_prompt, in_headers));
    let engine = fleet.agents[0].engine.requests();
    let service = fleet.services[0].service.requests();
    assert!(!engine.is_empty() && !service.is_empty());
    for received in engine.iter().chain(&service) {
        assert!(!received.contains(&key), "{received:?}");
        assert!(!received.headers.iter().any(|(name, _)| name == "authorization"), "{received:?}");
    }
}

#[tokio::test]
async fn no_key_gets_into_logs_dumps_and_metrics() {
    let fleet = Fleet::builder().agents(1).services(1).start().await;
    let key = fleet.key(DEFAULT_TEAM);
    let caller = fleet.caller(0);
    let wrong = "key-that-nobody-was-given-0123456789";

    caller.complete(&request("Show no key.", 10)).await.unwrap();
    caller.call(Method::POST, "/notices/1", "a body").await.unwrap();
    let refused = fleet.anonymous(0).key(wrong).complete(&request("Let me in.", 1)).await.unwrap();

    assert_eq!(refused.status, 401);
    let daemons = [&fleet.routers[0].daemon, &fleet.agents[0].daemon, &fleet.services[0].daemon];
    for daemon in daemons {
        let shown = daemon.log() + &fleet.dump(daemon).await + &fleet.metrics(daemon).await;
        assert!(!shown.contains(&key), "{shown}");
        assert!(!shown.contains(wrong), "{shown}");
    }
}
