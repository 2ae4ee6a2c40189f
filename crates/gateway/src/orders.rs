//! Orders to engines that have no process beside them.
//!
//! One router holds a lease in the store for all of them. It reads their reports, publishes them like a sidecar
//! would, and orders the loads that it grants as the conductor of the rollout.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use samphirespread_adapter::{
    EngineClient, EngineError, Kind, StoreError, Written,
    engine::{LoadOrder, OrderAnswer, Report},
};
use samphirespread_core::prelude::*;
use samphirespread_logging::event;
use samphirespread_peer::EngineKey;
use samphirespread_routing::lease::{Call, Lease, LeaseRecord, LeaseTimes, Orderer, fencing_token};
use serde::Deserialize;
use serde_json::json;
use slog::{info, warn};
use tokio::{task::JoinSet, time};

use crate::{
    conduct,
    fleet::{EngineWord, Server},
    gateway::Core,
    metrics::count,
    peers, reads,
    state::{Grant, State},
    sync::log_failed,
};

/// A call to an engine fails after this.
pub(crate) const ORDER_TIMEOUT_MS: u64 = 500;
/// Time between two looks at the lease and at the engines.
const LOOK_MS: u64 = 200;
/// An engine whose sidecar was not heard for this long since it was first known has none.
const SIDECAR_AWAITED_MS: u64 = 5_000;
/// Time between two reads of an engine's report.
const REPORT_MS: u64 = 400;
/// The same while it loads.
const LOADING_REPORT_MS: u64 = 50;
/// A report may be this old, and shows neither a load that has just begun nor its end.
const REPORT_LAG_MS: u64 = 1_000;
/// Reads in a row that fail before an engine counts as gone.
const FAILURES_UNTIL_GONE: u32 = 2;
/// The name of the one lease.
const LEASE_NAME: &str = "engines";

/// Holds the lease while there are engines without a sidecar and this router is the one to do so.
pub(crate) async fn hold(core: Arc<Core>) {
    let times =
        LeaseTimes { term_ms: core.settings.bounds.order_lease_ms, order_ms: ORDER_TIMEOUT_MS };
    let mut holder = Holder {
        lease: Lease::new(core.name.clone(), times),
        core,
        engines: HashMap::new(),
        engines_epoch: 0,
    };
    loop {
        holder.look().await;
        time::sleep(Duration::from_millis(LOOK_MS)).await;
    }
}

struct Holder {
    core: Arc<Core>,
    lease: Lease,
    /// The engines that are followed under one epoch; dropping a set ends its task.
    engines: HashMap<Arc<str>, JoinSet<()>>,
    engines_epoch: u64,
}

/// What a router does about the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Wish {
    /// Nothing.
    None,
    /// To know its epoch before it conducts a rollout.
    Epoch,
    /// To hold it.
    Hold,
}

impl Holder {
    async fn look(&mut self) {
        let now = self.core.now();
        let wish = wish(&self.core, &self.core.state(), self.lease.epoch().is_some(), now);
        if wish == Wish::None && self.lease.epoch().is_some() {
            // Nothing is ordered any more; whoever wants the lease next waits for its term.
            self.lease.record_failure();
        }
        if wish != Wish::None {
            self.advance(wish).await;
        }
        self.note_standing();
        self.follow_engines(wish == Wish::Hold);
    }

    async fn advance(&mut self, wish: Wish) {
        let began = self.core.now();
        let Some(call) = self.lease.next_call(began) else { return };
        if wish == Wish::Epoch && call != Call::Read {
            return;
        }
        let answered = self.call(&call, began).await;
        if let Err(error) = answered {
            self.lease.record_failure();
            log_failed(&self.core, "order_lease", &error);
        }
    }

    async fn call(&mut self, call: &Call, began: MonoTime) -> Result<(), StoreError> {
        let store = &self.core.store;
        let (written, record) = match call {
            Call::Read => return self.read().await,
            Call::Create(record) => {
                (store.create(Kind::OrderLeases, LEASE_NAME, &json!(record)).await?, record)
            }
            Call::Replace { revision, record } => {
                let spec = json!(record);
                (store.replace(Kind::OrderLeases, LEASE_NAME, *revision, &spec).await?, record)
            }
        };
        match written {
            Written::Done { revision } => {
                let now = self.core.now();
                let is_new = self.lease.epoch() != Some(record.epoch);
                self.lease.record_write(revision, record, began, now);
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
        let Some(object) = self.core.store.get(Kind::OrderLeases, LEASE_NAME).await? else {
            self.lease.record_absent();
            self.learn_epoch(0);
            return Ok(());
        };
        match LeaseRecord::deserialize(&object.spec) {
            Ok(record) => {
                self.lease.record_read(object.revision, &record, self.core.now());
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

    fn note_standing(&self) {
        let holds = self.lease.permit(self.core.now()).is_some();
        let held_before = std::mem::replace(&mut self.core.state().holds_orders, holds);
        if held_before && !holds {
            info!(self.core.log, "{}", event::ORDERS_GIVEN_UP; "epoch" => self.lease.epoch());
        }
    }

    /// Follows the engines without a sidecar. Their tasks order under the permission as it was at this look,
    /// and look at it again right before.
    fn follow_engines(&mut self, wants: bool) {
        let Some(epoch) = self.lease.epoch().filter(|_| wants) else { return self.engines.clear() };
        let now = self.core.now();
        let permit_ends = self.lease.permit_ends();
        let engines: Vec<(Arc<str>, SocketAddr)> = {
            let mut state = self.core.state();
            state.permit = permit_ends.map(|(from, until)| Permit { epoch, from, until });
            let engines = conduct::engines(&state).filter(|server| lacks_sidecar(server, now));
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
                task.spawn(Follower::new(core, id, address, epoch).run());
                task
            });
        }
    }
}

/// When this router may order engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Permit {
    /// The epoch of the lease.
    pub(crate) epoch: u64,
    /// From when on an order may be sent.
    pub(crate) from: MonoTime,
    /// Until when.
    pub(crate) until: MonoTime,
}

impl Permit {
    fn holds(self, now: MonoTime) -> bool {
        self.from <= now && now < self.until
    }
}

fn wish(core: &Core, state: &State, holds: bool, now: MonoTime) -> Wish {
    let is_able = state.reads.is_up && state.table.is_some() && !state.is_draining;
    let is_needed = conduct::engines(state).any(|server| lacks_sidecar(server, now));
    let leads = reads::leads(core, state, now);
    if is_able && is_needed && (holds || leads) {
        return Wish::Hold;
    }
    let may_conduct = state.orders_epoch.is_none() && state.table.is_some();
    if may_conduct && (leads || conduct::conducts(core, state, now)) {
        Wish::Epoch
    } else {
        Wish::None
    }
}

/// Whether no process beside the engine was heard although there was time for it.
fn lacks_sidecar(server: &Server, now: MonoTime) -> bool {
    !server.has_sidecar && now.ms_since(server.known_since) >= SIDECAR_AWAITED_MS
}

/// Reads the reports of one engine, and gives it orders.
struct Follower {
    core: Arc<Core>,
    id: Arc<str>,
    address: SocketAddr,
    epoch: u64,
    engine: EngineClient,
    sequence: u64,
    failures: u32,
    /// The last order that the engine took.
    taken: Option<Taken>,
}

/// An order that the engine took.
#[derive(Clone, Copy, Debug)]
struct Taken {
    version: u64,
    at: MonoTime,
}

impl Follower {
    fn new(core: Arc<Core>, id: Arc<str>, address: SocketAddr, epoch: u64) -> Self {
        let engine = EngineClient::new(address, ORDER_TIMEOUT_MS);
        Self { core, id, address, epoch, engine, sequence: 0, failures: 0, taken: None }
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
            let is_loading = report.as_ref().is_some_and(|report| self.loads(report));
            if let Some(report) = &report {
                self.failures = 0;
                self.tell(report, is_loading);
            } else if self.failures >= FAILURES_UNTIL_GONE {
                self.publish(None);
            }
            let has_ordered = match &report {
                Some(report) => self.order_if_granted(report).await,
                None => false,
            };
            let pause_ms = if is_loading || has_ordered { LOADING_REPORT_MS } else { REPORT_MS };
            self.rest(pause_ms).await;
        }
    }

    /// Whether the engine loads, by its report or by what it was ordered since that was made.
    fn loads(&self, report: &Report) -> bool {
        let now = self.core.now();
        let is_due = |taken: &Taken| {
            let is_recent = now.ms_since(taken.at) < REPORT_LAG_MS;
            is_recent && report.state.models.iter().all(|held| held.version < taken.version)
        };
        report.state.is_loading || self.taken.as_ref().is_some_and(is_due)
    }

    /// Waits for the next read, or for a grant.
    async fn rest(&self, pause_ms: u64) {
        let end = self.core.now().plus_ms(pause_ms);
        while self.core.now() < end {
            time::sleep(Duration::from_millis(LOADING_REPORT_MS)).await;
            if pause_ms > LOADING_REPORT_MS && self.granted().is_some() {
                return;
            }
        }
    }

    fn granted(&self) -> Option<Grant> {
        self.core.state().granted.get(&self.id).cloned()
    }

    fn tell(&mut self, report: &Report, is_loading: bool) {
        let mut state = report.state.clone();
        state.is_loading = is_loading;
        self.publish(Some(state));
    }

    fn publish(&mut self, engine: Option<samphirespread_routing::model::EngineState>) {
        self.sequence += 1;
        let now = self.core.now();
        let word = EngineWord {
            engine: EngineKey::At(self.address),
            incarnation: Incarnation(self.epoch),
            sequence: self.sequence,
            state: engine,
            published: now,
        };
        peers::pass_on(&self.core, &mut self.core.state(), word, now);
    }

    /// Orders the load that was granted, if there is one and this router may. Returns whether it did.
    async fn order_if_granted(&mut self, report: &Report) -> bool {
        let Some(grant) = self.granted() else { return false };
        if self.loads(report) || !report.state.is_older(&grant.model, grant.version) {
            return false;
        }
        // Other routers hear that it loads before it does.
        self.tell(report, true);
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
        let answered = self.engine.order(&self.id, &order).await;
        if matches!(answered, Ok(OrderAnswer::Accepted | OrderAnswer::AlreadyHolds)) {
            self.taken = Some(Taken { version: grant.version, at: now });
        }
        self.log_order(&grant, report, &answered);
        true
    }

    /// Whether this router may order now. If so, notes that it does.
    fn is_permitted(&self, now: MonoTime) -> bool {
        let mut state = self.core.state();
        let permit = state.permit.filter(|permit| permit.epoch == self.epoch && permit.holds(now));
        let Some(server) = state.fleet.get_mut(&self.id).filter(|_| permit.is_some()) else {
            return false;
        };
        server.ordered = Some(now);
        true
    }

    fn log_order(
        &self,
        grant: &Grant,
        report: &Report,
        answered: &Result<OrderAnswer, EngineError>,
    ) {
        match answered {
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
