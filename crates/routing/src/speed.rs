//! Estimates how fast the engines of a service read prompts, from the times to the first event of
//! the requests that were sent to them.
//!
//! The speed differs by several times between deployments and is not reported to routers. The time
//! to the first event includes the time in the engine's queue. Therefore a low quantile is tracked,
//! which corresponds to a lightly loaded engine. Short prompts show the time that every request
//! takes in addition to reading.
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
//! Memory: two estimates for each service.

use samphirespread_core::prelude::*;

/// The initial estimate of the prompt tokens that an engine reads in a millisecond.
pub const FIRST_TOKENS_PER_MS: f64 = 112.0;
/// The bounds of the estimated reading speed.
const TOKENS_PER_MS_BOUNDS: std::ops::RangeInclusive<f64> = 5.0..=2_000.0;
/// The initial estimate of the time that a request takes in addition to reading, in milliseconds.
const INITIAL_BASE_MS: f64 = 45.0;
/// The quantile that is tracked: this fraction of the requests is faster.
const QUANTILE: f64 = 0.3;
/// Prompts of up to this many tokens are used to estimate the time that every request takes.
const MAX_SHORT_PROMPT_TOKENS: u64 = 400;
/// Prompts of at least this many tokens are used to estimate the reading speed.
const MIN_LONG_PROMPT_TOKENS: u64 = 2_000;
/// The lower bound of the relative step by which one request changes an estimate, reached after
/// many requests.
const MIN_STEP: f64 = 0.02;
/// The relative step for the first request. It is large so that a new router quickly learns the
/// speed of engines that differ from the initial estimate by several times.
const FIRST_STEP: f64 = 0.6;
/// After this many requests the step is half of [`FIRST_STEP`].
const REQUESTS_TO_HALVE: f64 = 10.0;

/// The estimated reading speed of one service's engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReadingSpeed {
    base_ms: QuantileEstimate,
    ms_per_token: QuantileEstimate,
}

/// An estimate of a low quantile of the observed values.
#[derive(Clone, Copy, Debug, PartialEq)]
struct QuantileEstimate {
    quantile: f64,
    samples: u32,
}

impl Default for ReadingSpeed {
    fn default() -> Self {
        let initial = |quantile| QuantileEstimate { quantile, samples: 0 };
        Self {
            base_ms: initial(INITIAL_BASE_MS),
            ms_per_token: initial(FIRST_TOKENS_PER_MS.recip()),
        }
    }
}

impl ReadingSpeed {
    /// Records the time to the first event of a request for which the engine had to read that many
    /// tokens.
    pub fn observe(&mut self, read_tokens: u64, first_event_ms: u64) {
        let duration_ms = number(first_event_ms);
        if read_tokens <= MAX_SHORT_PROMPT_TOKENS {
            self.base_ms.observe(duration_ms, 1.0..=f64::MAX);
        } else if read_tokens >= MIN_LONG_PROMPT_TOKENS {
            let reading_ms = (duration_ms - self.base_ms.quantile).max(0.0);
            let (slowest, fastest) =
                (TOKENS_PER_MS_BOUNDS.start().recip(), TOKENS_PER_MS_BOUNDS.end().recip());
            self.ms_per_token.observe(reading_ms / number(read_tokens), fastest..=slowest);
        }
    }

    /// Returns the time to the first event at a lightly loaded engine without the time to read the
    /// prompt, in milliseconds.
    pub fn base_ms(&self) -> f64 {
        self.base_ms.quantile
    }

    /// Returns the number of prompt tokens that a lightly loaded engine reads in a millisecond.
    pub fn tokens_per_ms(&self) -> f64 {
        self.ms_per_token.quantile.recip()
    }
}

impl QuantileEstimate {
    /// Updates the estimate with one more value.
    fn observe(&mut self, value: f64, bounds: std::ops::RangeInclusive<f64>) {
        let decay = REQUESTS_TO_HALVE / (REQUESTS_TO_HALVE + f64::from(self.samples));
        let step = (FIRST_STEP * decay).max(MIN_STEP);
        let direction = if value < self.quantile { QUANTILE - 1.0 } else { QUANTILE };
        let updated = self.quantile * (1.0 + step * direction);
        self.quantile = updated.clamp(*bounds.start(), *bounds.end());
        self.samples = self.samples.saturating_add(1);
    }
}

#[expect(clippy::cast_precision_loss, reason = "tokens and spans are far below 2^52")]
fn number(number: u64) -> f64 {
    number as f64
}

/// Estimates how long fetches from the cache store wait for each other, in addition to the time
/// that the store's link needs for the transfer.
///
/// After the loss of all engine caches, every prompt is fetched at once. With the estimated delay,
/// engines read a prompt again where that is faster than fetching it. Without new observations the
/// estimate decays, so that fetches are tried again.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FetchDelay {
    fetched: Overrun,
    others: Overrun,
}

/// A decaying average of how much longer requests took than expected.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Overrun {
    ms: f64,
    updated: MonoTime,
}

/// The weight of one request in the average.
const OVERRUN_WEIGHT: f64 = 0.1;
/// A smaller delay is ignored, because fetches vary by this much under normal load.
const MIN_DELAY_MS: f64 = 100.0;
/// The half-life of the average when there are no new observations.
const OVERRUN_HALF_LIFE_MS: f64 = 1_000.0;

impl FetchDelay {
    /// Records the expected and the actual time to the first event of a request, and whether its
    /// engine fetched parts.
    pub fn observe(&mut self, fetched: bool, expected_ms: f64, first_event_ms: u64, now: MonoTime) {
        let overrun_ms = (number(first_event_ms) - expected_ms).max(0.0);
        let overrun = if fetched { &mut self.fetched } else { &mut self.others };
        let average_ms = overrun.at(now);
        *overrun =
            Overrun { ms: average_ms + OVERRUN_WEIGHT * (overrun_ms - average_ms), updated: now };
    }

    /// Returns the delay of a fetch, or 0 if it is below `MIN_DELAY_MS`.
    pub fn ms(&self, now: MonoTime) -> f64 {
        let delay_ms = self.fetched.at(now) - self.others.at(now);
        if delay_ms >= MIN_DELAY_MS { delay_ms } else { 0.0 }
    }
}

impl Overrun {
    fn at(&self, now: MonoTime) -> f64 {
        self.ms * (-number(now.ms_since(self.updated)) / OVERRUN_HALF_LIFE_MS).exp2()
    }
}
