//! Keeps a record of the versions of servers' software in the store, for routers that have just
//! started.
//!
//! Such a router doesn't know which versions there were while the streams began that its callers take
//! up. If all routers were killed at once, nobody else does. The record changes only when a version
//! appears, and when one is forgotten.

use std::{sync::Arc, time::Duration};

use samphirespread_adapter::{Kind, StoreError, Written};
use samphirespread_core::prelude::*;
use samphirespread_routing::software::SoftwareRecord;
use serde_json::json;
use tokio::time;

use crate::{gateway::Core, metrics::count, reads, sync::log_unreadable};

/// The name of the only object of its kind.
const RECORD_NAME: &str = "versions";
/// Time between two checks of whether the record has to change. Streams begin at a new version only
/// after a longer time.
const CHECK_INTERVAL_MS: u64 = 250;

/// Reads the record, and then keeps it while this router reads the store for all, for as long as the
/// process runs.
pub(crate) async fn keep(core: Arc<Core>) {
    let mut written: Option<SoftwareRecord> = None;
    loop {
        if let Err(error) = read_or_write(&core, &mut written).await {
            count(&core.metrics.store_failures, "software_record");
            log_unreadable_record(&core, &error);
        }
        time::sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
    }
}

fn log_unreadable_record(core: &Core, error: &StoreError) {
    if let StoreError::Malformed(error) = error {
        log_unreadable(core, "software versions", error);
    }
}

async fn read_or_write(
    core: &Core,
    written: &mut Option<SoftwareRecord>,
) -> Result<(), StoreError> {
    let (has_read, record) = {
        let now = core.now();
        let state = core.state();
        let keeps = reads::reads_for_all(core, &state, now) && state.has_fleet;
        let keeps = keeps && state.table.is_some() && state.reads.is_up();
        (state.software.has_record(), keeps.then(|| state.software.record(now)))
    };
    if !has_read {
        let known = read(core).await?;
        core.state().software.set_record(known.map(|(_, record)| record).unwrap_or_default());
        return Ok(());
    }
    let Some(record) = record else {
        // Another router may change it from now on.
        *written = None;
        return Ok(());
    };
    if written.as_ref() != Some(&record) && write(core, &record).await? {
        *written = Some(record);
    }
    Ok(())
}

/// Returns the record and its position; `None` if there is none that can be used.
async fn read(core: &Core) -> Result<Option<(StorePosition, SoftwareRecord)>, StoreError> {
    let Some(object) =
        core.store.get::<SoftwareRecord>(Kind::SoftwareVersions, RECORD_NAME).await?
    else {
        return Ok(None);
    };
    Ok(Some((object.position, object.spec.unwrap_or_default())))
}

/// Writes the record. Returns false if another router wrote at the same time.
async fn write(core: &Core, record: &SoftwareRecord) -> Result<bool, StoreError> {
    let spec = json!(record);
    let written = match read(core).await? {
        None => core.store.create(Kind::SoftwareVersions, RECORD_NAME, &spec).await?,
        Some((_, known)) if known == *record => return Ok(true),
        Some((position, _)) => {
            core.store.replace(Kind::SoftwareVersions, RECORD_NAME, position, &spec).await?
        }
    };
    Ok(matches!(written, Written::Done { .. }))
}
