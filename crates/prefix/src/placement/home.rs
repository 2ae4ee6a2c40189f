//! Placement on the homes of prefixes.

use rand::Rng;
use samphirespread_core::prelude::*;

use crate::Hint;

use super::{Candidates, HotPrefixes, MAX_CANDIDATES, Placement, Prompt, WorkerSet, hot::Level};

/// An odd constant that makes another key for each group of homes of one prefix.
const GROUP_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// Bounds of [`HomePlacement`].
#[derive(Clone, Copy, Debug)]
pub struct HomeConfig {
    max_blocks: usize,
    half_life_ms: u64,
    candidates: usize,
}

impl Default for HomeConfig {
    fn default() -> Self {
        Self { max_blocks: 65_536, half_life_ms: 120_000, candidates: MAX_CANDIDATES }
    }
}

impl HomeConfig {
    /// Sets the number of blocks that are remembered at most.
    #[must_use]
    pub fn max_blocks(mut self, blocks: usize) -> Self {
        self.max_blocks = blocks;
        self
    }

    /// Sets the time after which a sighting counts half.
    #[must_use]
    pub fn half_life_ms(mut self, ms: u64) -> Self {
        self.half_life_ms = ms;
        self
    }

    /// Sets how many candidates are named, from one to [`MAX_CANDIDATES`].
    #[must_use]
    pub fn candidates(mut self, candidates: usize) -> Self {
        self.candidates = candidates.clamp(1, MAX_CANDIDATES);
        self
    }
}

/// Names homes of the outermost prefix that a few homes can carry.
///
/// Prompts below such a prefix meet on the same few workers, from whichever router they come. A
/// prefix that takes a larger share of the traffic is passed over for the next block, so that the
/// prompts below it spread by what follows; where nothing follows, it gets more homes.
#[derive(Clone, Debug)]
pub struct HomePlacement {
    config: HomeConfig,
    hot: HotPrefixes,
}

impl HomePlacement {
    /// A placement that knows no prefix.
    pub fn new(config: HomeConfig) -> Self {
        Self { config, hot: HotPrefixes::new(config.max_blocks, config.half_life_ms) }
    }

    /// The prefixes that are remembered.
    pub fn hot_prefixes(&self) -> &HotPrefixes {
        &self.hot
    }

    /// Adds the first homes of a level. A level that needs more homes than there are candidates
    /// has several groups of them, of which one is drawn.
    fn add_homes<R: Rng + ?Sized>(
        &self,
        candidates: &mut Candidates,
        level: Level,
        workers: &WorkerSet,
        rng: &mut R,
    ) {
        let wanted = self.config.candidates;
        let groups = level.homes.div_ceil(wanted).max(1) as u64;
        let group = if groups > 1 { rng.random_range(0..groups) } else { 0 };
        let key = BlockKey(level.key.0 ^ group.wrapping_mul(GROUP_STEP));
        let takes_work = |place: &usize| workers.get(*place).takes_work;
        for place in workers.ring().homes(key).filter(takes_work).take(wanted) {
            candidates.push(place);
        }
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
        self.hot.see(prompt.blocks, workers, now);
        if let Some(level) = self.hot.level(prompt.blocks, workers, now) {
            self.add_homes(&mut candidates, level, workers, rng);
        }
        for _ in candidates.len()..self.config.candidates {
            if let Some(place) = workers.less_loaded_of_two(now, rng) {
                candidates.push(place);
            }
        }
        candidates
    }

    fn learn(&mut self, prompt: &Prompt<'_>, hint: Hint, now: MonoTime) {
        self.hot.learn(prompt.blocks, hint, now);
    }
}
