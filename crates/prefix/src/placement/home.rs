//! Placement on the homes of shared prefixes.

use rand::Rng;
use samphirespread_core::prelude::*;

use crate::Hint;

use super::{Candidates, HintTable, MAX_CANDIDATES, Placement, Prompt, WorkerSet};

/// Bounds of [`HomePlacement`].
#[derive(Clone, Copy, Debug)]
pub struct HomeConfig {
    max_hints: usize,
    hint_lifetime_ms: u64,
    candidates: usize,
}

impl Default for HomeConfig {
    fn default() -> Self {
        Self { max_hints: 65_536, hint_lifetime_ms: 60_000, candidates: MAX_CANDIDATES }
    }
}

impl HomeConfig {
    /// Sets the number of hints that are remembered at most.
    #[must_use]
    pub fn max_hints(mut self, hints: usize) -> Self {
        self.max_hints = hints;
        self
    }

    /// Sets how long a hint is remembered at most.
    #[must_use]
    pub fn hint_lifetime_ms(mut self, ms: u64) -> Self {
        self.hint_lifetime_ms = ms;
        self
    }

    /// Sets how many candidates are named, from one to [`MAX_CANDIDATES`].
    #[must_use]
    pub fn candidates(mut self, candidates: usize) -> Self {
        self.candidates = candidates.clamp(1, MAX_CANDIDATES);
        self
    }
}

/// Names a home of the deepest shared level, one of a level above it, and a worker with little
/// load.
#[derive(Clone, Debug)]
pub struct HomePlacement {
    config: HomeConfig,
    hints: HintTable,
}

impl HomePlacement {
    /// A placement that knows no hints.
    pub fn new(config: HomeConfig) -> Self {
        Self { config, hints: HintTable::new(config.max_hints, config.hint_lifetime_ms) }
    }

    /// The hints that are remembered.
    pub fn hints(&self) -> &HintTable {
        &self.hints
    }

    /// The less loaded of two random homes among the first `replicas` that take work.
    fn home<R: Rng + ?Sized>(
        key: BlockKey,
        replicas: u8,
        workers: &WorkerSet,
        now: MonoTime,
        rng: &mut R,
    ) -> Option<usize> {
        let homes: Vec<usize> = workers
            .ring()
            .homes(key)
            .filter(|place| workers.get(*place).takes_work)
            .take(usize::from(replicas.max(1)))
            .collect();
        if homes.is_empty() {
            return None;
        }
        let first = homes[rng.random_range(0..homes.len())];
        let second = homes[rng.random_range(0..homes.len())];
        let wait_ms = |place: usize| workers.get(place).expected_wait_ms(now);
        Some(if wait_ms(second) < wait_ms(first) { second } else { first })
    }
}

impl Placement for HomePlacement {
    fn candidates<R: Rng + ?Sized>(
        &mut self,
        prompt: &Prompt<'_>,
        workers: &WorkerSet,
        now: MonoTime,
        rng: &mut R,
    ) -> Candidates {
        let mut candidates = Candidates::default();
        let homes_wanted = self.config.candidates.saturating_sub(1).max(1);
        for level in self.hints.levels(prompt.blocks) {
            if let Some(place) = Self::home(level.key, level.replicas, workers, now, rng) {
                candidates.push(place);
            }
            if candidates.len() >= homes_wanted {
                break;
            }
        }
        // The home of the first block sees every prompt that no hint covers yet.
        if candidates.len() < homes_wanted
            && let Some(key) = prompt.blocks.first()
            && let Some(place) = Self::home(*key, 1, workers, now, rng)
        {
            candidates.push(place);
        }
        if candidates.len() < self.config.candidates
            && let Some(place) = workers.less_loaded_of_two(now, rng)
        {
            candidates.push(place);
        }
        candidates
    }

    fn learn(&mut self, prompt: &Prompt<'_>, hint: Hint, now: MonoTime) {
        self.hints.learn(prompt.blocks, hint, now);
    }
}
