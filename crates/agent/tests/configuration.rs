//! The generation in force never falls, and routers that lag are refused.

mod support;

use samphirespread_agent::configuration::{Configuration, Told};
use samphirespread_config::{
    ConfigBuilder, RouteBuilder, SetBuilder, Snapshot, TeamBuilder, model::Config,
};
use samphirespread_core::prelude::*;
use samphirespread_standin::{
    engine::{Engine, EngineConfig},
    text,
};
use samphirespread_wire::message::{
    ConfigSnapshot, FetchConfig, NotRunReason, Reply, Request, Work,
};
use support::{TestAgent, lookup, model_run, open_run, read_answer, read_lines, until};

/// A configuration with one team, told by a router.
fn snapshot(generation: u64, team: &str) -> ConfigSnapshot {
    told(&ConfigBuilder::new().team(TeamBuilder::new(team)).build().unwrap(), generation)
}

fn told(config: &Config, generation: u64) -> ConfigSnapshot {
    let snapshot = Snapshot::of(config, generation).unwrap();
    ConfigSnapshot {
        generation: Generation(generation),
        head: snapshot.head_text().to_owned(),
        sections: snapshot.sections().map(|(_, text)| text.to_owned()).collect(),
    }
}

fn at(ms: u64) -> MonoTime {
    MonoTime::from_ms(ms)
}

#[test]
fn a_lower_generation_is_never_adopted() {
    let mut configuration = Configuration::new();
    configuration.tell(at(0), &snapshot(5, "desk"));

    let lower = configuration.tell(at(1), &snapshot(4, "desk"));
    let equal = configuration.tell(at(1), &snapshot(5, "desk"));
    let higher = configuration.tell(at(1), &snapshot(7, "desk"));

    assert_eq!((lower, equal, higher), (Told::NotNewer, Told::NotNewer, Told::Adopted));
    assert_eq!(configuration.generation(), Generation(7));
}

#[test]
fn sections_that_are_known_need_not_come_again() {
    let mut configuration = Configuration::new();
    configuration.tell(at(0), &snapshot(1, "desk"));
    let mut next = snapshot(2, "desk");
    let all = std::mem::take(&mut next.sections);

    let told = configuration.tell(at(1), &next);
    let answer = configuration.answer(&FetchConfig { have: Generation(1), sections: Vec::new() });

    assert_eq!(told, Told::Adopted);
    assert_eq!(answer.unwrap().sections, all);
}

#[test]
fn sections_that_the_asker_has_are_left_out() {
    let mut configuration = Configuration::new();
    let told = snapshot(1, "desk");
    configuration.tell(at(0), &told);
    let head: samphirespread_config::model::Head = serde_json::from_str(&told.head).unwrap();
    let sections = head.sections.values().cloned().collect();

    let answer = configuration.answer(&FetchConfig { have: Generation(0), sections });

    assert!(answer.unwrap().sections.is_empty());
}

#[test]
fn a_configuration_with_missing_or_altered_sections_is_not_adopted() {
    let mut configuration = Configuration::new();
    let mut altered = snapshot(1, "desk");
    for section in &mut altered.sections {
        section.push(' ');
    }

    let told = configuration.tell(at(0), &altered);

    assert!(matches!(told, Told::Incomplete(missing) if !missing.is_empty()));
    assert_eq!(configuration.generation(), Generation(0));
}

#[test]
fn a_head_that_contradicts_its_snapshot_is_not_adopted() {
    let mut configuration = Configuration::new();
    let mut contradiction = snapshot(1, "desk");
    contradiction.generation = Generation(9);
    let broken = ConfigSnapshot { head: "{".to_owned(), ..snapshot(1, "desk") };

    assert!(matches!(configuration.tell(at(0), &contradiction), Told::Malformed { .. }));
    assert!(matches!(configuration.tell(at(0), &broken), Told::Malformed { .. }));
    assert_eq!(configuration.generation(), Generation(0));
}

#[test]
fn a_generation_is_stale_once_it_was_replaced_for_the_grace_time() {
    let mut configuration = Configuration::new();
    configuration.tell(at(0), &snapshot(5, "desk"));
    configuration.tell(at(1_000), &snapshot(6, "desk"));
    let is_stale = |ms, generation| configuration.is_stale(at(ms), Generation(generation), 500);

    assert!(!is_stale(1_499, 5));
    assert!(is_stale(1_500, 5));
    assert!(is_stale(1_000, 4), "generation 4 was replaced by 5 already");
    assert!(!is_stale(9_000, 6));
    assert!(!is_stale(9_000, 7));
}

#[test]
fn a_long_history_keeps_old_generations_stale() {
    let mut configuration = Configuration::new();
    for generation in 1..200 {
        configuration.tell(at(generation), &snapshot(generation, "desk"));
    }

    assert!(configuration.is_stale(at(200), Generation(2), 1_000));
    assert!(!configuration.is_stale(at(200), Generation(198), 1_000));
}

#[tokio::test]
async fn a_router_that_lags_is_refused_and_can_fetch_what_it_lacks() {
    let engine = Engine::start(EngineConfig::new("reader", "v1").load_lag_ms(0)).await.unwrap();
    let more = "[peers]\nstale_config_ms = 100\n";
    let agent = TestAgent::start("model", engine.address(), more).await;
    let connection = agent.connect().await;
    let pushed = snapshot(3, "desk");
    let reply = connection.call(&Request::PushConfig(pushed.clone())).await.unwrap();
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
    assert_eq!(fetched, Reply::Config(Some(pushed)));
    assert_eq!(answer.finished().length, 1);
    assert_eq!(lookup(&connection, &[]).await.generation, Generation(3));
}

/// A configuration whose one route asks a version of the model of the agent's set.
fn with_version(version: &str, generation: u64) -> ConfigSnapshot {
    let config = ConfigBuilder::new()
        .team(TeamBuilder::new("desk"))
        .set(SetBuilder::new("drafting"))
        .route(RouteBuilder::model("reader", "reader", version).set("drafting"))
        .build()
        .unwrap();
    told(&config, generation)
}

#[tokio::test]
async fn the_engine_gets_the_weights_that_the_configuration_asks_for() {
    let config = EngineConfig::new("reader", "v1").decode_step_us(5_000).load_lag_ms(300);
    let engine = Engine::start(config).await.unwrap();
    let agent = TestAgent::start("model", engine.address(), "").await;
    let connection = agent.connect().await;
    connection.call(&Request::PushConfig(with_version("v1", 1))).await.unwrap();
    let mut old = open_run(&connection, &model_run(1, "prompt", 20)).await;
    let begin = read_lines(&mut old, 1).await;

    connection.call(&Request::PushConfig(with_version("v2", 2))).await.unwrap();
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
    assert_eq!(orders, 1, "the lagging load report brings no second order");
}
