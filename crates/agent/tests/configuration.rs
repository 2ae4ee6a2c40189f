//! The generation in force never falls, and routers that lag are refused.

mod support;

use std::collections::BTreeMap;

use samphirespread_agent::configuration::{Configuration, Told};
use samphirespread_config::model::Head;
use samphirespread_core::prelude::*;
use samphirespread_standin::engine::{Engine, EngineConfig};
use samphirespread_wire::message::{ConfigSnapshot, FetchConfig, NotRunReason, Reply, Request};
use sha2::{Digest, Sha256};
use support::{TestAgent, lookup, model_run, open_run, read_answer, until};

const SECTION: &str = r#"{"teams":[]}"#;

fn hash(text: &str) -> String {
    Sha256::digest(text).iter().map(|byte| format!("{byte:02x}")).collect()
}

fn snapshot(generation: u64, sections: &[&str]) -> ConfigSnapshot {
    let named: BTreeMap<String, String> = sections
        .iter()
        .enumerate()
        .map(|(number, text)| (format!("section-{number}"), hash(text)))
        .collect();
    let generation = Generation(generation);
    let head = Head { generation, sections: named, ..Head::default() };
    ConfigSnapshot {
        generation,
        head: serde_json::to_string(&head).unwrap(),
        sections: sections.iter().map(|&text| text.to_owned()).collect(),
    }
}

fn at(ms: u64) -> MonoTime {
    MonoTime::from_ms(ms)
}

#[test]
fn a_lower_generation_is_never_adopted() {
    let mut configuration = Configuration::new();
    configuration.tell(at(0), &snapshot(5, &[]));

    let lower = configuration.tell(at(1), &snapshot(4, &[]));
    let equal = configuration.tell(at(1), &snapshot(5, &[]));
    let higher = configuration.tell(at(1), &snapshot(7, &[]));

    assert_eq!((lower, equal, higher), (Told::NotNewer, Told::NotNewer, Told::Adopted));
    assert_eq!(configuration.generation(), Generation(7));
}

#[test]
fn sections_that_are_known_need_not_come_again() {
    let mut configuration = Configuration::new();
    configuration.tell(at(0), &snapshot(1, &[SECTION]));
    let mut next = snapshot(2, &[SECTION]);
    next.sections.clear();

    let told = configuration.tell(at(1), &next);

    assert_eq!(told, Told::Adopted);
    assert!(configuration.sections().contains_key(&hash(SECTION)));
}

#[test]
fn a_configuration_with_missing_or_altered_sections_is_not_adopted() {
    let mut configuration = Configuration::new();
    let mut altered = snapshot(1, &[SECTION]);
    altered.sections = vec![r#"{"teams":[1]}"#.to_owned()];

    let told = configuration.tell(at(0), &altered);

    assert_eq!(told, Told::Incomplete(vec![hash(SECTION)]));
    assert_eq!(configuration.generation(), Generation(0));
}

#[test]
fn a_head_that_contradicts_its_snapshot_is_not_adopted() {
    let mut configuration = Configuration::new();
    let mut contradiction = snapshot(1, &[]);
    contradiction.generation = Generation(9);
    let broken = ConfigSnapshot { head: "{".to_owned(), ..snapshot(1, &[]) };

    assert_eq!(configuration.tell(at(0), &contradiction), Told::Malformed);
    assert_eq!(configuration.tell(at(0), &broken), Told::Malformed);
}

#[test]
fn a_generation_is_stale_once_it_was_replaced_for_the_grace_time() {
    let mut configuration = Configuration::new();
    configuration.tell(at(0), &snapshot(5, &[]));
    configuration.tell(at(1_000), &snapshot(6, &[]));
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
        configuration.tell(at(generation), &snapshot(generation, &[]));
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
    let pushed = snapshot(3, &[SECTION]);
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
