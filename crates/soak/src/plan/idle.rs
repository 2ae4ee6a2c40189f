//! Servers that drop idle connections.

use std::ops::Range;

use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::{Fault, Planned, Size};

/// One run in this many has servers that drop idle connections.
const ONE_IN: u32 = 2;
/// How often servers begin to do so; the times may overlap.
const ROUNDS: Range<u32> = 1..4;
/// The share of the servers that do so, of 100.
const SHARES_PERCENT: Range<u32> = 20..101;
/// After how long they drop a connection: some of these are short for every connection, some are long for
/// most.
const AFTER_MS: Range<u64> = 120..1_500;
/// How long they do so.
const LENGTH_MS: Range<u64> = 1_500..8_000;
/// Sets the draw of these apart from that of other faults, so that these stay as they were.
const SEED: u64 = 0xDD;

/// Draws rounds in which some servers drop connections that were idle for a time.
pub(super) fn draw(seed: u64, span: Range<u64>, size: Size) -> Vec<Planned> {
    let mut random = SmallRng::seed_from_u64(seed ^ SEED);
    if !random.random_ratio(1, ONE_IN) || span.is_empty() {
        return Vec::new();
    }
    let mut faults = Vec::new();
    for _ in 0..random.random_range(ROUNDS) {
        let at_ms = random.random_range(span.clone());
        let for_ms = random.random_range(LENGTH_MS).min(span.end - at_ms);
        let after_ms = random.random_range(AFTER_MS);
        let share_percent = random.random_range(SHARES_PERCENT);
        for server in 0..size.engines + size.desks {
            if random.random_ratio(share_percent, 100) {
                let fault = Fault::ServerDropsIdle { server, after_ms };
                faults.push(Planned { at_ms, for_ms, fault });
            }
        }
    }
    faults
}
