//! What a gateway believes, behind one lock that is never held across an await.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
};

use samphirespread_adapter::Object;
use samphirespread_core::prelude::*;
use samphirespread_fabric::{Fabric, Member};
use samphirespread_membership::Contact;
use samphirespread_peer::RouterState;
use samphirespread_routing::{
    cache::StoreContents,
    demand::ReadDemand,
    freshness::Echo,
    model::ServiceName,
    quota::{Quotas, SILENT_AFTER_MS},
    read_parts::ReadParts,
    retry::{RetryBudget, RetryLimits, share_of_slack},
    rollout::NamedVersions,
    speed::{FetchDelay, ReadingSpeed},
    table::Table,
};
use samphirespread_settings::{BoundsSettings, ClockSettings, GatewaySettings};

use crate::{
    conduct,
    fleet::{Fleet, Server},
    orders::Permit,
    reads::Reads,
};

/// Withheld from the bound on withdrawn keys: the way of a request to a backend server.
const WITHDRAWAL_MARGIN_MS: u64 = 400;
/// Routers that may start within one window of the quotas, whose first allowances the slack covers.
const STARTS_A_WINDOW: f64 = 4.0;

/// A list of servers that was confirmed within this time shows engines that began another run.
const LIST_CURRENT_MS: u64 = 3_000;
/// A router that starts waits this long for sidecars before it serves on the list's word alone.
const SIDECARS_WAIT_MS: u64 = 700;

/// Everything that a gateway believes.
#[derive(Debug)]
pub(crate) struct State {
    /// When this process started.
    pub(crate) started: MonoTime,
    /// What operators are promised.
    pub(crate) bounds: BoundsSettings,
    pub(crate) wall_clock: ClockSettings,
    /// The configuration in force.
    pub(crate) table: Option<Arc<Table>>,
    /// Whether keys were trusted when that was last looked at.
    pub(crate) was_in_touch: bool,
    /// Whether this router read for others when that was last looked at.
    pub(crate) was_leading: bool,
    /// When the store was last read, by this router or another one whose copy is the same.
    pub(crate) contact: Contact,
    /// This router's copies of what the store holds.
    pub(crate) reads: Reads,
    /// The configuration as it was read.
    pub(crate) configuration_object: Option<Arc<Object>>,
    /// The list of backend servers as it was read.
    pub(crate) server_objects: Arc<Vec<Arc<Object>>>,
    /// The store's revision up to which that list holds all changes.
    pub(crate) server_revision: Option<u64>,
    /// The list of routers as it was read.
    pub(crate) router_objects: Arc<Vec<Object>>,
    /// The backend servers.
    pub(crate) fleet: Fleet,
    /// Whether the list of backend servers was read at all.
    pub(crate) has_fleet: bool,
    /// What teams have used.
    pub(crate) quotas: Quotas,
    /// Repeats, for each service.
    pub(crate) retries: HashMap<ServiceName, RetryBudget>,
    /// The weights of each model that operators have named.
    pub(crate) weights: HashMap<ModelName, NamedVersions>,
    /// What requests to the engines of each service have shown.
    pub(crate) times: HashMap<ServiceName, EngineTimes>,
    /// Prompt tokens that this router sends to be read.
    pub(crate) demand: ReadDemand,
    /// What engines have read for this router's requests.
    pub(crate) read_parts: ReadParts,
    /// The stores of cached parts, by where they answer.
    pub(crate) caches: HashMap<SocketAddr, CacheState>,
    /// The router that follows those stores for this one; none when this router does so itself.
    pub(crate) caches_pulled_from: Option<SocketAddr>,
    /// Until then no other router is asked to follow them.
    pub(crate) pull_again: MonoTime,
    /// What processes tell of themselves, and with whom this router exchanges it.
    pub(crate) fabric: Fabric,
    /// The other routers.
    pub(crate) routers: HashMap<InstanceName, OtherRouter>,
    /// Whether this router holds the lease on orders to engines without a sidecar.
    pub(crate) holds_orders: bool,
    /// When this router may order engines; looked at right before each order.
    pub(crate) permit: Option<Permit>,
    /// The latest epoch of that lease that is known; none before it was looked for.
    pub(crate) orders_epoch: Option<u64>,
    /// Loads that were asked for and not confirmed yet.
    pub(crate) granted: HashMap<Arc<str>, Grant>,
    /// Whether this process is leaving.
    pub(crate) is_draining: bool,
    /// Entries of the store that could not be read, so that each is logged once.
    pub(crate) unreadable: HashSet<String>,
}

/// What requests to the engines of a service have shown.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EngineTimes {
    /// How fast they read.
    pub(crate) speed: ReadingSpeed,
    /// How long their fetches wait.
    pub(crate) fetch_delay: FetchDelay,
}

/// What is known of a store of cached parts.
#[derive(Debug, Default)]
pub(crate) struct CacheState {
    pub(crate) contents: StoreContents,
    /// Whether it answers.
    pub(crate) is_up: bool,
    /// Whether events are missing, so that all of it has to be read again.
    pub(crate) is_to_be_listed: bool,
}

/// Another router.
#[derive(Clone, Debug)]
pub(crate) struct OtherRouter {
    pub(crate) address: SocketAddr,
    /// Where it answers operators and other routers.
    pub(crate) admin: Option<SocketAddr>,
    /// Its entry's revision, for removing it.
    pub(crate) revision: u64,
    /// Its name, where it runs and its capacity.
    pub(crate) member: Member,
    /// What it told all others last, and when it did.
    pub(crate) told: Option<(RouterState, MonoTime)>,
    /// The last hop that came from it.
    pub(crate) hop: Option<Echo>,
    /// When it was first known, for judging its silence.
    pub(crate) known_since: MonoTime,
}

impl OtherRouter {
    /// Time since it told what is known of it.
    pub(crate) fn silent_ms(&self, now: MonoTime) -> u64 {
        let told = self.told.as_ref().map_or(self.known_since, |(_, told)| *told);
        now.ms_since(told)
    }

    /// What it told, if that was lately.
    pub(crate) fn told_lately(&self, now: MonoTime) -> Option<&RouterState> {
        let (told, at) = self.told.as_ref()?;
        (now.ms_since(*at) <= SILENT_AFTER_MS).then_some(told)
    }
}

/// A load that was asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Grant {
    pub(crate) model: ModelName,
    pub(crate) version: u64,
    pub(crate) at: MonoTime,
}

impl State {
    pub(crate) fn new(
        settings: &GatewaySettings,
        own: Member,
        run: Incarnation,
        now: MonoTime,
    ) -> Self {
        Self {
            started: now,
            bounds: settings.bounds,
            wall_clock: settings.clock,
            table: None,
            was_in_touch: false,
            was_leading: false,
            contact: contact(&settings.bounds),
            reads: Reads::default(),
            configuration_object: None,
            server_objects: Arc::default(),
            server_revision: None,
            router_objects: Arc::default(),
            fleet: Fleet::default(),
            has_fleet: false,
            quotas: Quotas::new(now, settings.bounds.quota_slack / STARTS_A_WINDOW),
            retries: HashMap::new(),
            weights: HashMap::new(),
            times: HashMap::new(),
            demand: ReadDemand::default(),
            read_parts: ReadParts::default(),
            caches: HashMap::new(),
            caches_pulled_from: None,
            pull_again: MonoTime::ZERO,
            fabric: Fabric::new(own, run),
            routers: HashMap::new(),
            holds_orders: false,
            permit: None,
            orders_epoch: None,
            granted: HashMap::new(),
            is_draining: false,
            unreadable: HashSet::new(),
        }
    }

    /// Whether callers should be sent here.
    pub(crate) fn is_ready(&self, now: MonoTime) -> bool {
        let knows_enough = self.table.is_some() && self.has_fleet;
        if knows_enough && !self.hears_sidecars(now) {
            return false;
        }
        knows_enough && !self.is_draining && !self.contact.is_stale(now)
    }

    /// Whether most sidecars have told of their engines, or have had the time to do so.
    fn hears_sidecars(&self, now: MonoTime) -> bool {
        now.ms_since(self.started) >= SIDECARS_WAIT_MS || {
            let (heard, all) = conduct::heard_sidecars(self, now);
            2 * heard >= all
        }
    }

    /// Whether another run, or another server, answers where this one is listed.
    ///
    /// A sidecar's word goes before the list only while that is current: during an outage of the
    /// store the list can't show a new run, which may answer under the old entry.
    pub(crate) fn is_another(&self, server: &Server, now: MonoTime) -> bool {
        let is_current = self.reads.servers.age_ms(now) <= LIST_CURRENT_MS;
        server.is_superseded || (is_current && server.has_started_anew(now))
    }

    /// This router's part of the bound on repeats.
    ///
    /// The slack is halved, so that routers that restart and begin a new count stay inside it.
    pub(crate) fn retry_limits(&self, own: &InstanceName) -> RetryLimits {
        RetryLimits {
            ratio: self.bounds.retry_ratio,
            window_ms: self.bounds.retry_window_ms,
            slack: share_of_slack(self.bounds.retry_slack / 2.0, own, self.routers.keys()),
        }
    }

    /// Puts other bounds in force.
    pub(crate) fn set_bounds(&mut self, bounds: BoundsSettings) {
        self.bounds = bounds;
        self.contact = contact(&bounds);
        if let Some(confirmed) = self.reads.configuration.confirmed() {
            self.contact.platform_answered(confirmed);
        }
    }

    /// Takes in that a version had been named by an instant. Returns whether it is the newest now.
    pub(crate) fn learn_weights(
        &mut self,
        model: &ModelName,
        version: u64,
        named_by: MonoTime,
    ) -> bool {
        if let Some(known) = self.weights.get_mut(model) {
            return known.learn(version, named_by);
        }
        self.weights.entry(model.clone()).or_default().learn(version, named_by)
    }
}

fn contact(bounds: &BoundsSettings) -> Contact {
    Contact::new(bounds.key_withdrawal_ms.saturating_sub(WITHDRAWAL_MARGIN_MS))
}
