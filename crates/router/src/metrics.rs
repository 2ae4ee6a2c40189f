//! Counters and histograms of a router.

use std::sync::{Mutex, PoisonError};

use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};
use samphirespread_wire::message::NotRunReason;

/// Answers by team, route and code.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct AnswerLabels {
    pub(crate) team: String,
    pub(crate) route: String,
    pub(crate) code: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ReasonLabels {
    reason: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct CodeLabels {
    code: String,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct TeamLabels {
    pub(crate) team: String,
}

/// Counters and histograms of a router.
pub(crate) struct Metrics {
    registry: Mutex<Registry>,
    pub(crate) answers: Family<AnswerLabels, Counter>,
    pub(crate) refusals: Family<CodeLabels, Counter>,
    pub(crate) not_run: Family<ReasonLabels, Counter>,
    pub(crate) resumes: Counter,
    pub(crate) prompt_tokens: Family<TeamLabels, Counter>,
    pub(crate) cached_tokens: Family<TeamLabels, Counter>,
    pub(crate) output_tokens: Family<TeamLabels, Counter>,
    pub(crate) first_token_seconds: Histogram,
    pub(crate) generation: Gauge,
    pub(crate) running: Gauge,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let metrics = Self {
            registry: Mutex::new(Registry::with_prefix("samphirespread_router")),
            answers: Family::default(),
            refusals: Family::default(),
            not_run: Family::default(),
            resumes: Counter::default(),
            prompt_tokens: Family::default(),
            cached_tokens: Family::default(),
            output_tokens: Family::default(),
            first_token_seconds: Histogram::new(exponential_buckets(0.001, 2.0, 16)),
            generation: Gauge::default(),
            running: Gauge::default(),
        };
        metrics.register();
        metrics
    }

    /// The registry, for further parts to register with.
    pub(crate) fn with_registry<T>(&self, with: impl FnOnce(&mut Registry) -> T) -> T {
        // Registering is one push, so the registry is whole after a panic elsewhere.
        with(&mut self.registry.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Counts a request that was refused before it ran.
    pub(crate) fn note_refusal(&self, code: &'static str) {
        self.refusals.get_or_create(&CodeLabels { code: code.to_owned() }).inc();
    }

    pub(crate) fn note_not_run(&self, reason: NotRunReason) {
        let labels = ReasonLabels { reason: format!("{reason:?}").to_lowercase() };
        self.not_run.get_or_create(&labels).inc();
    }

    /// All metrics in the text format.
    pub(crate) fn encode(&self) -> String {
        let mut text = String::new();
        // Writing to a string can't fail.
        let _ = self.with_registry(|registry| encode(&mut text, registry));
        text
    }

    fn register(&self) {
        self.with_registry(|registry| {
            registry.register("answers", "Answers to callers", self.answers.clone());
            registry.register("refusals", "Requests refused at once", self.refusals.clone());
            registry.register("not_run", "Attempts that agents refused", self.not_run.clone());
            registry.register("resumes", "Attempts resumed after a loss", self.resumes.clone());
            registry.register("prompt_tokens", "Prompt tokens served", self.prompt_tokens.clone());
            registry.register(
                "cached_tokens",
                "Prompt tokens served from prefix caches",
                self.cached_tokens.clone(),
            );
            registry.register("output_tokens", "Tokens generated", self.output_tokens.clone());
            registry.register(
                "first_token_seconds",
                "Time from a request's arrival to its first token",
                self.first_token_seconds.clone(),
            );
            registry.register(
                "config_generation",
                "Generation of the configuration in force",
                self.generation.clone(),
            );
            registry.register("running", "Requests that run", self.running.clone());
        });
    }
}
