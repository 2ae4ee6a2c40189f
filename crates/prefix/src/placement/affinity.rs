//! Placement of prompts on the preferred workers of their prefixes.

use rand::Rng;
use samphirespread_core::prelude::*;

use crate::Hint;

use super::{
    Candidates, HotPrefixes, MAX_CANDIDATES, Placement, Prompt, WorkerSet, hot::PlacementPrefix,
};

/// An odd constant. Its multiples change the key of a prefix for each group of preferred workers.
const GROUP_KEY_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

/// The settings of [`PrefixAffinity`].
#[derive(Clone, Copy, Debug)]
pub struct PrefixAffinityConfig {
    max_blocks: usize,
    half_life_ms: u64,
    candidates: usize,
}

impl Default for PrefixAffinityConfig {
    fn default() -> Self {
        Self { max_blocks: 65_536, half_life_ms: 120_000, candidates: MAX_CANDIDATES }
    }
}

impl PrefixAffinityConfig {
    /// Sets the maximum number of blocks in the record of hot prefixes.
    #[must_use]
    pub fn max_blocks(mut self, blocks: usize) -> Self {
        self.max_blocks = blocks;
        self
    }

    /// Sets the time after which the weight of a sighting halves.
    #[must_use]
    pub fn half_life_ms(mut self, ms: u64) -> Self {
        self.half_life_ms = ms;
        self
    }

    /// Sets the number of candidates per prompt, from one to [`MAX_CANDIDATES`].
    #[must_use]
    pub fn candidates(mut self, candidates: usize) -> Self {
        self.candidates = candidates.clamp(1, MAX_CANDIDATES);
        self
    }
}

/// A placement that sends prompts to the preferred workers of their prefix.
///
/// It uses the shortest prefix of a prompt whose traffic one worker can serve. All routers thus
/// send prompts with this prefix to the same few workers. A prefix with more traffic is extended by
/// the next block, so that its prompts are spread by the blocks that follow. If no block follows,
/// the prefix gets more workers.
#[derive(Clone, Debug)]
pub struct PrefixAffinity {
    config: PrefixAffinityConfig,
    hot: HotPrefixes,
}

impl PrefixAffinity {
    /// Creates a placement with an empty record of hot prefixes.
    pub fn new(config: PrefixAffinityConfig) -> Self {
        Self { config, hot: HotPrefixes::new(config.max_blocks, config.half_life_ms) }
    }

    /// Returns the record of hot prefixes.
    pub fn hot_prefixes(&self) -> &HotPrefixes {
        &self.hot
    }

    /// Adds the most preferred workers of a prefix. A prefix that needs more workers than there are
    /// candidates has several groups of them, one of which is chosen at random.
    fn add_preferred_workers<R: Rng + ?Sized>(
        &self,
        candidates: &mut Candidates,
        prefix: PlacementPrefix,
        workers: &WorkerSet,
        rng: &mut R,
    ) {
        let group_size = self.config.candidates;
        let groups = prefix.needed_workers.div_ceil(group_size).max(1) as u64;
        let group = if groups > 1 { rng.random_range(0..groups) } else { 0 };
        let key = BlockKey(prefix.key.0 ^ group.wrapping_mul(GROUP_KEY_MULTIPLIER));
        let takes_work = |index: &usize| workers.get(*index).takes_work;
        for index in workers.ring().preferred_workers(key).filter(takes_work).take(group_size) {
            candidates.push(index);
        }
    }
}

impl Placement for PrefixAffinity {
    fn candidates<R: Rng + ?Sized>(
        &mut self,
        prompt: &Prompt<'_>,
        workers: &WorkerSet,
        now: MonoTime,
        rng: &mut R,
    ) -> Candidates {
        let mut candidates = Candidates::default();
        self.hot.record_prompt(prompt.blocks, workers, now);
        if let Some(prefix) = self.hot.placement_prefix(prompt.blocks, workers, now) {
            self.add_preferred_workers(&mut candidates, prefix, workers, rng);
        }
        for _ in candidates.len()..self.config.candidates {
            if let Some(index) = workers.less_loaded_of_two(now, rng) {
                candidates.push(index);
            }
        }
        candidates
    }

    fn record_hint(&mut self, prompt: &Prompt<'_>, hint: Hint, now: MonoTime) {
        self.hot.record_hint(prompt.blocks, hint, now);
    }
}
