//! Follows the versions of weights that operators name, and keeps a record of when that was.
//!
//! The store does not tell when an object was written, and a router that starts must not take a
//! version for new that was named long ago. The router that conducts the rollout therefore writes
//! down when each version was named, and routers that start read it.

use std::{sync::Arc, time::Duration};

use samphirespread_adapter::{
    Changes, Kind, Object, StoreError, Written, objects::Change, weights,
};
use samphirespread_core::prelude::*;
use samphirespread_logging::event;
use serde::{Deserialize, Serialize};
use serde_json::json;
use slog::{info, warn};
use tokio::time;

use crate::{conduct, gateway::Core, metrics::count, reads, sync::log_unreadable};

/// The longest wait of a watch.
const WAIT_MS: u64 = 2_000;
/// Pause after a failed call.
const PAUSE_MS: u64 = 200;
/// Time between two looks whether this router is to follow.
const LOOK_MS: u64 = 100;
/// A version that a router finds at its start, without a record, is taken to be named this long
/// ago: the time that all routers need to come back, with the delay of a record.
const UNRECORDED_AGE_MS: u64 = 4_000;
/// Wall clocks of two machines are taken to differ by up to this much.
const CLOCK_TOLERANCE_MS: u64 = 1_000;
/// Time between two looks whether there is something to record.
const RECORD_MS: u64 = 250;
/// Versions in one record.
const MAX_RECORDED: usize = 4;

/// When the versions of one model were named.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct Record {
    versions: Vec<RecordedVersion>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct RecordedVersion {
    version: u64,
    named_unix_ms: u64,
}

/// Follows the versions for as long as the process runs.
pub(crate) async fn follow(core: Arc<Core>) {
    let mut revision = None;
    // When the last successful call began; what it did not show was named later.
    let mut in_step_since = None;
    loop {
        let began = core.now();
        let is_down = in_step_since.is_some() && !core.state().reads.is_up;
        if is_down || !follows(&core, revision, &mut in_step_since) {
            revision = None;
            time::sleep(Duration::from_millis(LOOK_MS)).await;
            continue;
        }
        let result = match revision {
            None => list(&core, in_step_since).await,
            Some(revision) => {
                let watched = core.store.watch(Kind::Weights, revision, WAIT_MS).await;
                watched.map(|changes| take_changes(&core, changes))
            }
        };
        match result {
            Ok(next) => {
                revision = Some(next);
                in_step_since = Some(began);
            }
            Err(error) => {
                revision = None;
                count(&core.metrics.store_failures, "weights");
                info!(core.log, "{}", event::WEIGHTS_NOT_FOLLOWED; "error" => %error);
                time::sleep(Duration::from_millis(PAUSE_MS)).await;
            }
        }
    }
}

/// Whether this router follows the versions itself; else the router that does tells of them.
fn follows(core: &Core, revision: Option<u64>, in_step_since: &mut Option<MonoTime>) -> bool {
    let now = core.now();
    let state = core.state();
    if in_step_since.is_none() || reads::leads(core, &state, now) {
        return true;
    }
    if revision.is_none() {
        // Word from the router that follows is as old as its confirmation of the configuration.
        *in_step_since = (*in_step_since).max(state.reads.configuration.confirmed());
    }
    false
}

async fn list(core: &Core, in_step_since: Option<MonoTime>) -> Result<u64, StoreError> {
    let listing = core.store.list(Kind::Weights).await?;
    let now = core.now();
    let named_by = match in_step_since {
        Some(since) => since,
        None => {
            read_records(core).await?;
            now.minus_ms(UNRECORDED_AGE_MS)
        }
    };
    for object in &listing.objects {
        take(core, object, named_by);
    }
    Ok(listing.revision)
}

fn take_changes(core: &Core, changes: Changes) -> u64 {
    for change in changes.changes {
        if let Change::Set(object) = change {
            take(core, &object, core.now());
        }
    }
    changes.revision
}

fn take(core: &Core, object: &Object, named_by: MonoTime) {
    let named = match weights::decode(&object.spec) {
        Ok(named) => named,
        Err(error) => return log_unreadable(core, &object.name, &error),
    };
    let is_known = {
        let state = core.state();
        state.weights.get(&named.model).is_some_and(|known| known.newest() >= named.version)
    };
    if is_known {
        return;
    }
    core.state().learn_weights(&named.model, named.version, named_by);
    info!(core.log, "{}", event::WEIGHTS_NAMED; "model" => %named.model, "version" => named.version,
        "source" => "store", "age_ms" => core.now().ms_since(named_by));
    core.told.notify_one();
}

async fn read_records(core: &Core) -> Result<(), StoreError> {
    let listing = core.store.list(Kind::Rollouts).await?;
    let (now, now_unix_ms) = (core.now(), core.unix_ms());
    for object in listing.objects {
        let record = match Record::deserialize(&object.spec) {
            Ok(record) => record,
            Err(error) => {
                warn!(core.log, "{}", event::RECORD_LEFT_OUT; "model" => &object.name,
                    "error" => %error);
                continue;
            }
        };
        let model = ModelName::new(&object.name);
        for recorded in record.versions {
            let age_ms = now_unix_ms.saturating_sub(recorded.named_unix_ms);
            let named_by = now.minus_ms(age_ms + CLOCK_TOLERANCE_MS);
            core.state().learn_weights(&model, recorded.version, named_by);
            info!(core.log, "{}", event::WEIGHTS_NAMED; "model" => %model, "version" => recorded.version,
                "source" => "record", "age_ms" => age_ms);
        }
    }
    Ok(())
}

/// Records new versions, whenever this router conducts the rollout.
pub(crate) async fn record(core: Arc<Core>) {
    let mut recorded = std::collections::HashMap::new();
    loop {
        time::sleep(Duration::from_millis(RECORD_MS)).await;
        for (model, newest) in due(&core, &recorded) {
            match write(&core, &model).await {
                Ok(Written::Done { .. }) => {
                    recorded.insert(model, newest);
                }
                // Another router was faster; the next look tries again with what stands there.
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

/// Models whose newest version is not recorded yet.
fn due(core: &Core, recorded: &std::collections::HashMap<ModelName, u64>) -> Vec<(ModelName, u64)> {
    let state = core.state();
    if !conduct::conducts(core, &state, core.now()) {
        return Vec::new();
    }
    let newest = state.weights.iter().map(|(model, named)| (model.clone(), named.newest()));
    newest.filter(|(model, version)| recorded.get(model) != Some(version)).collect()
}

async fn write(core: &Core, model: &ModelName) -> Result<Written, StoreError> {
    let record = json!(record_of(core, model));
    let known = core.store.get(Kind::Rollouts, model.as_str()).await?;
    match known {
        None => core.store.create(Kind::Rollouts, model.as_str(), &record).await,
        Some(object) if object.spec == record => Ok(Written::Done { revision: object.revision }),
        Some(object) => {
            core.store.replace(Kind::Rollouts, model.as_str(), object.revision, &record).await
        }
    }
}

fn record_of(core: &Core, model: &ModelName) -> Record {
    let (now, now_unix_ms) = (core.now(), core.unix_ms());
    let state = core.state();
    let ages = state.weights.get(model).map(|named| named.ages_ms(now).collect::<Vec<_>>());
    let ages = ages.unwrap_or_default();
    let latest = ages.len().saturating_sub(MAX_RECORDED);
    let versions = ages[latest..]
        .iter()
        .map(|(version, age_ms)| RecordedVersion {
            version: *version,
            named_unix_ms: now_unix_ms.saturating_sub(*age_ms),
        })
        .collect();
    Record { versions }
}
