//! How fast the engine serves, for estimating waits.

use samphirespread_core::prelude::*;

const WINDOW_MS: f64 = 10_000.0;

/// Tokens served per busy millisecond, with older history halved away.
#[derive(Clone, Debug, Default)]
pub(crate) struct Throughput {
    tokens: f64,
    busy_ms: f64,
    updated_at: MonoTime,
}

impl Throughput {
    /// Counts the time since the last event, which was busy or not.
    pub(crate) fn advance(&mut self, now: MonoTime, busy: bool) {
        if busy {
            self.busy_ms += now.us_since(self.updated_at) as f64 / 1_000.0;
        }
        self.updated_at = self.updated_at.max(now);
        if self.busy_ms > WINDOW_MS {
            let keep = WINDOW_MS / 2.0 / self.busy_ms;
            self.busy_ms *= keep;
            self.tokens *= keep;
        }
    }

    /// Counts served tokens.
    pub(crate) fn serve(&mut self, tokens: u64) {
        self.tokens += tokens as f64;
    }

    /// Time for serving that many tokens, or none while nothing was served yet.
    pub(crate) fn time_for_ms(&self, tokens: u64) -> Option<u64> {
        if self.tokens < 1.0 || self.busy_ms <= 0.0 {
            return None;
        }
        Some((tokens as f64 * self.busy_ms / self.tokens) as u64)
    }
}
