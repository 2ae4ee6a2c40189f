//! How fast the engines of a service read prompts, learnt from the requests that were sent to them.
//!
//! Deployments differ by several times in that, and nothing tells it. The time to the first event holds the
//! time in a queue as well, so a low quantile of it is tracked: that of an engine with little to do. Short
//! prompts show what every request takes besides.
//!
//! ```
//! use samphirespread_routing::speed::ReadingSpeed;
//!
//! let mut speed = ReadingSpeed::default();
//! for _ in 0..2_000 {
//!     speed.observe(100, 40);
//!     speed.observe(4_000, 140);
//! }
//!
//! assert!((35.0..46.0).contains(&speed.tokens_per_ms()));
//! ```
//!
//! Cost: two numbers for each service.

use samphirespread_core::prelude::*;

/// Prompt tokens that an engine reads in a millisecond, before anything was learnt.
pub const FIRST_TOKENS_PER_MS: f64 = 112.0;
/// The bounds of what is learnt.
const TOKENS_PER_MS: std::ops::RangeInclusive<f64> = 5.0..=2_000.0;
/// What a request takes besides reading, before anything was learnt, in milliseconds.
const FIRST_BASE_MS: f64 = 45.0;
/// The part of requests that are faster than what is tracked.
const QUANTILE: f64 = 0.3;
/// A prompt of up to this many tokens shows what every request takes.
const SHORT_TOKENS: u64 = 400;
/// A prompt of this many tokens shows the reading.
const LONG_TOKENS: u64 = 2_000;
/// One request moves what is tracked by this part of it, once many have.
const STEP: f64 = 0.02;
/// The same for the first request: a new router soon knows engines that differ from all others by several times.
const FIRST_STEP: f64 = 0.6;
/// After this many requests the step is half of the first one.
const REQUESTS_TO_HALVE: f64 = 10.0;

/// The speed of one service's engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReadingSpeed {
    base_ms: Tracked,
    ms_per_token: Tracked,
}

/// A low quantile of what requests have shown.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Tracked {
    quantile: f64,
    seen: u32,
}

impl Default for ReadingSpeed {
    fn default() -> Self {
        let unseen = |quantile| Tracked { quantile, seen: 0 };
        Self { base_ms: unseen(FIRST_BASE_MS), ms_per_token: unseen(FIRST_TOKENS_PER_MS.recip()) }
    }
}

impl ReadingSpeed {
    /// Takes in how long a request took to its first event, for which the engine had to read that much.
    pub fn observe(&mut self, read_tokens: u64, first_event_ms: u64) {
        let took_ms = number(first_event_ms);
        if read_tokens <= SHORT_TOKENS {
            self.base_ms.observe(took_ms, 1.0..=f64::MAX);
        } else if read_tokens >= LONG_TOKENS {
            let reading_ms = (took_ms - self.base_ms.quantile).max(0.0);
            let (slowest, fastest) = (TOKENS_PER_MS.start().recip(), TOKENS_PER_MS.end().recip());
            self.ms_per_token.observe(reading_ms / number(read_tokens), fastest..=slowest);
        }
    }

    /// Time to the first event at an engine with little to do, beside the reading, in milliseconds.
    pub fn base_ms(&self) -> f64 {
        self.base_ms.quantile
    }

    /// Prompt tokens that an engine with little to do reads in a millisecond.
    pub fn tokens_per_ms(&self) -> f64 {
        self.ms_per_token.quantile.recip()
    }
}

impl Tracked {
    /// Moves the quantile towards one more value.
    fn observe(&mut self, value: f64, bounds: std::ops::RangeInclusive<f64>) {
        let half = REQUESTS_TO_HALVE / (REQUESTS_TO_HALVE + f64::from(self.seen));
        let step = (FIRST_STEP * half).max(STEP);
        let towards = if value < self.quantile { QUANTILE - 1.0 } else { QUANTILE };
        let moved = self.quantile * (1.0 + step * towards);
        self.quantile = moved.clamp(*bounds.start(), *bounds.end());
        self.seen = self.seen.saturating_add(1);
    }
}

#[expect(clippy::cast_precision_loss, reason = "tokens and spans are far below 2^52")]
fn number(number: u64) -> f64 {
    number as f64
}

/// How much longer fetches from the cache store take than its links would make them: the time that they wait
/// for each other.
///
/// After a loss of all caches every prompt is fetched at once. Reading a prompt again is faster then, and
/// fetching goes on where it helps; without news the delay is forgotten, so that fetches are tried again.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FetchDelay {
    fetched: Overrun,
    others: Overrun,
}

/// How much longer requests took than expected.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Overrun {
    ms: f64,
    updated: MonoTime,
}

/// One request moves an overrun by this part of the way.
const OVERRUN_STEP: f64 = 0.1;
/// Fetches vary by this much on calm days.
const NOTICEABLE_MS: f64 = 100.0;
/// Without news an overrun halves in this time.
const OVERRUN_HALF_LIFE_MS: f64 = 1_000.0;

impl FetchDelay {
    /// Takes in how long a request took to its first event, how long that was expected, and whether it
    /// fetched.
    pub fn observe(&mut self, fetched: bool, expected_ms: f64, first_event_ms: u64, now: MonoTime) {
        let overrun_ms = (number(first_event_ms) - expected_ms).max(0.0);
        let overrun = if fetched { &mut self.fetched } else { &mut self.others };
        let known_ms = overrun.at(now);
        *overrun = Overrun { ms: known_ms + OVERRUN_STEP * (overrun_ms - known_ms), updated: now };
    }

    /// What a fetch takes on top of the expected. Nothing, while that is little.
    pub fn ms(&self, now: MonoTime) -> f64 {
        let delay_ms = self.fetched.at(now) - self.others.at(now);
        if delay_ms >= NOTICEABLE_MS { delay_ms } else { 0.0 }
    }
}

impl Overrun {
    fn at(&self, now: MonoTime) -> f64 {
        self.ms * (-number(now.ms_since(self.updated)) / OVERRUN_HALF_LIFE_MS).exp2()
    }
}
