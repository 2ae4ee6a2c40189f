//! Follows the versions of weights that operators name, and records when each was named.
//!
//! The store does not say when an object was written, and a router that starts must not treat a
//! version as new that was named long ago. The router that conducts the rollout therefore records
//! in the store when each version was named, and routers that start read these records.

use std::{sync::Arc, time::Duration};

use samphirespread_adapter::{
    Change, Changes, EncodedObject, Kind, Object, StoreError, Written, weights,
};
use samphirespread_core::prelude::*;
use samphirespread_logging::event;
use samphirespread_routing::model::LoadedModel;
use serde::{Deserialize, Serialize};
use serde_json::json;
use slog::{info, warn};
use tokio::time;

use crate::{
    conduct,
    gateway::Core,
    metrics::count,
    reads,
    sync::{log_unreadable, short_name},
};

/// How long a watch waits for changes.
const WATCH_WAIT_MS: u64 = 2_000;
/// Pause after a failed call.
const RETRY_PAUSE_MS: u64 = 200;
/// Time between two checks of whether this router has to follow the versions itself.
const CHECK_INTERVAL_MS: u64 = 100;
/// A version that a router finds at its start, without a record, is assumed to have been named this
/// long ago. This covers the time that all routers need to restart, and the delay of a record.
const UNRECORDED_AGE_MS: u64 = 4_000;
/// Wall clocks of two machines are assumed to differ by at most this much.
const CLOCK_TOLERANCE_MS: u64 = 1_000;
/// Time between two checks of whether there is something to record.
const RECORD_INTERVAL_MS: u64 = 250;
/// The number of versions in one record.
const MAX_RECORDED_VERSIONS: usize = 4;

/// The times when the versions of one model were named, as the store holds them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct VersionsRecord {
    versions: Vec<RecordedVersion>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct RecordedVersion {
    version: u64,
    named_unix_ms: u64,
}

/// Follows the named versions for as long as the process runs.
pub(crate) async fn follow_versions(core: Arc<Core>) {
    let mut position = None;
    // When the last successful call began. A version that it did not show was named later.
    let mut current_as_of = None;
    loop {
        let began = core.now();
        let is_down = current_as_of.is_some() && !core.state().reads.is_up();
        if is_down || !follows_store(&core, position, &mut current_as_of) {
            position = None;
            time::sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
            continue;
        }
        let result = match position {
            None => list(&core, current_as_of).await,
            Some(position) => {
                let keep = |entry: &EncodedObject<'_>| decode(&core, entry);
                let watched = core.store.watch(Kind::Weights, position, WATCH_WAIT_MS, keep).await;
                watched.map(|changes| apply_changes(&core, changes))
            }
        };
        match result {
            Ok(next) => {
                position = Some(next);
                current_as_of = Some(began);
            }
            Err(error) => {
                position = None;
                count(&core.metrics.store_failures, "weights");
                info!(core.log, "{}", event::WEIGHTS_NOT_FOLLOWED; "error" => %error);
                time::sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
            }
        }
    }
}

/// Whether this router follows the versions in the store itself. If not, it learns of them from the
/// records of the router that does.
fn follows_store(
    core: &Core,
    position: Option<StorePosition>,
    current_as_of: &mut Option<MonoTime>,
) -> bool {
    let now = core.now();
    let state = core.state();
    if current_as_of.is_none() || reads::reads_for_all(core, &state, now) {
        return true;
    }
    if position.is_none() {
        // The records of the router that follows the store are as recent as its last confirmation
        // of the configuration.
        *current_as_of = (*current_as_of).max(state.reads.configuration.confirmed());
    }
    false
}

async fn list(core: &Core, current_as_of: Option<MonoTime>) -> Result<StorePosition, StoreError> {
    let listing = core.store.list(Kind::Weights, |entry| decode(core, entry)).await?;
    let now = core.now();
    let named_by = match current_as_of {
        Some(time) => time,
        None => {
            read_records(core).await?;
            now.minus_ms(UNRECORDED_AGE_MS)
        }
    };
    for named in &listing.objects {
        learn_version(core, named, named_by);
    }
    Ok(listing.position)
}

fn apply_changes(core: &Core, changes: Changes<LoadedModel>) -> StorePosition {
    for change in changes.changes {
        if let Change::Set(named) = change {
            learn_version(core, &named, core.now());
        }
    }
    changes.position
}

fn decode(core: &Core, entry: &EncodedObject<'_>) -> Option<LoadedModel> {
    let named = weights::decode(entry.spec);
    named.inspect_err(|error| log_unreadable(core, entry.name, error)).ok()
}

fn learn_version(core: &Core, named: &LoadedModel, named_by: MonoTime) {
    let is_known = {
        let state = core.state();
        state.weights.get(&named.model).is_some_and(|known| known.newest() >= named.version)
    };
    if is_known {
        return;
    }
    core.state().weights.learn(&named.model, named.version, named_by);
    info!(core.log, "{}", event::WEIGHTS_NAMED; "model" => %named.model, "version" => named.version,
        "source" => "store", "age_ms" => core.now().ms_since(named_by));
    core.wake_publisher.notify_one();
}

async fn read_records(core: &Core) -> Result<(), StoreError> {
    let listing = core.store.list(Kind::WeightTimes, |entry| decode_record(core, entry)).await?;
    let (now, now_unix_ms) = (core.now(), core.unix_ms());
    for object in listing.objects {
        let model = ModelName::new(&object.name);
        for recorded in object.spec.versions {
            let age_ms = now_unix_ms.saturating_sub(recorded.named_unix_ms);
            let named_by = now.minus_ms(age_ms + CLOCK_TOLERANCE_MS);
            core.state().weights.learn(&model, recorded.version, named_by);
            info!(core.log, "{}", event::WEIGHTS_NAMED; "model" => %model, "version" => recorded.version,
                "source" => "record", "age_ms" => age_ms);
        }
    }
    Ok(())
}

fn decode_record(core: &Core, entry: &EncodedObject<'_>) -> Option<Object<VersionsRecord>> {
    match entry.decode("the times of a model's versions") {
        Ok(record) => Some(entry.with_spec(record)),
        Err(error) => {
            warn!(core.log, "{}", event::RECORD_LEFT_OUT; "model" => short_name(entry.name),
                "error" => %error);
            None
        }
    }
}

/// Records new versions while this router conducts the rollout, for as long as the process runs.
pub(crate) async fn record_versions(core: Arc<Core>) {
    let mut recorded = std::collections::HashMap::new();
    loop {
        time::sleep(Duration::from_millis(RECORD_INTERVAL_MS)).await;
        for (model, newest) in unrecorded(&core, &recorded) {
            match write_record(&core, &model).await {
                Ok(Written::Done { .. }) => {
                    recorded.insert(model, newest);
                }
                // Another router wrote first. The next check reads its record and tries again.
                Ok(_) => {}
                Err(error) => {
                    count(&core.metrics.store_failures, "record");
                    info!(core.log, "{}", event::ROLLOUT_NOT_RECORDED; "model" => %model,
                        "version" => newest, "error" => %error);
                }
            }
        }
    }
}

/// Returns the models whose newest version is not recorded yet, with that version.
fn unrecorded(
    core: &Core,
    recorded: &std::collections::HashMap<ModelName, u64>,
) -> Vec<(ModelName, u64)> {
    let state = core.state();
    if !conduct::is_conductor(core, &state, core.now()) {
        return Vec::new();
    }
    let newest = state.weights.iter().map(|(model, named)| (model.clone(), named.newest()));
    newest.filter(|(model, version)| recorded.get(model) != Some(version)).collect()
}

async fn write_record(core: &Core, model: &ModelName) -> Result<Written, StoreError> {
    let built = build_record(core, model);
    let record = json!(built);
    let known = core.store.get::<VersionsRecord>(Kind::WeightTimes, model.as_str()).await?;
    match known {
        None => core.store.create(Kind::WeightTimes, model.as_str(), &record).await,
        Some(object) if object.spec.as_ref() == Ok(&built) => {
            Ok(Written::Done { position: object.position })
        }
        Some(object) => {
            core.store.replace(Kind::WeightTimes, model.as_str(), object.position, &record).await
        }
    }
}

fn build_record(core: &Core, model: &ModelName) -> VersionsRecord {
    let (now, now_unix_ms) = (core.now(), core.unix_ms());
    let state = core.state();
    let ages = state.weights.get(model).map(|named| named.ages_ms(now).collect::<Vec<_>>());
    let ages = ages.unwrap_or_default();
    let latest = ages.len().saturating_sub(MAX_RECORDED_VERSIONS);
    let versions = ages[latest..]
        .iter()
        .map(|(version, age_ms)| RecordedVersion {
            version: *version,
            named_unix_ms: now_unix_ms.saturating_sub(*age_ms),
        })
        .collect();
    VersionsRecord { versions }
}
