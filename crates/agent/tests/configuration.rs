//! Tests that the current generation never decreases and that routers with an old one are refused.

mod support;

use samphirespread_agent::configuration::Configuration;
use samphirespread_core::prelude::*;
use samphirespread_standin::{
    engine::{Engine, EngineConfig},
    text,
};
use samphirespread_wire::message::{
    AgentConfig, FetchConfig, NotRunReason, Reply, Request, WantedWeights, Work,
};
use support::{TestAgent, lookup, model_run, open_run, read_answer, read_lines, until};

/// A configuration that asks for no weights.
fn config(generation: u64) -> AgentConfig {
    AgentConfig { generation: Generation(generation), weights: None }
}

/// A configuration whose routes agree on a version of the model.
fn with_version(version: &str, generation: u64) -> AgentConfig {
    let (model, version) = (ModelName::new("reader"), WeightsVersion::new(version));
    AgentConfig { weights: Some(WantedWeights { model, version }), ..config(generation) }
}

fn at(ms: u64) -> MonoTime {
    MonoTime::from_ms(ms)
}

#[test]
fn a_lower_generation_is_never_adopted() {
    let mut configuration = Configuration::new();
    configuration.apply(at(0), &with_version("v5", 5));

    let lower = configuration.apply(at(1), &with_version("v4", 4));
    let equal = configuration.apply(at(1), &with_version("v4", 5));
    let version = configuration.weights().map(|weights| weights.version.clone());
    let higher = configuration.apply(at(1), &with_version("v7", 7));

    assert_eq!((lower, equal, higher), (false, false, true));
    assert_eq!(version, Some(WeightsVersion::new("v5")));
    assert_eq!(configuration.generation(), Generation(7));
}

#[test]
fn a_generation_that_asks_for_the_same_weights_does_not_delay_their_load() {
    let mut configuration = Configuration::new();
    configuration.apply(at(10), &with_version("v2", 1));
    for generation in 2..50 {
        configuration.apply(at(10 * generation), &with_version("v2", generation));
    }

    let since = configuration.weights_since();
    configuration.apply(at(900), &with_version("v3", 50));

    assert_eq!(since, at(10));
    assert_eq!(configuration.weights_since(), at(900));
}

#[test]
fn a_generation_is_stale_when_it_was_replaced_the_grace_time_ago() {
    let mut configuration = Configuration::new();
    configuration.apply(at(0), &config(5));
    configuration.apply(at(1_000), &config(6));
    let is_stale = |ms, generation| configuration.is_stale(at(ms), Generation(generation), 500);

    assert!(!is_stale(1_499, 5));
    assert!(is_stale(1_500, 5));
    assert!(is_stale(1_000, 4), "generation 4 was replaced by 5 already");
    assert!(!is_stale(9_000, 6));
    assert!(!is_stale(9_000, 7));
}

#[test]
fn generations_older_than_the_kept_history_are_stale() {
    let mut configuration = Configuration::new();
    for generation in 1..200 {
        configuration.apply(at(generation), &config(generation));
    }

    assert!(configuration.is_stale(at(200), Generation(2), 1_000));
    assert!(!configuration.is_stale(at(200), Generation(198), 1_000));
}

#[tokio::test]
async fn refuses_a_router_with_a_stale_generation() {
    let engine = Engine::start(EngineConfig::new("reader", "v1").load_lag_ms(0)).await.unwrap();
    let more = "[peers]\nstale_config_ms = 100\n";
    let agent = TestAgent::start("model", engine.address(), more).await;
    let connection = agent.connect().await;
    let reply = connection.call(&Request::ConfigureAgent(config(3))).await.unwrap();
    assert_eq!(reply, Reply::Done);

    let mut serial = 0;
    let mut refused = None;
    until(async || {
        serial += 1;
        let mut replies = open_run(&connection, &model_run(serial, "prompt", 1)).await;
        refused = Some(read_answer(&mut replies).await);
        matches!(refused.as_ref().unwrap().end, Some(Reply::NotRun(_)))
    })
    .await;
    let fetch = FetchConfig { have: Generation(0), sections: Vec::new() };
    let fetched = connection.call(&Request::FetchConfig(fetch)).await.unwrap();
    let mut current = model_run(serial + 1, "prompt", 1);
    current.generation = Generation(3);
    let answer = read_answer(&mut open_run(&connection, &current).await).await;

    let not_run = refused.as_ref().unwrap().not_run();
    assert_eq!((not_run.reason, not_run.generation), (NotRunReason::Stale, Generation(3)));
    assert!(matches!(fetched, Reply::Refused { .. }), "an agent has no keys to give: {fetched:?}");
    assert_eq!(answer.finished().length, 1);
    assert_eq!(lookup(&connection, &[]).await.generation, Generation(3));
}

#[tokio::test]
async fn the_engine_loads_the_weights_that_the_configuration_asks_for() {
    let config = EngineConfig::new("reader", "v1").decode_step_us(5_000).load_lag_ms(300);
    let engine = Engine::start(config).await.unwrap();
    let agent = TestAgent::start("model", engine.address(), "").await;
    let connection = agent.connect().await;
    connection.call(&Request::ConfigureAgent(with_version("v1", 1))).await.unwrap();
    let mut old = open_run(&connection, &model_run(1, "prompt", 20)).await;
    let begin = read_lines(&mut old, 1).await;

    connection.call(&Request::ConfigureAgent(with_version("v2", 2))).await.unwrap();
    let rest = read_answer(&mut old).await;
    let mut serial = 1;
    let mut new = None;
    until(async || {
        serial += 1;
        let mut run = model_run(serial, "prompt", 5);
        run.generation = Generation(2);
        let Work::Model(work) = &mut run.work else { unreachable!() };
        work.version = WeightsVersion::new("v2");
        let answer = read_answer(&mut open_run(&connection, &run).await).await;
        let has_ended = matches!(answer.end, Some(Reply::Finished(_)));
        new = Some(answer);
        has_ended
    })
    .await;

    assert_eq!(
        begin + &rest.text,
        text::answer("prompt", 20),
        "what ran on the old weights was not cut"
    );
    assert_eq!(new.unwrap().text, text::answer("prompt", 5));
    let orders = engine.requests().iter().filter(|r| r.path == "/v1/weights").count();
    assert_eq!(orders, 1, "the lagging load report causes no second load order");
}
