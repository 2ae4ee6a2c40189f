//! Estimates the engine's outstanding prefill and its speed, which is measured on its answers.

const INITIAL_US_PER_TOKEN: f64 = 100.0;
const MIN_SAMPLE_TOKENS: u64 = 256;
const SAMPLE_WEIGHT: f64 = 0.1;
const MAX_US_PER_TOKEN: f64 = 100_000.0;

/// Number of attempts that prefill at the same time, so that the engine isn't idle between them.
const MIN_PREFILLING_ATTEMPTS: usize = 2;

/// Number of attempts that may prefill at the same time even if the backlog exceeds
/// `PREFILL_WINDOW_MS`.
const MAX_PREFILLING_BEYOND_WINDOW: usize = 6;

/// Prefill time that may be outstanding at the engine.
///
/// The engine processes prompts one after another. In the queue of the agent, more urgent work and
/// teams that were served less can still go first.
const PREFILL_WINDOW_MS: u32 = 20;

/// Whether one more prompt should be sent to the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PrefillRoom {
    /// The engine may become idle without another prompt.
    Needed,
    /// The engine is busy. Only a team within its share may send another prompt.
    Ahead,
    /// Another prompt would only wait at the engine.
    None,
}

/// The attempts that were started and have no output yet.
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
        let is_within_window = speed.time_ms(self.tokens) < PREFILL_WINDOW_MS;
        if self.attempts < MIN_PREFILLING_ATTEMPTS {
            PrefillRoom::Needed
        } else if self.attempts < MAX_PREFILLING_BEYOND_WINDOW || is_within_window {
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
    /// Adds a sample: the number of missing tokens and the time to the first output.
    pub(crate) fn observe(&mut self, missing_tokens: u64, first_token_us: u64) {
        if missing_tokens < MIN_SAMPLE_TOKENS {
            return;
        }
        let sample = first_token_us as f64 / missing_tokens as f64;
        self.us_per_token += SAMPLE_WEIGHT * (sample.min(MAX_US_PER_TOKEN) - self.us_per_token);
    }

    pub(crate) fn us_per_token(self) -> u32 {
        self.us_per_token as u32
    }

    pub(crate) fn time_ms(self, tokens: u64) -> u32 {
        let ms = tokens as f64 * self.us_per_token / 1_000.0;
        ms.min(f64::from(u32::MAX)) as u32
    }
}
