//! Orders to move a service to a new version of its software.

use std::ops::Range;

use rand::{Rng, SeedableRng, rngs::SmallRng};
use serde::{Deserialize, Serialize};

use super::{Fault, Planned, Size};

/// One run in this many has an order.
const ONE_IN: u32 = 2;
/// Sets the draw of orders apart from that of other faults, so that these stay as they were.
const SEED: u64 = 0xBB;
/// When the order is given, after the beginning of the span.
const ORDERED_AFTER_MS: Range<u64> = 0..2_500;
/// The time in which the service is to have the version.
const DURATION_S: Range<u64> = 9..13;
/// Requests that each server of a bad version handles well before its fault shows.
const SOUND_REQUESTS: Range<usize> = 0..40;
/// How late a slow version answers; many times as late as usual.
const SLOW_MS: Range<u64> = 150..600;
/// An order makes sense only if the service has servers of its own besides the new ones.
const MIN_SERVERS: usize = 2;

/// What a new version of a service is like.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Quality {
    /// Like the version before.
    Sound,
    /// Its servers fail what comes after that many requests each.
    Fails {
        /// The requests that a server handles well before.
        after: usize,
    },
    /// Its servers are slow from then on.
    Slow {
        /// The requests that a server handles as usual before.
        after: usize,
        /// How much later they answer.
        delay_ms: u64,
    },
}

/// Draws an order whose time is over before the end of the span.
pub(super) fn draw(seed: u64, span: Range<u64>, size: Size) -> Option<Planned> {
    let mut random = SmallRng::seed_from_u64(seed ^ SEED);
    let has_order = random.random_ratio(1, ONE_IN);
    let at_ms = span.start + random.random_range(ORDERED_AFTER_MS);
    let duration_s = random.random_range(DURATION_S);
    let quality = draw_quality(&mut random);
    let for_ms = duration_s * 1_000;
    (has_order && size.desks >= MIN_SERVERS && at_ms + for_ms <= span.end).then_some(Planned {
        at_ms,
        for_ms,
        fault: Fault::ServiceRollout { quality, duration_s },
    })
}

fn draw_quality(random: &mut SmallRng) -> Quality {
    let after = random.random_range(SOUND_REQUESTS);
    match random.random_range(0..4_u32) {
        0 | 1 => Quality::Sound,
        2 => Quality::Fails { after },
        _ => Quality::Slow { after, delay_ms: random.random_range(SLOW_MS) },
    }
}
