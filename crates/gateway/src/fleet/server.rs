//! One backend server and what this router knows of it.

use std::collections::{HashMap, VecDeque};

use samphirespread_core::prelude::*;
use samphirespread_outbound::IdlePool;
use samphirespread_routing::{
    backoff::FailureBackoff,
    model::{Availability, BackendServer, EngineState, LoadedModel},
    server_limit::ServerRun,
    server_speed::PaceHistory,
    software::SoftwareTag,
    stale_connections::ServerIdleTimes,
};

use super::{Departure, UnlistedLoad};

/// A report of an engine's state is ignored when it is older than this.
const REPORT_LIFETIME_MS: u64 = 1_000;
/// Above this number of remembered prompt parts of an engine, old ones are dropped.
const MAX_REMEMBERED_PARTS: usize = 4_096;
/// A part may be forgotten after this long, which is longer than an engine is ever assumed to hold
/// it.
const PART_RETENTION_MS: u64 = 10_000;

/// A backend server and what this router knows of it.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) entry: BackendServer,
    pub(super) run_tag: ServerRun,
    /// The version of its software.
    pub(crate) software: SoftwareTag,
    pub(crate) idle: IdlePool,
    /// How long it keeps idle connections.
    pub(super) idle_times: ServerIdleTimes,
    pub(crate) suspicion: FailureBackoff,
    /// Requests that this router has sent to it and that have not ended.
    pub(crate) in_flight: u32,
    /// Prompt tokens of this router's requests that the engine has yet to read.
    pub(crate) unread_tokens: u64,
    /// Requests of this router that the last report can't include yet: when each was sent, and how
    /// many tokens of memory it takes.
    sent: VecDeque<(MonoTime, u64)>,
    /// The last report of its state, from its sidecar or from the holder of the order lease.
    pub(crate) report: Option<Report>,
    /// Whether a sidecar has ever reported on it. From then on only the sidecar orders it to load.
    pub(crate) has_sidecar: bool,
    /// When this router first knew of it.
    pub(crate) known_since: MonoTime,
    /// When this router, as the holder of the order lease, last sent it an order.
    pub(crate) ordered: Option<MonoTime>,
    /// The number of other routers' requests there, from the load that it last gave with an answer,
    /// and when it gave it.
    pub(crate) foreign_load: (u32, MonoTime),
    /// The paces that its answers to this router have stated.
    pub(crate) pace_history: PaceHistory,
    /// When another server was last seen to answer at its address, until this one is seen again.
    replaced_at: Option<MonoTime>,
    /// Whether other entries have its address.
    pub(super) shares_address: bool,
    /// Whether an answer to this router or to another one said that it drains.
    pub(crate) said_leaving: bool,
    /// It has asked this router for no requests until then.
    pub(crate) rests_until: MonoTime,
    /// Another router has it on its list as draining, until then. By then this router has the list.
    pub(super) drains_elsewhere_until: MonoTime,
    /// When this router first knew that it drains, if it does.
    drains_since: Option<MonoTime>,
    /// When it is no longer slow after its start.
    pub(super) warm_from: MonoTime,
    /// When the list was first seen with the availability that it has now, if it had another before.
    pub(super) availability_since: Option<MonoTime>,
    /// Parts of prompts that the engine has read, by key, and when it last did.
    parts: HashMap<u64, MonoTime>,
}

/// The last report of an engine's state.
#[derive(Debug)]
pub(crate) struct Report {
    /// None while the engine does not answer.
    pub(crate) state: Option<EngineState>,
    /// When it was published, by this router's clock.
    pub(crate) heard: MonoTime,
    pub(super) incarnation: Incarnation,
    pub(super) sequence: u64,
}

impl Server {
    pub(super) fn new(entry: BackendServer, now: MonoTime) -> Self {
        Self {
            run_tag: ServerRun::of(&entry.id, entry.started_unix_ms),
            software: SoftwareTag::of(&entry.software),
            warm_from: now.plus_ms(entry.cold_ms),
            entry,
            idle: IdlePool::default(),
            idle_times: ServerIdleTimes::default(),
            suspicion: FailureBackoff::default(),
            in_flight: 0,
            unread_tokens: 0,
            sent: VecDeque::new(),
            report: None,
            has_sidecar: false,
            known_since: now,
            ordered: None,
            foreign_load: (0, MonoTime::ZERO),
            pace_history: PaceHistory::default(),
            replaced_at: None,
            shares_address: false,
            said_leaving: false,
            rests_until: MonoTime::ZERO,
            drains_elsewhere_until: MonoTime::ZERO,
            drains_since: None,
            availability_since: None,
            parts: HashMap::new(),
        }
    }

    /// Whether this router must send it no new requests now.
    pub(crate) fn declines(&self, now: MonoTime) -> bool {
        self.is_leaving() || now < self.rests_until.max(self.drains_elsewhere_until)
    }

    /// Records that it drains, according to the list, to its answers or to another router.
    pub(super) fn record_drain(&mut self, now: MonoTime) {
        self.drains_since.get_or_insert(now);
    }

    /// Forgets when it began to drain, unless its answers say that it does.
    pub(super) fn end_drain(&mut self) {
        self.drains_elsewhere_until = MonoTime::ZERO;
        self.drains_since = self.drains_since.filter(|_| self.said_leaving);
    }

    /// When this router first knew that it drains. `None` if it does not.
    pub(crate) fn drains_since(&self, now: MonoTime) -> Option<MonoTime> {
        let drains = self.is_leaving() || now < self.drains_elsewhere_until;
        self.drains_since.filter(|_| drains)
    }

    /// Whether it drains, according to the list or to its answers.
    pub(crate) fn is_leaving(&self) -> bool {
        self.entry.availability != Availability::Ready || self.said_leaving
    }

    /// Whether it is slow for a while after its start.
    pub(crate) fn is_cold(&self, now: MonoTime) -> bool {
        now < self.warm_from
    }

    /// The run that the entry describes, as a short tag.
    pub(crate) fn run_tag(&self) -> ServerRun {
        self.run_tag
    }

    /// What this router has sent to this run and has not ended, if anything.
    pub(super) fn load(&self) -> Option<(ServerRun, UnlistedLoad)> {
        let Self { in_flight, unread_tokens, .. } = *self;
        (in_flight > 0).then_some((self.run_tag, UnlistedLoad { in_flight, unread_tokens }))
    }

    pub(super) fn run(&self) -> Departure {
        Departure { id: self.entry.id.clone(), started_unix_ms: self.entry.started_unix_ms }
    }

    /// The engine's state from the last report, if that is recent.
    pub(crate) fn fresh_state(&self, now: MonoTime) -> Option<&EngineState> {
        let report = self.report.as_ref()?;
        let is_fresh = now.ms_since(report.heard) <= REPORT_LIFETIME_MS;
        report.state.as_ref().filter(|_| is_fresh)
    }

    /// Whether a recent report shows another run of the engine than the one that is listed.
    ///
    /// Such an engine answers under a new id, or has lost what it held in memory.
    pub(crate) fn has_unlisted_run(&self, now: MonoTime) -> bool {
        let reported = self.fresh_state(now).and_then(|state| state.started_unix_ms);
        let listed = self.entry.started_unix_ms;
        reported.is_some() && listed.is_some() && reported != listed
    }

    /// Records that another server answers at its address.
    pub(crate) fn record_replaced(&mut self, now: MonoTime) {
        self.replaced_at = Some(now);
    }

    /// Records that it has answered a request.
    pub(crate) fn record_answered(&mut self) {
        self.replaced_at = None;
    }

    /// Whether another server was seen to answer at its address, and this one has not been since.
    pub(crate) fn is_replaced(&self) -> bool {
        self.replaced_at.is_some()
    }

    /// Whether a recent report shows the run that is listed.
    pub(super) fn reports_itself(&self, now: MonoTime) -> bool {
        let reported = self.fresh_state(now).and_then(|state| state.started_unix_ms);
        reported.is_some() && reported == self.entry.started_unix_ms
    }

    /// Records a report of its state.
    pub(super) fn record_report(&mut self, report: Report, now: MonoTime) {
        let heard = report.heard;
        self.report = Some(report);
        if self.reports_itself(now) && self.replaced_at < Some(heard) {
            self.replaced_at = None;
        }
    }

    /// Whether it is known that a run of this server, which still ran at a time, has ended since: another
    /// one is listed under its id, was seen to answer at the address, or has reported.
    pub(super) fn has_ended(&self, run: ServerRun, ran_at: MonoTime) -> bool {
        let reported_since = self.report.as_ref().filter(|report| report.heard > ran_at);
        let reported = reported_since.and_then(|report| report.state.as_ref()?.started_unix_ms);
        let listed = self.entry.started_unix_ms;
        let is_other_reported = reported.is_some() && listed.is_some() && reported != listed;
        self.run_tag != run || self.is_replaced() || is_other_reported
    }

    /// Whether a recent report says that the engine does not answer.
    pub(crate) fn is_reported_gone(&self, now: MonoTime) -> bool {
        self.report.as_ref().is_some_and(|report| {
            report.state.is_none() && now.ms_since(report.heard) <= REPORT_LIFETIME_MS
        })
    }

    /// The version of a model that it holds, from the last report, else from the list.
    pub(crate) fn version(&self, model: &ModelName) -> Option<u64> {
        let reported = self.report.as_ref().and_then(|report| report.state.as_ref());
        let listed =
            || self.entry.models.iter().find(|held| held.model == *model).map(|held| held.version);
        match reported {
            Some(state) => {
                let held = state.models.iter().find(|held| held.model == *model);
                held.map(|held| held.version).or_else(listed)
            }
            None => listed(),
        }
    }

    /// Records a request that is sent now and takes memory for this many tokens.
    pub(crate) fn record_sent(&mut self, tokens: u64, now: MonoTime) {
        self.sent.push_back((now, tokens));
        self.forget_sent_before(now.minus_ms(REPORT_LIFETIME_MS));
    }

    /// Tokens of memory taken by requests of this router that the last report can't include yet.
    pub(crate) fn sent_tokens(&self) -> u64 {
        self.sent.iter().map(|(_, tokens)| tokens).sum()
    }

    /// Forgets the requests that were sent before a time, since a report now includes them.
    pub(super) fn forget_sent_before(&mut self, before: MonoTime) {
        while self.sent.front().is_some_and(|(sent, _)| *sent < before) {
            self.sent.pop_front();
        }
    }

    /// Records that the engine reads these parts now.
    pub(crate) fn remember_parts(&mut self, keys: &[u64], now: MonoTime) {
        if self.parts.len() > MAX_REMEMBERED_PARTS {
            self.parts.retain(|_, sent| now.ms_since(*sent) < PART_RETENTION_MS);
        }
        for key in keys {
            self.parts.insert(*key, now);
        }
    }

    /// Whether the engine is assumed to hold a part, when engines keep parts for `lifetime_ms`.
    pub(crate) fn holds_part(&self, key: u64, lifetime_ms: u64, now: MonoTime) -> bool {
        self.parts.get(&key).is_some_and(|sent| now.ms_since(*sent) < lifetime_ms)
    }
}

/// Returns the part of an engine's state that rollouts depend on.
pub(super) fn rollout_facts(state: &EngineState) -> (&[LoadedModel], bool, bool) {
    (&state.models, state.is_loading, state.running > 0)
}
