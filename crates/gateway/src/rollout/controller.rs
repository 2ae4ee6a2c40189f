//! Reads the orders to move services to new versions, and writes the verdicts on them.

use std::{collections::HashMap, sync::Arc, time::Duration};

use samphirespread_adapter::{
    DecodeError, EncodedObject, Kind, StoreError, Written, service_rollouts,
};
use samphirespread_core::prelude::*;
use samphirespread_logging::event;
use samphirespread_routing::{
    canary::{Phase, RolloutOrder},
    model::ServiceName,
};
use serde_json::Value;
use slog::{info, warn};
use tokio::{task::JoinSet, time};

use super::{Advance, OrdersRead, PhaseChange};
use crate::{
    gateway::Core,
    metrics::count,
    reads,
    state::{OtherRouter, State},
    sync::log_unreadable,
};

/// Time between two looks at the evidence.
const CHECK_INTERVAL_MS: u64 = 100;
/// A router reads the orders itself if their copies are not confirmed for this much longer than the
/// time between two reads.
const UNCONFIRMED_GRACE_MS: u64 = 900;
/// A router that doesn't read for all waits this long for news of the orders, before it reads them to
/// learn whether one names a version that is new on the list.
const NEWS_WAIT_MS: u64 = 700;
/// Orders that the store has lost, as it came back from an older copy, are written again within this
/// time.
const LOST_ORDER_GRACE_MS: u64 = 2_000;
/// Pause after a failed call.
const RETRY_PAUSE_MS: u64 = 300;

/// Follows the orders for as long as the process runs.
///
/// The evidence is looked at by a task of its own, so that a store that doesn't answer delays no
/// verdict of this process.
pub(crate) async fn control(core: Arc<Core>) {
    let mut analysis = JoinSet::new();
    analysis.spawn(analyse(core.clone()));
    let mut controller = Controller {
        core,
        orders: HashMap::new(),
        next_call: MonoTime::ZERO,
        era: None,
        keep_missing_until: MonoTime::ZERO,
    };
    loop {
        time::sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
        if !controller.core.state().rollouts.is_enabled() {
            continue;
        }
        if controller.is_read_due() {
            controller.read().await;
        }
        for (order, verdict) in advance(&controller.core).verdicts {
            controller.write_verdict(&order, verdict).await;
        }
    }
}

/// Looks at the evidence, for as long as the process runs.
async fn analyse(core: Arc<Core>) {
    loop {
        time::sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
        advance(&core);
    }
}

/// Counts this router's evidence and takes the steps that all evidence allows.
fn advance(core: &Core) -> Advance {
    let decides = decides(core);
    let now = core.now();
    let mut advance = {
        let mut state = core.state();
        if !state.rollouts.is_enabled() {
            return Advance::default();
        }
        let hears_most = hears_most(&state, now);
        let state = &mut *state;
        let own = (&core.name, core.incarnation);
        state.rollouts.advance(own, &state.fleet, hears_most, decides, now)
    };
    let changes = std::mem::take(&mut advance.changes);
    if !changes.is_empty() {
        core.wake_publisher.notify_one();
    }
    log_changes(core, changes);
    advance
}

/// Whether this router hears at least half of the others.
pub(crate) fn hears_most(state: &State, now: MonoTime) -> bool {
    let hears = |router: &&OtherRouter| router.recent_state(now).is_some();
    let heard = state.routers.values().filter(hears).count();
    2 * heard >= state.routers.len()
}

/// Whether this router is the one that releases versions and writes verdicts.
pub(crate) fn decides(core: &Core) -> bool {
    let now = core.now();
    let state = core.state();
    state.reads.is_up() && reads::reads_for_all(core, &state, now) && !state.is_draining
}

/// An order as the store holds it.
struct StoredOrder {
    name: String,
    position: StorePosition,
    status: Value,
    order: Result<RolloutOrder, DecodeError>,
}

impl StoredOrder {
    fn decode(entry: &EncodedObject<'_>) -> Self {
        Self {
            name: entry.name.to_owned(),
            position: entry.position,
            status: service_rollouts::decode_status(entry),
            order: service_rollouts::decode(entry),
        }
    }
}

struct Controller {
    core: Arc<Core>,
    /// The orders as this router last read them.
    orders: HashMap<ServiceName, StoredOrder>,
    /// No call is made before this time, after one has failed.
    next_call: MonoTime,
    /// The era of the store at the last read.
    era: Option<u64>,
    /// Orders that are missing in the store are kept until then.
    keep_missing_until: MonoTime,
}

impl Controller {
    fn is_read_due(&self) -> bool {
        let now = self.core.now();
        if now < self.next_call {
            return false;
        }
        let poll_ms = self.core.settings.store.poll_ms;
        let state = self.core.state();
        let Some(age_ms) = state.rollouts.read_age_ms(now) else { return true };
        let awaits_read = state.rollouts.awaits_read();
        if reads::reads_for_all(&self.core, &state, now) {
            return age_ms >= poll_ms || awaits_read;
        }
        age_ms >= poll_ms + UNCONFIRMED_GRACE_MS || (awaits_read && age_ms >= NEWS_WAIT_MS)
    }

    async fn read(&mut self) {
        let began = self.core.now();
        let decode = |entry: &EncodedObject<'_>| Some(StoredOrder::decode(entry));
        let listing = match self.core.store.list(Kind::ServiceRollouts, decode).await {
            Ok(listing) => listing,
            Err(error) => return self.record_failure(&error),
        };
        for error in &listing.unreadable {
            log_unreadable(&self.core, "roll-out", error);
        }
        let mut orders = HashMap::new();
        let mut read = OrdersRead::default();
        for stored in listing.objects {
            match &stored.order {
                Ok(order) => {
                    let verdict = service_rollouts::recorded_verdict(order, &stored.status);
                    read.orders.push((order.clone(), verdict));
                    orders.insert(order.service.clone(), stored);
                }
                Err(error) => {
                    read.kept.insert(stored.name.as_str().into());
                    self.report_bad_order(&stored, error).await;
                }
            }
        }
        self.orders = orders;
        let now = self.core.now();
        let era = self.era.replace(listing.position.era());
        if era.is_some_and(|era| era != listing.position.era()) {
            self.keep_missing_until = now.plus_ms(LOST_ORDER_GRACE_MS);
        }
        // An entry that can't be read at all may be any order.
        read.keeps_missing = now < self.keep_missing_until || !listing.unreadable.is_empty();
        let changes = self.core.state().rollouts.apply_read(read, began, now);
        if !changes.is_empty() {
            self.core.wake_publisher.notify_one();
        }
        log_changes(&self.core, changes);
        self.write_missing_status().await;
    }

    /// Marks the orders that are carried out, if this router decides on them. A verdict that the store
    /// has lost is written again.
    async fn write_missing_status(&mut self) {
        if !decides(&self.core) {
            return;
        }
        let mut missing = Vec::new();
        {
            let state = self.core.state();
            for stored in self.orders.values() {
                let Ok(order) = &stored.order else { continue };
                let has_verdict =
                    service_rollouts::recorded_verdict(order, &stored.status).is_some();
                let known = state.rollouts.phase(order).filter(|phase| phase.is_final());
                let status = service_rollouts::status(order, known.unwrap_or(Phase::Canary));
                if !has_verdict && stored.status != status {
                    missing.push((order.service.clone(), status));
                }
            }
        }
        for (service, status) in missing {
            if let Err(error) = self.write_status(&service, &status).await {
                self.record_failure(&error);
            }
        }
    }

    async fn report_bad_order(&mut self, stored: &StoredOrder, error: &DecodeError) {
        log_unreadable(&self.core, &stored.name, error);
        let status = service_rollouts::status_of_error(error, &stored.status);
        if stored.status == status || !decides(&self.core) {
            return;
        }
        let at = stored.position;
        let kind = Kind::ServiceRollouts;
        let written = self.core.store.replace_status(kind, &stored.name, at, &status).await;
        if let Err(error) = written {
            self.record_failure(&error);
        }
    }

    /// Writes a verdict, unless the store holds one already.
    async fn write_verdict(&mut self, order: &RolloutOrder, verdict: Phase) {
        if self.core.now() < self.next_call {
            return;
        }
        let status = service_rollouts::status(order, verdict);
        match self.write_status(&order.service, &status).await {
            Ok(true) => {
                let now = self.core.now();
                let change = self.core.state().rollouts.record_verdict(order, verdict, now);
                self.core.wake_publisher.notify_one();
                log_changes(&self.core, change.into_iter().collect());
            }
            // Something has changed the order: the next read shows what.
            Ok(false) => self.read().await,
            Err(error) => self.record_failure(&error),
        }
    }

    /// Writes the status of an order if the order is as this router last read it.
    async fn write_status(
        &mut self,
        service: &ServiceName,
        status: &Value,
    ) -> Result<bool, StoreError> {
        let Some(stored) = self.orders.get_mut(service) else { return Ok(false) };
        let (kind, at) = (Kind::ServiceRollouts, stored.position);
        match self.core.store.replace_status(kind, &stored.name, at, status).await? {
            Written::Done { position } => {
                stored.position = position;
                stored.status = status.clone();
                Ok(true)
            }
            Written::Conflict | Written::Missing => Ok(false),
        }
    }

    fn record_failure(&mut self, error: &StoreError) {
        count(&self.core.metrics.store_failures, "rollouts");
        info!(self.core.log, "{}", event::SERVICE_ROLLOUT_CALL_FAILED; "error" => %error);
        self.next_call = self.core.now().plus_ms(RETRY_PAUSE_MS);
    }
}

/// Logs the phases that roll-outs enter.
pub(crate) fn log_changes(core: &Core, changes: Vec<PhaseChange>) {
    for PhaseChange { order, phase, answers, bad } in changes {
        let (service, version) = (&*order.service, &*order.version);
        count(&core.metrics.rollout_phases, phase_name(phase));
        if phase.is_withdrawn() {
            warn!(core.log, "{}", event::SERVICE_ROLLOUT; "service" => service,
                "software" => version, "phase" => phase_name(phase), "answers" => answers, "bad" => bad);
        } else {
            info!(core.log, "{}", event::SERVICE_ROLLOUT; "service" => service,
                "software" => version, "phase" => phase_name(phase), "answers" => answers, "bad" => bad);
        }
    }
}

pub(super) fn phase_name(phase: Phase) -> &'static str {
    match phase {
        Phase::Canary => "canary",
        Phase::Ramp { .. } => "ramp",
        Phase::Halted => "halted",
        Phase::Completed => "completed",
        Phase::RolledBack => "rolled_back",
    }
}
