//! Limits that servers name on the requests of all gateways.

use std::ops::Range;

use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::{CALM_AT_START_MS, Fault, Planned, Size};

/// How long a server names a limit.
const LIMIT_LENGTH_MS: Range<u64> = 6_000..14_000;
/// The limits that servers name, in requests in 1,000 seconds.
const LIMITS_PER_1000_S: Range<u64> = 300..4_000;
/// One server in this many names a limit at some time; several do so at once.
const LIMITED_ONE_IN: u32 = 2;
/// One of this many limits lets nothing pass.
const ZERO_LIMIT_ONE_IN: u32 = 8;
/// Sets the draw of limits apart from that of the other faults, so that these stay as they were.
const LIMITS_SEED: u64 = 0x11;

/// Draws limits of servers.
pub(super) fn draw(seed: u64, last_ms: u64, size: Size) -> Vec<Planned> {
    let mut random = SmallRng::seed_from_u64(seed ^ LIMITS_SEED);
    let mut limits = Vec::new();
    for server in 0..size.engines + size.desks {
        if !random.random_ratio(1, LIMITED_ONE_IN) || last_ms <= CALM_AT_START_MS {
            continue;
        }
        let is_zero = random.random_ratio(1, ZERO_LIMIT_ONE_IN);
        let per_1000_s = if is_zero { 0 } else { random.random_range(LIMITS_PER_1000_S) };
        let at_ms = random.random_range(CALM_AT_START_MS..last_ms);
        let for_ms = random.random_range(LIMIT_LENGTH_MS).min(last_ms - at_ms);
        limits.push(Planned { at_ms, for_ms, fault: Fault::ServerLimits { server, per_1000_s } });
    }
    limits
}
