//! What this router knows of the backend servers, from the store, from reports and from requests.

mod addresses;
mod idle_connections;
mod server;
mod server_list;

use std::{
    collections::{HashMap, HashSet, hash_map::Entry},
    sync::Arc,
};

use samphirespread_core::prelude::*;
use samphirespread_peer::EngineKey;
use samphirespread_routing::{
    model::{Availability, BackendServer, EngineState, ServiceName},
    read_parts::EngineTag,
    server_limit::ServerRun,
    software::SoftwareTag,
    stale_connections::ServiceIdleTimes,
};

use self::{addresses::Addresses, server::rollout_facts};
pub(crate) use self::{
    addresses::NamedServices,
    server::{Report, Server},
    server_list::{ListedServer, ServerList, Unreadable, UnreadableEntries},
};

/// A departure is remembered for this long. Entries that lapse are back on the list much earlier.
const DEPARTURE_LIFETIME_MS: u64 = 600_000;
/// A departure that another router has on its list counts for this long after its last record, which
/// comes once a second.
const LISTED_DEPARTURE_LIFETIME_MS: u64 = 2_500;

/// One run of a backend server, which has said that it drains.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Departure {
    pub(crate) id: Arc<str>,
    pub(crate) started_unix_ms: Option<u64>,
}

/// A report of an engine's state that this router has received or made itself.
#[derive(Clone, Debug)]
pub(crate) struct EngineUpdate {
    pub(crate) engine: EngineKey,
    /// The publisher's run.
    pub(crate) incarnation: Incarnation,
    /// The number of the update within that run.
    pub(crate) sequence: u64,
    /// None while the engine does not answer.
    pub(crate) state: Option<EngineState>,
    /// When it was published, by this router's clock.
    pub(crate) published: MonoTime,
}

/// What an update has changed.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UpdateEffect {
    /// The engine is now known to be in another run than the listed one, and was not before.
    pub(crate) shows_unlisted_run: bool,
    /// Something that rollouts depend on has changed: the weights, whether the engine loads, is
    /// idle or answers.
    pub(crate) affects_rollout: bool,
}

/// A change of a server on the list, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum FleetChange {
    Appeared { id: Arc<str>, software: Arc<str>, cold_ms: u64 },
    Draining(Arc<str>),
    Gone(Arc<str>),
    Restarted(Arc<str>),
}

/// All backend servers.
#[derive(Debug, Default)]
pub(crate) struct Fleet {
    servers: HashMap<Arc<str>, Server>,
    by_service: HashMap<ServiceName, Vec<Arc<str>>>,
    /// The services that the configuration in force names.
    services: NamedServices,
    addresses: Addresses,
    by_tag: HashMap<EngineTag, Arc<str>>,
    by_run: HashMap<ServerRun, Arc<str>>,
    /// Runs that said that they drain. They are kept apart from the servers, since an entry may lapse
    /// and come back.
    departures: HashMap<Departure, KnownDeparture>,
    /// What this router has sent to runs that are not listed, or no longer, and has not ended.
    unlisted: HashMap<ServerRun, UnlistedLoad>,
    /// How long the servers of each named service keep idle connections.
    idle_times: HashMap<ServiceName, ServiceIdleTimes>,
}

/// How this router knows that a run of a server drains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DepartureSource {
    /// The server has told this router, which tells the others.
    FirstHand,
    /// Another router has told it.
    OtherRouter,
}

#[derive(Clone, Copy, Debug)]
struct KnownDeparture {
    since: MonoTime,
    source: DepartureSource,
}

/// This router's load on a run of a server that is not listed. The entry may come back.
#[derive(Clone, Copy, Debug, Default)]
struct UnlistedLoad {
    in_flight: u32,
    unread_tokens: u64,
}

impl Fleet {
    /// Replaces the services that the configuration in force names.
    pub(crate) fn set_services(&mut self, services: NamedServices) {
        self.idle_times.retain(|service, _| services.all.contains(service));
        self.services = services;
        self.rebuild_indexes();
    }

    /// Replaces the servers by those on the store's list.
    ///
    /// With `keeps_missing`, servers that are not on the list stay: right after an outage of the
    /// store, entries that lapsed during it are not back yet.
    pub(crate) fn replace(
        &mut self,
        entries: Vec<BackendServer>,
        keeps_missing: bool,
        now: MonoTime,
    ) -> Vec<FleetChange> {
        let mut changes = Vec::new();
        let listed: HashSet<Arc<str>> = entries.iter().map(|entry| entry.id.clone()).collect();
        self.servers.retain(|id, server| {
            let stays = keeps_missing || listed.contains(id);
            if !stays {
                changes.push(FleetChange::Gone(id.clone()));
                self.unlisted.extend(server.load());
            }
            stays
        });
        for entry in entries {
            self.set(entry, now, &mut changes);
        }
        if !changes.is_empty() {
            self.rebuild_indexes();
        }
        changes
    }

    fn set(&mut self, entry: BackendServer, now: MonoTime, changes: &mut Vec<FleetChange>) {
        let id = entry.id.clone();
        let Some(server) = self.servers.get_mut(&id) else {
            let software = entry.software.clone();
            let cold_ms = entry.cold_ms;
            changes.push(FleetChange::Appeared { id: id.clone(), software, cold_ms });
            if entry.availability == Availability::Draining {
                changes.push(FleetChange::Draining(id.clone()));
            }
            self.insert(entry, now);
            return;
        };
        let was_restarted = server.entry.started_unix_ms != entry.started_unix_ms
            || server.entry.address != entry.address
            || server.entry.service != entry.service
            || server.entry.software != entry.software;
        if was_restarted {
            changes.push(FleetChange::Restarted(id));
            self.insert(entry, now);
            return;
        }
        if server.entry.availability == Availability::Ready
            && entry.availability == Availability::Draining
        {
            changes.push(FleetChange::Draining(id));
        }
        if server.entry.availability != entry.availability {
            server.availability_since = Some(now);
            match entry.availability {
                Availability::Ready => server.end_drain(),
                Availability::Draining => server.record_drain(now),
            }
        }
        if server.entry.cold_ms != entry.cold_ms {
            server.warm_from = now.plus_ms(entry.cold_ms);
        }
        server.entry = entry;
    }

    fn insert(&mut self, entry: BackendServer, now: MonoTime) {
        if let Some(former) = self.servers.remove(&entry.id) {
            self.unlisted.extend(former.load());
        }
        let mut server = Server::new(entry, now);
        if let Some(known) = self.departures.get(&server.run()) {
            server.said_leaving = true;
            server.record_drain(known.since);
        }
        if server.is_leaving() {
            server.record_drain(now);
        }
        if let Some(load) = self.unlisted.remove(&server.run_tag) {
            server.in_flight = load.in_flight;
            server.unread_tokens = load.unread_tokens;
        }
        self.servers.insert(server.entry.id.clone(), server);
    }

    /// Records that a request of this router, with that many unread prompt tokens, is sent to a run
    /// of a server. Returns the server if that run is listed.
    pub(crate) fn record_begin(
        &mut self,
        id: &str,
        run: ServerRun,
        unread_tokens: u64,
    ) -> Option<&mut Server> {
        if self.listed_run(id, run).is_none() {
            let load = self.unlisted.entry(run).or_default();
            load.in_flight += 1;
            load.unread_tokens += unread_tokens;
        }
        let server = self.listed_run(id, run)?;
        server.in_flight += 1;
        server.unread_tokens += unread_tokens;
        Some(server)
    }

    /// Records that a run of a server has read that many prompt tokens of a request of this router.
    pub(crate) fn record_read(&mut self, id: &str, run: ServerRun, tokens: u64) {
        if let Some(server) = self.listed_run(id, run) {
            server.unread_tokens = server.unread_tokens.saturating_sub(tokens);
        } else if let Some(load) = self.unlisted.get_mut(&run) {
            load.unread_tokens = load.unread_tokens.saturating_sub(tokens);
        }
    }

    /// Records that a request of this router, with that many unread prompt tokens, has ended at a run
    /// of a server.
    pub(crate) fn record_end(&mut self, id: &str, run: ServerRun, unread_tokens: u64) {
        self.record_read(id, run, unread_tokens);
        if let Some(server) = self.listed_run(id, run) {
            server.in_flight = server.in_flight.saturating_sub(1);
            return;
        }
        let Some(load) = self.unlisted.get_mut(&run) else { return };
        load.in_flight = load.in_flight.saturating_sub(1);
        if load.in_flight == 0 {
            self.unlisted.remove(&run);
        }
    }

    fn listed_run(&mut self, id: &str, run: ServerRun) -> Option<&mut Server> {
        self.servers.get_mut(id).filter(|server| server.run_tag == run)
    }

    /// Records that another router has a run of a server on its list as draining. Returns whether that
    /// was not known yet.
    pub(crate) fn record_listed_departure(&mut self, run: &Departure, now: MonoTime) -> bool {
        let Some(server) = self.servers.get_mut(&run.id).filter(|server| server.run() == *run)
        else {
            return false;
        };
        let is_news = !server.declines(now);
        if server.drains_since(now).is_none() {
            server.end_drain();
            server.record_drain(now);
        }
        server.drains_elsewhere_until = now.plus_ms(LISTED_DEPARTURE_LIFETIME_MS);
        is_news
    }

    /// Returns the runs that are listed as draining, and are so for no longer than `within_ms`.
    pub(crate) fn listed_departures(
        &self,
        within_ms: u64,
        now: MonoTime,
    ) -> impl Iterator<Item = Departure> {
        let is_news = move |server: &&Server| {
            let since = server.availability_since.unwrap_or(server.known_since);
            server.entry.availability == Availability::Draining && now.ms_since(since) <= within_ms
        };
        self.servers.values().filter(is_news).map(Server::run)
    }

    /// Records that a run of a server drains. Returns whether that was not known yet.
    pub(crate) fn record_departure(
        &mut self,
        departure: Departure,
        source: DepartureSource,
        now: MonoTime,
    ) -> bool {
        if let Some(server) = self.servers.get_mut(&departure.id)
            && server.run() == departure
        {
            server.said_leaving = true;
            server.record_drain(now);
        }
        match self.departures.entry(departure) {
            Entry::Occupied(_) => false,
            Entry::Vacant(vacant) => {
                vacant.insert(KnownDeparture { since: now, source });
                true
            }
        }
    }

    /// Returns the runs that drain and of which this router learned first-hand within the last
    /// `within_ms`.
    pub(crate) fn departures(
        &self,
        within_ms: u64,
        now: MonoTime,
    ) -> impl Iterator<Item = &Departure> {
        let is_news = move |known: &KnownDeparture| {
            known.source == DepartureSource::FirstHand && now.ms_since(known.since) <= within_ms
        };
        self.departures.iter().filter(move |(_, known)| is_news(known)).map(|(run, _)| run)
    }

    fn rebuild_indexes(&mut self) {
        self.by_service.clear();
        let mut ids: Vec<Arc<str>> = self.servers.keys().cloned().collect();
        ids.sort();
        self.by_tag = ids.iter().map(|id| (EngineTag::of(id), id.clone())).collect();
        self.by_run = ids.iter().map(|id| (self.servers[id].run_tag(), id.clone())).collect();
        self.addresses = Addresses::new(self.servers.values(), &self.services);
        for id in ids {
            let Some(server) = self.servers.get_mut(&id) else { continue };
            let listed = self.addresses.listed_at(server.entry.address);
            server.shares_address = listed.iter().any(|other| *other != id);
            self.by_service.entry(server.entry.service.clone()).or_default().push(id);
        }
    }

    /// Whether another server answers at the address of a server, as far as is known.
    pub(crate) fn is_superseded(&self, server: &Server, now: MonoTime) -> bool {
        server.is_replaced() || self.successor(server, now).is_some()
    }

    /// Returns the other server that answers at the address of a server according to the list.
    fn successor(&self, server: &Server, now: MonoTime) -> Option<&Server> {
        if !server.shares_address {
            return None;
        }
        let listed = self.servers_of(self.addresses.listed_at(server.entry.address));
        addresses::answering(listed, now).filter(|other| other.entry.id != server.entry.id)
    }

    fn servers_of(&self, ids: &[Arc<str>]) -> impl Iterator<Item = &Server> {
        ids.iter().filter_map(|id| self.servers.get(id))
    }

    /// Whether it is known that a run of a server, which still ran at a time, has ended since.
    pub(crate) fn has_ended(
        &self,
        id: &str,
        run: ServerRun,
        ran_at: MonoTime,
        now: MonoTime,
    ) -> bool {
        let Some(server) = self.servers.get(id) else { return true };
        server.has_ended(run, ran_at) || self.successor(server, now).is_some()
    }

    /// Applies an update to the server that it is about.
    ///
    /// Returns its effect, or none if there is no such server or the update is not newer than the
    /// last report.
    pub(crate) fn apply_update(
        &mut self,
        update: EngineUpdate,
        now: MonoTime,
    ) -> Option<UpdateEffect> {
        let EngineUpdate { engine, incarnation, sequence, state, published } = update;
        let started_unix_ms = state.as_ref().and_then(|state| state.started_unix_ms);
        let listed = match engine {
            EngineKey::SidecarIp(address) => self.addresses.engines_at(address),
            EngineKey::EngineAddress(address) => self.addresses.listed_at(address),
        };
        let reported = addresses::reported(self.servers_of(listed), started_unix_ms)?;
        let id = reported.entry.id.clone();
        let server = self.servers.get_mut(&id)?;
        server.has_sidecar |= engine.is_from_sidecar();
        let is_old = server.report.as_ref().is_some_and(|known| match known.incarnation {
            run if run == incarnation => known.sequence >= sequence,
            // Incarnation numbers come from the wall clock, which may be wrong, so the run that
            // published later counts as the later one.
            _ => known.heard >= published,
        });
        if is_old {
            return None;
        }
        server.forget_sent_before(published);
        let had_unlisted_run = server.has_unlisted_run(now);
        let before = server.fresh_state(now).map(rollout_facts);
        let affects_rollout = before != state.as_ref().map(rollout_facts);
        server.record_report(Report { state, heard: published, incarnation, sequence }, now);
        let shows_unlisted_run = !had_unlisted_run && server.has_unlisted_run(now);
        Some(UpdateEffect { shows_unlisted_run, affects_rollout })
    }

    pub(crate) fn get(&self, id: &str) -> Option<&Server> {
        self.servers.get(id)
    }

    pub(crate) fn get_mut(&mut self, id: &str) -> Option<&mut Server> {
        self.servers.get_mut(id)
    }

    /// Returns the server whose id has this tag.
    pub(crate) fn get_by_tag_mut(&mut self, tag: EngineTag) -> Option<&mut Server> {
        self.servers.get_mut(self.by_tag.get(&tag)?)
    }

    /// Returns the server whose listed run has this tag.
    pub(crate) fn get_by_run(&self, run: ServerRun) -> Option<&Server> {
        self.servers.get(self.by_run.get(&run)?)
    }

    /// Returns the servers of a service, in the order of their ids.
    pub(crate) fn of_service(&self, service: &str) -> impl Iterator<Item = &Server> {
        let ids = self.by_service.get(service).map(Vec::as_slice).unwrap_or_default();
        ids.iter().filter_map(|id| self.servers.get(id))
    }

    /// Returns the version of each server's software, with its service.
    pub(crate) fn software(&self) -> impl Iterator<Item = (ServiceName, SoftwareTag)> {
        self.servers.values().map(|server| (server.entry.service.clone(), server.software))
    }

    /// Closes idle connections and drops departures that have expired.
    pub(crate) fn prune(&mut self, now: MonoTime) {
        for server in self.servers.values_mut() {
            server.idle.prune(now.as_ms());
        }
        self.departures.retain(|_, known| now.ms_since(known.since) < DEPARTURE_LIFETIME_MS);
    }
}
