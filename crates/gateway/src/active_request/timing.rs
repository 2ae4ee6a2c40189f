//! Records how long requests and their events take.

use samphirespread_core::prelude::*;
use samphirespread_routing::{
    choice::Estimate, model::ServiceName, server_speed::Pace, sources::SourceKind,
};
use samphirespread_settings::Mechanism;

use super::ActiveRequest;
use crate::{
    metrics,
    request_log::Outcome,
    select::{RouterContext, Selected},
};

/// A send to an engine whose first event shows how fast the engine reads prompts.
#[derive(Debug)]
pub(super) struct ReadTiming {
    pub(super) service: ServiceName,
    pub(super) expected: Estimate,
    pub(super) sent: MonoTime,
    /// The pace that the engine stated when the run began.
    pub(super) pace: Option<Pace>,
}

impl ActiveRequest {
    /// Records how long the request took, unless it was refused.
    pub(crate) fn record_duration(&self, outcome: &Outcome) {
        if matches!(outcome, Outcome::NotRun { .. } | Outcome::Denied { .. }) {
            return;
        }
        let now = self.core.now();
        let took_ms = now.ms_since(self.complete);
        let mut state = self.core.state();
        state.durations.observe(&self.grant.route.name, took_ms, self.max_output_tokens(), now);
    }

    pub(super) fn max_output_tokens(&self) -> u64 {
        self.facts.generation.as_ref().map_or(0, |generation| generation.max_output_tokens)
    }

    pub(super) fn observe_ages(&self, selected: &Selected, router: &RouterContext<'_>) {
        let metrics = &self.core.metrics;
        if let Some(age_ms) = router.list_age_ms {
            metrics.list_age_s.observe(metrics::seconds(age_ms));
        }
        if let Some(last_report) = &selected.last_report {
            metrics.report_age_s.observe(metrics::seconds(last_report.age_ms));
            metrics.queued_at_engine.observe(f64::from(last_report.waiting));
        }
    }

    /// Records how long an event took, for histograms, the log and the learnt speed of engines.
    pub(crate) fn record_event(&mut self, now: MonoTime) {
        if let Some(last) = self.last_event.replace(now) {
            let gap_ms = now.ms_since(last);
            self.core.metrics.event_gap_s.observe(metrics::seconds(gap_ms));
            return;
        }
        self.request_log.first_event(now);
        if let Some(mut awaited) = self.awaited_start.take() {
            awaited.started();
        }
        if let Some(read_timing) = self.read_timing.take() {
            let ReadTiming { service, expected, sent, pace } = read_timing;
            let took_ms = now.ms_since(sent);
            let mut state = self.core.state();
            let times = state.times.entry(service).or_default();
            let decisions = &self.core.settings.decisions;
            let pace = pace.filter(|_| decisions.uses(Mechanism::ServerSpeed));
            let learns = decisions.uses(Mechanism::LearntSpeed);
            if expected.expected_source.is_none() && learns {
                // Estimates multiply the learnt times by the pace.
                let normal_ms = pace.map_or(took_ms, |pace| pace.normal_ms(took_ms));
                times.speed.observe(expected.read_tokens, normal_ms);
            }
            if !matches!(expected.expected_source, Some(SourceKind::Engine(_))) {
                let is_fetched = expected.expected_source.is_some();
                times.fetch_delay.observe(is_fetched, expected.first_event_ms, took_ms, now);
            }
        }
        let took_ms = now.ms_since(self.arrival);
        self.core.metrics.first_event_s.observe(metrics::seconds(took_ms));
    }
}
