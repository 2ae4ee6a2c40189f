//! Gathers what is known of the backend servers of a service and chooses one.

use std::{net::SocketAddr, sync::Arc};

use samphirespread_adapter::headers::EngineInstructions;
use samphirespread_core::prelude::*;
use samphirespread_routing::{
    choice::{
        EngineView, Estimate, ServerView, Work, choose_engine, choose_server, fetch_ms,
        has_near_home,
    },
    demand::share_within_capacity,
    model::{Engine, Generation, PromptPart, Service, cache_salt},
    relocation::Handle,
    rollout::NamedVersions,
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    fleet::{Departure, Server},
    state::{CacheState, State},
    story::{Choice, Step},
};

/// What a router has sent since an engine's last report stands for what the others have sent too.
const OTHER_ROUTERS_FACTOR: u64 = 2;
/// Requests begin on older weights no later than this before the bound.
const ROLLOUT_MARGIN_MS: u64 = 1_200;
/// Steps in which a share of the requests is told.
const SHARE_STEPS: u64 = 1_000;
/// Load that a server told with an answer counts for this long.
const FOREIGN_LOAD_LIFETIME_MS: u64 = 300;

/// The backend server for one send.
#[derive(Clone, Debug)]
pub(crate) struct Selected {
    pub(crate) id: Arc<str>,
    pub(crate) address: SocketAddr,
    /// What an engine is told besides.
    pub(crate) engine: Option<EngineInstructions>,
    /// Connections that may rest there.
    pub(crate) max_idle: usize,
    /// Keys of the prompt's shared parts, which the engine will hold.
    pub(crate) part_keys: Vec<u64>,
    /// Prompt tokens that an engine will have to read.
    pub(crate) read_tokens: u64,
    /// What is expected of an engine.
    pub(crate) expected: Option<Estimate>,
    /// What its sidecar said last.
    pub(crate) heard: Option<Heard>,
    /// When this run of the server started.
    pub(crate) started_unix_ms: Option<u64>,
    /// The stopped run that goes on there, if it is not a new one.
    pub(crate) carries_on: Option<CarriesOn>,
    /// The decision, for the log.
    pub(crate) step: Step,
}

/// A stopped run that goes on from a copy of its memory.
#[derive(Clone, Debug)]
pub(crate) struct CarriesOn {
    /// The engine that ran it before.
    pub(crate) source: SocketAddr,
    /// The name of the copy.
    pub(crate) handle: Handle,
}

impl Selected {
    /// The run of the server that was chosen.
    pub(crate) fn run(&self) -> Departure {
        Departure { id: self.id.clone(), started_unix_ms: self.started_unix_ms }
    }
}

/// What a sidecar said last of its engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Heard {
    pub(crate) age_ms: u64,
    /// Requests that waited there.
    pub(crate) waiting: u32,
}

/// What is asked.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Demand<'a> {
    pub(crate) service: &'a Service,
    pub(crate) generation: Option<&'a Generation>,
    pub(crate) dedicated_team: Option<&'a TeamName>,
    /// Servers that are out of the question.
    pub(crate) tried: &'a [Arc<str>],
    /// The caller's id of the request.
    pub(crate) request_id: &'a str,
}

/// Where this router is, and its bounds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Place<'a> {
    pub(crate) failure_domain: &'a str,
    /// Time since the list of servers was confirmed.
    pub(crate) list_age_ms: Option<u64>,
}

/// Chooses the backend server for one send.
pub(crate) fn select(
    state: &State,
    demand: &Demand<'_>,
    place: &Place<'_>,
    now: MonoTime,
) -> Option<Selected> {
    let servers: Vec<&Server> = state
        .fleet
        .of_service(&demand.service.name)
        .filter(|server| is_eligible(state, server, demand.tried, now))
        .collect();
    match (demand.service.engine.as_ref(), demand.generation) {
        (Some(engine), Some(generation)) => {
            select_engine(state, demand, (engine, generation), place, &servers, now)
        }
        _ => select_server(state, demand, place, &servers, now),
    }
}

/// When the first server that only rests will take requests again.
pub(crate) fn next_return_ms(state: &State, service: &Service, now: MonoTime) -> Option<u64> {
    let resting = state.fleet.of_service(&service.name).filter(|server| now < server.rests_until);
    resting.map(|server| server.rests_until.ms_since(now)).min()
}

/// The lowest version of a model on which a request may still be sent.
pub(crate) fn oldest_allowed(state: &State, model: &ModelName, now: MonoTime) -> u64 {
    let bound_ms = state.bounds.rollout_ms.saturating_sub(ROLLOUT_MARGIN_MS);
    state.weights.get(model).map_or(0, |named| named.oldest_allowed(now, bound_ms))
}

/// Whether a server takes new requests.
pub(crate) fn is_eligible(
    state: &State,
    server: &Server,
    tried: &[Arc<str>],
    now: MonoTime,
) -> bool {
    let is_loading = server.fresh_state(now).is_some_and(|state| state.is_loading);
    let may_take = !server.declines(now) && !state.is_another(server, now);
    may_take && !is_loading && !tried.contains(&server.entry.id)
}

fn select_server(
    state: &State,
    demand: &Demand<'_>,
    place: &Place<'_>,
    servers: &[&Server],
    now: MonoTime,
) -> Option<Selected> {
    let view = |server: &&Server| {
        let (foreign, told) = server.foreign_load;
        let is_recent = now.ms_since(told) <= FOREIGN_LOAD_LIFETIME_MS;
        Some(ServerView {
            is_near: is_near(server, place),
            is_avoided: server.suspicion.is_avoided(now),
            load: server.in_flight + if is_recent { foreign } else { 0 },
            slots: server.entry.slots,
        })
    };
    let views: Vec<Option<ServerView>> = servers.iter().map(view).collect();
    let index = choose_server(&views)?;
    let server = servers[index];
    let is_near = views[index].is_some_and(|view| view.is_near);
    Some(Selected {
        id: server.entry.id.clone(),
        address: server.entry.address,
        engine: None,
        max_idle: max_idle(state, demand.service),
        part_keys: Vec::new(),
        read_tokens: 0,
        expected: None,
        heard: None,
        started_unix_ms: server.entry.started_unix_ms,
        carries_on: None,
        step: Step::Chose(Choice {
            server: server.entry.id.clone(),
            candidates: servers.len(),
            near: is_near,
            newest: true,
            version: None,
            estimate: None,
            report_age_ms: heard(server, now).map(|heard| heard.age_ms),
            list_age_ms: place.list_age_ms,
        }),
    })
}

fn select_engine(
    state: &State,
    demand: &Demand<'_>,
    (engine, generation): (&Engine, &Generation),
    place: &Place<'_>,
    servers: &[&Server],
    now: MonoTime,
) -> Option<Selected> {
    let near = servers.iter().filter(|server| is_near(server, place)).count();
    let has_near_home = has_near_home(engine, near, generation);
    let times = state.times.get(&demand.service.name).copied().unwrap_or_default();
    let speed = times.speed.tokens_per_ms();
    let named = state.weights.get(&generation.model);
    let oldest_allowed = oldest_allowed(state, &generation.model, now);
    let wanted_version = named.map_or(0, NamedVersions::newest);
    let order = homes(servers, generation);
    let mut keys = KeysOfVersions::new(demand.dedicated_team, generation);
    let mut views: Vec<Option<EngineView>> = vec![None; servers.len()];
    let (mut rank_of_newest, mut rank_of_near) = (0, 0);
    for index in order {
        let server = servers[index];
        let Some(version) = server.version(&generation.model) else { continue };
        let is_newest = version >= wanted_version;
        if version < oldest_allowed {
            continue;
        }
        let mut view = engine_view(server, generation, &keys.of(version).parts, place, now);
        view.is_newest = is_newest;
        let is_by_domain = has_near_home && view.is_near;
        view.home_rank = if is_by_domain { rank_of_near } else { rank_of_newest };
        rank_of_newest += usize::from(is_newest);
        rank_of_near += usize::from(is_newest && view.is_near);
        views[index] = Some(view);
    }
    let version_of = |index: usize| servers[index].version(&generation.model).unwrap_or(0);
    let store = cache_store(state, generation);
    let stored = |salt: &str| {
        let shared = generation.shared_parts();
        store.map_or(0, |(_, cache)| cache.contents.leading_tokens(salt, shared))
    };
    let work = Work {
        prompt_tokens: generation.prompt_tokens,
        shared_tokens: generation.shared_tokens(),
        stored_tokens: stored(&keys.of(wanted_version).salt),
        footprint_tokens: generation.footprint_tokens(),
        base_ms: times.speed.base_ms(),
        read_tokens_per_ms: speed,
        fetch_ms: fetch_ms(engine, generation) + times.fetch_delay.ms(now),
        prefers_newest: prefers_newest(state, demand.request_id, rank_of_newest, speed, now),
        has_near_home,
    };
    let (index, estimate) = choose_engine(&views, &work)?;
    let server = servers[index];
    let version = version_of(index);
    let KeysOfVersion { salt, parts: part_keys, .. } = keys.of(version).clone();
    let stored_tokens = stored(&salt);
    let store = store.map(|(address, _)| address);
    let view = views[index]?;
    let candidates = views.iter().flatten().count();
    Some(Selected {
        id: server.entry.id.clone(),
        address: server.entry.address,
        engine: Some(EngineInstructions {
            version,
            salt,
            fetch_from: store.filter(|_| stored_tokens > 0 && estimate.may_fetch),
            save_to: store.filter(|_| stored_tokens < work.shared_tokens),
        }),
        max_idle: max_idle(state, demand.service),
        part_keys,
        read_tokens: estimate.read_tokens,
        expected: Some(estimate),
        heard: heard(server, now),
        started_unix_ms: server.entry.started_unix_ms,
        carries_on: None,
        step: Step::Chose(Choice {
            server: server.entry.id.clone(),
            candidates,
            near: view.is_near,
            newest: view.is_newest,
            version: Some(version),
            estimate: Some(estimate),
            report_age_ms: heard(server, now).map(|heard| heard.age_ms),
            list_age_ms: place.list_age_ms,
        }),
    })
}

fn is_near(server: &Server, place: &Place<'_>) -> bool {
    *server.entry.failure_domain == *place.failure_domain
}

fn engine_view(
    server: &Server,
    generation: &Generation,
    keys: &[u64],
    place: &Place<'_>,
    now: MonoTime,
) -> EngineView {
    let reported = server.fresh_state(now);
    let parts = generation.shared_parts();
    let held = parts.iter().zip(keys).take_while(|(_, key)| server.holds_part(**key, now));
    let resident_tokens = held.map(|(part, _)| part.tokens).sum();
    let sent_tokens = server.sent_tokens() * OTHER_ROUTERS_FACTOR;
    EngineView {
        is_near: is_near(server, place),
        is_newest: true,
        is_avoided: server.suspicion.is_avoided(now) || server.is_reported_gone(now),
        running: reported.map_or(server.in_flight, |state| state.running),
        waiting: reported.map_or(0, |state| state.waiting),
        used_tokens: reported.map_or(0, |state| state.used_tokens) + sent_tokens,
        memory_tokens: reported.map_or(u64::MAX, |state| state.memory_tokens),
        unread_tokens: server.unread_tokens * OTHER_ROUTERS_FACTOR,
        resident_tokens,
        home_rank: 0,
    }
}

/// Whether a request is among those that the engines with the newest weights have room for.
fn prefers_newest(
    state: &State,
    request_id: &str,
    engines: usize,
    speed: f64,
    now: MonoTime,
) -> bool {
    let routers = f64::from(u32::try_from(state.routers.len() + 1).unwrap_or(u32::MAX));
    let demand = state.demand.tokens_per_ms(now) * routers;
    let share = share_within_capacity(engines, speed, demand);
    let point = xxh3_64_with_seed(request_id.as_bytes(), 0) % SHARE_STEPS;
    #[expect(clippy::cast_precision_loss, reason = "there are few steps")]
    let point = point as f64 / SHARE_STEPS as f64;
    point < share
}

/// The store that keeps the parts of this prompt: one of those that answer, the same for all routers.
fn cache_store<'a>(
    state: &'a State,
    generation: &Generation,
) -> Option<(SocketAddr, &'a CacheState)> {
    let subject = subject(generation).as_bytes();
    let up = state.caches.iter().filter(|(_, cache)| cache.is_up);
    up.max_by_key(|(address, _)| rendezvous::score(subject, &address.to_string()))
        .map(|(address, cache)| (*address, cache))
}

/// The part of a prompt that decides where its shared parts are kept.
fn subject(generation: &Generation) -> &str {
    let part = generation.shared_parts().last().or(generation.parts.last());
    part.map_or("", |part| &part.id)
}

/// The servers in the order in which they are preferred for a prompt's shared parts.
fn homes(servers: &[&Server], generation: &Generation) -> Vec<usize> {
    rendezvous::rank(subject(generation).as_bytes(), servers, |server| &server.entry.id)
}

/// Salts and keys of a prompt's shared parts by the version of the weights, of which a fleet holds few.
struct KeysOfVersions<'a> {
    dedicated_team: Option<&'a TeamName>,
    generation: &'a Generation,
    known: Vec<KeysOfVersion>,
}

#[derive(Clone)]
struct KeysOfVersion {
    version: u64,
    salt: String,
    parts: Vec<u64>,
}

impl<'a> KeysOfVersions<'a> {
    fn new(dedicated_team: Option<&'a TeamName>, generation: &'a Generation) -> Self {
        Self { dedicated_team, generation, known: Vec::new() }
    }

    fn of(&mut self, version: u64) -> &KeysOfVersion {
        let known = self.known.iter().position(|keys| keys.version == version);
        let index = known.unwrap_or_else(|| {
            let salt = cache_salt(version, self.dedicated_team);
            let parts = part_keys(&salt, self.generation.shared_parts());
            self.known.push(KeysOfVersion { version, salt, parts });
            self.known.len() - 1
        });
        &self.known[index]
    }
}

/// Keys of parts, each covering the parts before it.
fn part_keys(salt: &str, parts: &[PromptPart]) -> Vec<u64> {
    let mut key = xxh3_64_with_seed(salt.as_bytes(), 0);
    parts
        .iter()
        .map(|part| {
            key = xxh3_64_with_seed(part.id.as_bytes(), key);
            key
        })
        .collect()
}

/// This router's part of the connections that a server takes, less those in use at a change.
pub(crate) fn max_idle(state: &State, service: &Service) -> usize {
    (service.max_connections / (state.routers.len() + 2)).max(1)
}

fn heard(server: &Server, now: MonoTime) -> Option<Heard> {
    let report = server.report.as_ref()?;
    let waiting = report.state.as_ref().map_or(0, |state| state.waiting);
    Some(Heard { age_ms: now.ms_since(report.heard), waiting })
}
