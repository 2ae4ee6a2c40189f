//! What a router knows of hot prefixes: its own count, and hints of home agents.

use samphirespread_core::prelude::*;

use crate::{Hint, decay::Decaying, key_map::TwoGenerations};

use super::WorkerSet;

/// Blocks that one prompt adds at most to the count.
const MAX_NEW_BLOCKS: usize = 4;

/// Sets of workers whose prompts are counted at most.
const MAX_SETS: usize = 4_096;

/// Sightings below which a share of the traffic is taken for chance.
const MIN_SIGHTINGS: f32 = 3.0;

/// Sightings of a prefix that fills one worker from which on the own count goes before hints.
const TRUSTED_SIGHTINGS: f32 = 4.0;

/// A bounded record of the prefixes that more than a few homes have to carry.
///
/// Balancers spread callers over routers, so a prefix's share of this router's prompts is about its
/// share of all prompts. Where a router sees too little, hints of home agents fill in.
#[derive(Clone, Debug)]
pub struct HotPrefixes {
    half_life_ms: u64,
    sightings: TwoGenerations<Decaying>,
    hinted: TwoGenerations<u8>,
    /// Prompts of each set of workers.
    prompts: TwoGenerations<Decaying>,
}

/// Where a prompt is placed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Level {
    pub(crate) key: BlockKey,
    /// Homes that its traffic needs.
    pub(crate) homes: usize,
}

impl HotPrefixes {
    /// A record of at most `limit` blocks whose sightings halve with each half-life.
    pub fn new(limit: usize, half_life_ms: u64) -> Self {
        let half_life_ms = half_life_ms.max(1);
        Self {
            half_life_ms,
            sightings: TwoGenerations::new(limit, half_life_ms * 3),
            hinted: TwoGenerations::new(limit / 8, half_life_ms),
            prompts: TwoGenerations::new(MAX_SETS, half_life_ms * 3),
        }
    }

    /// Counts a prompt. Of a prefix that is new, a few blocks are added with each prompt.
    pub fn see(&mut self, blocks: &[BlockKey], workers: &WorkerSet, now: MonoTime) {
        self.sightings.age(now);
        self.hinted.age(now);
        self.count_prompt(workers, now);
        let mut new_blocks = 0;
        for key in blocks {
            let known = self.sightings.get(*key);
            let mut sightings = known.unwrap_or_default();
            sightings.add(1.0, now, self.half_life_ms);
            self.sightings.put(*key, sightings);
            new_blocks += usize::from(known.is_none());
            if new_blocks == MAX_NEW_BLOCKS {
                break;
            }
        }
    }

    fn count_prompt(&mut self, workers: &WorkerSet, now: MonoTime) {
        self.prompts.age(now);
        let set = BlockKey(workers.id());
        let mut prompts = self.prompts.get(set).unwrap_or_default();
        prompts.add(1.0, now, self.half_life_ms);
        self.prompts.put(set, prompts);
    }

    /// Takes in a hint about a prompt. Only a prefix that deserves several homes matters.
    pub fn learn(&mut self, blocks: &[BlockKey], hint: Hint, now: MonoTime) {
        self.hinted.age(now);
        let depth = (hint.shared_blocks as usize).min(blocks.len());
        if let Some(last) = depth.checked_sub(1)
            && hint.replicas > 1
        {
            self.hinted.put(blocks[last], hint.replicas);
        }
    }

    /// The first block of a prompt whose traffic one worker could carry, or else its last hot one.
    pub(crate) fn level(
        &self,
        blocks: &[BlockKey],
        workers: &WorkerSet,
        now: MonoTime,
    ) -> Option<Level> {
        let prompts = self.prompts.get(BlockKey(workers.id())).unwrap_or_default();
        let prompts = prompts.at(now, self.half_life_ms).max(1.0);
        let workers = workers.len() as f32;
        let sees_enough = prompts >= TRUSTED_SIGHTINGS * workers;
        let hinted = if sees_enough { 0 } else { self.hinted_depth(blocks) };
        let mut level = None;
        for (index, key) in blocks.iter().enumerate() {
            let seen = self.sightings.get(*key).unwrap_or_default().at(now, self.half_life_ms);
            let share = if seen < MIN_SIGHTINGS { 0.0 } else { (seen / prompts).min(1.0) };
            let workers_filled = share * workers;
            level = Some(Level { key: *key, homes: workers_filled.ceil() as usize });
            if index >= hinted && workers_filled <= 1.0 {
                break;
            }
        }
        level
    }

    /// Leading blocks that home agents called too hot for a few homes.
    fn hinted_depth(&self, blocks: &[BlockKey]) -> usize {
        if self.hinted.len() == 0 {
            return 0;
        }
        let deepest = blocks.iter().rposition(|key| self.hinted.get(*key).is_some());
        deepest.map_or(0, |index| index + 1)
    }

    /// Blocks that are remembered.
    pub fn len(&self) -> usize {
        self.sightings.len() + self.hinted.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
