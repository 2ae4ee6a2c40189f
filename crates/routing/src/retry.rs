//! A budget for sending requests a second time.
//!
//! Each router spends a ratio of its own requests and its part of the slack, so the sum over all
//! routers stays inside the fleet's bound without a word between them. The parts are whole repeats
//! that add up to the slack, also where there are more routers than repeats. Cost: 20 counters.

use samphirespread_core::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

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

/// One router's part of a slack that all routers share.
///
/// Routers that know the same others get parts that add up to the whole repeats in `slack`: what is
/// left after equal parts goes to the routers whose names hash lowest.
pub fn part_of_slack<'a>(
    slack: f64,
    own: &InstanceName,
    others: impl IntoIterator<Item = &'a InstanceName>,
) -> u64 {
    let own_place = place(own);
    let (mut routers, mut before) = (1, 0);
    for other in others {
        routers += 1;
        before += u64::from(place(other) < own_place);
    }
    let whole = whole(slack);
    whole / routers + u64::from(before < whole % routers)
}

/// Where a router stands in an order that favours no failure domain.
fn place(router: &InstanceName) -> (u64, &InstanceName) {
    (xxh3_64(router.as_str().as_bytes()), router)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a negative slack allows nothing"
)]
fn whole(slack: f64) -> u64 {
    slack.max(0.0) as u64
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
