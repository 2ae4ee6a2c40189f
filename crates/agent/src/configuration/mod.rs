//! What the agent needs of the configuration with the highest generation that it was told of.

use std::collections::VecDeque;

use samphirespread_core::prelude::*;
use samphirespread_engine::api::LoadedWeights;
use samphirespread_wire::message::AgentConfig;

const MAX_HISTORY: usize = 64;

/// The generation in force, the weights that it asks for, and when others came into force.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    generation: Generation,
    weights: Option<LoadedWeights>,
    weights_since: MonoTime,
    history: VecDeque<Adoption>,
}

/// A generation that came into force.
#[derive(Clone, Copy, Debug)]
struct Adoption {
    generation: Generation,
    at: MonoTime,
}

impl Configuration {
    /// No configuration: generation zero.
    pub fn new() -> Self {
        Self::default()
    }

    /// The generation in force.
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// Takes in what a router told, and says whether it is news. The generation never falls.
    pub fn tell(&mut self, now: MonoTime, told: &AgentConfig) -> bool {
        if told.generation <= self.generation {
            return false;
        }
        self.generation = told.generation;
        self.note_adoption(now);
        let weights = told.weights.as_ref().map(|weights| LoadedWeights {
            model: weights.model.clone(),
            version: weights.version.clone(),
        });
        if weights != self.weights {
            self.weights = weights;
            self.weights_since = now;
        }
        true
    }

    /// Whether a generation was replaced here longer ago than the grace time.
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

    /// The weights that the engine is to serve, if the routes agree on them.
    pub fn weights(&self) -> Option<&LoadedWeights> {
        self.weights.as_ref()
    }

    /// Since when those weights are asked for. Later generations that ask for the same don't count.
    pub fn weights_since(&self) -> MonoTime {
        self.weights_since
    }

    fn note_adoption(&mut self, now: MonoTime) {
        if self.history.len() == MAX_HISTORY {
            self.history.pop_front();
        }
        self.history.push_back(Adoption { generation: self.generation, at: now });
    }
}
