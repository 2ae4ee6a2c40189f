//! The metrics of an agent.

use std::sync::atomic::AtomicU64;

use prometheus_client::{
    encoding::{EncodeLabelSet, text},
    metrics::{counter::Counter, family::Family, gauge::Gauge, histogram::Histogram},
    registry::Registry,
};
use samphirespread_core::prelude::*;
use samphirespread_wire::message::{NotRunReason, Reply};

use crate::shared::Phase;

/// Upper bounds of the buckets of the wait histogram, in seconds.
const WAIT_BUCKETS_S: [f64; 10] = [0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0, 30.0];

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    outcome: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PhaseLabels {
    phase: &'static str,
}

/// The metrics of one agent. Most gauges are set when the metrics are encoded.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    ends: Family<OutcomeLabels, Counter>,
    not_run: Family<OutcomeLabels, Counter>,
    wait_seconds: Histogram,
    prompt_tokens: Counter,
    cached_tokens: Counter,
    engine_resumes: Counter,
    event_gaps: Counter,
    generation: Gauge,
    waiting: Gauge,
    running: Gauge,
    known_attempts: Gauge,
    cached_blocks: Gauge,
    backend_up: Gauge,
    open_attempts: Family<PhaseLabels, Gauge>,
    draining_seconds: Gauge<f64, AtomicU64>,
}

/// Values of the gauges that are set when the metrics are encoded.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GaugeValues {
    /// The number of open attempts in each phase.
    pub(crate) open: [(Phase, usize); 3],
    pub(crate) leaving_ms: u64,
    pub(crate) waiting: usize,
    pub(crate) running: usize,
    pub(crate) known_attempts: usize,
    pub(crate) cached_blocks: usize,
    pub(crate) backend_up: bool,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("samphirespread_agent"),
            ends: Family::default(),
            not_run: Family::default(),
            wait_seconds: Histogram::new(WAIT_BUCKETS_S),
            prompt_tokens: Counter::default(),
            cached_tokens: Counter::default(),
            engine_resumes: Counter::default(),
            event_gaps: Counter::default(),
            generation: Gauge::default(),
            waiting: Gauge::default(),
            running: Gauge::default(),
            known_attempts: Gauge::default(),
            cached_blocks: Gauge::default(),
            backend_up: Gauge::default(),
            open_attempts: Family::default(),
            draining_seconds: Gauge::default(),
        };
        metrics.register_counters();
        metrics.register_gauges();
        metrics
    }

    fn register_counters(&mut self) {
        let registry = &mut self.registry;
        registry.register("attempts", "Attempts that were started and ended", self.ends.clone());
        registry.register("not_run", "Attempts that were refused", self.not_run.clone());
        registry.register("wait_seconds", "Time in the queue", self.wait_seconds.clone());
        registry.register("prompt_tokens", "Tokens of prompts", self.prompt_tokens.clone());
        let help = "Prompt tokens served from the prefix cache";
        registry.register("cached_tokens", help, self.cached_tokens.clone());
        let help = "Lost engine streams that were asked for again";
        registry.register("engine_resumes", help, self.engine_resumes.clone());
        registry.register("event_gaps", "Gaps in the cache events", self.event_gaps.clone());
    }

    fn register_gauges(&mut self) {
        let registry = &mut self.registry;
        let help = "Generation of the configuration in force";
        registry.register("config_generation", help, self.generation.clone());
        registry.register("waiting", "Attempts in the queue", self.waiting.clone());
        registry.register("running", "Attempts that run", self.running.clone());
        let help = "Attempts that are known, ended ones too";
        registry.register("known_attempts", help, self.known_attempts.clone());
        let help = "Blocks that the engine is believed to cache";
        registry.register("cached_blocks", help, self.cached_blocks.clone());
        let help = "Whether the backend server answers";
        registry.register("backend_up", help, self.backend_up.clone());
        let help = "Attempts that wait, run, or are still being answered";
        registry.register("open_attempts", help, self.open_attempts.clone());
        let help = "Time since the agent was told to stop";
        registry.register("draining_seconds", help, self.draining_seconds.clone());
    }

    pub(crate) fn observe_wait(&self, waited_us: u64) {
        self.wait_seconds.observe(waited_us as f64 / 1_000_000.0);
    }

    /// Counts the end of a started attempt and returns the name of the outcome.
    pub(crate) fn count_end(&self, reply: &Reply) -> &'static str {
        let outcome = match reply {
            Reply::Finished(_) => "finished",
            Reply::NotRun(_) => "not_run",
            _ => "failed",
        };
        self.ends.get_or_create(&OutcomeLabels { outcome }).inc();
        outcome
    }

    pub(crate) fn count_not_run(&self, reason: NotRunReason) {
        let outcome = reason.as_str();
        self.not_run.get_or_create(&OutcomeLabels { outcome }).inc();
    }

    pub(crate) fn count_prompt(&self, prompt_tokens: u64, cached_tokens: u64) {
        self.prompt_tokens.inc_by(prompt_tokens);
        self.cached_tokens.inc_by(cached_tokens);
    }

    pub(crate) fn count_engine_resume(&self) {
        self.engine_resumes.inc();
    }

    pub(crate) fn count_event_gap(&self) {
        self.event_gaps.inc();
    }

    pub(crate) fn set_generation(&self, generation: Generation) {
        self.generation.set(i64::try_from(generation.0).unwrap_or(i64::MAX));
    }

    /// Encodes all metrics as text.
    pub(crate) fn encode(&self, gauge_values: GaugeValues) -> String {
        let level = |value: usize| i64::try_from(value).unwrap_or(i64::MAX);
        self.waiting.set(level(gauge_values.waiting));
        self.running.set(level(gauge_values.running));
        self.known_attempts.set(level(gauge_values.known_attempts));
        self.cached_blocks.set(level(gauge_values.cached_blocks));
        self.backend_up.set(i64::from(gauge_values.backend_up));
        self.draining_seconds.set(gauge_values.leaving_ms as f64 / 1_000.0);
        for (phase, open) in gauge_values.open {
            let labels = PhaseLabels { phase: phase.as_str() };
            self.open_attempts.get_or_create(&labels).set(level(open));
        }
        let mut text = String::new();
        // Writing to a string can't fail.
        let _ = text::encode(&mut text, &self.registry);
        text
    }
}
