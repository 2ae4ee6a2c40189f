//! The backend servers, as the store, their sidecars and requests tell.

use std::{
    collections::{HashMap, HashSet, VecDeque, hash_map::Entry},
    net::{IpAddr, SocketAddr},
    sync::Arc,
};

use samphirespread_core::prelude::*;
use samphirespread_outbound::IdlePool;
use samphirespread_peer::EngineKey;
use samphirespread_routing::{
    backoff::FailureBackoff,
    model::{Availability, BackendServer, EngineState, LoadedModel, ServiceName},
    read_parts::EngineTag,
};

/// A sidecar's report older than this says nothing about load.
pub(crate) const REPORT_LIFETIME_MS: u64 = 1_000;
/// Parts of prompts that are remembered for each engine.
const MAX_REMEMBERED_PARTS: usize = 4_096;
/// How long it is remembered that a run of a server drains. Entries that lapse are back long before that.
const DEPARTURE_LIFETIME_MS: u64 = 600_000;
/// Parts are remembered for this long: longer than an engine is ever believed to hold them.
const PART_REMEMBERED_MS: u64 = 10_000;

/// A backend server.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) entry: BackendServer,
    pub(crate) idle: IdlePool,
    pub(crate) suspicion: FailureBackoff,
    /// Requests of this router that are there.
    pub(crate) in_flight: u32,
    /// Prompt tokens that the engine has yet to read for this router's requests.
    pub(crate) unread_tokens: u64,
    /// Memory of this router's requests that the last report can't tell of yet, and when they were sent.
    sent: VecDeque<(MonoTime, u64)>,
    /// What its sidecar said last, or the router that holds the lease on orders.
    pub(crate) report: Option<Report>,
    /// Whether a process beside it was ever heard; then only that one orders it.
    pub(crate) has_sidecar: bool,
    /// When it was first known.
    pub(crate) known_since: MonoTime,
    /// When this router, holding the lease on orders, ordered it last.
    pub(crate) ordered: Option<MonoTime>,
    /// Requests of other routers, from the load that it told with an answer, and when.
    pub(crate) foreign_load: (u32, MonoTime),
    /// Whether another server answers at its address.
    pub(crate) is_superseded: bool,
    /// Whether it said with an answer that it drains, to this router or to another one.
    pub(crate) said_leaving: bool,
    /// Until then it wants no requests from this router.
    pub(crate) rests_until: MonoTime,
    parts: HashMap<u64, MonoTime>,
}

/// One run of a backend server that said that it drains.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Departure {
    pub(crate) id: Arc<str>,
    pub(crate) started_unix_ms: Option<u64>,
}

/// A sidecar's word.
#[derive(Debug)]
pub(crate) struct Report {
    pub(crate) state: Option<EngineState>,
    /// When it said so.
    pub(crate) heard: MonoTime,
    incarnation: Incarnation,
    sequence: u64,
}

/// What was published of an engine.
#[derive(Clone, Debug)]
pub(crate) struct EngineWord {
    pub(crate) engine: EngineKey,
    /// The publisher's run, and the number of the word in it.
    pub(crate) incarnation: Incarnation,
    pub(crate) sequence: u64,
    /// None while the engine does not answer.
    pub(crate) state: Option<EngineState>,
    /// When it was published, by this router's clock.
    pub(crate) published: MonoTime,
}

/// What a newer word of a sidecar tells.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reported {
    /// Its engine began another run than the one that is listed, which was not known yet.
    pub(crate) started_anew: bool,
    /// What decides on rollouts has changed: weights, loading, or whether the engine answers.
    pub(crate) is_news: bool,
}

impl Server {
    fn new(entry: BackendServer, now: MonoTime) -> Self {
        Self {
            entry,
            idle: IdlePool::default(),
            suspicion: FailureBackoff::default(),
            in_flight: 0,
            unread_tokens: 0,
            sent: VecDeque::new(),
            report: None,
            has_sidecar: false,
            known_since: now,
            ordered: None,
            foreign_load: (0, MonoTime::ZERO),
            is_superseded: false,
            said_leaving: false,
            rests_until: MonoTime::ZERO,
            parts: HashMap::new(),
        }
    }

    /// Whether it wants no new requests from this router.
    pub(crate) fn declines(&self, now: MonoTime) -> bool {
        self.leaves() || now < self.rests_until
    }

    /// Whether it is on its way out.
    pub(crate) fn leaves(&self) -> bool {
        self.entry.availability != Availability::Ready || self.said_leaving
    }

    fn run(&self) -> Departure {
        Departure { id: self.entry.id.clone(), started_unix_ms: self.entry.started_unix_ms }
    }

    /// What the sidecar says, if that is recent.
    pub(crate) fn fresh_state(&self, now: MonoTime) -> Option<&EngineState> {
        let report = self.report.as_ref()?;
        let is_fresh = now.ms_since(report.heard) <= REPORT_LIFETIME_MS;
        report.state.as_ref().filter(|_| is_fresh)
    }

    /// Whether the sidecar says that its engine began another run than the one that is listed.
    ///
    /// Such an engine answers under a new id, or has forgotten what it had.
    pub(crate) fn has_started_anew(&self, now: MonoTime) -> bool {
        let reported = self.fresh_state(now).and_then(|state| state.started_unix_ms);
        let listed = self.entry.started_unix_ms;
        reported.is_some() && listed.is_some() && reported != listed
    }

    /// Whether the sidecar says that the engine does not answer.
    pub(crate) fn is_reported_gone(&self, now: MonoTime) -> bool {
        self.report.as_ref().is_some_and(|report| {
            report.state.is_none() && now.ms_since(report.heard) <= REPORT_LIFETIME_MS
        })
    }

    /// The version of a model that it holds, by the latest word.
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

    /// Remembers that a request is sent that takes that much memory.
    pub(crate) fn note_sent(&mut self, tokens: u64, now: MonoTime) {
        self.sent.push_back((now, tokens));
        self.drop_told(now.minus_ms(REPORT_LIFETIME_MS));
    }

    /// Memory of this router's requests that the last report can't tell of yet.
    pub(crate) fn sent_tokens(&self) -> u64 {
        self.sent.iter().map(|(_, tokens)| tokens).sum()
    }

    /// Drops what was sent before a moment.
    fn drop_told(&mut self, before: MonoTime) {
        while self.sent.front().is_some_and(|(sent, _)| *sent < before) {
            self.sent.pop_front();
        }
    }

    /// Remembers that the engine reads parts now.
    pub(crate) fn remember_parts(&mut self, keys: &[u64], now: MonoTime) {
        if self.parts.len() > MAX_REMEMBERED_PARTS {
            self.parts.retain(|_, sent| now.ms_since(*sent) < PART_REMEMBERED_MS);
        }
        for key in keys {
            self.parts.insert(*key, now);
        }
    }

    /// Whether the engine is believed to hold a part, where parts stay for that long.
    pub(crate) fn holds_part(&self, key: u64, lifetime_ms: u64, now: MonoTime) -> bool {
        self.parts.get(&key).is_some_and(|sent| now.ms_since(*sent) < lifetime_ms)
    }
}

/// The part of an engine's state that decides on rollouts.
fn rollout_facts(state: &EngineState) -> (&[LoadedModel], bool, bool) {
    (&state.models, state.is_loading, state.running > 0)
}

/// A change of what is believed of a server, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum FleetNews {
    Appeared(Arc<str>),
    Draining(Arc<str>),
    Gone(Arc<str>),
    Restarted(Arc<str>),
}

/// All backend servers.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    servers: HashMap<Arc<str>, Server>,
    by_service: HashMap<ServiceName, Vec<Arc<str>>>,
    by_ip: HashMap<IpAddr, Arc<str>>,
    by_address: HashMap<SocketAddr, Arc<str>>,
    by_tag: HashMap<EngineTag, Arc<str>>,
    /// Runs that said that they drain, and when that was known. They outlast the entry, which may lapse and
    /// come back.
    departures: HashMap<Departure, MonoTime>,
}

impl Fleet {
    /// Takes over the store's list.
    ///
    /// With `keeps_missing`, servers that are not on it stay: right after an outage of the store the
    /// entries that lapsed meanwhile have yet to come back.
    pub(crate) fn replace(
        &mut self,
        entries: Vec<BackendServer>,
        keeps_missing: bool,
        now: MonoTime,
    ) -> Vec<FleetNews> {
        let mut news = Vec::new();
        let listed: HashSet<Arc<str>> = entries.iter().map(|entry| entry.id.clone()).collect();
        self.servers.retain(|id, _| {
            let stays = keeps_missing || listed.contains(id);
            if !stays {
                news.push(FleetNews::Gone(id.clone()));
            }
            stays
        });
        for entry in entries {
            self.set(entry, now, &mut news);
        }
        if !news.is_empty() {
            self.index();
        }
        news
    }

    fn set(&mut self, entry: BackendServer, now: MonoTime, news: &mut Vec<FleetNews>) {
        let id = entry.id.clone();
        let Some(server) = self.servers.get_mut(&id) else {
            news.push(FleetNews::Appeared(id.clone()));
            if entry.availability == Availability::Draining {
                news.push(FleetNews::Draining(id.clone()));
            }
            self.insert(entry, now);
            return;
        };
        let was_restarted = server.entry.started_unix_ms != entry.started_unix_ms
            || server.entry.address != entry.address;
        if was_restarted {
            news.push(FleetNews::Restarted(id));
            self.insert(entry, now);
            return;
        }
        if server.entry.availability == Availability::Ready
            && entry.availability == Availability::Draining
        {
            news.push(FleetNews::Draining(id));
        }
        server.entry = entry;
    }

    fn insert(&mut self, entry: BackendServer, now: MonoTime) {
        let mut server = Server::new(entry, now);
        server.said_leaving = self.departures.contains_key(&server.run());
        self.servers.insert(server.entry.id.clone(), server);
    }

    /// Takes in that a run of a server drains. Returns whether that is news.
    pub(crate) fn departs(&mut self, departure: Departure, now: MonoTime) -> bool {
        if let Some(server) = self.servers.get_mut(&departure.id) {
            server.said_leaving |= server.run() == departure;
        }
        match self.departures.entry(departure) {
            Entry::Occupied(_) => false,
            Entry::Vacant(unknown) => {
                unknown.insert(now);
                true
            }
        }
    }

    /// The runs that drain, of which this router has known for less than that.
    pub(crate) fn departures(
        &self,
        within_ms: u64,
        now: MonoTime,
    ) -> impl Iterator<Item = &Departure> {
        let known = self.departures.iter();
        known.filter(move |(_, since)| now.ms_since(**since) <= within_ms).map(|(run, _)| run)
    }

    fn index(&mut self) {
        self.by_service.clear();
        self.by_ip.clear();
        let mut ids: Vec<Arc<str>> = self.servers.keys().cloned().collect();
        ids.sort_by_key(|id| (self.servers[id].entry.started_unix_ms, id.clone()));
        self.by_address.clear();
        self.by_tag = ids.iter().map(|id| (EngineTag::of(id), id.clone())).collect();
        for id in &ids {
            let entry = &self.servers[id].entry;
            // Of several entries with one address, that of the latest start comes last and stays.
            self.by_address.insert(entry.address, id.clone());
            self.by_ip.insert(entry.address.ip(), id.clone());
        }
        ids.sort();
        for id in ids {
            let Some(server) = self.servers.get_mut(&id) else { continue };
            let answers = self.by_address.get(&server.entry.address);
            if answers.is_some_and(|latest| *latest != id) {
                server.is_superseded = true;
            }
            self.by_service.entry(server.entry.service.clone()).or_default().push(id);
        }
    }

    /// Takes in what was published of the engine at an address.
    ///
    /// Returns what it tells if it is newer than what was known.
    pub(crate) fn reported(&mut self, word: EngineWord, now: MonoTime) -> Option<Reported> {
        let EngineWord { engine, incarnation, sequence, state, published } = word;
        let id = match engine {
            EngineKey::SidecarIp(address) => self.by_ip.get(&address)?,
            EngineKey::EngineAddress(address) => self.by_address.get(&address)?,
        };
        let server = self.servers.get_mut(id)?;
        server.has_sidecar |= engine.is_from_sidecar();
        let is_old = server.report.as_ref().is_some_and(|known| match known.incarnation {
            run if run == incarnation => known.sequence >= sequence,
            // Of two runs the one that told later is the later one, whatever the wall clock made of their
            // numbers.
            _ => known.heard >= published,
        });
        if is_old {
            return None;
        }
        server.drop_told(published);
        let had_started_anew = server.has_started_anew(now);
        let before = server.fresh_state(now).map(rollout_facts);
        let is_news = before != state.as_ref().map(rollout_facts);
        server.report = Some(Report { state, heard: published, incarnation, sequence });
        let started_anew = !had_started_anew && server.has_started_anew(now);
        Some(Reported { started_anew, is_news })
    }

    pub(crate) fn get(&self, id: &str) -> Option<&Server> {
        self.servers.get(id)
    }

    pub(crate) fn get_mut(&mut self, id: &str) -> Option<&mut Server> {
        self.servers.get_mut(id)
    }

    /// The server of a tag.
    pub(crate) fn tagged_mut(&mut self, tag: EngineTag) -> Option<&mut Server> {
        self.servers.get_mut(self.by_tag.get(&tag)?)
    }

    /// The servers of a service, in the order of their ids.
    pub(crate) fn of_service(&self, service: &str) -> impl Iterator<Item = &Server> {
        let ids = self.by_service.get(service).map(Vec::as_slice).unwrap_or_default();
        ids.iter().filter_map(|id| self.servers.get(id))
    }

    /// Closes idle connections and drops departures that have expired.
    pub(crate) fn prune(&mut self, now: MonoTime) {
        for server in self.servers.values_mut() {
            server.idle.prune(now.as_ms());
        }
        self.departures.retain(|_, known| now.ms_since(*known) < DEPARTURE_LIFETIME_MS);
    }
}
