//! Configuration and live list at several sizes.

use samphirespread_config::{
    ConfigBuilder, KeyBuilder, RouteBuilder, SetBuilder, Snapshot, TeamBuilder, key_digest,
};
use samphirespread_core::prelude::*;
use samphirespread_membership::{LiveView, Roles};
use samphirespread_platform::api::{LiveInstance, LiveList, LiveState, ObjectVersion, Role};
use samphirespread_wire::{
    codec,
    message::{AgentConfig, ConfigSnapshot, FetchConfig, Reply, Request, WantedWeights},
};

use super::{
    Measured, SlopeError,
    process::{mean_bytes, mean_us},
};

const MODELS: usize = 36;
const KEYS_PER_TEAM: usize = 5;

fn invalid(error: impl std::fmt::Display) -> SlopeError {
    SlopeError::Document(error.to_string())
}

/// A configuration with a route for each model, open to the keys of all teams.
fn snapshot(teams: usize, rate_tokens_per_s: u64) -> Result<Snapshot, SlopeError> {
    let mut builder = ConfigBuilder::new();
    for model in 0..MODELS {
        let (set, name) = (format!("set-{model}"), format!("model-{model}"));
        builder = builder
            .set(SetBuilder::new(&set))
            .route(RouteBuilder::model(&name, &name, "v1").set(&set));
    }
    for team in 0..teams {
        let name = format!("team-{team}");
        let rate = if team == 0 { rate_tokens_per_s } else { 20_000 };
        let burst = 200_000;
        builder = builder.team(TeamBuilder::new(&name).rate_tokens_per_s(rate).burst_tokens(burst));
        for key in 0..KEYS_PER_TEAM {
            let id = format!("key-{team}-{key}");
            builder = builder.key(KeyBuilder::from_digest(&id, &name, &key_digest(&id)));
        }
    }
    let config = builder.build().map_err(invalid)?;
    Snapshot::of(&config, rate_tokens_per_s).map_err(invalid)
}

/// Size of a configuration, and what one changed team costs in bytes and time.
///
/// # Errors
///
/// Fails if a generated configuration is invalid or the process can't read its own figures.
pub fn config_rows() -> Result<Vec<Measured>, SlopeError> {
    let mut rows = Vec::new();
    for teams in [45, 180, 720] {
        let (before, after) = (snapshot(teams, 20_000)?, snapshot(teams, 20_001)?);
        let whole: usize = before.sections().map(|(_, text)| text.len()).sum();
        let missing = before.missing_sections(after.head());
        let changed: Vec<&str> = after
            .sections()
            .filter(|(name, _)| {
                after
                    .head()
                    .sections
                    .get(*name)
                    .is_some_and(|hash| missing.contains(&hash.as_str()))
            })
            .map(|(_, text)| text)
            .collect();
        let changed_bytes: usize = changed.iter().map(|text| text.len()).sum();
        let assemble = || Snapshot::assemble(after.head_text(), &changed, Some(&before));
        assemble().map_err(invalid)?;
        let us = mean_us(|| drop(assemble()))?;
        let bytes = mean_bytes(8, || snapshot(teams, 20_000).ok())?;
        let head = after.head_text().len() as f64;
        let sections = after.head().sections.len();
        rows.push(Measured::new("sections, number by teams", teams, sections as f64));
        let message = Reply::Config(Some(ConfigSnapshot {
            generation: after.generation(),
            head: after.head_text().to_owned(),
            sections: after.sections().map(|(_, text)| text.to_owned()).collect(),
        }));
        let frame = codec::encode(0, &message).map_err(invalid)?;
        let what = "whole configuration to a peer, bytes by teams";
        rows.push(Measured::new(what, teams, frame.len() as f64));
        let ask = Request::FetchConfig(FetchConfig {
            have: after.generation(),
            sections: after.head().sections.values().cloned().collect(),
        });
        let frame = codec::encode(0, &ask).map_err(invalid)?;
        let what = "asking a peer for a later configuration, bytes by teams";
        rows.push(Measured::new(what, teams, frame.len() as f64));
        let tell = Request::ConfigureAgent(AgentConfig {
            generation: after.generation(),
            weights: Some(WantedWeights {
                model: ModelName::new("model-35"),
                version: WeightsVersion::new("v1"),
            }),
        });
        let frame = codec::encode(0, &tell).map_err(invalid)?;
        let what = "telling an agent of a configuration, bytes by teams";
        rows.push(Measured::new(what, teams, frame.len() as f64));
        rows.push(Measured::new("head, bytes by teams", teams, head));
        rows.push(Measured::new("all sections, bytes by teams", teams, whole as f64));
        let what = "changed sections of one change, bytes by teams";
        rows.push(Measured::new(what, teams, changed_bytes as f64));
        rows.push(Measured::new("taking one change in, us by teams", teams, us));
        rows.push(Measured::new("configuration, resident bytes by teams", teams, bytes));
    }
    Ok(rows)
}

fn live_list(instances: usize) -> LiveList {
    let instance = |index: usize| LiveInstance {
        name: InstanceName::new(format!("worker-{index:05}")),
        role: if index.is_multiple_of(14) { Role::Router } else { Role::Agent },
        address: format!("10.20.{}.{}:7400", index / 250, index % 250),
        admin: Some(format!("10.20.{}.{}:7500", index / 250, index % 250)),
        region: format!("region-{}", index % 4),
        failure_domain: format!("domain-{}", index % 14),
        set: Some(SetName::new(format!("set-{}", index % MODELS))),
        state: LiveState::Live,
    };
    LiveList { version: ObjectVersion(1), instances: (0..instances).map(instance).collect() }
}

/// Size of a live list and of one change of it, and what taking them in costs.
///
/// # Errors
///
/// Fails if the process can't read its own figures.
pub fn live_list_rows() -> Result<Vec<Measured>, SlopeError> {
    let mut rows = Vec::new();
    for instances in [450, 1_800, 7_210] {
        let list = live_list(instances);
        let text = serde_json::to_string(&list).map_err(invalid)?;
        let us = mean_us(|| drop(serde_json::from_str::<LiveList>(&text)))?;
        let bytes = mean_bytes(16, || live_list(instances))?;
        let length = text.len() as f64;
        rows.push(Measured::new("live list, bytes of JSON by instances", instances, length));
        rows.push(Measured::new("parsing the live list, us by instances", instances, us));
        rows.push(Measured::new("live list, resident bytes by instances", instances, bytes));
        rows.extend(change_rows(&list)?);
    }
    Ok(rows)
}

/// One instance of the list starts to leave.
fn change_rows(list: &LiveList) -> Result<Vec<Measured>, SlopeError> {
    let instances = list.instances.len();
    let mut later = list.clone();
    later.version = ObjectVersion(2);
    later.instances[0].state = LiveState::Leaving;
    let (mut ahead, mut behind) = (LiveView::default(), LiveView::default());
    ahead.adopt(list.clone());
    behind.adopt(list.clone());
    ahead.adopt(later);
    let mut rows = Vec::new();
    for (what, have) in [
        ("whole live list to a peer, bytes by instances", ObjectVersion(0)),
        ("one change of the live list to a peer, bytes by instances", ObjectVersion(1)),
    ] {
        let frame = codec::encode(0, &Reply::LiveList(ahead.since(have))).map_err(invalid)?;
        rows.push(Measured::new(what, instances, frame.len() as f64));
    }
    if let Some(change) = ahead.since(ObjectVersion(1)) {
        let us = mean_us(|| {
            behind.clone().apply(&change);
        })?;
        rows.push(Measured::new(
            "taking one change of the list in, us by instances",
            instances,
            us,
        ));
    }
    let own = &list.instances[0].name;
    let us = mean_us(|| drop(Roles::of(list, own).peers_to_ask(1)))?;
    rows.push(Measured::new("finding the peers to ask, us by instances", instances, us));
    Ok(rows)
}
