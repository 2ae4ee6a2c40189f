//! Simple placements to measure against.

use rand::Rng;
use samphirespread_core::prelude::*;

use super::{Candidates, Placement, Prompt, WorkerSet};

/// One worker after the other.
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
            let place = (self.next + offset) % workers.len();
            if workers.get(place).takes_work {
                candidates.push(place);
                self.next = place + 1;
                break;
            }
        }
        candidates
    }
}

/// The worker with the least expected wait.
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
        let taking = (0..workers.len()).filter(|place| workers.get(*place).takes_work);
        // A random second key keeps routers from agreeing on one idle worker.
        let least = taking
            .min_by_key(|place| (workers.get(*place).expected_wait_ms(now), rng.random::<u32>()));
        if let Some(place) = least {
            candidates.push(place);
        }
        candidates
    }
}

/// The home of the first block.
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
        let mut homes = workers.ring().homes(key);
        if let Some(place) = homes.find(|place| workers.get(*place).takes_work) {
            candidates.push(place);
        }
        candidates
    }
}
