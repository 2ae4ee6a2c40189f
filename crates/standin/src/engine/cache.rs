//! The prefix cache.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use samphirespread_core::prelude::*;

/// Names a cached block. The key names the text, the salt who may reuse it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct BlockName {
    pub(super) salt: Arc<str>,
    pub(super) key: BlockKey,
}

/// Who computed a block, and from which text.
#[derive(Clone, Debug)]
pub(super) struct BlockOrigin {
    /// The stream that computed it; `None` for an imported block.
    pub(super) stream: Option<Arc<str>>,
    pub(super) salt: Arc<str>,
    pub(super) version: WeightsVersion,
    /// Hash of all text up to the block's end; unknown for an imported block.
    pub(super) text_hash: Option<u64>,
}

/// One block of a prompt.
#[derive(Clone, Copy, Debug)]
pub(super) struct PromptBlock {
    pub(super) key: BlockKey,
    pub(super) text_hash: u64,
}

#[derive(Debug)]
struct Cached {
    origin: BlockOrigin,
    last_use: u64,
}

/// Blocks in limited memory; the least recently used go first.
#[derive(Debug)]
pub(super) struct BlockCache {
    capacity: usize,
    blocks: HashMap<BlockName, Cached>,
    by_use: BTreeMap<u64, BlockName>,
    uses: u64,
}

impl BlockCache {
    pub(super) fn new(capacity: usize) -> Self {
        Self { capacity, blocks: HashMap::new(), by_use: BTreeMap::new(), uses: 0 }
    }

    pub(super) fn len(&self) -> usize {
        self.blocks.len()
    }

    pub(super) fn capacity(&self) -> usize {
        self.capacity
    }

    pub(super) fn keys(&self) -> Vec<BlockKey> {
        self.blocks.keys().map(|name| name.key).collect()
    }

    pub(super) fn contains(&self, name: &BlockName) -> bool {
        self.blocks.contains_key(name)
    }

    /// The origins of the leading blocks that are cached, which are used by that.
    pub(super) fn reuse(&mut self, salt: &Arc<str>, blocks: &[PromptBlock]) -> Vec<BlockOrigin> {
        let mut origins = Vec::new();
        for block in blocks {
            let name = BlockName { salt: Arc::clone(salt), key: block.key };
            let Some(cached) = self.blocks.get(&name) else { break };
            if cached.origin.text_hash.is_some_and(|hash| hash != block.text_hash) {
                break;
            }
            origins.push(cached.origin.clone());
        }
        // The first block is used last, so that a prefix loses its end before its beginning.
        for block in blocks[..origins.len()].iter().rev() {
            self.touch(&BlockName { salt: Arc::clone(salt), key: block.key });
        }
        origins
    }

    /// Caches a block and returns the keys of those that had to go.
    pub(super) fn insert(&mut self, name: BlockName, origin: BlockOrigin) -> Vec<BlockKey> {
        if self.capacity == 0 {
            return Vec::new();
        }
        if self.blocks.contains_key(&name) {
            self.touch(&name);
            return Vec::new();
        }

        let mut evicted = Vec::new();
        while self.blocks.len() >= self.capacity {
            let Some((_, oldest)) = self.by_use.pop_first() else { break };
            self.blocks.remove(&oldest);
            evicted.push(oldest.key);
        }
        self.uses += 1;
        self.by_use.insert(self.uses, name.clone());
        self.blocks.insert(name, Cached { origin, last_use: self.uses });
        evicted
    }

    fn touch(&mut self, name: &BlockName) {
        let Some(cached) = self.blocks.get_mut(name) else { return };
        self.by_use.remove(&cached.last_use);
        self.uses += 1;
        cached.last_use = self.uses;
        self.by_use.insert(self.uses, name.clone());
    }
}
