//! What the engine has to prefill and how fast it does, as its own answers show.

const INITIAL_US_PER_TOKEN: f64 = 100.0;
const MIN_SAMPLE_TOKENS: u64 = 256;
const WEIGHT_OF_SAMPLE: f64 = 0.1;
const MAX_US_PER_TOKEN: f64 = 100_000.0;

/// Attempts that prefill at once so that the engine doesn't fall idle between them.
const MIN_PREFILLING: usize = 2;

/// Attempts that may prefill at once, however long they take.
const MAX_LONG_PREFILLING: usize = 6;

/// Prefill that may be outstanding at the engine.
///
/// The engine takes prompts in turn. What waits here instead can still be overtaken by a team that
/// was served less or by more urgent work.
const PREFILL_WINDOW_MS: u32 = 20;

/// Whether one more prompt is to be sent to the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PrefillRoom {
    /// The engine may fall idle without one.
    Needed,
    /// It would be sent ahead of need, which a team within its share may.
    Ahead,
    /// It would only wait there.
    None,
}

/// Attempts that were started and have no output yet.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PrefillBacklog {
    attempts: usize,
    tokens: u64,
}

impl PrefillBacklog {
    pub(crate) fn begin(&mut self, missing_tokens: u64) {
        self.attempts += 1;
        self.tokens += missing_tokens;
    }

    pub(crate) fn end(&mut self, missing_tokens: u64) {
        self.attempts -= 1;
        self.tokens -= missing_tokens;
    }

    pub(crate) fn tokens(&self) -> u64 {
        self.tokens
    }

    pub(crate) fn room(&self, speed: PrefillSpeed) -> PrefillRoom {
        let is_short = speed.time_ms(self.tokens) < PREFILL_WINDOW_MS;
        if self.attempts < MIN_PREFILLING {
            PrefillRoom::Needed
        } else if self.attempts < MAX_LONG_PREFILLING || is_short {
            PrefillRoom::Ahead
        } else {
            PrefillRoom::None
        }
    }
}

/// A running average of the prefill time of one token.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PrefillSpeed {
    us_per_token: f64,
}

impl Default for PrefillSpeed {
    fn default() -> Self {
        Self { us_per_token: INITIAL_US_PER_TOKEN }
    }
}

impl PrefillSpeed {
    /// Takes in that so many missing tokens took so long to the first output.
    pub(crate) fn observe(&mut self, missing_tokens: u64, first_token_us: u64) {
        if missing_tokens < MIN_SAMPLE_TOKENS {
            return;
        }
        let sample = first_token_us as f64 / missing_tokens as f64;
        self.us_per_token += WEIGHT_OF_SAMPLE * (sample.min(MAX_US_PER_TOKEN) - self.us_per_token);
    }

    pub(crate) fn us_per_token(self) -> u32 {
        self.us_per_token as u32
    }

    pub(crate) fn time_ms(self, tokens: u64) -> u32 {
        let ms = tokens as f64 * self.us_per_token / 1_000.0;
        ms.min(f64::from(u32::MAX)) as u32
    }
}
