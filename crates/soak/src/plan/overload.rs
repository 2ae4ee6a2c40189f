//! Engines that begin late for a while, all at once, while gateways use admission control.

use std::ops::Range;

use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::{Fault, Planned, Size};

/// Sets this draw apart from those of other faults, so that these stay as they were.
const OVERLOAD_SEED: u64 = 0xBB;
/// How long engines begin late, and the time from the end of one such time to the next.
const LATE_MS: Range<u64> = 1_000..3_000;
const GAP_MS: Range<u64> = 2_500..6_000;
/// How late; beyond the target of the routes, 300 ms.
const DELAY_MS: Range<u64> = 500..1_500;
/// More requests than reach an engine in that time.
const LATE_REQUESTS: usize = 10_000;

pub(super) fn draw(seed: u64, span: Range<u64>, size: Size) -> Vec<Planned> {
    let mut random = SmallRng::seed_from_u64(seed ^ OVERLOAD_SEED);
    let mut faults = Vec::new();
    let mut at_ms = span.start;
    while at_ms < span.end {
        let for_ms = random.random_range(LATE_MS).min(span.end - at_ms);
        let delay_ms = random.random_range(DELAY_MS);
        for server in 0..size.engines {
            let fault = Fault::ServerBeginsLate { server, requests: LATE_REQUESTS, delay_ms };
            faults.push(Planned { at_ms, for_ms, fault });
        }
        at_ms += for_ms + random.random_range(GAP_MS);
    }
    faults
}
