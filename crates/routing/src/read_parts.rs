//! Tracks which engines have recently read which prompt parts, so that routers can share this.
//!
//! An engine that has read a part holds it in its memory for some time. A router knows what engines
//! read for its own requests. It reports this in its records, so that other routers send prompts to
//! these engines or let other engines fetch the parts from there. Each fact is reported in several
//! successive records, so that the loss of a record does no harm, and then not again until other
//! routers may have discarded it. A wrong entry only costs a fetch that finds nothing.
//!
//! ```
//! use samphirespread_core::prelude::*;
//! use samphirespread_routing::read_parts::{EngineTag, ReadParts};
//!
//! let mut parts = ReadParts::default();
//! let engine = EngineTag::of("i-1");
//! parts.record(engine, &[7, 8], MonoTime::from_ms(1_000));
//!
//! assert_eq!(parts.recent(400, MonoTime::from_ms(1_100)).count(), 2);
//! assert_eq!(parts.recent(400, MonoTime::from_ms(1_500)).count(), 0);
//! ```
//!
//! Memory: one entry for each pair of part and engine that was read within [`REPORT_AGAIN_MS`]. A
//! record contains up to [`MAX_FACTS_PER_RECORD`] of them.

use std::collections::{HashMap, VecDeque};

use samphirespread_core::prelude::*;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// A part that an engine still uses after this time is reported again.
pub const REPORT_AGAIN_MS: u64 = 3_000;
/// The maximum number of facts in one record.
pub const MAX_FACTS_PER_RECORD: usize = 48;

/// The fraction of an engine's memory that holds cached parts; the rest is for running requests.
const CACHE_MEMORY_FRACTION: f64 = 0.6;
/// The upper bound of the estimated lifetime. It applies if there is little or no demand.
const MAX_LIFETIME_MS: f64 = 8_000.0;
/// The lower bound of the estimated lifetime.
const MIN_LIFETIME_MS: f64 = 1_000.0;

/// Estimates how long a part stays in an engine's memory before later parts evict it, in
/// milliseconds.
///
/// `read_tokens_per_ms` is the demand on all engines together, and `memory_tokens` is the memory of
/// each engine.
pub fn lifetime_ms(memory_tokens: u64, engines: usize, read_tokens_per_ms: f64) -> u64 {
    #[expect(clippy::cast_precision_loss, reason = "tokens and engines are far below 2^52")]
    let cached_tokens = CACHE_MEMORY_FRACTION * memory_tokens as f64 * engines as f64;
    let lifetime_ms = cached_tokens / read_tokens_per_ms.max(f64::MIN_POSITIVE);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the bounds are positive and short"
    )]
    let clamped_ms = lifetime_ms.clamp(MIN_LIFETIME_MS, MAX_LIFETIME_MS) as u64;
    clamped_ms
}

/// A short hash that identifies an engine in records. If two engines of a fleet have the same tag,
/// this only causes fetches that find nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EngineTag(u32);

impl EngineTag {
    /// Returns the tag of the engine with that id.
    pub fn of(id: &str) -> Self {
        let [a, b, c, d, ..] = xxh3_64(id.as_bytes()).to_le_bytes();
        Self(u32::from_le_bytes([a, b, c, d]))
    }
}

/// The fact that an engine has read a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ReadPart {
    /// The engine.
    pub engine: EngineTag,
    /// The part's key, which depends on the weights and on all parts before it.
    pub part: u64,
}

/// The parts that engines have recently read for one router.
#[derive(Clone, Debug, Default)]
pub struct ReadParts {
    /// When each fact was last added to `recent`.
    known: HashMap<ReadPart, MonoTime>,
    recent: VecDeque<(MonoTime, ReadPart)>,
}

impl ReadParts {
    /// Records that an engine has read parts or found them in its memory.
    pub fn record(&mut self, engine: EngineTag, parts: &[u64], now: MonoTime) {
        self.expire(now);
        for part in parts {
            let fact = ReadPart { engine, part: *part };
            if self.known.contains_key(&fact) {
                continue;
            }
            self.known.insert(fact, now);
            self.recent.push_back((now, fact));
        }
    }

    /// Returns the facts that were recorded within that time, the latest first.
    pub fn recent(&self, within_ms: u64, now: MonoTime) -> impl Iterator<Item = ReadPart> + '_ {
        let recent = self.recent.iter().rev();
        let recent = recent.take_while(move |(noted, _)| now.ms_since(*noted) <= within_ms);
        recent.take(MAX_FACTS_PER_RECORD).map(|(_, fact)| *fact)
    }

    fn expire(&mut self, now: MonoTime) {
        while let Some((noted, fact)) = self.recent.front() {
            if now.ms_since(*noted) < REPORT_AGAIN_MS {
                return;
            }
            self.known.remove(fact);
            self.recent.pop_front();
        }
    }
}
