//! Keeps verdicts in the store, for routers that start when no other one is left that knows them.

use std::{sync::Arc, time::Duration};

use samphirespread_adapter::{Kind, StoreError, Written};
use samphirespread_core::prelude::*;
use samphirespread_logging::event;
use samphirespread_routing::crash_causes::VerdictRecord;
use serde_json::json;
use slog::info;
use tokio::time;

use crate::{gateway::Core, metrics::count, reads};

/// The name of the only object of its kind.
const RECORD_NAME: &str = "verdicts";
/// Time between two checks of whether the record has to change.
const CHECK_INTERVAL_MS: u64 = 250;
/// The same while there has been no crash.
const CALM_CHECK_INTERVAL_MS: u64 = 1_000;

/// Reads the record, and then keeps it while this router reads the store for all, for as long as the
/// process runs.
pub(crate) async fn keep_verdicts(core: Arc<Core>) {
    let mut keeper = Keeper { core, has_read: false, stored: None, era: 0 };
    loop {
        if keeper.read_or_write().await.is_err() {
            count(&keeper.core.metrics.store_failures, "crash_verdicts");
        }
        time::sleep(Duration::from_millis(keeper.check_interval_ms())).await;
    }
}

struct Keeper {
    core: Arc<Core>,
    /// Whether this router knows what those before it had refused.
    has_read: bool,
    /// What is in the store, while nobody else writes.
    stored: Option<VerdictRecord>,
    /// The store's era in which that was so.
    era: u64,
}

impl Keeper {
    fn check_interval_ms(&self) -> u64 {
        let is_calm = self.has_read && self.core.state().crash_causes.is_empty();
        if is_calm { CALM_CHECK_INTERVAL_MS } else { CHECK_INTERVAL_MS }
    }

    async fn read_or_write(&mut self) -> Result<(), StoreError> {
        if !self.has_read {
            let record = self.read().await?.map(|(_, record)| record).unwrap_or_default();
            self.apply(&record);
            self.has_read = true;
            return Ok(());
        }
        let Some(record) = self.record_to_keep() else {
            // Another router may change it from now on.
            self.stored = None;
            return Ok(());
        };
        let era = self.core.store.latest_era();
        if self.era != era {
            // A store that was restored from a copy may have an older record.
            self.stored = None;
        }
        if self.stored.as_ref().is_some_and(|stored| stored.is_alike(&record)) {
            return Ok(());
        }
        if self.write(&record).await? {
            self.stored = Some(record);
            self.era = era;
        }
        Ok(())
    }

    fn apply(&self, record: &VerdictRecord) {
        let unix_ms = self.core.unix_ms();
        let now = self.core.now();
        let effects = self.core.state().crash_causes.apply_record(record, now, unix_ms);
        if !effects.is_empty() {
            info!(self.core.log, "{}", event::CRASH_VERDICTS_READ; "verdicts" => effects.len());
        }
    }

    /// What the store has to hold, if this router writes it and there has been a crash.
    fn record_to_keep(&self) -> Option<VerdictRecord> {
        let unix_ms = self.core.unix_ms();
        let now = self.core.now();
        let state = self.core.state();
        let keeps = reads::reads_for_all(&self.core, &state, now) && state.reads.is_up();
        let is_needed = keeps && !state.crash_causes.is_empty();
        is_needed.then(|| state.crash_causes.record(now, unix_ms))
    }

    /// Returns the record and its position; `None` if there is none. One that can't be read is empty.
    async fn read(&self) -> Result<Option<(StorePosition, VerdictRecord)>, StoreError> {
        let Some(object) =
            self.core.store.get::<VerdictRecord>(Kind::CrashVerdicts, RECORD_NAME).await?
        else {
            return Ok(None);
        };
        Ok(Some((object.position, object.spec.unwrap_or_default())))
    }

    /// Writes the record. Returns false if another router wrote at the same time.
    async fn write(&self, record: &VerdictRecord) -> Result<bool, StoreError> {
        let store = &self.core.store;
        let spec = json!(record);
        let written = match self.read().await? {
            None if record.is_empty() => return Ok(true),
            None => store.create(Kind::CrashVerdicts, RECORD_NAME, &spec).await?,
            Some((_, known)) if known.is_alike(record) => return Ok(true),
            Some((position, _)) => {
                store.replace(Kind::CrashVerdicts, RECORD_NAME, position, &spec).await?
            }
        };
        let is_written = matches!(written, Written::Done { .. });
        if is_written {
            info!(self.core.log, "{}", event::CRASH_VERDICTS_WRITTEN; "verdicts" => record.len());
        }
        Ok(is_written)
    }
}
