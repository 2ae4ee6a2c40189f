//! Simple placements that serve as baselines in measurements.

use rand::Rng;
use samphirespread_core::prelude::*;

use super::{Candidates, Placement, Prompt, WorkerSet};

/// A placement that names the workers in turn.
#[derive(Clone, Debug, Default)]
pub struct RoundRobin {
    next: usize,
}

impl Placement for RoundRobin {
    fn candidates<R: Rng + ?Sized>(
        &mut self,
        _prompt: &Prompt<'_>,
        workers: &WorkerSet,
        _now: MonoTime,
        _rng: &mut R,
    ) -> Candidates {
        let mut candidates = Candidates::default();
        for offset in 0..workers.len() {
            let index = (self.next + offset) % workers.len();
            if workers.get(index).takes_work {
                candidates.push(index);
                self.next = index + 1;
                break;
            }
        }
        candidates
    }
}

/// A placement that names the worker with the shortest expected wait.
#[derive(Clone, Debug, Default)]
pub struct LeastLoad;

impl Placement for LeastLoad {
    fn candidates<R: Rng + ?Sized>(
        &mut self,
        _prompt: &Prompt<'_>,
        workers: &WorkerSet,
        now: MonoTime,
        rng: &mut R,
    ) -> Candidates {
        let mut candidates = Candidates::default();
        let accepting = (0..workers.len()).filter(|index| workers.get(*index).takes_work);
        // Ties are broken at random, so that routers don't all choose the same idle worker.
        let least_loaded = accepting
            .min_by_key(|index| (workers.get(*index).expected_wait_ms(now), rng.random::<u32>()));
        if let Some(index) = least_loaded {
            candidates.push(index);
        }
        candidates
    }
}

/// A placement that names the preferred worker of the prompt's first block.
#[derive(Clone, Debug, Default)]
pub struct FirstBlock;

impl Placement for FirstBlock {
    fn candidates<R: Rng + ?Sized>(
        &mut self,
        prompt: &Prompt<'_>,
        workers: &WorkerSet,
        _now: MonoTime,
        rng: &mut R,
    ) -> Candidates {
        let mut candidates = Candidates::default();
        let key = prompt.blocks.first().copied().unwrap_or_else(|| BlockKey(rng.random()));
        let mut preferred = workers.ring().preferred_workers(key);
        if let Some(index) = preferred.find(|index| workers.get(*index).takes_work) {
            candidates.push(index);
        }
        candidates
    }
}
