//! Sends load orders to engines that have no sidecar.
//!
//! One router holds a lease in the store that covers all these engines. It reads their reports,
//! publishes them as a sidecar would, and orders the loads that were granted in the rollout of new
//! weights.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use samphirespread_adapter::{
    EngineClient, EngineError, Kind, StoreError, Written,
    engine::{LoadOrder, OrderAnswer, Report},
};
use samphirespread_core::prelude::*;
use samphirespread_logging::event;
use samphirespread_peer::EngineKey;
use samphirespread_routing::lease::{Call, Lease, LeaseRecord, LeaseTimes, Orderer, fencing_token};
use serde_json::json;
use slog::{info, warn};
use tokio::{task::JoinSet, time};

use crate::{
    conduct,
    fleet::{EngineUpdate, Server},
    gateway::Core,
    metrics::count,
    peers, reads,
    state::{Grant, State},
    sync::log_store_failure,
};

/// Time limit of a call to an engine.
pub(crate) const ORDER_TIMEOUT_MS: u64 = 500;
/// Time between two checks of the lease and of the engines.
const LEASE_CHECK_INTERVAL_MS: u64 = 200;
/// An engine has no sidecar if none has reported this long after the engine became known.
const SIDECAR_DETECTION_MS: u64 = 5_000;
/// Time between two reads of an engine's report while it doesn't load.
const REPORT_INTERVAL_MS: u64 = 400;
/// Time between two reads of an engine's report while it loads.
const LOADING_REPORT_INTERVAL_MS: u64 = 50;
/// A report may be this old: it may not show a load that has just begun, nor that the load has
/// ended.
const MAX_REPORT_AGE_MS: u64 = 1_000;
/// Failed reads in a row after which an engine counts as gone.
const FAILURES_UNTIL_GONE: u32 = 2;
/// The name of the lease object in the store.
const LEASE_NAME: &str = "engines";

/// Acquires and renews the lease while there are engines without a sidecar and it is this router's
/// turn to hold it. Runs for as long as the process does.
pub(crate) async fn hold_lease(core: Arc<Core>) {
    let times =
        LeaseTimes { term_ms: core.settings.bounds.order_lease_ms, order_ms: ORDER_TIMEOUT_MS };
    let mut keeper = LeaseKeeper {
        lease: Lease::new(core.name.clone(), times),
        core,
        engines: HashMap::new(),
        engines_epoch: 0,
    };
    loop {
        keeper.check().await;
        time::sleep(Duration::from_millis(LEASE_CHECK_INTERVAL_MS)).await;
    }
}

struct LeaseKeeper {
    core: Arc<Core>,
    lease: Lease,
    /// The engines that are followed, each with its task. Dropping a set ends its task.
    engines: HashMap<Arc<str>, JoinSet<()>>,
    /// The epoch of the lease under which they are followed.
    engines_epoch: u64,
}

/// What this router wants of the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LeaseGoal {
    /// Nothing.
    None,
    /// To read its epoch, which is needed to conduct a rollout.
    LearnEpoch,
    /// To acquire and keep it.
    Hold,
}

impl LeaseKeeper {
    async fn check(&mut self) {
        let now = self.core.now();
        let goal = goal(&self.core, &self.core.state(), self.lease.epoch().is_some(), now);
        if goal == LeaseGoal::None && self.lease.epoch().is_some() {
            // This router sends no more orders. The next holder waits until the term has run out.
            self.lease.record_failure();
        }
        if goal != LeaseGoal::None {
            self.make_next_call(goal).await;
        }
        self.update_holds_orders();
        self.follow_engines(goal == LeaseGoal::Hold);
    }

    async fn make_next_call(&mut self, goal: LeaseGoal) {
        let began = self.core.now();
        let Some(call) = self.lease.next_call(began) else { return };
        if goal == LeaseGoal::LearnEpoch && call != Call::Read {
            return;
        }
        let result = self.call(&call, began).await;
        if let Err(error) = result {
            self.lease.record_failure();
            log_store_failure(&self.core, "order_lease", &error);
        }
    }

    async fn call(&mut self, call: &Call, began: MonoTime) -> Result<(), StoreError> {
        let store = &self.core.store;
        let (written, record) = match call {
            Call::Read => return self.read().await,
            Call::Create(record) => {
                (store.create(Kind::OrderLeases, LEASE_NAME, &json!(record)).await?, record)
            }
            Call::Replace { at, record } => {
                let spec = json!(record);
                (store.replace(Kind::OrderLeases, LEASE_NAME, *at, &spec).await?, record)
            }
        };
        match written {
            Written::Done { position } => {
                let now = self.core.now();
                let is_new = self.lease.epoch() != Some(record.epoch);
                self.lease.record_write(position, record, began, now);
                if is_new {
                    info!(self.core.log, "{}", event::ORDERS_TAKEN; "epoch" => record.epoch);
                }
                self.learn_epoch(record.epoch);
            }
            Written::Conflict | Written::Missing => self.lease.record_failure(),
        }
        Ok(())
    }

    async fn read(&mut self) -> Result<(), StoreError> {
        let Some(object) =
            self.core.store.get::<LeaseRecord>(Kind::OrderLeases, LEASE_NAME).await?
        else {
            self.lease.record_absent();
            self.learn_epoch(0);
            return Ok(());
        };
        match object.spec {
            Ok(record) => {
                self.lease.record_read(object.position, &record, self.core.now());
                self.learn_epoch(record.epoch);
            }
            Err(error) => {
                self.lease.record_failure();
                warn!(self.core.log, "{}", event::RECORD_LEFT_OUT; "model" => LEASE_NAME, "error" => %error);
            }
        }
        Ok(())
    }

    fn learn_epoch(&self, epoch: u64) {
        let mut state = self.core.state();
        state.orders_epoch = state.orders_epoch.max(Some(epoch));
    }

    fn update_holds_orders(&self) {
        let holds = self.lease.permit(self.core.now()).is_some();
        let held_before = std::mem::replace(&mut self.core.state().holds_orders, holds);
        if held_before && !holds {
            info!(self.core.log, "{}", event::ORDERS_GIVEN_UP; "epoch" => self.lease.epoch());
        }
    }

    /// Starts a task for each engine without a sidecar, and ends the tasks of all others.
    ///
    /// Also stores the permit as it is now. The tasks check it again right before each order.
    fn follow_engines(&mut self, wants: bool) {
        let Some(epoch) = self.lease.epoch().filter(|_| wants) else { return self.engines.clear() };
        let now = self.core.now();
        let permit_ends = self.lease.permit_ends();
        let engines: Vec<(Arc<str>, SocketAddr)> = {
            let mut state = self.core.state();
            state.permit = permit_ends.map(|(from, until)| Permit { epoch, from, until });
            let engines = conduct::engines(&state, now).filter(|server| lacks_sidecar(server, now));
            engines.map(|server| (server.entry.id.clone(), server.entry.address)).collect()
        };
        if std::mem::replace(&mut self.engines_epoch, epoch) != epoch {
            self.engines.clear();
        }
        self.engines.retain(|id, _| engines.iter().any(|(known, _)| known == id));
        for (id, address) in engines {
            let core = self.core.clone();
            self.engines.entry(id.clone()).or_insert_with(|| {
                let mut task = JoinSet::new();
                task.spawn(EngineFollower::new(core, id, address, epoch).run());
                task
            });
        }
    }
}

/// The time in which this router may send orders to engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Permit {
    /// The epoch of the lease that this permit comes from.
    pub(crate) epoch: u64,
    /// The start of the time.
    pub(crate) from: MonoTime,
    /// The end of the time, exclusive.
    pub(crate) until: MonoTime,
}

impl Permit {
    fn is_valid_at(self, now: MonoTime) -> bool {
        self.from <= now && now < self.until
    }
}

fn goal(core: &Core, state: &State, holds: bool, now: MonoTime) -> LeaseGoal {
    let is_able = state.reads.is_up() && state.table.is_some() && !state.is_draining;
    let is_needed = conduct::engines(state, now).any(|server| lacks_sidecar(server, now));
    let reads_for_all = reads::reads_for_all(core, state, now);
    if is_able && is_needed && (holds || reads_for_all) {
        return LeaseGoal::Hold;
    }
    let may_conduct = state.orders_epoch.is_none() && state.table.is_some();
    if may_conduct && (reads_for_all || conduct::is_conductor(core, state, now)) {
        LeaseGoal::LearnEpoch
    } else {
        LeaseGoal::None
    }
}

/// Whether no sidecar has reported on the engine although there was time for it.
fn lacks_sidecar(server: &Server, now: MonoTime) -> bool {
    !server.has_sidecar && now.ms_since(server.known_since) >= SIDECAR_DETECTION_MS
}

/// Reads the reports of one engine without a sidecar, and sends it orders.
struct EngineFollower {
    core: Arc<Core>,
    id: Arc<str>,
    address: SocketAddr,
    epoch: u64,
    engine: EngineClient,
    sequence: u64,
    failures: u32,
    /// The last order that the engine accepted.
    last_accepted: Option<AcceptedOrder>,
}

/// An order that the engine accepted.
#[derive(Clone, Copy, Debug)]
struct AcceptedOrder {
    version: u64,
    at: MonoTime,
}

impl EngineFollower {
    fn new(core: Arc<Core>, id: Arc<str>, address: SocketAddr, epoch: u64) -> Self {
        let engine = EngineClient::new(address, ORDER_TIMEOUT_MS);
        Self { core, id, address, epoch, engine, sequence: 0, failures: 0, last_accepted: None }
    }

    async fn run(mut self) {
        loop {
            let report = match self.engine.report().await {
                Ok(report) => Some(report),
                Err(error) => {
                    self.failures += 1;
                    if self.failures == FAILURES_UNTIL_GONE {
                        warn!(self.core.log, "{}", event::ENGINE_LOST; "server" => &*self.id, "error" => %error,
                            "failures" => self.failures);
                    }
                    None
                }
            };
            let is_loading = report.as_ref().is_some_and(|report| self.counts_as_loading(report));
            if let Some(report) = &report {
                self.failures = 0;
                self.publish_report(report, is_loading);
            } else if self.failures >= FAILURES_UNTIL_GONE {
                self.publish_state(None);
            }
            let has_ordered = match &report {
                Some(report) => self.order_if_granted(report).await,
                None => false,
            };
            let pause_ms = if is_loading || has_ordered {
                LOADING_REPORT_INTERVAL_MS
            } else {
                REPORT_INTERVAL_MS
            };
            self.wait_for_next_read(pause_ms).await;
        }
    }

    /// Whether the engine loads, according to its report or because it has accepted an order that
    /// the report may be too old to show.
    fn counts_as_loading(&self, report: &Report) -> bool {
        let now = self.core.now();
        let may_be_unreported = |last_accepted: &AcceptedOrder| {
            let is_recent = now.ms_since(last_accepted.at) < MAX_REPORT_AGE_MS;
            is_recent && report.state.models.iter().all(|held| held.version < last_accepted.version)
        };
        report.state.is_loading || self.last_accepted.as_ref().is_some_and(may_be_unreported)
    }

    /// Waits until the next report is due, or until a load is granted.
    async fn wait_for_next_read(&self, pause_ms: u64) {
        let end = self.core.now().plus_ms(pause_ms);
        while self.core.now() < end {
            time::sleep(Duration::from_millis(LOADING_REPORT_INTERVAL_MS)).await;
            if pause_ms > LOADING_REPORT_INTERVAL_MS && self.granted().is_some() {
                return;
            }
        }
    }

    fn granted(&self) -> Option<Grant> {
        self.core.state().granted.get(&self.id).cloned()
    }

    fn publish_report(&mut self, report: &Report, is_loading: bool) {
        let mut state = report.state.clone();
        state.is_loading = is_loading;
        self.publish_state(Some(state));
    }

    fn publish_state(&mut self, engine: Option<samphirespread_routing::model::EngineState>) {
        self.sequence += 1;
        let now = self.core.now();
        let update = EngineUpdate {
            engine: EngineKey::EngineAddress(self.address),
            incarnation: Incarnation(self.epoch),
            sequence: self.sequence,
            state: engine,
            published: now,
        };
        peers::publish_update(&self.core, &mut self.core.state(), update, now);
    }

    /// Sends an order for the granted load, if there is one and the permit allows it. Returns
    /// whether an order was sent.
    async fn order_if_granted(&mut self, report: &Report) -> bool {
        let Some(grant) = self.granted() else { return false };
        if self.counts_as_loading(report) || !report.state.is_older(&grant.model, grant.version) {
            return false;
        }
        // Other routers have to know that the engine loads before it begins.
        self.publish_report(report, true);
        let now = self.core.now();
        if !self.is_permitted(now) {
            return false;
        }
        let order = LoadOrder {
            model: &grant.model,
            version: grant.version,
            holder: self.core.name.as_str(),
            fencing_token: fencing_token(self.epoch, Orderer::Holder, grant.version),
            after_orders: report.orders_accepted,
        };
        let result = self.engine.order(&self.id, &order).await;
        if matches!(result, Ok(OrderAnswer::Accepted | OrderAnswer::AlreadyHolds)) {
            self.last_accepted = Some(AcceptedOrder { version: grant.version, at: now });
        }
        self.log_order(&grant, report, &result);
        true
    }

    /// Whether this router may send the engine an order now. If so, records the time of the order.
    fn is_permitted(&self, now: MonoTime) -> bool {
        let mut state = self.core.state();
        let permit =
            state.permit.filter(|permit| permit.epoch == self.epoch && permit.is_valid_at(now));
        let Some(server) = state.fleet.get_mut(&self.id).filter(|_| permit.is_some()) else {
            return false;
        };
        server.ordered = Some(now);
        true
    }

    fn log_order(&self, grant: &Grant, report: &Report, result: &Result<OrderAnswer, EngineError>) {
        match result {
            Ok(answer @ (OrderAnswer::Accepted | OrderAnswer::AlreadyHolds)) => {
                info!(self.core.log, "{}", event::ORDER_GIVEN; "server" => &*self.id, "model" => %grant.model,
                    "version" => grant.version, "after_orders" => report.orders_accepted, "answer" => ?answer);
            }
            Ok(answer) => {
                warn!(self.core.log, "{}", event::ORDER_REFUSED; "server" => &*self.id, "model" => %grant.model,
                    "version" => grant.version, "after_orders" => report.orders_accepted, "answer" => ?answer);
            }
            Err(error) => {
                count(&self.core.metrics.store_failures, "engine_order");
                warn!(self.core.log, "{}", event::ORDER_UNANSWERED; "server" => &*self.id, "model" => %grant.model,
                    "version" => grant.version, "after_orders" => report.orders_accepted, "error" => %error);
            }
        }
    }
}
