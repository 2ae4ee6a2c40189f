//! The agent's index of the blocks in its engine's cache.

use std::collections::VecDeque;

use samphirespread_core::prelude::*;
use samphirespread_engine::api::{BlockList, CacheChange, CacheEvent};

use crate::{
    SampledBlock,
    key_map::{KeyMap, KeySet},
};

/// The maximum number of events that are kept between a gap in the event stream and the re-read
/// that replaces the index.
const MAX_KEPT_EVENTS: usize = 4_096;

/// An index of the blocks in an engine's cache, kept up to date by the engine's event stream.
///
/// The index belongs to one run of the engine, identified by its incarnation, and to a position in
/// the event stream of that run. A later incarnation empties it. A gap in the sequence numbers
/// marks it uncertain until [`Residency::re_read`] replaces it with the engine's own list; until
/// then lookups use the possibly outdated index. A wrong entry costs only time, since the engine
/// itself decides what it reuses.
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
    kept_events: VecDeque<CacheEvent>,
}

/// How an event related to the state of the index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Applied {
    /// The event was the next one of the run.
    InOrder,
    /// Events before this one were lost; the index is uncertain now.
    AfterGap,
    /// The event is older than the state of the index or of an older run, and changed nothing.
    Known,
}

impl Residency {
    /// Creates an empty index.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies one event of the engine.
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
        self.apply_change(&event.change);
        if self.uncertain {
            self.keep_event(event);
        }
        if in_order { Applied::InOrder } else { Applied::AfterGap }
    }

    /// Replaces the index with the engine's own list. Returns false if the list is of an older run.
    ///
    /// Events that arrived since the gap and are newer than the list are applied to the new index.
    pub fn re_read(&mut self, list: &BlockList) -> bool {
        if list.incarnation < self.incarnation {
            return false;
        }
        self.start_run(list.incarnation);
        let kept_events = std::mem::take(&mut self.kept_events);
        self.blocks.clear();
        self.blocks.extend(&list.keys);
        self.next_seq = list.next_seq;
        self.uncertain = false;
        for event in kept_events {
            self.apply(&event);
        }
        true
    }

    /// Empties the index if `incarnation` is a later run of the engine, which starts with an empty
    /// cache.
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
        self.kept_events.clear();
        self.uncertain = false;
    }

    /// Returns the number of leading blocks of a prompt that are cached now, according to the
    /// index.
    ///
    /// Blocks that are only expected don't count: the engine still has to compute them.
    pub fn cached_blocks(&self, blocks: &[BlockKey]) -> u32 {
        let missing = blocks.iter().position(|key| !self.blocks.contains(key));
        missing.unwrap_or(blocks.len()) as u32
    }

    /// Returns the number of leading blocks of a prompt that are cached, according to the index, or
    /// are expected after prompts that were accepted before.
    pub fn leading_blocks(&self, blocks: &[BlockKey]) -> u32 {
        let missing = blocks.iter().position(|key| !self.is_cached_or_expected(key));
        missing.unwrap_or(blocks.len()) as u32
    }

    /// Returns the depth up to which all sampled blocks of a prompt are cached or expected, as in
    /// [`Residency::leading_blocks`].
    ///
    /// As long as an engine evicts prefixes from their ends, an engine that has a block also has
    /// the prefix before it. The result is then at most the number of leading blocks.
    pub fn leading_depth(&self, sampled: &[SampledBlock]) -> u32 {
        let leading = sampled.iter().take_while(|block| self.is_cached_or_expected(&block.key));
        leading.last().map_or(0, |block| block.depth)
    }

    fn is_cached_or_expected(&self, key: &BlockKey) -> bool {
        self.blocks.contains(key) || self.expected.contains_key(key)
    }

    /// Marks the blocks of a prompt that was accepted and not yet prefilled as expected.
    ///
    /// Without this, several prompts with the same new prefix would each look like a miss and go to
    /// several engines. Each call is undone by a call of [`Residency::remove_expected`].
    pub fn add_expected(&mut self, blocks: &[BlockKey]) {
        for key in blocks {
            *self.expected.entry(*key).or_insert(0) += 1;
        }
    }

    /// Undoes one call of [`Residency::add_expected`], once the prompt's blocks are in the index or
    /// will not be cached.
    pub fn remove_expected(&mut self, blocks: &[BlockKey]) {
        for key in blocks {
            let Some(count) = self.expected.get_mut(key) else { continue };
            *count -= 1;
            if *count == 0 {
                self.expected.remove(key);
            }
        }
    }

    /// Marks the index uncertain, for example after the connection to the event stream is lost.
    pub fn mark_uncertain(&mut self) {
        self.uncertain = true;
    }

    /// Returns whether the index is uncertain and must be replaced by [`Residency::re_read`].
    pub fn needs_re_read(&self) -> bool {
        self.uncertain
    }

    /// Returns the run of the engine that the index belongs to.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the sequence number of the next expected event.
    pub fn next_seq(&self) -> u64 {
        self.next_seq
    }

    /// Returns the number of blocks in the index.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Returns whether the index has no blocks.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    fn apply_change(&mut self, change: &CacheChange) {
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

    /// Keeps an event for the re-read, and drops the oldest one if there are too many. A dropped
    /// event that the list doesn't cover shows as a new gap after the re-read.
    fn keep_event(&mut self, event: &CacheEvent) {
        if self.kept_events.len() == MAX_KEPT_EVENTS {
            self.kept_events.pop_front();
        }
        self.kept_events.push_back(event.clone());
    }
}
