//! Moves services to new versions of their software, as operators order.
//!
//! The order and the verdict on it are in the store. One router, the one that reads the store for all,
//! reads the orders and writes the verdicts; the others learn of both from its records. Each router
//! sends a share of its own requests to the new version and reports the answers, so all have the
//! evidence and any can go on with the analysis. [`samphirespread_routing::canary`] decides.

mod comparison;
mod controller;
mod status;

use std::collections::{HashMap, HashSet};

use samphirespread_core::prelude::*;
use samphirespread_peer::{KnownRollout, RolloutNews};
use samphirespread_routing::{
    canary::{
        Analysis, Evidence, EvidenceRecorder, ExposureCredit, Phase, RolloutOrder, RouteTag,
        ServerGroup, Side, Step, canaries, share, time_tolerance,
    },
    model::ServiceName,
    quota::SILENT_AFTER_MS,
    software::SoftwareTag,
};

pub(crate) use self::{
    comparison::Comparison,
    controller::{control, decides, hears_most, log_changes},
    status::RolloutStatus,
};
use crate::fleet::{Fleet, Server};

/// Error of the time of another router's read, which is computed from the age in its record.
const READ_TIME_TOLERANCE_MS: u64 = 300;

/// The orders that this router knows, and what it knows of the versions of servers.
#[derive(Debug)]
pub(crate) struct Rollouts {
    /// The share of the requests that a version may get before its release; none if versions are not
    /// compared, and all servers are used.
    permitted_share: Option<f64>,
    orders: HashMap<ServiceName, Rollout>,
    /// When the orders were last read, by this router or another one.
    read: Option<MonoTime>,
    /// Whether the orders have been read after the first list of servers.
    is_ready: bool,
    /// For each service and version on the list of servers, when the list was read on which it
    /// appeared.
    first_listed: HashMap<(ServiceName, SoftwareTag), MonoTime>,
}

/// An order and how far it is carried out.
#[derive(Debug)]
pub(crate) struct Rollout {
    order: RolloutOrder,
    version: SoftwareTag,
    /// When the order was given, as far as known.
    given: MonoTime,
    phase: Phase,
    phase_since: MonoTime,
    credit: ExposureCredit,
    /// Requests of this router that were meant for the new version.
    exposed: usize,
    recorder: EvidenceRecorder,
    analysis: Analysis,
}

/// The version that a request is meant for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum VersionChoice {
    /// The one that is being released.
    New,
    /// Another one.
    Baseline,
}

/// What a request counts for while a version of its service is being released.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Compared {
    route: RouteTag,
    side: Side,
    /// The factor by which its time may be longer; none if it can't be compared.
    time_tolerance: Option<f64>,
}

/// A change of phase, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PhaseChange {
    pub(crate) order: RolloutOrder,
    pub(crate) phase: Phase,
    pub(crate) answers: u32,
    pub(crate) bad: u32,
}

impl Rollout {
    fn new(order: RolloutOrder, given: MonoTime, now: MonoTime) -> Self {
        Self {
            version: SoftwareTag::of(&order.version),
            order,
            given,
            phase: Phase::Canary,
            phase_since: now,
            credit: ExposureCredit::default(),
            exposed: 0,
            recorder: EvidenceRecorder::default(),
            analysis: Analysis::default(),
        }
    }

    /// Enters a phase, unless that is an earlier one.
    fn enter(&mut self, phase: Phase, now: MonoTime) -> Option<PhaseChange> {
        if phase <= self.phase {
            return None;
        }
        (self.phase, self.phase_since) = (phase, now);
        let counts = self.analysis.answers();
        let (answers, bad) = (counts.answers, counts.bad);
        Some(PhaseChange { order: self.order.clone(), phase, answers, bad })
    }

    fn is_new(&self, server: &Server) -> bool {
        server.software == self.version
    }

    /// Requests of this router that run at servers of the version before.
    fn in_flight_baseline(&self, fleet: &Fleet) -> u32 {
        let servers = fleet.of_service(&self.order.service);
        servers.filter(|server| !self.is_new(server)).map(|server| server.in_flight).sum()
    }

    /// What is told to the other routers. After the verdict, nobody needs the evidence.
    fn news(&self, fleet: &Fleet, now: MonoTime) -> KnownRollout {
        let evidence = match self.phase.is_final() {
            true => Evidence::default(),
            false => self.recorder.evidence(self.in_flight_baseline(fleet)),
        };
        KnownRollout {
            order: self.order.clone(),
            order_age_ms: now.ms_since(self.given),
            phase: self.phase,
            evidence,
        }
    }
}

impl Rollouts {
    /// `permitted_share` is the share of the requests that a version may get before its release; zero
    /// if versions are not compared.
    pub(crate) fn new(permitted_share: f64) -> Self {
        Self {
            permitted_share: (permitted_share > 0.0).then_some(permitted_share),
            orders: HashMap::new(),
            read: None,
            is_ready: false,
            first_listed: HashMap::new(),
        }
    }

    /// Changes the share that a version may get before its release.
    pub(crate) fn set_permitted_share(&mut self, share: f64) {
        self.permitted_share = (share > 0.0).then_some(share);
    }

    /// Whether versions are compared before they are released.
    pub(crate) fn is_enabled(&self) -> bool {
        self.permitted_share.is_some()
    }

    /// Whether this router knew the orders once for all versions on its list, or needs none.
    pub(crate) fn is_ready(&self) -> bool {
        self.permitted_share.is_none() || self.is_ready
    }

    /// Records the versions of the listed servers. `listed` is when the list was read.
    pub(crate) fn observe(
        &mut self,
        software: impl Iterator<Item = (ServiceName, SoftwareTag)>,
        listed: MonoTime,
    ) {
        let known = std::mem::take(&mut self.first_listed);
        let first_listed = |version| (known.get(&version).copied().unwrap_or(listed), version);
        self.first_listed =
            software.map(first_listed).map(|(listed, version)| (version, listed)).collect();
        self.note_ready();
    }

    fn note_ready(&mut self) {
        self.is_ready |= self.read.is_some() && !self.awaits_read();
    }

    /// Whether servers of some version wait for a read of the orders.
    fn awaits_read(&self) -> bool {
        self.first_listed.values().any(|listed| !self.was_read_after(*listed))
    }

    /// How far the version of this order is released.
    fn phase(&self, order: &RolloutOrder) -> Option<Phase> {
        let rollout = self.orders.get(&order.service)?;
        rollout.order.is_same(order).then_some(rollout.phase)
    }

    /// Time since the orders were read.
    fn read_age_ms(&self, now: MonoTime) -> Option<u64> {
        self.read.map(|read| now.ms_since(read))
    }

    /// Whether the orders were read after a version was listed. An order is given before the servers of
    /// its version start, so such a read shows it.
    fn was_read_after(&self, listed: MonoTime) -> bool {
        self.read.is_some_and(|read| read > listed)
    }

    /// Decides which version a request is sent to while one is being released. Only the first send of
    /// a request may go to a version that is still compared.
    pub(crate) fn choose_version(
        &mut self,
        service: &ServiceName,
        is_first_send: bool,
    ) -> VersionChoice {
        let permitted = self.permitted_share.unwrap_or_default();
        let Some(rollout) = self.orders.get_mut(service) else { return VersionChoice::Baseline };
        let share = share(rollout.phase, permitted);
        let may_go = share >= 1.0 || (is_first_send && rollout.credit.draw(share));
        rollout.exposed += usize::from(may_go);
        if may_go { VersionChoice::New } else { VersionChoice::Baseline }
    }

    /// Records that a request which was to go to the new version went elsewhere.
    pub(crate) fn refund(&mut self, service: &ServiceName) {
        if let Some(rollout) = self.orders.get_mut(service) {
            rollout.credit.refund();
        }
    }

    /// Charges a request that continues a stream at this server, if its version is being released.
    pub(crate) fn charge_continued(&mut self, server: &Server) {
        let Some(rollout) = self.orders.get_mut(&server.entry.service) else { return };
        if rollout.is_new(server) {
            rollout.credit.charge();
        }
    }

    /// Whether a server must get no requests, as its version was found bad.
    pub(crate) fn is_withdrawn(&self, server: &Server) -> bool {
        let rollout = self.orders.get(&server.entry.service);
        rollout.is_some_and(|rollout| rollout.phase.is_withdrawn() && rollout.is_new(server))
    }

    /// Returns the servers at which a stream may go on, whatever their version.
    pub(crate) fn usable_for_rest<'a>(&self, servers: Vec<&'a Server>) -> Vec<&'a Server> {
        servers.into_iter().filter(|server| !self.is_withdrawn(server)).collect()
    }

    /// Returns the servers to which a request may go that is meant for this version.
    pub(crate) fn usable<'a>(
        &self,
        service: &ServiceName,
        servers: Vec<&'a Server>,
        choice: VersionChoice,
        now: MonoTime,
    ) -> Vec<&'a Server> {
        let Some(permitted) = self.permitted_share else { return servers };
        let rollout = self.orders.get(service);
        let is_known = |server: &&Server| {
            let version = (server.entry.service.clone(), server.software);
            rollout.is_some_and(|rollout| rollout.is_new(server))
                || self.first_listed.get(&version).is_some_and(|at| self.was_read_after(*at))
        };
        let servers: Vec<&Server> = servers.into_iter().filter(is_known).collect();
        let Some(rollout) = rollout else { return servers };
        let (mut new, baseline): (Vec<&Server>, Vec<&Server>) =
            servers.into_iter().partition(|server| rollout.is_new(server));
        match (rollout.phase, choice) {
            (Phase::Canary, VersionChoice::New) => {
                // The time of a server that is still cold says nothing of its version.
                new.retain(|server| !server.is_cold(now));
                let share = share(rollout.phase, permitted);
                new.sort_by_key(|server| {
                    std::cmp::Reverse(rendezvous::score(service.as_bytes(), &server.entry.id))
                });
                new.truncate(canaries(share, baseline.len()));
                // Of servers with equal load, the first one is chosen. All canaries have to show
                // whether the fault of one is that of the version.
                let first = rollout.exposed % new.len().max(1);
                new.rotate_left(first);
                new
            }
            (Phase::Ramp { .. }, VersionChoice::New) => new,
            (Phase::Completed, _) => {
                // The servers of the baseline have stopped. Those that came later are not
                // of this order.
                let is_later = |server: &&Server| server.known_since > rollout.phase_since;
                let (later, stopped): (Vec<&Server>, Vec<&Server>) =
                    baseline.into_iter().partition(is_later);
                new.extend(later);
                if new.is_empty() { stopped } else { new }
            }
            _ => baseline,
        }
    }

    /// Starts to compare the answer to a request with those of the other version, if a version of the
    /// service is being released.
    pub(crate) fn compared(&self, server: &Server, route: &str, now: MonoTime) -> Option<Compared> {
        let rollout = self.orders.get(&server.entry.service)?;
        if !matches!(rollout.phase, Phase::Canary | Phase::Ramp { .. }) {
            return None;
        }
        let side = match rollout.is_new(server) {
            true => Side::New(ServerGroup::of(&server.entry.id)),
            false => Side::Baseline,
        };
        // A server that is still cold says nothing of its version.
        let time_tolerance = (!server.is_cold(now)).then(|| time_tolerance(rollout.phase));
        Some(Compared { route: RouteTag::of(route), side, time_tolerance })
    }

    fn recorder(&mut self, service: &ServiceName) -> Option<&mut EvidenceRecorder> {
        Some(&mut self.orders.get_mut(service)?.recorder)
    }

    /// Applies a read of all orders.
    pub(crate) fn apply_read(
        &mut self,
        orders: OrdersRead,
        began: MonoTime,
        now: MonoTime,
    ) -> Vec<PhaseChange> {
        if self.read.is_some_and(|read| read >= began) {
            // Another router has read them since.
            return Vec::new();
        }
        let OrdersRead { orders, kept, keeps_missing } = orders;
        let is_named = |service: &ServiceName| {
            keeps_missing
                || kept.contains(service)
                || orders.iter().any(|(order, _)| order.service == *service)
        };
        self.orders.retain(|service, _| is_named(service));
        let given = self.read.unwrap_or(began);
        self.read = Some(began);
        self.note_ready();
        let verdicts = orders.into_iter();
        verdicts
            .filter_map(|(order, verdict)| {
                self.learn(order, given, verdict.unwrap_or(Phase::Canary), now)
            })
            .collect()
    }

    /// Applies what another router knows, and counts what it reports.
    pub(crate) fn apply_news(
        &mut self,
        router: &InstanceName,
        incarnation: Incarnation,
        news: RolloutNews,
        published: MonoTime,
        now: MonoTime,
    ) -> Vec<PhaseChange> {
        let mut changes = Vec::new();
        let Some(read_age_ms) = news.read_age_ms.filter(|_| self.is_enabled()) else {
            return changes;
        };
        let read = published.minus_ms(read_age_ms + READ_TIME_TOLERANCE_MS);
        let is_newer = self.read < Some(read);
        if is_newer {
            let named = |service: &ServiceName| {
                news.rollouts.iter().any(|known| known.order.service == *service)
            };
            self.orders.retain(|service, _| named(service));
            self.read = Some(read);
            self.note_ready();
        }
        for known in news.rollouts {
            let is_same = self
                .orders
                .get(&known.order.service)
                .is_some_and(|rollout| rollout.order.is_same(&known.order));
            if !is_same && !is_newer {
                continue;
            }
            let given = published.minus_ms(known.order_age_ms);
            let service = known.order.service.clone();
            changes.extend(self.learn(known.order, given, known.phase, now));
            let rollout = self.orders.get_mut(&service);
            if let Some(rollout) = rollout.filter(|rollout| !rollout.phase.is_final()) {
                let (phase, evidence) = (known.phase, known.evidence);
                rollout.analysis.apply(router, incarnation, phase, evidence, now);
            }
        }
        changes
    }

    fn learn(
        &mut self,
        order: RolloutOrder,
        given: MonoTime,
        phase: Phase,
        now: MonoTime,
    ) -> Option<PhaseChange> {
        let service = order.service.clone();
        let is_same = |rollout: &Rollout| rollout.order.is_same(&order);
        if !self.orders.get(&service).is_some_and(is_same) {
            let mut rollout = Rollout::new(order.clone(), given, now);
            let change = PhaseChange { order, phase, answers: 0, bad: 0 };
            rollout.phase = phase;
            if phase == Phase::Completed {
                // It was complete before: whatever servers there are came later.
                rollout.phase_since = MonoTime::ZERO;
            }
            self.orders.insert(service, rollout);
            return Some(change);
        }
        let rollout = self.orders.get_mut(&service)?;
        rollout.order = order;
        rollout.given = rollout.given.min(given);
        rollout.enter(phase, now)
    }

    /// What this router tells the others; `None` if versions are not compared.
    pub(crate) fn news(&self, fleet: &Fleet, now: MonoTime) -> Option<RolloutNews> {
        self.permitted_share?;
        let rollouts = self.orders.values().map(|rollout| rollout.news(fleet, now)).collect();
        Some(RolloutNews { read_age_ms: self.read_age_ms(now), rollouts })
    }

    /// Counts this router's own evidence, and takes the steps that all evidence allows. Returns the
    /// changes, and the orders whose release is complete but for the record in the store.
    fn advance(
        &mut self,
        own: (&InstanceName, Incarnation),
        fleet: &Fleet,
        hears_most: bool,
        decides: bool,
        now: MonoTime,
    ) -> Advance {
        let mut advance = Advance::default();
        for rollout in self.orders.values_mut().filter(|rollout| !rollout.phase.is_final()) {
            let evidence = rollout.recorder.evidence(rollout.in_flight_baseline(fleet));
            rollout.analysis.apply(own.0, own.1, rollout.phase, evidence, now);
            let situation = rollout.situation(hears_most, now);
            match rollout.analysis.next_step(&situation, SILENT_AFTER_MS, now) {
                // Any router may withdraw a bad version; only one releases it further.
                Some(Step::Enter(Phase::Halted)) => {
                    advance.changes.extend(rollout.enter(Phase::Halted, now));
                }
                Some(Step::Enter(phase)) if decides => {
                    advance.changes.extend(rollout.enter(phase, now));
                }
                Some(Step::Complete) if decides => {
                    advance.verdicts.push((rollout.order.clone(), Phase::Completed));
                }
                _ => {}
            }
            if rollout.phase == Phase::Halted && decides {
                advance.verdicts.push((rollout.order.clone(), Phase::RolledBack));
            }
        }
        advance
    }

    /// Records that the store holds a verdict.
    fn record_verdict(
        &mut self,
        order: &RolloutOrder,
        verdict: Phase,
        now: MonoTime,
    ) -> Option<PhaseChange> {
        let rollout = self.orders.get_mut(&order.service)?;
        rollout.order.is_same(order).then(|| rollout.enter(verdict, now)).flatten()
    }
}

/// The orders that a read of the store shows.
#[derive(Debug, Default)]
pub(crate) struct OrdersRead {
    /// The orders, with the verdicts that their status holds.
    orders: Vec<(RolloutOrder, Option<Phase>)>,
    /// Services whose order can't be decoded now. What was ordered before goes on.
    kept: HashSet<ServiceName>,
    /// Whether orders that are missing go on, as the store may have lost them for a moment.
    keeps_missing: bool,
}

/// What follows from the evidence.
#[derive(Debug, Default)]
struct Advance {
    changes: Vec<PhaseChange>,
    /// Verdicts that are to be recorded in the store.
    verdicts: Vec<(RolloutOrder, Phase)>,
}
