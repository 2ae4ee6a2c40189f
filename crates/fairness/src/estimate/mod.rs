//! Measures the engine's throughput, the use of its slots and the demand for tokens.

use samphirespread_core::prelude::*;

/// Busy time beyond which the history is scaled down to half of this time.
const MAX_BUSY_MS: f64 = 10_000.0;

/// Measures how many tokens the engine serves per busy millisecond.
///
/// Older history is scaled down each time more than [`MAX_BUSY_MS`] of busy time has accumulated.
#[derive(Clone, Debug, Default)]
pub(crate) struct Throughput {
    tokens: f64,
    busy_ms: f64,
    updated_at: MonoTime,
}

impl Throughput {
    /// Moves the clock to `now`, and adds the elapsed time to the busy time if the engine was busy.
    pub(crate) fn advance(&mut self, now: MonoTime, busy: bool) {
        if busy {
            self.busy_ms += now.us_since(self.updated_at) as f64 / 1_000.0;
        }
        self.updated_at = self.updated_at.max(now);
        if self.busy_ms > MAX_BUSY_MS {
            let decay = MAX_BUSY_MS / 2.0 / self.busy_ms;
            self.busy_ms *= decay;
            self.tokens *= decay;
        }
    }

    /// Adds tokens that the engine served.
    pub(crate) fn add_served(&mut self, tokens: u64) {
        self.tokens += tokens as f64;
    }

    /// Returns the estimated time to serve `tokens`, or `None` before anything was served.
    pub(crate) fn serving_time_ms(&self, tokens: u64) -> Option<u64> {
        if self.tokens < 1.0 || self.busy_ms <= 0.0 {
            return None;
        }
        Some((tokens as f64 * self.busy_ms / self.tokens) as u64)
    }
}

/// Measures the number of slots in use as an exponentially weighted average over time.
#[derive(Clone, Debug, Default)]
pub(crate) struct SlotUse {
    average: f64,
    running: usize,
    updated_at: MonoTime,
}

impl SlotUse {
    /// Records that `running` slots are in use from now on.
    pub(crate) fn set(&mut self, now: MonoTime, running: usize, window_ms: u64) {
        self.average = self.average(now, window_ms);
        self.running = running;
        self.updated_at = self.updated_at.max(now);
    }

    /// Returns the average up to now.
    pub(crate) fn average(&self, now: MonoTime, window_ms: u64) -> f64 {
        let elapsed_ms = now.us_since(self.updated_at) as f64 / 1_000.0;
        let decay = (-elapsed_ms / window_ms.max(1) as f64).exp();
        let running = self.running as f64;
        running + (self.average - running) * decay
    }
}

/// Measures the demand as a sum of requested tokens that decays exponentially over time.
#[derive(Clone, Debug, Default)]
pub(crate) struct Demand {
    tokens: f64,
    updated_at: MonoTime,
}

impl Demand {
    /// Adds tokens that are requested now.
    pub(crate) fn add(&mut self, now: MonoTime, tokens: u64, window_ms: u64) {
        self.tokens = self.tokens(now, window_ms) + tokens as f64;
        self.updated_at = self.updated_at.max(now);
    }

    /// Returns the decayed sum up to now.
    pub(crate) fn tokens(&self, now: MonoTime, window_ms: u64) -> f64 {
        let elapsed_ms = now.us_since(self.updated_at) as f64 / 1_000.0;
        self.tokens * (-elapsed_ms / window_ms.max(1) as f64).exp()
    }
}
