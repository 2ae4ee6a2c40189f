//! The prefix cache.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use samphirespread_core::prelude::*;

/// Names a cached block. The key names the text, the salt who may reuse it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct BlockName {
    pub(crate) salt: Arc<str>,
    pub(crate) key: BlockKey,
}

/// Who computed a block, and from which text.
#[derive(Clone, Debug)]
pub(crate) struct BlockOrigin {
    /// The stream that computed it; `None` for an imported block.
    pub(crate) stream: Option<Arc<str>>,
    pub(crate) salt: Arc<str>,
    pub(crate) version: WeightsVersion,
    /// Hash of all text up to the block's end; unknown for an imported block.
    pub(crate) text_hash: Option<u64>,
}

/// One block of a prompt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PromptBlock {
    pub(crate) key: BlockKey,
    pub(crate) text_hash: u64,
}

#[derive(Debug)]
struct Cached {
    origin: BlockOrigin,
    last_use: u64,
}

/// Blocks in limited memory; the least recently used go first.
#[derive(Debug)]
pub(crate) struct BlockCache {
    capacity: usize,
    blocks: HashMap<BlockName, Cached>,
    by_use: BTreeMap<u64, BlockName>,
    uses: u64,
}

impl BlockCache {
    pub(crate) fn new(capacity: usize) -> Self {
        Self { capacity, blocks: HashMap::new(), by_use: BTreeMap::new(), uses: 0 }
    }

    pub(crate) fn len(&self) -> usize {
        self.blocks.len()
    }

    pub(crate) fn capacity(&self) -> usize {
        self.capacity
    }

    pub(crate) fn keys(&self) -> Vec<BlockKey> {
        self.blocks.keys().map(|name| name.key).collect()
    }

    pub(crate) fn contains(&self, name: &BlockName) -> bool {
        self.blocks.contains_key(name)
    }

    /// The origins of the leading blocks that are cached, which are used by that.
    pub(crate) fn reuse(&mut self, salt: &Arc<str>, blocks: &[PromptBlock]) -> Vec<BlockOrigin> {
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
    pub(crate) fn insert(&mut self, name: BlockName, origin: BlockOrigin) -> Vec<BlockKey> {
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
