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

/// Slots in use, averaged with exponentially decaying weight.
#[derive(Clone, Debug, Default)]
pub(crate) struct SlotUse {
    average: f64,
    running: usize,
    updated_at: MonoTime,
}

impl SlotUse {
    /// Notes that the number of slots in use changes now.
    pub(crate) fn set(&mut self, now: MonoTime, running: usize, window_ms: u64) {
        self.average = self.average(now, window_ms);
        self.running = running;
        self.updated_at = self.updated_at.max(now);
    }

    /// The average up to now.
    pub(crate) fn average(&self, now: MonoTime, window_ms: u64) -> f64 {
        let elapsed_ms = now.us_since(self.updated_at) as f64 / 1_000.0;
        let keep = (-elapsed_ms / window_ms.max(1) as f64).exp();
        let running = self.running as f64;
        running + (self.average - running) * keep
    }
}

/// Tokens asked for, with older ones counting exponentially less.
#[derive(Clone, Debug, Default)]
pub(crate) struct Offered {
    tokens: f64,
    updated_at: MonoTime,
}

impl Offered {
    /// Counts tokens that are asked for now.
    pub(crate) fn add(&mut self, now: MonoTime, tokens: u64, window_ms: u64) {
        self.tokens = self.tokens(now, window_ms) + tokens as f64;
        self.updated_at = self.updated_at.max(now);
    }

    /// The decayed sum up to now.
    pub(crate) fn tokens(&self, now: MonoTime, window_ms: u64) -> f64 {
        let elapsed_ms = now.us_since(self.updated_at) as f64 / 1_000.0;
        self.tokens * (-elapsed_ms / window_ms.max(1) as f64).exp()
    }
}
