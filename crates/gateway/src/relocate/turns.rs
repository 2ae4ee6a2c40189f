//! Turns of the runs that are moved off one engine.
//!
//! An engine copies the memory of its runs one after the other. If all were copied first and stopped then,
//! each stopped run would wait for the copies of all others, and its caller with it.

use std::{
    collections::HashMap,
    sync::{Arc, Weak},
};

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Runs that this router moves off one engine at once. With two, the engine copies one while the other is
/// between its calls.
const MOVES_AT_ONCE: usize = 2;

/// A turn, which ends when it is dropped.
pub(super) type Turn = OwnedSemaphorePermit;

/// The turns at each engine that runs are moved off.
#[derive(Debug, Default)]
pub(crate) struct MoveTurns {
    by_source: HashMap<Arc<str>, Weak<Semaphore>>,
}

impl MoveTurns {
    /// Returns the turns at an engine, which are given in the order in which they are asked for.
    pub(super) fn at(&mut self, source: &Arc<str>) -> Arc<Semaphore> {
        if let Some(turns) = self.by_source.get(source).and_then(Weak::upgrade) {
            return turns;
        }
        self.by_source.retain(|_, turns| turns.strong_count() > 0);
        let turns = Arc::new(Semaphore::new(MOVES_AT_ONCE));
        self.by_source.insert(source.clone(), Arc::downgrade(&turns));
        turns
    }
}
