//! The longest idle time that was seen lately.

use samphirespread_core::prelude::*;

/// What was seen counts for at least this long, and for twice as long at most.
const GENERATION_MS: u64 = 30_000;

/// The longest of the idle times that were recorded lately, from two generations of records.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct LongestIdle {
    current_ms: u64,
    former_ms: u64,
    /// When the current generation began.
    began: MonoTime,
}

impl LongestIdle {
    pub(super) fn record(&mut self, idle_ms: u64, now: MonoTime) {
        let age_ms = now.ms_since(self.began);
        if age_ms >= GENERATION_MS {
            self.former_ms = if age_ms < 2 * GENERATION_MS { self.current_ms } else { 0 };
            self.current_ms = 0;
            self.began = now;
        }
        self.current_ms = self.current_ms.max(idle_ms);
    }

    /// Zero if nothing was recorded lately.
    pub(super) fn longest_ms(&self, now: MonoTime) -> u64 {
        match now.ms_since(self.began) {
            ..GENERATION_MS => self.current_ms.max(self.former_ms),
            age_ms if age_ms < 2 * GENERATION_MS => self.current_ms,
            _ => 0,
        }
    }
}
