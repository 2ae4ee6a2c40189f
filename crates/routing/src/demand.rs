//! How much there is to read, and which part of it the engines with the newest weights can take.

use samphirespread_core::prelude::*;

/// Demand is averaged over about this time.
const AVERAGED_OVER_MS: f64 = 1_500.0;
/// The part of an engine's reading speed that requests may take up before they queue.
const COMFORTABLE_LOAD: f64 = 0.55;

/// Tokens that this router sends to engines for reading, as a running average.
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
        self.tokens_per_ms += tokens / AVERAGED_OVER_MS;
    }

    /// Tokens a millisecond.
    pub fn tokens_per_ms(&self, now: MonoTime) -> f64 {
        let mut decayed = *self;
        decayed.decay(now);
        decayed.tokens_per_ms
    }

    fn decay(&mut self, now: MonoTime) {
        #[expect(clippy::cast_precision_loss, reason = "spans are short")]
        let elapsed_ms = now.us_since(self.updated) as f64 / 1_000.0;
        self.tokens_per_ms *= (-elapsed_ms / AVERAGED_OVER_MS).exp();
        self.updated = self.updated.max(now);
    }
}

/// The part of the requests that `engines` can take, each of which reads `read_tokens_per_ms`,
/// when `demand_tokens_per_ms` come to all engines together.
pub fn share_within_capacity(
    engines: usize,
    read_tokens_per_ms: f64,
    demand_tokens_per_ms: f64,
) -> f64 {
    #[expect(clippy::cast_precision_loss, reason = "there are few engines")]
    let capacity = COMFORTABLE_LOAD * engines as f64 * read_tokens_per_ms;
    if demand_tokens_per_ms <= capacity { 1.0 } else { capacity / demand_tokens_per_ms }
}
