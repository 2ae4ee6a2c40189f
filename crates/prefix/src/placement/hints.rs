//! What a router remembers of the hints of home agents.

use samphirespread_core::prelude::*;

use crate::{Hint, key_map::TwoGenerations};

/// A bounded table of shared prefixes and their homes that forgets what was not confirmed lately.
#[derive(Clone, Debug)]
pub struct HintTable {
    replicas: TwoGenerations<u8>,
}

/// A level of a prompt that is known to be shared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Level {
    pub(crate) key: BlockKey,
    pub(crate) replicas: u8,
}

impl HintTable {
    /// A table of at most `limit` prefixes, each kept between half of `lifetime_ms` and all of it.
    pub fn new(limit: usize, lifetime_ms: u64) -> Self {
        Self { replicas: TwoGenerations::new(limit, lifetime_ms / 2) }
    }

    /// Takes in a hint about a prompt.
    pub fn learn(&mut self, blocks: &[BlockKey], hint: Hint, now: MonoTime) {
        self.replicas.age(now);
        let depth = (hint.shared_blocks as usize).min(blocks.len());
        if let Some(key) = depth.checked_sub(1).map(|last| blocks[last]) {
            self.replicas.put(key, hint.replicas.max(1));
        }
    }

    /// The deepest known shared levels of a prompt, deepest first.
    pub(crate) fn levels<'a>(&'a self, blocks: &'a [BlockKey]) -> impl Iterator<Item = Level> + 'a {
        blocks.iter().rev().filter_map(|key| {
            let replicas = self.replicas.get(*key)?;
            Some(Level { key: *key, replicas })
        })
    }

    /// Prefixes that are remembered.
    pub fn len(&self) -> usize {
        self.replicas.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.replicas.len() == 0
    }
}
