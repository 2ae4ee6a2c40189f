//! Decides which backend servers are temporarily avoided, from the outcome of earlier requests.

use samphirespread_core::prelude::*;

/// The initial time for which a failed backend server is avoided. It doubles with each failure in a
/// row.
const FIRST_PAUSE_MS: u64 = 250;
/// The longest time for which a failed backend server is avoided.
const MAX_PAUSE_MS: u64 = 2_000;

/// The recent failures of one backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FailureBackoff {
    failures_in_a_row: u32,
    avoid_until: MonoTime,
}

impl FailureBackoff {
    /// Records that a request was answered.
    ///
    /// Returns whether the previous request to the server had failed.
    pub fn record_success(&mut self) -> bool {
        let had_failed = self.failures_in_a_row > 0;
        *self = Self::default();
        had_failed
    }

    /// Records that an exchange was interrupted. The first interruption has no effect, because it
    /// may be specific to the request; after a second one in a row, the server is avoided.
    ///
    /// Returns the time for which it is avoided, in milliseconds.
    pub fn record_interruption(&mut self, now: MonoTime) -> u64 {
        self.failures_in_a_row += 1;
        if self.failures_in_a_row == 1 { 0 } else { self.pause(now) }
    }

    /// Records that the server could not be reached.
    ///
    /// Returns the time for which it is avoided, in milliseconds.
    pub fn record_unreachable(&mut self, now: MonoTime) -> u64 {
        self.failures_in_a_row += 1;
        self.pause(now)
    }

    fn pause(&mut self, now: MonoTime) -> u64 {
        let doublings = (self.failures_in_a_row - 1).min(8);
        let pause_ms = (FIRST_PAUSE_MS << doublings).min(MAX_PAUSE_MS);
        self.avoid_until = self.avoid_until.max(now.plus_ms(pause_ms));
        pause_ms
    }

    /// Whether other servers should be preferred now.
    pub fn is_avoided(&self, now: MonoTime) -> bool {
        now < self.avoid_until
    }
}
