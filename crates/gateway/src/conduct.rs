//! Conducts the rollout of weights: one router at a time says which engine loads next.

use std::{collections::HashSet, sync::Arc};

use samphirespread_core::prelude::*;
use samphirespread_fabric::precedes;
use samphirespread_logging::event;
use samphirespread_routing::{
    model::Availability,
    rollout::{Candidate, Phase, last_of_version, max_loading, next_to_load},
};
use slog::info;

use crate::{
    fleet::Server,
    gateway::Core,
    orders::ORDER_TIMEOUT_MS,
    state::{Grant, OtherRouter, State},
};

/// An engine that was asked to load and does not say that it does is asked again until then.
const GRANT_LIFETIME_MS: u64 = 1_500;

/// The engines of all services.
pub(crate) fn engines(state: &State) -> impl Iterator<Item = &Server> {
    let services = state.table.iter().flat_map(|table| &table.configuration().services);
    services
        .filter(|service| service.engine.is_some())
        .flat_map(|service| state.fleet.of_service(&service.name))
        .filter(|server| !server.is_superseded)
}

/// Engines whose sidecars were heard lately, and all engines.
pub(crate) fn heard_sidecars(state: &State, now: MonoTime) -> (usize, usize) {
    let (mut heard, mut all) = (0, 0);
    for server in engines(state) {
        all += 1;
        heard += usize::from(server.fresh_state(now).is_some());
    }
    (heard, all)
}

/// Whether this router hears enough sidecars to conduct.
pub(crate) fn can_conduct(state: &State, now: MonoTime) -> bool {
    let (heard, all) = heard_sidecars(state, now);
    all > 0 && 2 * heard >= all && !state.is_draining
}

/// Whether this router is the one that conducts now.
pub(crate) fn conducts(core: &Core, state: &State, now: MonoTime) -> bool {
    // Whoever may order engines without a sidecar goes first, since nobody else can carry their loads out.
    let has_precedence = |router: &OtherRouter| match router.told_lately(now) {
        Some(told) if told.holds_order_lease != state.holds_orders => {
            told.can_conduct && told.holds_order_lease
        }
        Some(told) => told.can_conduct && precedes(&router.member, &core.member),
        None => false,
    };
    can_conduct(state, now) && !state.routers.values().any(has_precedence)
}

/// Decides which engines load. Returns whether there is news for their sidecars.
pub(crate) fn conduct(core: &Core, state: &mut State, now: MonoTime) -> bool {
    settle_grants(state, now);
    // An order without the latest epoch could carry a lower fencing token than one before it.
    if state.orders_epoch.is_none() || !conducts(core, state, now) {
        return false;
    }
    let mut grants = Vec::new();
    for (model, named) in &state.weights {
        let candidates = candidates(state, model, now);
        let at_once = max_loading(candidates.len());
        for index in next_to_load(&candidates, named.newest(), at_once) {
            grants.push((
                candidates[index].id.clone(),
                Grant { model: model.clone(), version: named.newest(), at: now },
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

/// The engines that load a newer version last of those that hold this one.
pub(crate) fn last_to_load(
    state: &State,
    model: &ModelName,
    held: u64,
    newest: u64,
    now: MonoTime,
) -> HashSet<Arc<str>> {
    let candidates = candidates(state, model, now);
    let last = last_of_version(&candidates, held, newest);
    last.into_iter().map(|index| candidates[index].id.clone()).collect()
}

fn candidates(state: &State, model: &ModelName, now: MonoTime) -> Vec<Candidate> {
    engines(state)
        .filter(|server| server.entry.availability == Availability::Ready && !server.said_leaving)
        .filter(|server| !state.is_another(server, now))
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

/// Whether the process that orders this engine may do so now.
///
/// Without a sidecar that is the holder of the lease. A sidecar that comes back waits until the holder's last
/// order is long enough ago.
fn may_be_ordered(state: &State, server: &Server, now: MonoTime) -> bool {
    let turn_ms = state.bounds.order_lease_ms + ORDER_TIMEOUT_MS;
    match server.has_sidecar {
        true => server.ordered.is_none_or(|ordered| now.ms_since(ordered) > turn_ms),
        false => state.holds_orders,
    }
}

/// Drops grants that have been carried out, taken up or left unanswered for too long.
fn settle_grants(state: &mut State, now: MonoTime) {
    let fleet = &state.fleet;
    state.granted.retain(|id, grant| {
        let Some(server) = fleet.get(id) else { return false };
        let is_done = server.version(&grant.model).is_some_and(|held| held >= grant.version);
        let is_taken_up = server.fresh_state(now).is_some_and(|reported| reported.is_loading);
        !is_done && !is_taken_up && now.ms_since(grant.at) < GRANT_LIFETIME_MS
    });
}
