//! What the store of cached prompt parts holds, from its own events.
//!
//! Cost: one entry for each part that the store holds.

use std::collections::{HashMap, HashSet};

use crate::model::PromptPart;

/// A change of what the store holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CacheEvent {
    /// Whether the part was added; otherwise it was dropped.
    pub added: bool,
    /// The scope of the part, see [`crate::model::cache_salt`].
    pub salt: String,
    /// The part.
    pub part: String,
}

/// The parts in the store.
#[derive(Debug, Default)]
pub struct StoreContents {
    held: HashMap<String, HashSet<String>>,
    epoch: Option<u64>,
}

impl StoreContents {
    /// Takes over the full list of what one run of the store holds, as salt and part.
    pub fn replace(&mut self, epoch: u64, held: impl IntoIterator<Item = (String, String)>) {
        self.clear();
        self.epoch = Some(epoch);
        for (salt, part) in held {
            self.held.entry(salt).or_default().insert(part);
        }
    }

    /// Takes in events of one run of the store.
    ///
    /// Another run begins empty. After a gap the rest still holds: a wrong entry costs a fetch that
    /// finds nothing.
    pub fn apply(&mut self, epoch: u64, events: impl IntoIterator<Item = CacheEvent>) {
        if self.epoch != Some(epoch) {
            self.held.clear();
            self.epoch = Some(epoch);
        }
        for event in events {
            if event.added {
                self.held.entry(event.salt).or_default().insert(event.part);
            } else if let Some(parts) = self.held.get_mut(&event.salt) {
                parts.remove(&event.part);
                if parts.is_empty() {
                    self.held.remove(&event.salt);
                }
            }
        }
    }

    /// Forgets everything, since the store can't be asked.
    pub fn clear(&mut self) {
        self.held.clear();
        self.epoch = None;
    }

    /// Tokens at the beginning of the prompt that the store holds.
    pub fn leading_tokens(&self, salt: &str, parts: &[PromptPart]) -> u64 {
        let Some(held) = self.held.get(salt) else { return 0 };
        let stored = parts.iter().take_while(|part| held.contains(&*part.id));
        stored.map(|part| part.tokens).sum()
    }

    /// Parts held.
    pub fn len(&self) -> usize {
        self.held.values().map(HashSet::len).sum()
    }

    /// Whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }
}
