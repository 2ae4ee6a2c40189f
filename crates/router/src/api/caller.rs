//! Builds the job that runs a request, of either kind, from its route and team.

use samphirespread_config::{Snapshot, model::Route};
use samphirespread_core::prelude::*;
use samphirespread_dispatch::RequestSpec;
use slog::o;

use crate::{
    run::{Job, JobWork},
    state::Shared,
};

/// The route and team of a request, and the configuration that they were taken from.
#[derive(Clone, Copy, Debug)]
pub(super) struct Caller<'a> {
    pub(super) route: &'a Route,
    pub(super) team: &'a TeamName,
    pub(super) snapshot: &'a Snapshot,
}

impl Caller<'_> {
    /// Builds the job that runs the request.
    pub(super) fn job(
        self,
        shared: &Shared,
        id: RequestId,
        spec: RequestSpec,
        work: JobWork,
    ) -> Job {
        Job {
            spec: spec
                .idempotent(self.route.idempotent)
                .max_attempts(shared.settings.request.max_attempts),
            generation: self.snapshot.generation(),
            route: self.route.name.clone(),
            team: self.team.clone(),
            weight: self.weight(),
            priority: self.route.priority,
            work,
            log: shared.log.new(o!("request" => id.to_string(), "team" => self.team.to_string())),
        }
    }

    /// Returns the team's weight in queues, which is its rate.
    fn weight(self) -> u64 {
        self.snapshot.team(self.team).map_or(1, |team| team.rate_tokens_per_s.max(1))
    }
}
