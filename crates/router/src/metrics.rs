//! Metrics of a router.

use std::sync::{Mutex, PoisonError, atomic::AtomicU64};

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
use samphirespread_core::prelude::*;
use samphirespread_daemon::metrics::{Causes, count};
use samphirespread_wire::message::NotRunReason;

use crate::drain::Drain;

/// The labels of the answer counter.
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
struct PhaseLabels {
    phase: &'static str,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct TeamLabels {
    pub(crate) team: String,
}

/// The metrics of a router.
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
    pub(crate) draining_seconds: Gauge<f64, AtomicU64>,
    open_requests: Family<PhaseLabels, Gauge>,
    ends: Causes,
    limit_level_tokens: Family<TeamLabels, Gauge>,
    limit_out_tokens: Family<TeamLabels, Gauge>,
    limit_borrowed_tokens: Family<TeamLabels, Gauge>,
    limit_shares: Gauge,
    limit_shares_usable: Gauge,
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
            draining_seconds: Gauge::default(),
            open_requests: Family::default(),
            ends: Causes::default(),
            limit_level_tokens: Family::default(),
            limit_out_tokens: Family::default(),
            limit_borrowed_tokens: Family::default(),
            limit_shares: Gauge::default(),
            limit_shares_usable: Gauge::default(),
        };
        metrics.register();
        metrics.register_limits();
        metrics
    }

    /// Calls a function with the locked registry.
    pub(crate) fn with_registry<T>(&self, with: impl FnOnce(&mut Registry) -> T) -> T {
        // Registering is one push, so the registry is consistent even if another thread panicked.
        with(&mut self.registry.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Counts a request that was refused before it ran.
    pub(crate) fn record_refusal(&self, code: &'static str) {
        self.refusals.get_or_create(&CodeLabels { code: code.to_owned() }).inc();
    }

    /// Counts an attempt that an agent refused.
    pub(crate) fn record_not_run(&self, reason: NotRunReason) {
        let labels = ReasonLabels { reason: reason.as_str().to_owned() };
        self.not_run.get_or_create(&labels).inc();
    }

    /// Counts a request that ran or was to run, by what ended it.
    pub(crate) fn record_end(&self, cause: &'static str) {
        count(&self.ends, cause);
    }

    /// Sets the gauges of the drain from its state.
    pub(crate) fn record_drain(&self, drain: &Drain, now: MonoTime) {
        let level = |number: usize| i64::try_from(number).unwrap_or(i64::MAX);
        self.running.set(level(drain.running()));
        self.draining_seconds.set(drain.leaving_ms(now) as f64 / 1_000.0);
        for (phase, open) in drain.open_by_phase() {
            let labels = PhaseLabels { phase: phase.as_str() };
            self.open_requests.get_or_create(&labels).set(level(open));
        }
    }

    /// Sets the gauges of the limiter from its state.
    pub(crate) fn record_limits(&self, limits: &samphirespread_limits::Snapshot) {
        let count = |number: usize| i64::try_from(number).unwrap_or(i64::MAX);
        let tokens = |tokens: u64| i64::try_from(tokens).unwrap_or(i64::MAX);
        let held = limits.slots.iter().filter(|slot| slot.parts > 0);
        self.limit_shares.set(count(held.clone().count()));
        self.limit_shares_usable.set(count(held.filter(|slot| slot.in_contact).count()));
        for team in &limits.teams {
            let labels = TeamLabels { team: team.team.to_string() };
            self.limit_level_tokens.get_or_create(&labels).set(tokens(team.level_tokens));
            self.limit_out_tokens.get_or_create(&labels).set(tokens(team.out_tokens));
            self.limit_borrowed_tokens.get_or_create(&labels).set(tokens(team.borrowed_tokens));
        }
    }

    fn register_limits(&self) {
        self.with_registry(|registry| {
            let level = self.limit_level_tokens.clone();
            registry.register("limit_level_tokens", "Tokens in the own share's bucket", level);
            let out = self.limit_out_tokens.clone();
            registry.register("limit_out_tokens", "Tokens of the own share lent or reserved", out);
            let borrowed = self.limit_borrowed_tokens.clone();
            registry.register("limit_borrowed_tokens", "Tokens borrowed and not spent", borrowed);
            registry.register("limit_shares", "Shares held", self.limit_shares.clone());
            let usable = self.limit_shares_usable.clone();
            registry.register("limit_shares_usable", "Shares held that may be used now", usable);
        });
    }

    /// Encodes all metrics in the OpenMetrics text format.
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
            let help = "Time since the router was told to stop";
            registry.register("draining_seconds", help, self.draining_seconds.clone());
            let help = "Requests that were taken and are not answered in full";
            registry.register("open_requests", help, self.open_requests.clone());
            registry.register("ends", "Requests that ended, by cause", self.ends.clone());
        });
    }
}
