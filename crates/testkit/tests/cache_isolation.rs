//! No request relies on cache entries of another team, of older weights or of a dead engine.

use std::collections::HashMap;

use samphirespread_config::RouteBuilder;
use samphirespread_standin::engine::{Engine, EngineRecord};
use samphirespread_testkit::{
    DEFAULT_MODEL, DEFAULT_SET, DEFAULT_VERSION, Fleet, FleetBuilder,
    steps::{assert_whole, request},
};

const RATE: u64 = 10_000_000;

fn fleet() -> FleetBuilder {
    Fleet::builder().block_bytes(256).team("desk", RATE, RATE).team("haulage", RATE, RATE)
}

/// Many blocks that prompts share.
fn prefix() -> String {
    "Ledger page with many entries, all alike. ".repeat(60)
}

/// Teams have different prompts in these tests, so a stream's team is known by its prompt.
fn team_of(record: &EngineRecord, stream: &str) -> String {
    let found = record.streams.iter().find(|record| record.id == stream);
    let prompt = &found.expect("the stream is on record").prompt;
    prompt.rsplit_once("team ").expect("the prompt names its team").1.to_owned()
}

/// No reuse across teams, versions or runs of the engine.
fn assert_isolated(engine: &Engine) {
    let record = engine.record();
    let runs: HashMap<&str, u64> =
        record.streams.iter().map(|stream| (stream.id.as_str(), stream.incarnation.0)).collect();
    for reuse in &record.reuses {
        let owner = reuse.owner_stream.as_deref().expect("nothing was imported");
        assert_eq!(team_of(&record, &reuse.stream), team_of(&record, owner), "{reuse:?}");
        assert_eq!(reuse.version, reuse.owner_version, "{reuse:?}");
        assert_eq!(reuse.salt, reuse.owner_salt, "{reuse:?}");
        assert_eq!(runs[reuse.stream.as_str()], runs[owner], "{reuse:?}");
    }
}

async fn ask(fleet: &Fleet, team: &str) {
    let prompt = format!("{}team {team}", prefix());
    let answer = fleet.caller_of(0, team).complete(&request(&prompt, 3)).await.unwrap();
    assert_whole(&answer, &prompt, 3);
}

#[tokio::test]
async fn teams_share_no_blocks() {
    let fleet = fleet().start().await;

    for team in ["desk", "haulage", "desk", "haulage"] {
        ask(&fleet, team).await;
    }

    let engine = &fleet.agents[0].engine;
    assert_isolated(engine);
    let streams: Vec<String> =
        engine.record().reuses.into_iter().map(|reuse| reuse.stream).collect();
    let reusing: std::collections::HashSet<String> = streams.into_iter().collect();
    // The second request of each team reuses what the first one computed.
    assert_eq!(reusing.len(), 2, "{reusing:?}");
}

#[tokio::test]
async fn a_crashed_engine_serves_from_an_empty_cache() {
    let fleet = fleet().start().await;
    let engine = &fleet.agents[0].engine;
    ask(&fleet, "desk").await;
    ask(&fleet, "desk").await;
    let reused_before = engine.record().reuses.len();

    engine.crash().await.unwrap();
    ask(&fleet, "desk").await;

    assert!(reused_before > 0);
    assert_eq!(engine.record().reuses.len(), reused_before);
    assert_isolated(engine);
}

#[tokio::test]
async fn new_weights_reuse_nothing_of_the_old() {
    let old_route =
        |version: &str| RouteBuilder::model("drafts", DEFAULT_MODEL, version).set(DEFAULT_SET);
    let mut fleet = fleet().route(old_route(DEFAULT_VERSION)).start().await;
    ask(&fleet, "desk").await;
    load_weights(&fleet, "v2").await;
    let reused_before = fleet.agents[0].engine.record().reuses.len();

    let mut config = fleet.config().clone();
    set_version(&mut config, "v2");
    fleet.apply(config);
    ask_until_served(&fleet, "desk").await;

    let record = fleet.agents[0].engine.record();
    assert_eq!(record.reuses.len(), reused_before);
    assert_eq!(record.streams.last().unwrap().version.as_str(), "v2");
    assert_isolated(&fleet.agents[0].engine);
}

async fn load_weights(fleet: &Fleet, version: &str) {
    use samphirespread_core::prelude::*;
    use samphirespread_engine::{EngineClient, EngineClientConfig, api::LoadWeights};

    let address = fleet.agents[0].engine.address().to_string();
    let order = LoadWeights {
        fence: FencingNumber(u64::MAX),
        model: ModelName::new(DEFAULT_MODEL),
        version: WeightsVersion::new(version),
    };
    EngineClient::new(EngineClientConfig::new(address)).load_weights(&order).await.unwrap();
}

fn set_version(config: &mut samphirespread_config::Config, version: &str) {
    use samphirespread_config::RouteTarget;

    for route in &mut config.routes {
        if let RouteTarget::Model { version: current, .. } = &mut route.target {
            *current = samphirespread_core::prelude::WeightsVersion::new(version);
        }
    }
}

/// The new version takes a while to come into force.
async fn ask_until_served(fleet: &Fleet, team: &str) {
    let prompt = format!("{}team {team}", prefix());
    for _ in 0..500 {
        let answer = fleet.caller_of(0, team).complete(&request(&prompt, 3)).await.unwrap();
        if answer.is_complete() {
            return;
        }
        assert!(answer.refusal.as_ref().is_some_and(|refusal| refusal.not_run), "{answer:?}");
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
    panic!("the new version is never served");
}
