//! A call that may not be repeated runs at most once, and "not run" is true.

use std::time::Duration;

use http::Method;
use samphirespread_config::RouteBuilder;
use samphirespread_standin::{
    caller::{Caller, CallerError, PlainAnswer},
    service::{ServiceConfig, ServiceFault},
};
use samphirespread_testkit::{Fleet, FleetBuilder, SERVICE_SET};

const PATH: &str = "/notices/17";
const RUN_MS: u64 = 300;

fn fleet() -> FleetBuilder {
    Fleet::builder()
        .agents(0)
        .services(2)
        .service(ServiceConfig::new().run_ms(RUN_MS))
        .router_setting("peers", "heartbeat_ms", "100")
        .router_setting("peers", "silence_timeout_ms", "600")
}

async fn call(caller: &Caller, id: &str) -> Result<PlainAnswer, CallerError> {
    caller.clone().header("x-call-id", id).call(Method::POST, PATH, "send the notice").await
}

/// Runs of a call at all services.
fn runs(fleet: &Fleet, id: &str) -> usize {
    fleet.services.iter().map(|node| node.service.runs_of(id).len()).sum()
}

/// The service that has begun a run of the call.
async fn running_service(fleet: &Fleet, id: &str) -> usize {
    loop {
        let begun = fleet.services.iter().position(|node| !node.service.runs_of(id).is_empty());
        if let Some(index) = begun {
            return index;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// One run at most, and none when the caller was told so. A complete answer had exactly one.
fn assert_honest(fleet: &Fleet, id: &str, answer: &Result<PlainAnswer, CallerError>) {
    let runs = runs(fleet, id);
    assert!(runs <= 1, "{id} ran {runs} times: {answer:?}");
    let Ok(answer) = answer else { return };
    if answer.status.is_success() {
        assert_eq!(runs, 1, "{answer:?}");
    }
    if answer.refusal().is_some_and(|refusal| refusal.not_run) {
        assert_eq!(runs, 0, "{answer:?}");
    }
}

#[tokio::test]
async fn a_call_runs_once_and_its_answer_comes_back() {
    let fleet = fleet().start().await;

    let answer = call(&fleet.caller(0), "calm").await;

    assert_honest(&fleet, "calm", &answer);
    assert_eq!(answer.unwrap().text(), "send the notice");
}

#[tokio::test]
async fn an_answer_that_is_lost_after_the_run_is_never_called_not_run() {
    let fleet = fleet().start().await;
    for node in &fleet.services {
        node.service.fail_next(1, ServiceFault::LoseAnswer);
    }

    let answer = call(&fleet.caller(0), "lost").await;

    assert_honest(&fleet, "lost", &answer);
    assert_eq!(runs(&fleet, "lost"), 1);
    assert_eq!(answer.unwrap().refusal().unwrap().code, "outcome_unknown");
}

#[tokio::test]
async fn a_connection_that_breaks_before_the_run_does_not_make_it_run_twice() {
    let fleet = fleet().start().await;
    for node in &fleet.services {
        node.service.fail_next(1, ServiceFault::DropBeforeRun);
    }

    let answer = call(&fleet.caller(0), "dropped").await;

    assert_honest(&fleet, "dropped", &answer);
}

#[tokio::test]
async fn a_service_that_dies_in_the_run_does_not_make_it_run_twice() {
    let fleet = fleet().start().await;
    let caller = fleet.caller(0);

    let (answer, ()) = tokio::join!(call(&caller, "died"), async {
        let running = running_service(&fleet, "died").await;
        fleet.services[running].service.go_down().await.unwrap();
    });

    assert_honest(&fleet, "died", &answer);
    assert_eq!(answer.unwrap().refusal().unwrap().code, "outcome_unknown");
}

#[tokio::test]
async fn an_agent_that_dies_in_the_run_does_not_make_it_run_twice() {
    let mut fleet = fleet().start().await;
    let caller = fleet.caller(0);
    let calling = tokio::spawn(async move { call(&caller, "agent").await });

    let running = running_service(&fleet, "agent").await;
    fleet.services[running].daemon.kill().await;
    let answer = calling.await.unwrap();

    assert_honest(&fleet, "agent", &answer);
    assert_eq!(answer.unwrap().refusal().unwrap().code, "outcome_unknown");
}

#[tokio::test]
async fn a_router_that_dies_in_the_run_does_not_make_it_run_twice() {
    let mut fleet = fleet().routers(2).start().await;
    let caller = fleet.caller(0);
    let calling = tokio::spawn(async move { call(&caller, "router").await });

    running_service(&fleet, "router").await;
    fleet.routers[0].daemon.kill().await;
    let answer = calling.await.unwrap();

    assert!(answer.is_err(), "{answer:?}");
    assert_eq!(runs(&fleet, "router"), 1);
}

#[tokio::test]
async fn a_retry_with_its_key_through_another_router_does_not_run_again() {
    let mut fleet = fleet().routers(2).start().await;
    let first = fleet.caller(0).header("idempotency-key", "notice-17");
    let second = fleet.caller(1).header("idempotency-key", "notice-17");
    let calling = tokio::spawn(async move { call(&first, "retry").await });

    running_service(&fleet, "retry").await;
    fleet.routers[0].daemon.kill().await;
    let lost = calling.await.unwrap();
    let again = call(&second, "retry").await;

    assert!(lost.is_err(), "{lost:?}");
    assert_eq!(runs(&fleet, "retry"), 1, "{again:?}");
    let refusal = again.unwrap().refusal().unwrap();
    assert!(!refusal.not_run, "{refusal:?}");
}

#[tokio::test]
async fn two_callers_with_one_key_at_once_make_one_run() {
    let fleet = fleet().routers(2).start().await;
    let first = fleet.caller(0).header("idempotency-key", "twice");
    let second = fleet.caller(1).header("idempotency-key", "twice");

    let (one, two) = tokio::join!(call(&first, "twice"), call(&second, "twice"));

    assert_eq!(runs(&fleet, "twice"), 1, "{one:?} {two:?}");
}

#[tokio::test]
async fn calls_stay_honest_while_agents_die_and_services_break() {
    let mut fleet = fleet().services(3).service(ServiceConfig::new().run_ms(20)).start().await;
    let caller = fleet.caller(0);
    let mut calls = Vec::new();
    for index in 0..60 {
        let (caller, id) = (caller.clone(), format!("call-{index}"));
        calls.push(tokio::spawn(async move { (call(&caller, &id).await, id) }));
        match index {
            10 => fleet.services[0].service.fail_next(3, ServiceFault::LoseAnswer),
            20 => fleet.services[1].service.fail_next(3, ServiceFault::DropBeforeRun),
            30 => fleet.services[0].daemon.kill().await,
            40 => fleet.services[1].service.go_down().await.unwrap(),
            _ => {}
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }

    for call in calls {
        let (answer, id) = call.await.unwrap();
        assert_honest(&fleet, &id, &answer);
    }
}

#[tokio::test]
async fn a_route_that_is_called_idempotent_does_run_again() {
    let route = RouteBuilder::service("notices", "/notices").idempotent(true).set(SERVICE_SET);
    let fleet = fleet().route(route).start().await;
    for node in &fleet.services {
        node.service.fail_next(1, ServiceFault::LoseAnswer);
    }

    let answer = call(&fleet.caller(0), "again").await;

    assert!(runs(&fleet, "again") > 1, "{answer:?}");
}
