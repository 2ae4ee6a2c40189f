//! Tracks which prompt parts the cache store holds, from the store's change events.
//!
//! Memory: one entry for each part that the store holds.

use std::collections::{HashMap, HashSet, VecDeque};

use serde::{Deserialize, Serialize};

use crate::model::PromptPart;

/// The number of events that are kept for routers that copy their view from this one.
const MAX_RECENT_EVENTS: usize = 4_096;

/// A change of the store's contents.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Whether the part was added; otherwise it was removed.
    pub added: bool,
    /// The scope of the part, see [`crate::cache_scope::CacheScope::salt`].
    pub salt: String,
    /// The id of the part.
    pub part: String,
}

/// A position in the store's sequence of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// Identifies the run of the store.
    pub epoch: u64,
    /// The number of the next event.
    pub next: u64,
}

/// The data that brings one router's view of a store up to that of another router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CacheUpdate {
    /// The events that the view lacks.
    Events(Vec<CacheEvent>),
    /// The complete contents, as pairs of salt and part.
    All(Vec<(String, String)>),
}

/// The parts in the store, as one router knows them.
#[derive(Debug, Default)]
pub struct StoreContents {
    held: HashMap<String, HashSet<String>>,
    position: Option<Position>,
    /// The latest events. Each has the event number at which the batch that contained it began.
    recent: VecDeque<(u64, CacheEvent)>,
    /// The event number from which `recent` is complete.
    recent_since: u64,
}

impl StoreContents {
    /// Replaces the view by the complete contents of the store, as pairs of salt and part.
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

    /// Applies the events between the known position and `to`.
    ///
    /// If `to` belongs to another run of the store, the view is cleared first, because a run starts
    /// empty. If events were missed, the view is kept: a wrong entry only costs a fetch that finds
    /// nothing.
    pub fn apply(&mut self, to: Position, events: impl IntoIterator<Item = CacheEvent>) {
        if self.position.map(|known| known.epoch) != Some(to.epoch) {
            self.clear();
        }
        let from = self.position.map_or(0, |known| known.next);
        self.position = Some(to);
        for event in events {
            self.apply_event(&event);
            self.recent.push_back((from, event));
        }
        self.drop_old_events();
    }

    /// Drops the oldest events, whole batches at a time.
    fn drop_old_events(&mut self) {
        while self.recent.len() > MAX_RECENT_EVENTS {
            let Some((dropped, _)) = self.recent.pop_front() else { return };
            while self.recent.front().is_some_and(|(from, _)| *from == dropped) {
                self.recent.pop_front();
            }
            let next = self.position.map_or(0, |known| known.next);
            self.recent_since = self.recent.front().map_or(next, |(from, _)| *from);
        }
    }

    fn apply_event(&mut self, event: &CacheEvent) {
        if event.added {
            self.held.entry(event.salt.clone()).or_default().insert(event.part.clone());
        } else if let Some(parts) = self.held.get_mut(&event.salt) {
            parts.remove(&event.part);
            if parts.is_empty() {
                self.held.remove(&event.salt);
            }
        }
    }

    /// Returns the position up to which the store's events are known.
    pub fn position(&self) -> Option<Position> {
        self.position
    }

    /// Returns what a router with a view at position `theirs` lacks, and the position after that.
    /// It is none while this router knows nothing itself.
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

    /// Applies the update from another router that leads to the position `to`.
    pub fn apply_update(&mut self, to: Position, update: CacheUpdate) {
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

    /// Clears the view, for use when the store can't be queried.
    pub fn clear(&mut self) {
        self.held.clear();
        self.recent.clear();
        self.recent_since = 0;
        self.position = None;
    }

    /// Returns the number of tokens at the beginning of the prompt that the store holds.
    pub fn leading_tokens(&self, salt: &str, parts: &[PromptPart]) -> u64 {
        let Some(held) = self.held.get(salt) else { return 0 };
        let stored = parts.iter().take_while(|part| held.contains(&*part.id));
        stored.map(|part| part.tokens).sum()
    }

    /// Returns the number of parts in the store.
    pub fn len(&self) -> usize {
        self.held.values().map(HashSet::len).sum()
    }

    /// Whether the store holds no parts.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }
}
