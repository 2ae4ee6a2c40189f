//! Tracks how many prompt tokens engines have to read, and computes the share of the requests that
//! the engines with the newest weights can take.

use samphirespread_core::prelude::*;

/// The time constant of the exponentially decaying average.
const AVERAGE_TIME_CONSTANT_MS: f64 = 1_500.0;
/// The fraction of an engine's reading speed that may be used before requests queue.
const MAX_LOAD: f64 = 0.55;

/// A running average of the prompt tokens that engines have to read for this router's requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReadDemand {
    tokens_per_ms: f64,
    updated: MonoTime,
}

impl ReadDemand {
    /// Counts tokens that an engine has to read.
    pub fn count(&mut self, tokens: u64, now: MonoTime) {
        self.decay(now);
        #[expect(clippy::cast_precision_loss, reason = "prompts are far below 2^52 tokens")]
        let tokens = tokens as f64;
        self.tokens_per_ms += tokens / AVERAGE_TIME_CONSTANT_MS;
    }

    /// Returns the average number of tokens per millisecond.
    pub fn tokens_per_ms(&self, now: MonoTime) -> f64 {
        let mut decayed = *self;
        decayed.decay(now);
        decayed.tokens_per_ms
    }

    fn decay(&mut self, now: MonoTime) {
        #[expect(clippy::cast_precision_loss, reason = "spans are short")]
        let elapsed_ms = now.us_since(self.updated) as f64 / 1_000.0;
        self.tokens_per_ms *= (-elapsed_ms / AVERAGE_TIME_CONSTANT_MS).exp();
        self.updated = self.updated.max(now);
    }
}

/// Returns the share of the requests that `engines` can take, each of which reads
/// `read_tokens_per_ms`, if the demand on all engines together is `demand_tokens_per_ms`.
pub fn share_within_capacity(
    engines: usize,
    read_tokens_per_ms: f64,
    demand_tokens_per_ms: f64,
) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "there are few engines")]
    let capacity = MAX_LOAD * engines as f64 * read_tokens_per_ms;
    if demand_tokens_per_ms <= capacity { 1.0 } else { capacity / demand_tokens_per_ms }
}
