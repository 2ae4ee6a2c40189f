//! The backend servers, as the store, their sidecars and requests tell.

use std::{
    collections::{HashMap, HashSet},
    net::IpAddr,
    sync::Arc,
};

use samphirespread_core::prelude::*;
use samphirespread_outbound::Idle;
use samphirespread_peer::{EngineReport, EngineState, HeldWeights};
use samphirespread_routing::{
    model::{BackendServer, ServiceName, Standing},
    suspicion::Suspicion,
};

/// A sidecar's report older than this says nothing about load.
pub(crate) const REPORT_LIFETIME_MS: u64 = 1_000;
/// Parts of prompts that are remembered for each engine.
const MAX_REMEMBERED_PARTS: usize = 4_096;
/// How long an engine is believed to hold parts that were sent there.
const PART_LIFETIME_MS: u64 = 6_000;

/// A backend server.
#[derive(Debug)]
pub(crate) struct Server {
    pub(crate) entry: BackendServer,
    pub(crate) idle: Idle,
    pub(crate) suspicion: Suspicion,
    /// Requests of this router that are there.
    pub(crate) in_flight: u32,
    /// Prompt tokens that the engine has yet to read for this router's requests.
    pub(crate) unread_tokens: u64,
    /// Memory of this router's requests that were sent since the last report.
    pub(crate) new_tokens: u64,
    /// What its sidecar said last.
    pub(crate) report: Option<Report>,
    /// Requests of other routers, from the load that it told with an answer, and when.
    pub(crate) foreign_load: (u32, MonoTime),
    /// Whether another server answers at its address.
    pub(crate) is_superseded: bool,
    parts: HashMap<u64, MonoTime>,
}

/// A sidecar's word.
#[derive(Debug)]
pub(crate) struct Report {
    pub(crate) state: Option<EngineState>,
    pub(crate) heard: MonoTime,
    incarnation: Incarnation,
    sequence: u64,
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
    fn new(entry: BackendServer) -> Self {
        Self {
            entry,
            idle: Idle::default(),
            suspicion: Suspicion::default(),
            in_flight: 0,
            unread_tokens: 0,
            new_tokens: 0,
            report: None,
            foreign_load: (0, MonoTime::ZERO),
            is_superseded: false,
            parts: HashMap::new(),
        }
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

    /// Remembers that the engine reads parts now.
    pub(crate) fn remember_parts(&mut self, keys: &[u64], now: MonoTime) {
        if self.parts.len() > MAX_REMEMBERED_PARTS {
            self.parts.retain(|_, sent| now.ms_since(*sent) < PART_LIFETIME_MS);
        }
        for key in keys {
            self.parts.insert(*key, now);
        }
    }

    /// Whether the engine is believed to hold a part.
    pub(crate) fn holds_part(&self, key: u64, now: MonoTime) -> bool {
        self.parts.get(&key).is_some_and(|sent| now.ms_since(*sent) < PART_LIFETIME_MS)
    }
}

/// The part of an engine's state that decides on rollouts.
fn rollout_facts(state: &EngineState) -> (&[HeldWeights], bool, bool) {
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
            self.set(entry, &mut news);
        }
        if !news.is_empty() {
            self.index();
        }
        news
    }

    fn set(&mut self, entry: BackendServer, news: &mut Vec<FleetNews>) {
        let id = entry.id.clone();
        let Some(server) = self.servers.get_mut(&id) else {
            news.push(FleetNews::Appeared(id.clone()));
            if entry.standing == Standing::Draining {
                news.push(FleetNews::Draining(id.clone()));
            }
            self.servers.insert(id, Server::new(entry));
            return;
        };
        let was_restarted = server.entry.started_unix_ms != entry.started_unix_ms
            || server.entry.address != entry.address;
        if was_restarted {
            news.push(FleetNews::Restarted(id));
            *server = Server::new(entry);
            return;
        }
        if server.entry.standing == Standing::Ready && entry.standing == Standing::Draining {
            news.push(FleetNews::Draining(id));
        }
        server.entry = entry;
    }

    fn index(&mut self) {
        self.by_service.clear();
        self.by_ip.clear();
        let mut ids: Vec<Arc<str>> = self.servers.keys().cloned().collect();
        ids.sort_by_key(|id| (self.servers[id].entry.started_unix_ms, id.clone()));
        let mut by_address = HashMap::new();
        for id in &ids {
            let entry = &self.servers[id].entry;
            // Of several entries with one address, that of the latest start comes last and stays.
            by_address.insert(entry.address, id.clone());
            self.by_ip.insert(entry.address.ip(), id.clone());
        }
        ids.sort();
        for id in ids {
            let Some(server) = self.servers.get_mut(&id) else { continue };
            let answers = by_address.get(&server.entry.address);
            if answers.is_some_and(|latest| *latest != id) {
                server.is_superseded = true;
            }
            self.by_service.entry(server.entry.service.clone()).or_default().push(id);
        }
    }

    /// Takes in the word of the sidecar at an address.
    ///
    /// Returns what it tells if it is newer than what was known.
    pub(crate) fn reported(
        &mut self,
        from: IpAddr,
        report: EngineReport,
        now: MonoTime,
    ) -> Option<Reported> {
        let id = self.by_ip.get(&from)?;
        let server = self.servers.get_mut(id)?;
        let order = (report.incarnation, report.sequence);
        let is_old = server
            .report
            .as_ref()
            .is_some_and(|known| (known.incarnation, known.sequence) >= order);
        if is_old {
            return None;
        }
        server.new_tokens = 0;
        let had_started_anew = server.has_started_anew(now);
        let before = server.fresh_state(now).map(rollout_facts);
        let is_news = before != report.state.as_ref().map(rollout_facts);
        server.report = Some(Report {
            state: report.state,
            heard: now,
            incarnation: report.incarnation,
            sequence: report.sequence,
        });
        let started_anew = !had_started_anew && server.has_started_anew(now);
        Some(Reported { started_anew, is_news })
    }

    pub(crate) fn get(&self, id: &str) -> Option<&Server> {
        self.servers.get(id)
    }

    pub(crate) fn get_mut(&mut self, id: &str) -> Option<&mut Server> {
        self.servers.get_mut(id)
    }

    /// The servers of a service, in the order of their ids.
    pub(crate) fn of_service(&self, service: &str) -> impl Iterator<Item = &Server> {
        let ids = self.by_service.get(service).map(Vec::as_slice).unwrap_or_default();
        ids.iter().filter_map(|id| self.servers.get(id))
    }

    /// Closes idle connections that have expired.
    pub(crate) fn prune(&mut self, now: MonoTime) {
        for server in self.servers.values_mut() {
            server.idle.prune(now.as_ms());
        }
    }
}
