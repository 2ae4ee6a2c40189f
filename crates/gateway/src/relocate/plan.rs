//! Chooses the engine that a run is moved to.

use std::{collections::HashSet, sync::Arc};

use samphirespread_adapter::headers::EngineInstructions;
use samphirespread_core::prelude::*;
use samphirespread_routing::{
    cache_scope::CacheScope,
    destinations::{Destination, RunToMove, choose_destination},
    model::{Generation, Service},
    rollout::NamedVersions,
};
use samphirespread_settings::Mechanism;

use crate::{
    active_request::ActiveRequest,
    conduct,
    fleet::Server,
    request_log::Step,
    select::{self, Selected},
    state::State,
};

/// Whether and how a run is to be moved.
pub(super) enum Plan {
    None,
    /// The run is to be moved, but no engine can take it now.
    NoDestination,
    /// The run is to be moved from the first engine to the second.
    Move(Box<(Selected, Selected)>),
}

pub(super) fn plan_move(request: &ActiveRequest, server: &Arc<str>, now: MonoTime) -> Plan {
    let Some((service, generation)) = request.service().zip(request.facts.generation.as_ref())
    else {
        return Plan::None;
    };
    let moves_runs = service.engine.is_some_and(|engine| engine.moves_runs)
        && request.core.settings.decisions.uses(Mechanism::Relocations);
    let state = request.core.state();
    let Some(source) = state.fleet.get(server).filter(|_| moves_runs) else { return Plan::None };
    if !source.is_leaving() && !source.fresh_state(now).is_some_and(|state| state.is_loading) {
        return Plan::None;
    }
    let Some(version) = source.version(&generation.model) else { return Plan::None };
    let to_move = run_to_move(&state, generation, version, now);
    let destination = destination(&state, service, &generation.model, source, &to_move, now);
    let Some(destination) = destination else { return Plan::NoDestination };
    let scope = state.cache_scope(&request.grant, now);
    if !request.is_run_in(&scope) {
        return Plan::None;
    }
    let selected_for = |server: &Server| Selected {
        is_near: *server.entry.failure_domain == *request.core.member.failure_domain,
        ..selected(&state, service, server, version, &scope)
    };
    Plan::Move(Box::new((selected_for(source), selected_for(destination))))
}

pub(super) fn run_to_move(
    state: &State,
    generation: &Generation,
    version: u64,
    now: MonoTime,
) -> RunToMove {
    RunToMove {
        version,
        oldest_allowed: select::oldest_allowed(state, &generation.model, now),
        footprint_tokens: generation.footprint_tokens(),
    }
}

fn destination<'a>(
    state: &'a State,
    service: &Service,
    model: &ModelName,
    source: &Server,
    to_move: &RunToMove,
    now: MonoTime,
) -> Option<&'a Server> {
    let takers = takers(state, model, to_move.version, now);
    let servers: Vec<&Server> = state.fleet.of_service(&service.name).collect();
    let host = |server: &&Server| {
        let takes_requests = server.entry.id != source.entry.id
            && server.software == source.software
            && takes_moved_runs(state, server, now)
            && !server.suspicion.is_avoided(now);
        if !takes_requests {
            return None;
        }
        // An engine without a fresh report counts as empty; it refuses runs it has no room for.
        let reported = server.fresh_state(now);
        Some(Destination {
            version: server.version(model)?,
            is_far: server.entry.failure_domain != source.entry.failure_domain,
            loads_soon: takers.as_ref().is_some_and(|takers| !takers.contains(&server.entry.id)),
            used_tokens: reported.map_or(0, |state| state.used_tokens) + server.sent_tokens(),
            memory_tokens: reported.map_or(u64::MAX, |state| state.memory_tokens),
            waiting: reported.map_or(0, |state| state.waiting),
            free_slots: server
                .entry
                .slots
                .saturating_sub(reported.map_or(0, |state| state.running)),
        })
    };
    let hosts: Vec<Option<Destination>> = servers.iter().map(host).collect();
    choose_destination(&hosts, to_move).map(|index| servers[index])
}

/// The engines that may take over runs on a version, or `None` if no engine that holds it is to load,
/// so that all may.
pub(super) fn takers(
    state: &State,
    model: &ModelName,
    version: u64,
    now: MonoTime,
) -> Option<HashSet<Arc<str>>> {
    let newest = state.weights.get(model).map_or(0, NamedVersions::newest);
    (version < newest).then(|| conduct::takers_of_runs(state, model, version, newest, now))
}

fn selected(
    state: &State,
    service: &Service,
    server: &Server,
    version: u64,
    scope: &CacheScope,
) -> Selected {
    Selected {
        id: server.entry.id.clone(),
        address: server.entry.address,
        engine: Some(EngineInstructions {
            version: Some(version),
            salt: scope.salt(version),
            fetch_from: None,
            save_to: None,
        }),
        software: server.software,
        max_connections: select::max_connections(state, service, server),
        part_keys: Vec::new(),
        read_tokens: 0,
        expected: None,
        is_near: false,
        leave_ratio: None,
        last_report: None,
        started_unix_ms: server.entry.started_unix_ms,
        stopped_run: None,
        step: Step::RunContinued { server: server.entry.id.clone() },
    }
}

/// Whether runs may be moved to an engine. One that limits requests is in need, and one whose sidecar gets
/// no answer would lose them.
pub(super) fn takes_moved_runs(state: &State, server: &Server, now: MonoTime) -> bool {
    let is_limited = state.server_limits.rate(server.run_tag()).is_some();
    select::is_eligible(state, server, &[], now) && !is_limited && !server.is_reported_gone(now)
}
