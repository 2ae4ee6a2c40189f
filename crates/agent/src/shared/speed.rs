//! How fast the engine prefills, as its own answers show.

const INITIAL_US_PER_TOKEN: f64 = 100.0;
const MIN_SAMPLE_TOKENS: u64 = 256;
const WEIGHT_OF_SAMPLE: f64 = 0.1;
const MAX_US_PER_TOKEN: f64 = 100_000.0;

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
