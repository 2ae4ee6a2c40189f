//! A budget for sending requests a second time.
//!
//! Each router spends a ratio of its own requests and its part of the slack, so the sum over all
//! routers stays inside the fleet's bound without a word between them. Cost: 20 counters.

use samphirespread_core::prelude::*;

/// Counters that one window is cut into.
const SLICES: u64 = 10;

/// Bounds of the budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// The window over which both are counted.
    pub window_ms: u64,
    /// Repeats allowed on top in each window, for this router.
    pub slack: u64,
}

/// Requests and repeats of one service in the running window.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    slices: Vec<Slice>,
}

#[derive(Clone, Copy, Debug)]
struct Slice {
    start: MonoTime,
    requests: u64,
    repeats: u64,
}

impl RetryBudget {
    /// Counts a request that a caller sent.
    pub fn count_request(&mut self, now: MonoTime) {
        self.slice(now, 10_000).requests += 1;
    }

    /// Takes one repeat out of the budget, if it has one left.
    pub fn try_spend(&mut self, limits: &RetryLimits, now: MonoTime) -> bool {
        self.slice(now, limits.window_ms);
        let requests: u64 = self.slices.iter().map(|slice| slice.requests).sum();
        let repeats: u64 = self.slices.iter().map(|slice| slice.repeats).sum();
        #[expect(clippy::cast_precision_loss, reason = "counts of seconds are small")]
        let allowed = limits.ratio * requests as f64 + limits.slack as f64;
        #[expect(clippy::cast_precision_loss, reason = "counts of seconds are small")]
        let wanted = (repeats + 1) as f64;
        if wanted > allowed {
            return false;
        }
        self.slice(now, limits.window_ms).repeats += 1;
        true
    }

    fn slice(&mut self, now: MonoTime, window_ms: u64) -> &mut Slice {
        self.slices.retain(|slice| now.ms_since(slice.start) < window_ms);
        let length_ms = (window_ms / SLICES).max(1);
        let is_current =
            self.slices.last().is_some_and(|slice| now.ms_since(slice.start) < length_ms);
        if !is_current {
            self.slices.push(Slice { start: now, requests: 0, repeats: 0 });
        }
        self.slices.last_mut().expect("a slice was pushed")
    }
}
