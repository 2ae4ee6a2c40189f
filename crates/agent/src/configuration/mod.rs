//! Holds what the agent uses of the newest configuration that a router has sent.

use std::collections::VecDeque;

use samphirespread_core::prelude::*;
use samphirespread_engine::api::LoadedWeights;
use samphirespread_wire::message::AgentConfig;

const MAX_HISTORY: usize = 64;

/// The current generation, the weights that it asks for, and when recent generations took effect.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    generation: Generation,
    weights: Option<LoadedWeights>,
    weights_since: MonoTime,
    history: VecDeque<Adoption>,
}

/// A generation and the time when it took effect.
#[derive(Clone, Copy, Debug)]
struct Adoption {
    generation: Generation,
    at: MonoTime,
}

impl Configuration {
    /// Creates a configuration of generation zero, which asks for no weights.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the current generation.
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// Applies a configuration from a router and returns whether it is newer than the current one.
    /// An older one is ignored, so the generation never decreases.
    pub fn apply(&mut self, now: MonoTime, config: &AgentConfig) -> bool {
        if config.generation <= self.generation {
            return false;
        }
        self.generation = config.generation;
        self.record_adoption(now);
        let weights = config.weights.as_ref().map(|weights| LoadedWeights {
            model: weights.model.clone(),
            version: weights.version.clone(),
        });
        if weights != self.weights {
            self.weights = weights;
            self.weights_since = now;
        }
        true
    }

    /// Returns whether a generation was replaced here at least `grace_ms` ago.
    pub fn is_stale(&self, now: MonoTime, generation: Generation, grace_ms: u64) -> bool {
        if generation >= self.generation {
            return false;
        }
        let oldest = self.history.front().map(|oldest| oldest.generation);
        let was_trimmed = self.history.len() == MAX_HISTORY;
        if was_trimmed && oldest.is_some_and(|oldest| generation < oldest) {
            return true;
        }
        let newer = self.history.iter().find(|adoption| adoption.generation > generation);
        newer.is_some_and(|adoption| now.ms_since(adoption.at) >= grace_ms)
    }

    /// Returns the weights that the engine should serve, if the routes agree on them.
    pub fn weights(&self) -> Option<&LoadedWeights> {
        self.weights.as_ref()
    }

    /// Returns when those weights were first asked for. Later generations that ask for the same
    /// weights don't change this time.
    pub fn weights_since(&self) -> MonoTime {
        self.weights_since
    }

    fn record_adoption(&mut self, now: MonoTime) {
        if self.history.len() == MAX_HISTORY {
            self.history.pop_front();
        }
        self.history.push_back(Adoption { generation: self.generation, at: now });
    }
}
