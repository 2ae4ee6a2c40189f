//! Which engines have read which parts of prompts lately, told among routers.
//!
//! A router knows what an engine read for its own requests; the others learn it from its records, and send prompts there
//! or have them fetched from there. Each fact is told for a while, so that lost records cost nothing, and not again
//! until it could have been forgotten. A wrong belief costs a fetch that finds nothing.
//!
//! ```
//! use samphirespread_core::prelude::*;
//! use samphirespread_routing::read_parts::{EngineTag, ReadParts};
//!
//! let mut parts = ReadParts::default();
//! let engine = EngineTag::of("i-1");
//! parts.note(engine, &[7, 8], MonoTime::from_ms(1_000));
//!
//! assert_eq!(parts.told(400, MonoTime::from_ms(1_100)).count(), 2);
//! assert_eq!(parts.told(400, MonoTime::from_ms(1_500)).count(), 0);
//! ```
//!
//! Cost: one entry for each part and engine that was read within [`TOLD_AGAIN_MS`], up to [`MAX_TOLD`] a record.

use std::collections::{HashMap, VecDeque};

use samphirespread_core::prelude::*;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// A fact is told again after this, while it is used.
pub const TOLD_AGAIN_MS: u64 = 3_000;
/// Facts in one record.
pub const MAX_TOLD: usize = 48;

/// The part of an engine's memory that cached parts have, beside what runs there.
const CACHED_PART: f64 = 0.6;
/// Without a demand that was seen, parts are believed to stay for this long.
const LONGEST_LIFETIME_MS: f64 = 8_000.0;
/// The least time for which a part that was just read is believed to stay.
const SHORTEST_LIFETIME_MS: f64 = 1_000.0;

/// How long a part stays in an engine's memory before what is read after it pushes it out, in milliseconds.
///
/// `read_tokens_per_ms` is what all engines together have to read, and `memory_tokens` the memory of each.
pub fn lifetime_ms(memory_tokens: u64, engines: usize, read_tokens_per_ms: f64) -> u64 {
    #[expect(clippy::cast_precision_loss, reason = "tokens and engines are far below 2^52")]
    let cached = CACHED_PART * memory_tokens as f64 * engines as f64;
    let lifetime_ms = cached / read_tokens_per_ms.max(f64::MIN_POSITIVE);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the bounds are positive and short"
    )]
    let whole = lifetime_ms.clamp(SHORTEST_LIFETIME_MS, LONGEST_LIFETIME_MS) as u64;
    whole
}

/// A short name of an engine among those of a fleet. Two engines of one tag cost fetches that find nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EngineTag(u32);

impl EngineTag {
    /// The tag of the engine with that id.
    pub fn of(id: &str) -> Self {
        let [a, b, c, d, ..] = xxh3_64(id.as_bytes()).to_le_bytes();
        Self(u32::from_le_bytes([a, b, c, d]))
    }
}

/// An engine has read a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ReadPart {
    /// The engine.
    pub engine: EngineTag,
    /// The part's key, which covers weights and the parts before it.
    pub part: u64,
}

/// What the engines have read for one router.
#[derive(Clone, Debug, Default)]
pub struct ReadParts {
    /// When each fact was last noted as news.
    known: HashMap<ReadPart, MonoTime>,
    recent: VecDeque<(MonoTime, ReadPart)>,
}

impl ReadParts {
    /// An engine has read parts, or found them in its memory.
    pub fn note(&mut self, engine: EngineTag, parts: &[u64], now: MonoTime) {
        self.forget(now);
        for part in parts {
            let fact = ReadPart { engine, part: *part };
            if self.known.contains_key(&fact) {
                continue;
            }
            self.known.insert(fact, now);
            self.recent.push_back((now, fact));
        }
    }

    /// What became known within that time, the latest first.
    pub fn told(&self, within_ms: u64, now: MonoTime) -> impl Iterator<Item = ReadPart> + '_ {
        let recent = self.recent.iter().rev();
        let recent = recent.take_while(move |(noted, _)| now.ms_since(*noted) <= within_ms);
        recent.take(MAX_TOLD).map(|(_, fact)| *fact)
    }

    fn forget(&mut self, now: MonoTime) {
        while let Some((noted, fact)) = self.recent.front() {
            if now.ms_since(*noted) < TOLD_AGAIN_MS {
                return;
            }
            self.known.remove(fact);
            self.recent.pop_front();
        }
    }
}
