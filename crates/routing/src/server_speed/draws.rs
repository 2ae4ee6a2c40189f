//! The random numbers of one decision on a request.

use samphirespread_core::prelude::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Keep the two draws apart from each other and from others that are made by the id of a request.
const SEEDS: [u64; 2] = [0x70_6163_6531, 0x70_6163_6532];
/// The number of bits of a hash that a draw uses; an `f64` holds them exactly.
const BITS: u32 = 52;

/// Two numbers from 0 up to, but not including 1, by which two servers are drawn for a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Draws(pub(super) [f64; 2]);

impl Draws {
    /// Returns the draws for the request with an id. If the id is empty, they follow from the time,
    /// so that such requests are not all sent to the same servers.
    pub fn of_request(id: &str, now: MonoTime) -> Self {
        Self(SEEDS.map(|seed| draw(id, seed, now)))
    }
}

/// Returns a number from 0 up to, but not including 1, that follows from a request's id; from the time if
/// it has none, so that such requests are not all treated alike. Decisions with different seeds are
/// independent of each other.
pub fn draw(id: &str, seed: u64, now: MonoTime) -> f64 {
    let time = now.as_us().to_le_bytes();
    let subject = if id.is_empty() { &time[..] } else { id.as_bytes() };
    fraction(xxh3_64_with_seed(subject, seed))
}

#[expect(clippy::cast_precision_loss, reason = "the numbers have 52 bits")]
fn fraction(hash: u64) -> f64 {
    (hash >> (u64::BITS - BITS)) as f64 / (1_u64 << BITS) as f64
}
