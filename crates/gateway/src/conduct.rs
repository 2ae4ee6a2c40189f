//! Conducts the rollout of new weights: decides which engines load next.
//!
//! One router at a time conducts. It grants loads, and the sidecars or the holder of the order
//! lease order the engines to carry them out.

use std::{collections::HashSet, sync::Arc};

use samphirespread_core::prelude::*;
use samphirespread_fabric::precedes;
use samphirespread_logging::event;
use samphirespread_routing::{
    model::Availability,
    rollout::{Candidate, Phase, max_loading, may_take_runs, next_to_load},
};
use slog::info;

use crate::{
    fleet::Server,
    gateway::Core,
    orders::ORDER_TIMEOUT_MS,
    state::{Grant, OtherRouter, State},
};

/// A grant is repeated to its engine for this long, unless the engine reports that it loads.
const GRANT_LIFETIME_MS: u64 = 1_500;

/// Returns the engines of all services, without those at whose address another server answers.
pub(crate) fn engines(state: &State, now: MonoTime) -> impl Iterator<Item = &Server> {
    let services = state.table.iter().flat_map(|table| &table.configuration().services);
    services
        .filter(|service| service.engine.is_some())
        .flat_map(|service| state.fleet.of_service(&service.name))
        .filter(move |server| !state.fleet.is_superseded(server, now))
}

/// Counts the engines with a recent report, and all engines.
pub(crate) fn count_reporting_engines(state: &State, now: MonoTime) -> (usize, usize) {
    let (mut reporting, mut all) = (0, 0);
    for server in engines(state, now) {
        all += 1;
        reporting += usize::from(server.fresh_state(now).is_some());
    }
    (reporting, all)
}

/// Whether this router has recent reports of at least half of the engines, as it needs to conduct.
pub(crate) fn can_conduct(state: &State, now: MonoTime) -> bool {
    let (reporting, all) = count_reporting_engines(state, now);
    all > 0 && 2 * reporting >= all && !state.is_draining
}

/// Whether this router is the one that conducts now.
pub(crate) fn is_conductor(core: &Core, state: &State, now: MonoTime) -> bool {
    // The holder of the order lease takes precedence, since no other router can order engines
    // without a sidecar to load.
    let has_precedence = |router: &OtherRouter| match router.recent_state(now) {
        Some(published) if published.holds_order_lease != state.holds_orders => {
            published.can_conduct && published.holds_order_lease
        }
        Some(published) => published.can_conduct && precedes(&router.member, &core.member),
        None => false,
    };
    state.has_routers && can_conduct(state, now) && !state.routers.values().any(has_precedence)
}

/// Grants loads to the engines that are next, if this router conducts. Returns whether there are
/// new grants, which have to be sent to the sidecars.
pub(crate) fn grant_loads(core: &Core, state: &mut State, now: MonoTime) -> bool {
    drop_settled_grants(state, now);
    // Without the latest epoch an order could carry a lower fencing token than an earlier one.
    if state.orders_epoch.is_none() || !is_conductor(core, state, now) {
        return false;
    }
    let mut grants = Vec::new();
    for (model, versions) in state.weights.iter() {
        let candidates = candidates(state, model, now);
        let max_loading = max_loading(candidates.len());
        for index in next_to_load(&candidates, versions.newest(), max_loading) {
            grants.push((
                candidates[index].id.clone(),
                Grant { model: model.clone(), version: versions.newest(), at: now },
            ));
        }
    }
    for (id, grant) in &grants {
        info!(core.log, "{}", event::ROLLOUT_STEP; "server" => &**id,
            "model" => %grant.model, "version" => grant.version);
        state.granted.insert(id.clone(), grant.clone());
    }
    !grants.is_empty()
}

/// Returns those engines to which runs on version `held` may move: the last ones to load a newer one,
/// without those that are to load now or were granted a load.
pub(crate) fn takers_of_runs(
    state: &State,
    model: &ModelName,
    held: u64,
    newest: u64,
    now: MonoTime,
) -> HashSet<Arc<str>> {
    let candidates = candidates(state, model, now);
    let takers = may_take_runs(&candidates, held, newest, max_loading(candidates.len()));
    let ids = takers.into_iter().map(|index| candidates[index].id.clone());
    ids.filter(|id| !state.granted.contains_key(id)).collect()
}

fn candidates(state: &State, model: &ModelName, now: MonoTime) -> Vec<Candidate> {
    engines(state, now)
        .filter(|server| server.entry.availability == Availability::Ready && !server.said_leaving)
        .filter(|server| !state.is_entry_outdated(server, now))
        .filter_map(|server| {
            let version = server.version(model)?;
            Some(Candidate {
                id: server.entry.id.clone(),
                failure_domain: server.entry.failure_domain.clone(),
                version,
                phase: phase(state, server, now),
                running: server.fresh_state(now).map_or(0, |reported| reported.running),
                waiting: server.fresh_state(now).map_or(0, |reported| reported.waiting),
            })
        })
        .collect()
}

fn phase(state: &State, server: &Server, now: MonoTime) -> Phase {
    match server.fresh_state(now) {
        None => Phase::Unreachable,
        Some(_) if !may_be_ordered(state, server, now) => Phase::Unreachable,
        Some(reported) if reported.is_loading && reported.running > 0 => Phase::Finishing,
        Some(reported) if reported.is_loading => Phase::Loading,
        Some(_) if state.granted.contains_key(&server.entry.id) => Phase::Finishing,
        Some(_) => Phase::Serving,
    }
}

/// Whether the process that orders this engine to load may do so now.
///
/// An engine without a sidecar takes orders from the holder of the lease. A sidecar that comes back
/// may order once a lease term and a call's time limit have passed since the holder's last order.
fn may_be_ordered(state: &State, server: &Server, now: MonoTime) -> bool {
    let handover_ms = state.bounds.order_lease_ms + ORDER_TIMEOUT_MS;
    match server.has_sidecar {
        true => server.ordered.is_none_or(|ordered| now.ms_since(ordered) > handover_ms),
        false => state.holds_orders,
    }
}

/// Drops the grants of engines that are gone, hold the version or have begun to load, and the
/// grants that have expired.
fn drop_settled_grants(state: &mut State, now: MonoTime) {
    let fleet = &state.fleet;
    state.granted.retain(|id, grant| {
        let Some(server) = fleet.get(id) else { return false };
        let is_done = server.version(&grant.model).is_some_and(|held| held >= grant.version);
        let has_begun = server.fresh_state(now).is_some_and(|reported| reported.is_loading);
        !is_done && !has_begun && now.ms_since(grant.at) < GRANT_LIFETIME_MS
    });
}
