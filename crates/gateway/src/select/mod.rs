//! Gathers what is known of the backend servers of a service and chooses one.

mod engines;
mod parts;

use std::{net::SocketAddr, sync::Arc};

use samphirespread_adapter::headers::EngineInstructions;
use samphirespread_core::prelude::*;
use samphirespread_routing::{
    choice::{Estimate, ServerView, choose_server},
    model::{Generation, Service},
    relocation::Handle,
};
use samphirespread_settings::DecisionSettings;

use self::engines::select_engine;
use crate::{
    fleet::{Departure, Server},
    state::State,
    story::{Choice, Step},
};

/// Requests begin on older weights no later than this before the bound.
const ROLLOUT_MARGIN_MS: u64 = 1_200;
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
    /// Mechanisms in use.
    pub(crate) decisions: &'a DecisionSettings,
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
    let may_take = !server.declines(now) && !state.is_entry_outdated(server, now);
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

fn is_near(server: &Server, place: &Place<'_>) -> bool {
    *server.entry.failure_domain == *place.failure_domain
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
