//! A router's record of hot prefixes: its own count of prompts, and the hints of agents.

use samphirespread_core::prelude::*;

use crate::{Hint, decay::DecayingSum, key_map::GenerationalMap};

use super::WorkerSet;

/// The maximum number of blocks that one prompt adds to the count.
const MAX_NEW_BLOCKS_PER_PROMPT: usize = 4;

/// The maximum number of worker sets whose prompts are counted.
const MAX_WORKER_SETS: usize = 4_096;

/// A prefix with fewer sightings than this counts as having no share of the traffic, since the
/// sightings may be chance.
const MIN_SIGHTINGS_FOR_SHARE: f32 = 3.0;

/// The number of prompts per worker from which on the router ignores hints. A prefix whose traffic
/// fills one worker is then expected to have at least this many sightings.
const MIN_PROMPTS_PER_WORKER: f32 = 4.0;

/// A bounded record of prefix traffic, by which prefixes with too much traffic for a few workers
/// are found.
///
/// Load balancers spread callers over routers, so a prefix's share of this router's prompts is
/// about its share of all prompts. A router that sees too few prompts uses the hints of agents
/// instead.
#[derive(Clone, Debug)]
pub struct HotPrefixes {
    half_life_ms: u64,
    sightings: GenerationalMap<DecayingSum>,
    hinted: GenerationalMap<u8>,
    /// The number of prompts for each set of workers.
    prompts: GenerationalMap<DecayingSum>,
}

/// The prefix of a prompt by which its workers are chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PlacementPrefix {
    pub(crate) key: BlockKey,
    /// The number of workers that the traffic of this prefix needs.
    pub(crate) needed_workers: usize,
}

impl HotPrefixes {
    /// Creates a record of at most `max_blocks` blocks, and an eighth as many more for hints. The
    /// weight of a sighting halves with each half-life.
    pub fn new(max_blocks: usize, half_life_ms: u64) -> Self {
        let half_life_ms = half_life_ms.max(1);
        Self {
            half_life_ms,
            sightings: GenerationalMap::new(max_blocks, half_life_ms * 3),
            hinted: GenerationalMap::new(max_blocks / 8, half_life_ms),
            prompts: GenerationalMap::new(MAX_WORKER_SETS, half_life_ms * 3),
        }
    }

    /// Counts a prompt. Each prompt adds only a few blocks that are not in the record yet, so that
    /// a new prefix is added over several prompts.
    pub fn record_prompt(&mut self, blocks: &[BlockKey], workers: &WorkerSet, now: MonoTime) {
        self.sightings.rotate_if_due(now);
        self.hinted.rotate_if_due(now);
        self.count_prompt_of_set(workers, now);
        let mut new_blocks = 0;
        for key in blocks {
            let known = self.sightings.get(*key);
            let mut sightings = known.unwrap_or_default();
            sightings.add(1.0, now, self.half_life_ms);
            self.sightings.insert(*key, sightings);
            new_blocks += usize::from(known.is_none());
            if new_blocks == MAX_NEW_BLOCKS_PER_PROMPT {
                break;
            }
        }
    }

    fn count_prompt_of_set(&mut self, workers: &WorkerSet, now: MonoTime) {
        self.prompts.rotate_if_due(now);
        let set = BlockKey(workers.id());
        let mut prompts = self.prompts.get(set).unwrap_or_default();
        prompts.add(1.0, now, self.half_life_ms);
        self.prompts.insert(set, prompts);
    }

    /// Records a hint about a prompt. Only hints for more than one worker have an effect.
    pub fn record_hint(&mut self, blocks: &[BlockKey], hint: Hint, now: MonoTime) {
        self.hinted.rotate_if_due(now);
        let prefix_blocks = (hint.shared_blocks as usize).min(blocks.len());
        if let Some(last) = prefix_blocks.checked_sub(1)
            && hint.replicas > 1
        {
            self.hinted.insert(blocks[last], hint.replicas);
        }
    }

    /// Returns the shortest prefix of a prompt whose traffic one worker can serve, or the whole
    /// prompt if there is none. Prefixes up to a hinted one are skipped.
    pub(crate) fn placement_prefix(
        &self,
        blocks: &[BlockKey],
        workers: &WorkerSet,
        now: MonoTime,
    ) -> Option<PlacementPrefix> {
        let prompts = self.prompts.get(BlockKey(workers.id())).unwrap_or_default();
        let prompts = prompts.value_at(now, self.half_life_ms).max(1.0);
        let workers = workers.len() as f32;
        let has_enough_prompts = prompts >= MIN_PROMPTS_PER_WORKER * workers;
        let hinted = if has_enough_prompts { 0 } else { self.hinted_prefix_blocks(blocks) };
        let mut chosen = None;
        for (index, key) in blocks.iter().enumerate() {
            let seen =
                self.sightings.get(*key).unwrap_or_default().value_at(now, self.half_life_ms);
            let share =
                if seen < MIN_SIGHTINGS_FOR_SHARE { 0.0 } else { (seen / prompts).min(1.0) };
            let worker_loads = share * workers;
            chosen =
                Some(PlacementPrefix { key: *key, needed_workers: worker_loads.ceil() as usize });
            if index >= hinted && worker_loads <= 1.0 {
                break;
            }
        }
        chosen
    }

    /// Returns the number of leading blocks up to the longest prefix with a hint.
    fn hinted_prefix_blocks(&self, blocks: &[BlockKey]) -> usize {
        if self.hinted.len() == 0 {
            return 0;
        }
        let deepest = blocks.iter().rposition(|key| self.hinted.get(*key).is_some());
        deepest.map_or(0, |index| index + 1)
    }

    /// Returns the number of blocks in the record, those with hints included.
    pub fn len(&self) -> usize {
        self.sightings.len() + self.hinted.len()
    }

    /// Returns whether the record is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
