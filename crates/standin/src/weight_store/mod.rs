//! The store that engines load weights from. It slows down when many load at once.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

const SLICE_MS: u64 = 10;

/// A weight store that engines share.
#[derive(Clone, Debug)]
pub struct WeightStore {
    load_ms: u64,
    limit: u32,
    active: Arc<AtomicU32>,
}

impl WeightStore {
    /// One load takes `load_ms` as long as no more than `limit` run at once. More of them share
    /// what the limit allows.
    pub fn new(load_ms: u64, limit: u32) -> Self {
        Self { load_ms, limit: limit.max(1), active: Arc::default() }
    }

    /// Loads that run now.
    pub fn active(&self) -> u32 {
        self.active.load(Ordering::SeqCst)
    }

    pub(crate) async fn load(&self) {
        let load = ActiveLoad::begin(Arc::clone(&self.active));
        let mut left_ms = self.load_ms as f64;
        while left_ms > 0.0 {
            tokio::time::sleep(Duration::from_millis(SLICE_MS)).await;
            let share = f64::from(self.limit) / f64::from(self.active().max(self.limit));
            left_ms -= SLICE_MS as f64 * share;
        }
        drop(load);
    }
}

/// Counts a load until it is done or given up.
struct ActiveLoad {
    active: Arc<AtomicU32>,
}

impl ActiveLoad {
    fn begin(active: Arc<AtomicU32>) -> Self {
        active.fetch_add(1, Ordering::SeqCst);
        Self { active }
    }
}

impl Drop for ActiveLoad {
    fn drop(&mut self) {
        self.active.fetch_sub(1, Ordering::SeqCst);
    }
}
