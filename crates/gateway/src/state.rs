//! The state that the tasks of a gateway share, behind one lock that is never held across an await.

use std::{
    collections::{HashMap, HashSet},
    fmt,
    net::SocketAddr,
    sync::Arc,
};

use bytes::Bytes;
use samphirespread_adapter::Object;
use samphirespread_core::prelude::*;
use samphirespread_fabric::{Fabric, Member};
use samphirespread_membership::Contact;
use samphirespread_peer::RouterState;
use samphirespread_routing::{
    admission::control::AdmissionControl,
    cache::StoreContents,
    cache_scope::CacheScope,
    connections::ConnectionShares,
    crash_causes::CrashCauses,
    demand::ReadDemand,
    durations::RequestDurations,
    freshness::Echo,
    model::{BackendServer, ServiceName},
    quota::{Quotas, SILENT_AFTER_MS},
    read_parts::ReadParts,
    retry::{RetryBudget, RetryLimits, SlackShare},
    server_limit::{ServerLimits, ServerRun},
    software::{KnownStream, SoftwareHistory, StreamVersions},
    speed::{FetchDelay, ReadingSpeed},
    table::Table,
};
use samphirespread_settings::{BoundsSettings, ClockSettings, GatewaySettings, Mechanism};

use crate::{
    access::{self, Trust},
    conduct,
    crashes::BrokenRuns,
    fleet::{Fleet, FleetChange, NamedServices, Server, ServerList},
    named_weights::NamedWeights,
    orders::Permit,
    reads::Reads,
    relocate::MoveTurns,
    rollout::Rollouts,
    routers::RouterEntry,
    select::DomainTraffic,
    server_limits,
    stream_versions::{self, Writer},
};

/// Subtracted from the bound on the use of withdrawn keys, for the time that a request takes to
/// reach a backend server.
const WITHDRAWAL_MARGIN_MS: u64 = 400;
/// The number of routers that may start within one quota window. The slack has to cover the first
/// allowances of all of them.
const STARTS_PER_QUOTA_WINDOW: f64 = 4.0;

/// If the list of servers was confirmed within this time, it would show an engine's new run.
const LIST_FRESH_MS: u64 = 3_000;
/// A router that starts waits this long for reports of engines; then it serves with the list alone.
const STARTUP_REPORTS_WAIT_MS: u64 = 700;

/// The shared state of a gateway.
#[derive(Debug)]
pub(crate) struct State {
    /// This router's name.
    name: InstanceName,
    /// When this process started.
    pub(crate) started: MonoTime,
    /// The bounds that the settings promise to operators.
    pub(crate) bounds: BoundsSettings,
    pub(crate) wall_clock: ClockSettings,
    /// The configuration in force.
    pub(crate) table: Option<Arc<Table>>,
    /// Whether keys were trusted at the last check, to log changes.
    pub(crate) was_in_touch: bool,
    /// The last answer to a readiness check, to log changes.
    pub(crate) last_readiness: Option<Readiness>,
    /// Whether this router read the store for others at the last check, to log changes.
    pub(crate) was_leading: bool,
    /// When the store was last read, by this router or another one whose copy is the same.
    pub(crate) contact: Contact,
    /// How current this router's copies of the store's objects are.
    pub(crate) reads: Reads,
    /// The configuration in force, as other routers fetch it.
    pub(crate) packed_configuration: Option<PackedConfiguration>,
    /// Where the store has a configuration that is older than the one in force, so that it is logged
    /// once.
    pub(crate) left_out_configuration: Option<StorePosition>,
    /// The era of the store at the last check, to log changes.
    pub(crate) last_store_era: u64,
    /// This router's copy of the list of backend servers.
    pub(crate) server_list: ServerList,
    /// The store's objects of the list of routers.
    pub(crate) router_objects: Arc<Vec<Object<RouterEntry>>>,
    /// The backend servers.
    pub(crate) fleet: Fleet,
    /// When the last read of the list of backend servers began that was applied.
    pub(crate) servers_read: Option<MonoTime>,
    /// Whether the list of backend servers has been read, and a configuration names their services.
    pub(crate) has_fleet: bool,
    /// The orders to move services to new versions of their software.
    pub(crate) rollouts: Rollouts,
    /// The versions of servers' software that streams may have begun at.
    pub(crate) software: SoftwareHistory,
    /// The versions at which streams began.
    pub(crate) streams: StreamVersions,
    /// The routers that write the versions of streams to the store.
    pub(crate) stream_writers: Arc<[Writer]>,
    /// Streams that this router has yet to write there.
    pub(crate) unwritten_streams: Vec<KnownStream>,
    /// What backend servers in need take from all routers together.
    pub(crate) server_limits: ServerLimits,
    /// What in requests may have crashed backend servers.
    pub(crate) crash_causes: CrashCauses,
    /// Runs that servers broke off, until it is known whether they have crashed.
    pub(crate) broken_runs: BrokenRuns,
    /// The runs that are moved off engines.
    pub(crate) move_turns: MoveTurns,
    /// Runs of servers that crashed during a request of this router, and when it learned that.
    pub(crate) crashed_runs: HashMap<ServerRun, MonoTime>,
    /// The teams' quotas and what they have used of them.
    pub(crate) quotas: Quotas,
    /// The budget for repeated sends, for each service.
    pub(crate) retries: HashMap<ServiceName, RetryBudget>,
    /// This router's share of the repeats beyond the ratio.
    pub(crate) slack_share: SlackShare,
    /// The versions of each model's weights that operators have named.
    pub(crate) weights: NamedWeights,
    /// What is sent to other failure domains.
    pub(crate) domain_traffic: DomainTraffic,
    /// How late the engines of each service begin requests, and what each team asks of them.
    pub(crate) admission: AdmissionControl,
    /// Times measured on requests to the engines of each service.
    pub(crate) times: HashMap<ServiceName, EngineTimes>,
    /// The rate of prompt tokens that this router sends to engines.
    pub(crate) demand: ReadDemand,
    /// The prompt parts that engines have read for this router's requests.
    pub(crate) read_parts: ReadParts,
    /// The stores of cached prompt parts, by address.
    pub(crate) caches: HashMap<SocketAddr, CacheState>,
    /// The admin address of the router that follows those stores for this one. None when this
    /// router follows them itself.
    pub(crate) caches_pulled_from: Option<SocketAddr>,
    /// Until then this router follows those stores itself, after a failed call to the other one.
    pub(crate) pull_again: MonoTime,
    /// The records that processes publish of themselves, and the routers with which this one
    /// exchanges them.
    pub(crate) fabric: Fabric,
    /// Whether the list of routers has been read, so that this one knows the others.
    pub(crate) has_routers: bool,
    /// The other routers.
    pub(crate) routers: HashMap<InstanceName, OtherRouter>,
    /// Whether this router holds the lease on orders to engines without a sidecar.
    pub(crate) holds_orders: bool,
    /// When this router may order engines. It is checked right before each order.
    pub(crate) permit: Option<Permit>,
    /// The latest known epoch of that lease. None until it has been read.
    pub(crate) orders_epoch: Option<u64>,
    /// Loads that were granted and that the engines have not confirmed yet.
    pub(crate) granted: HashMap<Arc<str>, Grant>,
    /// How long requests of each route last.
    pub(crate) durations: RequestDurations,
    /// Whether this process is leaving.
    pub(crate) is_draining: bool,
    /// Entries of the store that could not be decoded, so that each is logged once.
    pub(crate) unreadable: HashSet<String>,
}

/// The configuration in force, as other routers fetch it.
#[derive(Clone)]
pub(crate) struct PackedConfiguration {
    /// The content of the store's object, compressed.
    pub(crate) bytes: Bytes,
    /// A hash of that content. A number may be used again for another configuration after the store
    /// was restored from a copy.
    pub(crate) digest: u128,
    /// The store's position at which it was written.
    pub(crate) position: StorePosition,
    /// The store's position up to which it is the newest.
    pub(crate) as_of: StorePosition,
}

impl fmt::Debug for PackedConfiguration {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PackedConfiguration")
            .field("bytes", &self.bytes.len())
            .field("position", &self.position)
            .field("as_of", &self.as_of)
            .finish()
    }
}

/// Whether a router is ready to take requests, or why not.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Readiness {
    Ready,
    /// It has not read the configuration and the list of servers yet.
    Starting,
    /// It does not know the other routers yet, which share quotas with it.
    AwaitsRouters,
    /// It waits for the first reports of engines.
    AwaitsReports,
    /// It can't tell yet which versions of the servers' software are new.
    AwaitsVersions,
    /// It does not know yet which versions of the servers' software are being released.
    AwaitsRollouts,
    /// Its configuration was not confirmed for too long.
    OutOfTouch,
    /// A newer configuration is in force everywhere by now.
    Outdated,
    Draining,
}

impl Readiness {
    /// The name in logs and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Ready => "ready",
            Self::Starting => "starting",
            Self::AwaitsRouters => "awaits_routers",
            Self::AwaitsReports => "awaits_reports",
            Self::AwaitsVersions => "awaits_versions",
            Self::AwaitsRollouts => "awaits_rollouts",
            Self::OutOfTouch => "out_of_touch",
            Self::Outdated => "outdated_configuration",
            Self::Draining => "draining",
        }
    }
}

/// Times measured on requests to the engines of a service.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EngineTimes {
    /// How fast the engines read prompts.
    pub(crate) speed: ReadingSpeed,
    /// How long their fetches wait.
    pub(crate) fetch_delay: FetchDelay,
}

/// What this router knows of a store of cached prompt parts.
#[derive(Debug, Default)]
pub(crate) struct CacheState {
    pub(crate) contents: StoreContents,
    /// Whether it answers.
    pub(crate) is_up: bool,
    /// Whether events were missed, so that the whole list has to be read again.
    pub(crate) is_to_be_listed: bool,
}

/// What this router knows of another one.
#[derive(Clone, Debug)]
pub(crate) struct OtherRouter {
    pub(crate) address: SocketAddr,
    /// Where it answers operators and other routers.
    pub(crate) admin: Option<SocketAddr>,
    /// The position of its entry, which is needed to remove it.
    pub(crate) position: StorePosition,
    /// Its name, failure domain and capacity.
    pub(crate) member: Member,
    /// The last state that it published, and when it did.
    pub(crate) last_state: Option<(RouterState, MonoTime)>,
    /// Identifies the last link status received from it. This router's next one echoes it.
    pub(crate) echo: Option<Echo>,
    /// When this router first knew of it. Its silence counts from here until it publishes a state.
    pub(crate) known_since: MonoTime,
}

impl OtherRouter {
    /// Time since it last published its state.
    pub(crate) fn silence_ms(&self, now: MonoTime) -> u64 {
        let since = self.last_state.as_ref().map_or(self.known_since, |(_, published)| *published);
        now.ms_since(since)
    }

    /// The state that it published last, if that is recent.
    pub(crate) fn recent_state(&self, now: MonoTime) -> Option<&RouterState> {
        let (published, at) = self.last_state.as_ref()?;
        (now.ms_since(*at) <= SILENT_AFTER_MS).then_some(published)
    }
}

/// A permission for an engine to load a version, granted by the router that conducts the rollout.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Grant {
    pub(crate) model: ModelName,
    pub(crate) version: u64,
    pub(crate) at: MonoTime,
}

fn quotas(settings: &GatewaySettings, now: MonoTime) -> Quotas {
    let mut quotas = Quotas::new(now, settings.bounds.quota_slack / STARTS_PER_QUOTA_WINDOW);
    quotas.keep_use_rates(settings.decisions.uses(Mechanism::TeamShares));
    quotas
}

impl State {
    pub(crate) fn new(
        settings: &GatewaySettings,
        own: Member,
        run: Incarnation,
        now: MonoTime,
    ) -> Self {
        Self {
            name: own.name.clone(),
            started: now,
            bounds: settings.bounds,
            wall_clock: settings.clock,
            table: None,
            was_in_touch: false,
            last_readiness: None,
            was_leading: false,
            contact: contact(&settings.bounds),
            reads: Reads::default(),
            packed_configuration: None,
            left_out_configuration: None,
            last_store_era: 0,
            server_list: ServerList::default(),
            router_objects: Arc::default(),
            fleet: Fleet::default(),
            servers_read: None,
            has_fleet: false,
            rollouts: Rollouts::new(settings.bounds.exposure_share),
            software: SoftwareHistory::default(),
            stream_writers: Arc::default(),
            slack_share: SlackShare::default(),
            unwritten_streams: Vec::new(),
            streams: StreamVersions::default(),
            server_limits: ServerLimits::new(server_limits::holder(&own)),
            crash_causes: CrashCauses::new(own.name.clone()),
            broken_runs: BrokenRuns::default(),
            move_turns: MoveTurns::default(),
            crashed_runs: HashMap::new(),
            quotas: quotas(settings, now),
            retries: HashMap::new(),
            weights: NamedWeights::default(),
            domain_traffic: DomainTraffic::new(settings.traffic),
            admission: AdmissionControl::new(settings.decisions.uses(Mechanism::TeamShares)),
            times: HashMap::new(),
            demand: ReadDemand::default(),
            read_parts: ReadParts::default(),
            caches: HashMap::new(),
            caches_pulled_from: None,
            pull_again: MonoTime::ZERO,
            fabric: Fabric::new(own, run),
            has_routers: false,
            routers: HashMap::new(),
            holds_orders: false,
            permit: None,
            orders_epoch: None,
            granted: HashMap::new(),
            durations: RequestDurations::default(),
            is_draining: false,
            unreadable: HashSet::new(),
        }
    }

    /// Whether this router is ready to take requests, or why not.
    pub(crate) fn readiness(&self, now: MonoTime) -> Readiness {
        if self.is_draining {
            return Readiness::Draining;
        }
        if self.table.is_none() || !self.has_fleet {
            return Readiness::Starting;
        }
        if !self.has_routers {
            return Readiness::AwaitsRouters;
        }
        if !self.has_engine_reports(now) {
            return Readiness::AwaitsReports;
        }
        if self.software.is_settling(now) {
            return Readiness::AwaitsVersions;
        }
        if !self.rollouts.is_ready() {
            return Readiness::AwaitsRollouts;
        }
        match self.trust(now) {
            Trust::Outdated => Readiness::Outdated,
            Trust::OutOfTouch => Readiness::OutOfTouch,
            Trust::Full | Trust::Behind => Readiness::Ready,
        }
    }

    /// How far the configuration in force may be trusted.
    pub(crate) fn trust(&self, now: MonoTime) -> Trust {
        if self.reads.is_outdated(self.bounds.configuration_ms, now) {
            return Trust::Outdated;
        }
        if self.contact.is_stale(now) {
            return Trust::OutOfTouch;
        }
        if self.reads.behind_ms(now).is_some() { Trust::Behind } else { Trust::Full }
    }

    /// Whose cached prompt parts a request may use.
    pub(crate) fn cache_scope(&self, grant: &access::Grant, now: MonoTime) -> CacheScope {
        let age_ms = self.reads.configuration.age_ms(now);
        grant.cache_scope(self.table.as_ref(), age_ms > self.bounds.configuration_ms)
    }

    /// Whether at least half of the engines have recent reports, or the wait for them is over.
    fn has_engine_reports(&self, now: MonoTime) -> bool {
        now.ms_since(self.started) >= STARTUP_REPORTS_WAIT_MS || {
            let (reporting, all) = conduct::count_reporting_engines(self, now);
            2 * reporting >= all
        }
    }

    /// How long a stream may last and be taken up.
    pub(crate) fn stream_memory_ms(&self) -> u64 {
        let table = self.table.as_ref();
        let drain_ms = self.bounds.server_drain_ms;
        table.map_or(0, |table| stream_versions::memory_ms(table.configuration(), drain_ms))
    }

    /// Whether this router hears none of the others, so that they may know what it does not.
    pub(crate) fn is_isolated(&self, now: MonoTime) -> bool {
        let hears = |router: &OtherRouter| router.recent_state(now).is_some();
        !self.routers.is_empty() && !self.routers.values().any(hears)
    }

    /// Replaces the list of backend servers by one that was read as a whole.
    pub(crate) fn replace_server_list(&mut self, mut list: ServerList) {
        // The configuration may have changed since the read began.
        if let Some(services) = self.server_list.services() {
            list.set_services(services.clone());
        }
        self.server_list = list;
    }

    /// Records that the list of backend servers is as a read that began then showed it.
    pub(crate) fn confirm_server_list(&mut self, began: MonoTime) {
        self.reads.servers.read(self.server_list.era(), self.server_list.mark(), began);
    }

    /// Applies the list, from a read that began then, to the fleet. With `keeps_missing`, servers that
    /// are not on the list stay. Before there is a configuration, no entry is known to name a server.
    ///
    /// Entries of services that the configuration doesn't name add no server. One that was added while
    /// its service was named stays for as long as it is listed, since requests may still run there.
    pub(crate) fn update_fleet(
        &mut self,
        keeps_missing: bool,
        began: MonoTime,
        now: MonoTime,
    ) -> Vec<FleetChange> {
        self.servers_read = Some(began);
        if self.server_list.services().is_none() {
            return Vec::new();
        }
        let servers = self.server_list.entries().map(|entry| &entry.spec);
        let is_known = |server: &&BackendServer| {
            self.server_list.names(&server.service) || self.fleet.get(&server.id).is_some()
        };
        let servers = servers.filter(is_known).cloned().collect();
        let changes = self.fleet.replace(servers, keeps_missing, now);
        self.has_fleet |= !self.server_list.needs_listing();
        self.observe_software(began, now);
        changes
    }

    /// Follows the services that a new configuration names. Returns what changes in the fleet.
    pub(crate) fn set_services(
        &mut self,
        services: NamedServices,
        now: MonoTime,
    ) -> Vec<FleetChange> {
        self.server_list.set_services(services.clone());
        self.fleet.set_services(services);
        if let Some(confirmed) = self.reads.servers.confirmed() {
            self.confirm_server_list(confirmed);
        }
        let Some(began) = self.servers_read else { return Vec::new() };
        self.update_fleet(true, began, now)
    }

    /// Records the versions of the software of all servers that are listed now.
    /// `listed` is when the list was read.
    pub(crate) fn observe_software(&mut self, listed: MonoTime, now: MonoTime) {
        let memory_ms = self.stream_memory_ms();
        self.software.observe(self.fleet.software(), memory_ms, now);
        self.rollouts.observe(self.fleet.software(), listed);
    }

    /// Whether another run or another server answers at the address of this entry.
    ///
    /// A report overrules the list only while the list is current: during an outage of the store
    /// the list can't show a new run, which may answer under the old entry.
    pub(crate) fn is_entry_outdated(&self, server: &Server, now: MonoTime) -> bool {
        let is_current = self.reads.servers.age_ms(now) <= LIST_FRESH_MS;
        self.fleet.is_superseded(server, now) || (is_current && server.has_unlisted_run(now))
    }

    /// Whether this router may send a server a request now by the limit that the server names.
    ///
    /// A router that is out of touch with the store may no longer be on the list of routers, by
    /// which the limits are divided.
    pub(crate) fn has_room(&self, server: &Server, now: MonoTime) -> bool {
        let run = server.run_tag();
        match self.server_limits.rate(run) {
            Some(_) => self.server_limits.has_room(run, now) && !self.contact.is_stale(now),
            None => true,
        }
    }

    /// This router's part of the bound on repeats.
    pub(crate) fn retry_limits(&self, now: MonoTime) -> RetryLimits {
        let BoundsSettings { retry_ratio, retry_window_ms, retry_slack, .. } = self.bounds;
        RetryLimits {
            ratio: retry_ratio,
            window_ms: retry_window_ms,
            slack: self.slack_share.repeats(retry_slack, retry_window_ms, now),
        }
    }

    /// This router's part of the connections that servers accept from all routers.
    pub(crate) fn connection_shares(&self) -> ConnectionShares {
        ConnectionShares::new(&self.name, self.routers.keys())
    }

    /// Replaces the bounds.
    pub(crate) fn set_bounds(&mut self, bounds: BoundsSettings) {
        self.bounds = bounds;
        self.rollouts.set_permitted_share(bounds.exposure_share);
        self.contact = contact(&bounds);
        self.weights.bound_changed();
        if let Some(confirmed) = self.reads.configuration.confirmed() {
            self.contact.platform_answered(confirmed);
        }
    }
}

fn contact(bounds: &BoundsSettings) -> Contact {
    Contact::new(bounds.key_withdrawal_ms.saturating_sub(WITHDRAWAL_MARGIN_MS))
}
