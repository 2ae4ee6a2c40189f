//! Decides whether a run may be stopped, by what is known at that moment.

use std::sync::Arc;

use samphirespread_core::prelude::*;
use samphirespread_routing::{
    crash_causes::CauseKey,
    model::ServiceName,
    software::SoftwareTag,
    stopping::{Stay, StopFacts, may_stop},
};

use super::plan::{takers, takes_moved_runs};
use crate::{
    active_request::ActiveRequest,
    crashes,
    fleet::Server,
    gateway::Core,
    select::{self, Selected},
    state::State,
};

/// What decides whether a run may be stopped. It is checked before the memory is copied and again
/// right before the stop.
#[derive(Clone, Debug)]
pub(super) struct StopCheck {
    service: ServiceName,
    model: ModelName,
    version: u64,
    source: Arc<str>,
    destination: Arc<str>,
    /// The version of the software that began the stream.
    software: SoftwareTag,
    /// Whether the request allows a new run.
    pub(super) may_resume: bool,
    has_repeat: bool,
    /// When the answer to the request is due.
    pub(super) deadline: MonoTime,
    /// What in the request may crash servers.
    causes: Vec<CauseKey>,
}

impl StopCheck {
    pub(super) fn new(
        request: &ActiveRequest,
        source: &Selected,
        destination: &Selected,
        has_repeat: bool,
    ) -> Option<Self> {
        let (service, generation) = request.service().zip(request.facts.generation.as_ref())?;
        Some(Self {
            service: service.name.clone(),
            model: generation.model.clone(),
            version: source.engine.as_ref()?.version?,
            source: source.id.clone(),
            destination: destination.id.clone(),
            software: source.software,
            may_resume: request.may_resume(),
            has_repeat,
            deadline: request.deadline,
            causes: request.possible_causes().iter().map(|cause| cause.key).collect(),
        })
    }

    pub(super) fn decide(&self, core: &Core, now: MonoTime) -> Result<(), Stay> {
        let state = &core.state();
        let takers = takers(state, &self.model, self.version, now);
        let loads_soon = takers.as_ref().is_some_and(|takers| !takers.contains(&self.destination));
        let takes_runs = |server: &Server| {
            takes_moved_runs(state, server, now)
                && server.version(&self.model) == Some(self.version)
        };
        let source = state.fleet.get(&self.source);
        let is_allowed = self.version >= select::oldest_allowed(state, &self.model, now);
        may_stop(&StopFacts {
            destination_takes_runs: is_allowed
                && !loads_soon
                && state.fleet.get(&self.destination).is_some_and(takes_runs),
            newer_weights_named: takers.is_some(),
            source_leaves: source.is_none_or(Server::is_leaving),
            may_resume: self.may_resume && !crashes::is_suspected(state, &self.causes),
            has_repeat: self.has_repeat,
            has_third_server: self.has_third_server(state, now),
            has_time: core.drain.due(self.deadline) == self.deadline,
        })
    }

    fn has_third_server(&self, state: &State, now: MonoTime) -> bool {
        let oldest_allowed = select::oldest_allowed(state, &self.model, now);
        let both = [self.source.clone(), self.destination.clone()];
        state.fleet.of_service(&self.service).any(|server| {
            takes_moved_runs(state, server, now)
                && server.software == self.software
                && !both.contains(&server.entry.id)
                && !server.suspicion.is_avoided(now)
                && server.version(&self.model).is_some_and(|version| version >= oldest_allowed)
        })
    }
}
