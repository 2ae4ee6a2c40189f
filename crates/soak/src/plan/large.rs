//! Large configurations on narrow paths.

use std::ops::Range;

use rand::{Rng, SeedableRng, rngs::SmallRng};

use super::{CALM_AT_START_MS, Fault, Path, PathFault, Planned, SERIES_GAP_MS, Setting, Size};

/// Routes of a large configuration.
const MANY_ROUTES: Range<u64> = 400..2_000;
/// What a narrow path to the store carries, in bytes a second.
const NARROW_BYTES_PER_S: Range<u64> = 50_000..400_000;
/// How long it stays narrow.
const NARROW_LENGTH_MS: Range<u64> = 2_000..8_000;
/// One run in this many has large configurations on narrow paths.
const LARGE_ONE_IN: u32 = 2;
/// Sets the draw of large configurations apart.
const LARGE_SEED: u64 = 0x55;

/// Draws two large configurations while the paths of some gateways to the store are narrow.
pub(super) fn draw(seed: u64, last_ms: u64, size: Size) -> Vec<Planned> {
    let mut random = SmallRng::seed_from_u64(seed ^ LARGE_SEED);
    if !random.random_ratio(1, LARGE_ONE_IN) || last_ms <= CALM_AT_START_MS {
        return Vec::new();
    }
    let mut faults = Vec::new();
    let mut at_ms = random.random_range(CALM_AT_START_MS..last_ms);
    for gateway in 0..size.gateways.div_ceil(2) {
        let narrow = PathFault::Narrow(random.random_range(NARROW_BYTES_PER_S));
        let for_ms = random.random_range(NARROW_LENGTH_MS).min(last_ms - at_ms);
        faults.push(Planned { at_ms, for_ms, fault: Fault::Path(Path::Store(gateway), narrow) });
    }
    for _ in 0..2 {
        let routes = Setting::ManyRoutes(random.random_range(MANY_ROUTES));
        faults.push(Planned { at_ms, for_ms: 0, fault: Fault::Configured(routes) });
        at_ms = (at_ms + random.random_range(SERIES_GAP_MS)).min(last_ms);
    }
    faults
}
