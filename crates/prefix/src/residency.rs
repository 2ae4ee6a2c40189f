//! What the agent knows of its engine's cache.

use std::collections::VecDeque;

use samphirespread_core::prelude::*;
use samphirespread_engine::api::{BlockList, CacheChange, CacheEvent};

use crate::{
    SampledBlock,
    key_map::{KeyMap, KeySet},
};

/// Events at most that are kept between a gap and the re-read that mends it.
const MAX_KEPT_EVENTS: usize = 4_096;

/// The blocks that an engine holds, followed through its event stream.
///
/// The index belongs to one run of the engine and to a place in that run's event stream. A later
/// incarnation empties it. A gap in the sequence marks it uncertain until [`Residency::re_read`]
/// replaces it by the engine's own list; until then lookups answer from what is believed. A wrong
/// belief costs time, since the engine itself decides what it reuses.
///
/// ```
/// use samphirespread_core::prelude::*;
/// use samphirespread_engine::api::{CacheChange, CacheEvent};
/// use samphirespread_prefix::{Applied, Residency};
///
/// let mut residency = Residency::new();
/// let stored = CacheEvent {
///     incarnation: Incarnation(1),
///     seq: 0,
///     change: CacheChange::Stored(vec![BlockKey(7), BlockKey(8)]),
/// };
/// assert_eq!(residency.apply(&stored), Applied::InOrder);
/// assert_eq!(residency.leading_blocks(&[BlockKey(7), BlockKey(8), BlockKey(9)]), 2);
///
/// let later = CacheEvent { seq: 5, ..stored };
/// assert_eq!(residency.apply(&later), Applied::AfterGap);
/// assert!(residency.needs_re_read());
/// ```
#[derive(Clone, Debug, Default)]
pub struct Residency {
    incarnation: Incarnation,
    next_seq: u64,
    blocks: KeySet,
    expected: KeyMap<u32>,
    uncertain: bool,
    kept: VecDeque<CacheEvent>,
}

/// How an event fitted to what was known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// The next event of the run.
    InOrder,
    /// Events before this one were lost; the index is uncertain now.
    AfterGap,
    /// The event was known already, or is of an older run, and changed nothing.
    Known,
}

impl Residency {
    /// An index of an engine of which nothing is known.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in one event.
    pub fn apply(&mut self, event: &CacheEvent) -> Applied {
        if event.incarnation < self.incarnation {
            return Applied::Known;
        }
        self.start_run(event.incarnation);
        if event.seq < self.next_seq {
            return Applied::Known;
        }
        let in_order = event.seq == self.next_seq;
        self.uncertain |= !in_order;
        self.next_seq = event.seq + 1;
        self.change(&event.change);
        if self.uncertain {
            self.keep(event);
        }
        if in_order { Applied::InOrder } else { Applied::AfterGap }
    }

    /// Replaces the index by the engine's own list. Returns false if the list is of an older run.
    ///
    /// Events that came since the gap and are newer than the list are applied on top of it.
    pub fn re_read(&mut self, list: &BlockList) -> bool {
        if list.incarnation < self.incarnation {
            return false;
        }
        self.start_run(list.incarnation);
        let kept = std::mem::take(&mut self.kept);
        self.blocks.clear();
        self.blocks.extend(&list.keys);
        self.next_seq = list.next_seq;
        self.uncertain = false;
        for event in kept {
            self.apply(&event);
        }
        true
    }

    /// Follows the engine to a later run, which has nothing cached.
    ///
    /// The agent calls this when a load report or a stream shows the run before any event does.
    pub fn start_run(&mut self, incarnation: Incarnation) {
        if incarnation <= self.incarnation {
            return;
        }
        self.incarnation = incarnation;
        self.next_seq = 0;
        self.blocks.clear();
        self.expected.clear();
        self.kept.clear();
        self.uncertain = false;
    }

    /// Leading blocks of a prompt that are believed to be cached now.
    ///
    /// Blocks that are only expected don't count: the engine still has work to do for them.
    pub fn cached_blocks(&self, blocks: &[BlockKey]) -> u32 {
        let missing = blocks.iter().position(|key| !self.blocks.contains(key));
        missing.unwrap_or(blocks.len()) as u32
    }

    /// Leading blocks of a prompt that are believed to be cached, or that a prompt which was
    /// accepted before will have cached by then.
    pub fn leading_blocks(&self, blocks: &[BlockKey]) -> u32 {
        let missing = blocks.iter().position(|key| !self.counts_on(key));
        missing.unwrap_or(blocks.len()) as u32
    }

    /// The depth down to which all sampled blocks of a prompt count as in
    /// [`Residency::leading_blocks`].
    ///
    /// An engine that has a block has the prefix before it, as long as it evicts prefixes from
    /// their ends, so this is at most the number of leading blocks then.
    pub fn leading_depth(&self, sampled: &[SampledBlock]) -> u32 {
        let leading = sampled.iter().take_while(|block| self.counts_on(&block.key));
        leading.last().map_or(0, |block| block.depth)
    }

    fn counts_on(&self, key: &BlockKey) -> bool {
        self.blocks.contains(key) || self.expected.contains_key(key)
    }

    /// Counts on the blocks of a prompt that was accepted and not yet prefilled.
    ///
    /// Without this, several prompts with one new prefix would each look like a miss, and go to
    /// several engines. Each call is taken back by [`Residency::settle`].
    pub fn expect(&mut self, blocks: &[BlockKey]) {
        for key in blocks {
            *self.expected.entry(*key).or_insert(0) += 1;
        }
    }

    /// Takes back [`Residency::expect`], once the prompt's blocks show in the index or won't.
    pub fn settle(&mut self, blocks: &[BlockKey]) {
        for key in blocks {
            let Some(count) = self.expected.get_mut(key) else { continue };
            *count -= 1;
            if *count == 0 {
                self.expected.remove(key);
            }
        }
    }

    /// Marks the index uncertain, as after a lost connection to the event stream.
    pub fn mark_uncertain(&mut self) {
        self.uncertain = true;
    }

    /// Whether events were lost since the engine's list was last read.
    pub fn needs_re_read(&self) -> bool {
        self.uncertain
    }

    /// The run of the engine that the index belongs to.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// The sequence number of the next event.
    pub fn next_seq(&self) -> u64 {
        self.next_seq
    }

    /// Blocks that are believed to be cached.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Whether nothing is believed to be cached.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    fn change(&mut self, change: &CacheChange) {
        match change {
            CacheChange::Stored(keys) => self.blocks.extend(keys),
            CacheChange::Evicted(keys) => {
                for key in keys {
                    self.blocks.remove(key);
                }
            }
            CacheChange::Cleared => self.blocks.clear(),
        }
    }

    /// Keeps the newest events. A dropped one shows as a gap again after the re-read.
    fn keep(&mut self, event: &CacheEvent) {
        if self.kept.len() == MAX_KEPT_EVENTS {
            self.kept.pop_front();
        }
        self.kept.push_back(event.clone());
    }
}
