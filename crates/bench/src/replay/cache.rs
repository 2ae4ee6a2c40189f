//! The block cache of a fake engine.

use std::collections::{BTreeMap, HashMap};

use samphirespread_core::prelude::*;

/// Blocks in the order of their last use.
#[derive(Clone, Debug, Default)]
pub(crate) struct LruCache {
    used_at: HashMap<BlockKey, u64>,
    by_use: BTreeMap<u64, BlockKey>,
    next_use: u64,
    limit: usize,
}

impl LruCache {
    pub(crate) fn new(limit: usize) -> Self {
        Self { limit, ..Self::default() }
    }

    pub(crate) fn contains(&self, key: BlockKey) -> bool {
        self.used_at.contains_key(&key)
    }

    /// Marks the blocks as used, the first as the latest: a block without those before it is
    /// useless.
    pub(crate) fn touch(&mut self, blocks: &[BlockKey]) {
        for key in blocks.iter().rev() {
            if let Some(used_at) = self.used_at.get_mut(key) {
                self.by_use.remove(used_at);
                *used_at = self.next_use;
                self.by_use.insert(self.next_use, *key);
                self.next_use += 1;
            }
        }
    }

    /// Adds the blocks and returns those that had to go.
    pub(crate) fn insert(&mut self, blocks: &[BlockKey]) -> Vec<BlockKey> {
        for key in blocks {
            self.used_at.entry(*key).or_insert_with(|| {
                let used_at = self.next_use;
                self.by_use.insert(used_at, *key);
                self.next_use += 1;
                used_at
            });
        }
        self.touch(blocks);
        let mut evicted = Vec::new();
        while self.used_at.len() > self.limit {
            let Some((_, key)) = self.by_use.pop_first() else { break };
            self.used_at.remove(&key);
            evicted.push(key);
        }
        evicted
    }

    /// All blocks, least recently used first.
    pub(crate) fn keys(&self) -> Vec<BlockKey> {
        self.by_use.values().copied().collect()
    }
}
