//! Chooses the engine for a request that generates text.

use samphirespread_adapter::headers::EngineInstructions;
use samphirespread_core::prelude::*;
use samphirespread_routing::{
    choice::{EngineView, Work, has_local_preferred_engine},
    demand::share_within_capacity,
    domain_traffic::{ChosenEngine, select_engine as select_by_price},
    model::{Engine, Generation},
    read_parts::lifetime_ms,
    rollout::NamedVersions,
    sources::{Holder, SourceKind, Stored, sources},
};
use samphirespread_settings::Mechanism;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{
    RouterContext, Selected, SelectionQuery,
    domain_traffic::{fetch_bytes_per_token, limit_unknown_memory},
    is_near, max_connections, oldest_allowed,
    parts::{KeysOfVersion, KeysOfVersions, cache_store, configured_store, preferred_order},
    report_summary,
};
use crate::{
    fleet::Server,
    request_log::{Choice, Step},
    server_speed::expected_pace,
    state::{EngineTimes, State},
};

/// What this router has sent to an engine since its last report is multiplied by this, to allow for
/// what the other routers have sent.
const ALL_ROUTERS_FACTOR: u64 = 2;
/// Assumed lifetime of cached prompt parts at engines when it is not computed.
const DEFAULT_PART_LIFETIME_MS: u64 = 6_000;
/// Number of steps in which a share of the requests can be expressed.
const SHARE_RESOLUTION: u64 = 1_000;

pub(super) fn select_engine(
    state: &State,
    query: &SelectionQuery<'_>,
    (engine, generation): (&Engine, &Generation),
    router: &RouterContext<'_>,
    servers: &[&Server],
    now: MonoTime,
) -> Option<Selected> {
    let mut keys = KeysOfVersions::new(query.cache_scope, generation);
    let part_lifetime_ms = match router.decisions.uses(Mechanism::PartLifetime) {
        true => lifetime_ms(engine.memory_tokens, servers.len(), read_demand(state, now)),
        false => DEFAULT_PART_LIFETIME_MS,
    };
    let selection = Selection { state, engine, generation, router, part_lifetime_ms, now };
    let near = servers.iter().filter(|server| is_near(server, router)).count();
    let has_local_preferred_engine = router.decisions.uses(Mechanism::LocalPreferredEngines)
        && has_local_preferred_engine(engine, near, generation);
    let times = state.times.get(&query.service.name).copied().unwrap_or_default();
    let mut views = selection.views(servers, has_local_preferred_engine, &mut keys);
    selection.add_sources(servers, &mut views, &times, &mut keys);
    let newest = views.iter().flatten().filter(|view| view.is_newest).count();
    let speed = times.speed.tokens_per_ms();
    let work = Work {
        prompt_tokens: generation.prompt_tokens,
        shared_tokens: generation.shared_tokens(),
        footprint_tokens: generation.footprint_tokens(),
        base_ms: times.speed.base_ms(),
        read_tokens_per_ms: speed,
        prefers_newest: !router.decisions.uses(Mechanism::NewestShare)
            || prefers_newest(state, query.request_id, newest, speed, now),
        has_local_preferred_engine,
    };
    let terms = state.domain_traffic.terms(query, now);
    let ChosenEngine { index, estimate, ratio } = match terms {
        Some(terms) => {
            limit_unknown_memory(&mut views, engine);
            let store = cache_store(state, generation);
            let store = store.and_then(|(address, _)| configured_store(state, address));
            let store_domain = store.map_or("", |store| &*store.failure_domain);
            let fetch_bytes = fetch_bytes_per_token(servers, &views, engine, store_domain);
            select_by_price(&views, &work, &fetch_bytes, Some(&terms))?
        }
        None => select_by_price(&views, &work, &[], None)?,
    };
    let server = servers[index];
    let version = server.version(&generation.model).unwrap_or(0);
    let KeysOfVersion { salt, parts: part_keys, .. } = keys.of(version).clone();
    let view = views[index]?;
    let store = cache_store(state, generation);
    let stored = store
        .map_or(0, |(_, cache)| cache.contents.leading_tokens(&salt, generation.shared_parts()));
    let store = store.map(|(address, _)| address);
    let fetch_from = match estimate.fetch_source {
        Some(SourceKind::Store) => store,
        Some(SourceKind::Engine(other)) => Some(servers[other].entry.address),
        None => None,
    };
    Some(Selected {
        id: server.entry.id.clone(),
        address: server.entry.address,
        engine: Some(EngineInstructions {
            version: Some(version),
            salt,
            fetch_from,
            save_to: store.filter(|_| stored < work.shared_tokens),
        }),
        max_connections: max_connections(state, query.service, server),
        part_keys,
        read_tokens: estimate.read_tokens,
        expected: Some(estimate),
        is_near: view.is_near,
        leave_ratio: ratio,
        last_report: report_summary(server, now),
        software: server.software,
        started_unix_ms: server.entry.started_unix_ms,
        stopped_run: None,
        step: Step::Chose(Choice {
            server: server.entry.id.clone(),
            software: server.entry.software.clone(),
            candidates: views.iter().flatten().count(),
            near: view.is_near,
            newest: view.is_newest,
            version: Some(version),
            estimate: Some(estimate),
            report_age_ms: report_summary(server, now).map(|report| report.age_ms),
            list_age_ms: router.list_age_ms,
        }),
    })
}

/// The inputs of the choice of an engine for one request.
#[derive(Clone, Copy)]
struct Selection<'a> {
    state: &'a State,
    engine: &'a Engine,
    generation: &'a Generation,
    router: &'a RouterContext<'a>,
    /// How long engines are assumed to keep prompt parts in their caches.
    part_lifetime_ms: u64,
    now: MonoTime,
}

impl Selection<'_> {
    /// Views of the engines whose weights may still be used; `None` for the others.
    fn views(
        &self,
        servers: &[&Server],
        has_local_preferred_engine: bool,
        keys: &mut KeysOfVersions<'_>,
    ) -> Vec<Option<EngineView>> {
        let model = &self.generation.model;
        let oldest_allowed = oldest_allowed(self.state, model, self.now);
        let wanted = self.state.weights.get(model).map_or(0, NamedVersions::newest);
        let mut views: Vec<Option<EngineView>> = vec![None; servers.len()];
        let (mut rank_of_newest, mut rank_of_near) = (0, 0);
        for index in preferred_order(servers, self.generation) {
            let server = servers[index];
            let version = server.version(model).filter(|version| *version >= oldest_allowed);
            let Some(version) = version else { continue };
            let mut view = self.view(server, &keys.of(version).parts);
            view.is_newest = version >= wanted;
            view.usable_ms = usable_ms(self.state, model, version, self.now);
            let is_by_domain = has_local_preferred_engine && view.is_near;
            if self.router.decisions.uses(Mechanism::PreferredEngines) {
                view.preference_rank = if is_by_domain { rank_of_near } else { rank_of_newest };
            }
            rank_of_newest += usize::from(view.is_newest);
            rank_of_near += usize::from(view.is_newest && view.is_near);
            views[index] = Some(view);
        }
        views
    }

    fn view(&self, server: &Server, keys: &[u64]) -> EngineView {
        let now = self.now;
        let reported = server.fresh_state(now);
        let parts = self.generation.shared_parts();
        let held = parts
            .iter()
            .zip(keys)
            .take_while(|(_, key)| server.holds_part(**key, self.part_lifetime_ms, now));
        let resident_tokens = held.map(|(part, _)| part.tokens).sum();
        let sent_tokens = server.sent_tokens() * ALL_ROUTERS_FACTOR;
        EngineView {
            is_near: is_near(server, self.router),
            is_newest: true,
            usable_ms: u64::MAX,
            is_avoided: server.suspicion.is_avoided(now) || server.is_reported_gone(now),
            running: reported.map_or(server.in_flight, |state| state.running),
            waiting: reported.map_or(0, |state| state.waiting),
            used_tokens: reported.map_or(0, |state| state.used_tokens) + sent_tokens,
            memory_tokens: reported.map_or(u64::MAX, |state| state.memory_tokens),
            unread_tokens: server.unread_tokens * ALL_ROUTERS_FACTOR,
            resident_tokens,
            source: None,
            preference_rank: 0,
            pace: expected_pace(server, self.router.decisions, now),
        }
    }

    /// Adds to each view the source from which the engine may fetch the shared parts that it lacks.
    fn add_sources(
        &self,
        servers: &[&Server],
        views: &mut [Option<EngineView>],
        times: &EngineTimes,
        keys: &mut KeysOfVersions<'_>,
    ) {
        let model = &self.generation.model;
        let decisions = self.router.decisions;
        let delay_ms = match decisions.uses(Mechanism::StoreDelay) {
            true => times.fetch_delay.ms(self.now),
            false => 0.0,
        };
        let holders: Vec<Option<Holder<'_>>> = servers
            .iter()
            .zip(views.iter())
            .map(|(server, view)| {
                let view = view.as_ref()?;
                Some(Holder {
                    domain: &server.entry.failure_domain,
                    version: server.version(model)?,
                    resident_tokens: view.resident_tokens,
                    is_preferred: view.preference_rank == 0,
                })
            })
            .collect();
        let mut versions: Vec<u64> =
            holders.iter().flatten().map(|holder| holder.version).collect();
        versions.sort_unstable();
        versions.dedup();
        let stored: Vec<Stored<'_>> = versions
            .into_iter()
            .filter_map(|version| self.stored(version, &keys.of(version).salt, delay_ms))
            .collect();
        let speed = times.speed.tokens_per_ms();
        let sources = match decisions.uses(Mechanism::EngineFetches) {
            true => sources(&holders, &stored, self.engine, speed),
            false => holders
                .iter()
                .flat_map(|holder| sources(&[*holder], &stored, self.engine, speed))
                .collect(),
        };
        for (view, source) in views.iter_mut().zip(sources) {
            if let Some(view) = view {
                view.source = source;
            }
        }
    }

    fn stored(&self, version: u64, salt: &str, delay_ms: f64) -> Option<Stored<'_>> {
        let (address, cache) = cache_store(self.state, self.generation)?;
        let tokens = cache.contents.leading_tokens(salt, self.generation.shared_parts());
        let store = configured_store(self.state, address);
        let link_mbps = store.and_then(|store| store.link_mbps).unwrap_or(self.engine.link_mbps);
        let domain = store.map_or("", |store| &*store.failure_domain);
        (tokens > 0).then_some(Stored { version, tokens, domain, link_mbps, delay_ms })
    }
}

fn usable_ms(state: &State, model: &ModelName, version: u64, now: MonoTime) -> u64 {
    let named = state.weights.get(model);
    named.map_or(u64::MAX, |named| named.left_ms(version, now, state.bounds.rollout_ms))
}

/// Estimates the unread prompt tokens per millisecond that all routers send together, as if each
/// had the same load as this one.
fn read_demand(state: &State, now: MonoTime) -> f64 {
    let routers = f64::from(u32::try_from(state.routers.len() + 1).unwrap_or(u32::MAX));
    state.demand.tokens_per_ms(now) * routers
}

/// Whether a request belongs to the share that the engines with the newest weights have room for.
fn prefers_newest(
    state: &State,
    request_id: &str,
    engines: usize,
    speed: f64,
    now: MonoTime,
) -> bool {
    let share = share_within_capacity(engines, speed, read_demand(state, now));
    let point = xxh3_64_with_seed(request_id.as_bytes(), 0) % SHARE_RESOLUTION;
    #[expect(clippy::cast_precision_loss, reason = "there are few steps")]
    let point = point as f64 / SHARE_RESOLUTION as f64;
    point < share
}
