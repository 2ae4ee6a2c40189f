//! What the store of cached prompt parts holds, from its own events.
//!
//! Cost: one entry for each part that the store holds.

use std::collections::{HashMap, HashSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::model::PromptPart;

/// Events that are kept for routers that follow this one.
const MAX_RECENT: usize = 4_096;

/// A change of what the store holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Whether the part was added; otherwise it was dropped.
    pub added: bool,
    /// The scope of the part, see [`crate::model::cache_salt`].
    pub salt: String,
    /// The part.
    pub part: String,
}

/// How far the events of a store are known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// The run of the store.
    pub epoch: u64,
    /// The event from which to go on.
    pub next: u64,
}

/// What leads from one router's view of a store to another one's.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CacheUpdate {
    /// The events since.
    Events(Vec<CacheEvent>),
    /// All that it holds, as salt and part.
    All(Vec<(String, String)>),
}

/// The parts in the store.
#[derive(Debug, Default)]
pub struct StoreContents {
    held: HashMap<String, HashSet<String>>,
    position: Option<Position>,
    /// The latest events, each with the place from which it was told.
    recent: VecDeque<(u64, CacheEvent)>,
    /// The place since which these are all.
    recent_since: u64,
}

impl StoreContents {
    /// Takes over the full list of what one run of the store holds, as salt and part.
    pub fn replace(
        &mut self,
        position: Position,
        held: impl IntoIterator<Item = (String, String)>,
    ) {
        self.clear();
        self.position = Some(position);
        self.recent_since = position.next;
        for (salt, part) in held {
            self.held.entry(salt).or_default().insert(part);
        }
    }

    /// Takes in the events of one run of the store from the known position to another one.
    ///
    /// Another run begins empty. After a gap the rest still holds: a wrong entry costs a fetch that
    /// finds nothing.
    pub fn apply(&mut self, to: Position, events: impl IntoIterator<Item = CacheEvent>) {
        if self.position.map(|known| known.epoch) != Some(to.epoch) {
            self.clear();
        }
        let from = self.position.map_or(0, |known| known.next);
        self.position = Some(to);
        for event in events {
            self.apply_one(&event);
            self.recent.push_back((from, event));
        }
        self.trim();
    }

    /// Drops the oldest events, those of one place together.
    fn trim(&mut self) {
        while self.recent.len() > MAX_RECENT {
            let Some((dropped, _)) = self.recent.pop_front() else { return };
            while self.recent.front().is_some_and(|(from, _)| *from == dropped) {
                self.recent.pop_front();
            }
            let next = self.position.map_or(0, |known| known.next);
            self.recent_since = self.recent.front().map_or(next, |(from, _)| *from);
        }
    }

    fn apply_one(&mut self, event: &CacheEvent) {
        if event.added {
            self.held.entry(event.salt.clone()).or_default().insert(event.part.clone());
        } else if let Some(parts) = self.held.get_mut(&event.salt) {
            parts.remove(&event.part);
            if parts.is_empty() {
                self.held.remove(&event.salt);
            }
        }
    }

    /// How far the store's events are known.
    pub fn position(&self) -> Option<Position> {
        self.position
    }

    /// What a router lacks whose view ends at a position, and where that leads. None when nothing is known.
    pub fn update_from(&self, theirs: Option<Position>) -> Option<(Position, CacheUpdate)> {
        let known = self.position?;
        let events_since = |theirs: Position| {
            let is_same_run = theirs.epoch == known.epoch && theirs.next <= known.next;
            (is_same_run && self.recent_since <= theirs.next).then(|| {
                let since = self.recent.iter().filter(|(from, _)| *from >= theirs.next);
                since.map(|(_, event)| event.clone()).collect()
            })
        };
        let update = match theirs.and_then(events_since) {
            Some(events) => CacheUpdate::Events(events),
            None => CacheUpdate::All(self.all()),
        };
        Some((known, update))
    }

    /// Takes in what another router's view has beyond this one.
    pub fn take(&mut self, to: Position, update: CacheUpdate) {
        match update {
            CacheUpdate::Events(events) => self.apply(to, events),
            CacheUpdate::All(held) => self.replace(to, held),
        }
    }

    fn all(&self) -> Vec<(String, String)> {
        let salts = self.held.iter();
        salts
            .flat_map(|(salt, parts)| parts.iter().map(|part| (salt.clone(), part.clone())))
            .collect()
    }

    /// Forgets everything, since the store can't be asked.
    pub fn clear(&mut self) {
        self.held.clear();
        self.recent.clear();
        self.recent_since = 0;
        self.position = None;
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
