//! The share of a service's requests that may leave the router's failure domain.

use samphirespread_core::prelude::*;

/// The ratio of gain to price up to which no request may leave, and the one from which on all may.
const RATIO_RAMP: (f64, f64) = (1.0, 2.0);
/// A single ratio counts at most this much, so that one long wait does not outweigh many requests.
pub(super) const MAX_RATIO: f64 = 4.0;
/// The time over which ratios are averaged. It is short against the time constants of the share,
/// because each delay in the control loop adds to its oscillation.
const RATIO_MEMORY_MS: f64 = 100.0;
/// The time constant with which the share rises to its target.
const RISE_MS: f64 = 500.0;
/// The time constant with which the share falls to its target. It is longer than [`RISE_MS`], so
/// that the share does not alternate at the limit of the domain's capacity.
const FALL_MS: f64 = 1_500.0;

/// The share of a service's requests that may leave the failure domain.
///
/// It follows a target that depends on the moving mean of the ratio of gain to price.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LeaveShare {
    /// The decaying sum of the ratios of recent requests.
    ratio_sum: f64,
    /// The decaying number of recent requests.
    requests: f64,
    share: f64,
    target: f64,
    updated: MonoTime,
}

impl LeaveShare {
    /// Returns the share, between 0 and 1.
    pub fn at(&self, now: MonoTime) -> f64 {
        let time_constant_ms = if self.target > self.share { RISE_MS } else { FALL_MS };
        let kept = (-elapsed_ms(self.updated, now) / time_constant_ms).exp();
        self.target + (self.share - self.target) * kept
    }

    /// Records the ratio of gain to price of one request.
    pub fn observe(&mut self, ratio: f64, now: MonoTime) {
        let share = self.at(now);
        let kept = (-elapsed_ms(self.updated, now) / RATIO_MEMORY_MS).exp();
        self.ratio_sum = self.ratio_sum * kept + ratio.clamp(-MAX_RATIO, MAX_RATIO);
        self.requests = self.requests * kept + 1.0;
        self.share = share;
        self.target = ramp(self.ratio_sum / self.requests);
        self.updated = self.updated.max(now);
    }
}

/// The share that may leave at this ratio of gain to price.
pub(super) fn ramp(ratio: f64) -> f64 {
    let (none, all) = RATIO_RAMP;
    ((ratio - none) / (all - none)).clamp(0.0, 1.0)
}

#[expect(clippy::cast_precision_loss, reason = "spans are short")]
fn elapsed_ms(since: MonoTime, now: MonoTime) -> f64 {
    now.us_since(since) as f64 / 1_000.0
}
