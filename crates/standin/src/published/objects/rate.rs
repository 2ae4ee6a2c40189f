//! Counts calls and refuses those past a rate.

use std::time::Instant;

/// Calls that may come within one second, with as many at once.
#[derive(Debug)]
pub(super) struct CallRate {
    calls_per_s: Option<u32>,
    left: f64,
    filled_at: Instant,
}

impl CallRate {
    pub(super) fn new(calls_per_s: Option<u32>) -> Self {
        let left = f64::from(calls_per_s.unwrap_or(0));
        Self { calls_per_s, left, filled_at: Instant::now() }
    }

    /// Takes one call. False when the rate is used up.
    pub(super) fn take(&mut self) -> bool {
        let Some(calls_per_s) = self.calls_per_s else { return true };
        let rate = f64::from(calls_per_s);
        let now = Instant::now();
        let filled = now.duration_since(self.filled_at).as_secs_f64() * rate;
        self.left = (self.left + filled).min(rate);
        self.filled_at = now;
        if self.left < 1.0 {
            return false;
        }
        self.left -= 1.0;
        true
    }
}
