//! Stores that come back from copies, and kills of all processes.

use std::ops::Range;

use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::{CALM_AT_START_MS, Fault, LENGTH_MS, Planned, Process, Size};

/// One run in this many has a store that comes back from copies, and kills of all processes at once.
const DRILLS_ONE_IN: u32 = 2;
/// How often each of both happens in such a run.
const DRILLS: Range<u32> = 1..4;
/// How old a copy is when the store comes back from it.
const COPY_AGE_MS: Range<u64> = 500..6_000;
/// Sets the draw of these apart.
const DRILLS_SEED: u64 = 0x77;

/// Draws returns of the store from copies, and kills of all processes at the same moment.
pub(super) fn draw(seed: u64, last_ms: u64, size: Size) -> Vec<Planned> {
    let mut random = SmallRng::seed_from_u64(seed ^ DRILLS_SEED);
    if !random.random_ratio(1, DRILLS_ONE_IN) || last_ms <= CALM_AT_START_MS {
        return Vec::new();
    }
    let mut faults = Vec::new();
    for _ in 0..random.random_range(DRILLS) {
        let at_ms = random.random_range(CALM_AT_START_MS..last_ms);
        let for_ms = random.random_range(COPY_AGE_MS).min(last_ms - at_ms);
        faults.push(Planned { at_ms, for_ms, fault: Fault::StoreReturns });
    }
    for _ in 0..random.random_range(DRILLS) {
        let at_ms = random.random_range(CALM_AT_START_MS..last_ms);
        let for_ms = random.random_range(LENGTH_MS).min(last_ms - at_ms);
        let gateways = (0..size.gateways).map(Process::Gateway);
        let all = gateways.chain((0..size.engines).map(Process::Sidecar));
        faults.extend(all.map(|process| Planned { at_ms, for_ms, fault: Fault::Dies(process) }));
    }
    faults
}
