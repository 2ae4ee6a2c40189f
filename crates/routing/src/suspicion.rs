//! Trust in backend servers, from what happened to requests.

use samphirespread_core::prelude::*;

/// The shortest time for which a backend server that failed is avoided.
const FIRST_PAUSE_MS: u64 = 250;
/// The longest such time.
const LONGEST_PAUSE_MS: u64 = 2_000;

/// What requests to one backend server came to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Suspicion {
    failures_in_a_row: u32,
    avoid_until: MonoTime,
}

impl Suspicion {
    /// A request was answered.
    ///
    /// Returns whether the server had been under suspicion.
    pub fn succeeded(&mut self) -> bool {
        let was_suspect = self.failures_in_a_row > 0;
        *self = Self::default();
        was_suspect
    }

    /// An exchange broke off. A single one may be one request's bad luck; a second in a row is
    /// held against the server.
    ///
    /// Returns the pause for which it is avoided.
    pub fn broke_off(&mut self, now: MonoTime) -> u64 {
        self.failures_in_a_row += 1;
        if self.failures_in_a_row == 1 { 0 } else { self.pause(now) }
    }

    /// The server could not be reached.
    ///
    /// Returns the pause for which it is avoided.
    pub fn unreachable(&mut self, now: MonoTime) -> u64 {
        self.failures_in_a_row += 1;
        self.pause(now)
    }

    fn pause(&mut self, now: MonoTime) -> u64 {
        let doublings = (self.failures_in_a_row - 1).min(8);
        let pause_ms = (FIRST_PAUSE_MS << doublings).min(LONGEST_PAUSE_MS);
        self.avoid_until = self.avoid_until.max(now.plus_ms(pause_ms));
        pause_ms
    }

    /// Whether other servers are to be preferred.
    pub fn is_avoided(&self, now: MonoTime) -> bool {
        now < self.avoid_until
    }
}
