//! A retry budget, which limits how often requests are sent again.
//!
//! Each router may spend a ratio of its own requests plus its share of the slack, so the sum over
//! all routers stays within the fleet's limit without communication. The shares are integers that
//! add up to the slack, even if there are more routers than repeats. Memory: 20 counters.
//!
//! What a process spends is forgotten when it ends, and lists of routers differ for a while after a
//! change. [`SlackShare`] therefore uses half of the slack, an eighth for the first window of a process,
//! nothing before it knows the list, and the smallest share of the last window. So the limit holds
//! while all routers start at once, and while each starts up to four times in a window.

use samphirespread_core::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

/// The number of slices into which the window is divided for counting.
const SLICES_PER_WINDOW: u64 = 10;

/// The limits of the budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryLimits {
    /// The number of repeats allowed per request.
    pub ratio: f64,
    /// The length of the window in which requests and repeats are counted.
    pub window_ms: u64,
    /// The number of additional repeats that this router may send in each window.
    pub slack: u64,
}

/// The part of the slack that routers share: the rest is for those that have spent their share before
/// they ended, and for lists that differ.
const SHARED_PART: f64 = 0.5;
/// The part of it that a process may use in its first window.
const FIRST_WINDOW_PART: f64 = 0.25;

/// One router's share of the slack of all routers.
#[derive(Clone, Debug, Default)]
pub struct SlackShare {
    /// The router's place on the lists that were known in the last window, oldest first.
    places: Vec<(MonoTime, Place)>,
    /// When the first list became known.
    since: Option<MonoTime>,
}

/// A router's place on a list of routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Place {
    routers: u64,
    /// The number of routers that come before it when what is left of the division is given out.
    before: u64,
}

impl SlackShare {
    /// Records the list of the other routers that is known from now on.
    pub fn observe<'a>(
        &mut self,
        own: &InstanceName,
        others: impl IntoIterator<Item = &'a InstanceName>,
        window_ms: u64,
        now: MonoTime,
    ) {
        self.since.get_or_insert(now);
        let place = Place::new(own, others);
        if self.places.last().is_none_or(|(_, known)| *known != place) {
            self.places.push((now, place));
        }
        let current = self.in_window(window_ms, now).len();
        self.places.drain(..self.places.len() - current);
    }

    /// Returns the number of repeats that this router may send in a window beyond the ratio.
    pub fn repeats(&self, slack: f64, window_ms: u64, now: MonoTime) -> u64 {
        let Some(since) = self.since else { return 0 };
        let is_first_window = now.ms_since(since) < window_ms;
        let part = if is_first_window { SHARED_PART * FIRST_WINDOW_PART } else { SHARED_PART };
        let places = self.in_window(window_ms, now).iter();
        places.map(|(_, place)| place.share(slack * part)).min().unwrap_or(0)
    }

    /// The places on the lists that were known in the window: that at its beginning, and all since.
    fn in_window(&self, window_ms: u64, now: MonoTime) -> &[(MonoTime, Place)] {
        let began_before = |(since, _): &(MonoTime, Place)| now.ms_since(*since) >= window_ms;
        let first = self.places.iter().rposition(began_before).unwrap_or(0);
        &self.places[first..]
    }
}

impl Place {
    fn new<'a>(own: &InstanceName, others: impl IntoIterator<Item = &'a InstanceName>) -> Self {
        let own_rank = rank(own);
        let (mut routers, mut before) = (1, 0);
        for other in others {
            routers += 1;
            before += u64::from(rank(other) < own_rank);
        }
        Self { routers, before }
    }

    fn share(self, slack: f64) -> u64 {
        let whole_repeats = whole_repeats(slack);
        whole_repeats / self.routers + u64::from(self.before < whole_repeats % self.routers)
    }
}

/// Returns one router's share of the slack of all routers.
///
/// If all routers know of each other, their shares add up to `slack`, rounded down. The remainder
/// of the division into equal shares goes to the routers whose names have the lowest hashes.
pub fn share_of_slack<'a>(
    slack: f64,
    own: &InstanceName,
    others: impl IntoIterator<Item = &'a InstanceName>,
) -> u64 {
    Place::new(own, others).share(slack)
}

/// Returns the sort key of a router in an order that favours no failure domain.
fn rank(router: &InstanceName) -> (u64, &InstanceName) {
    (xxh3_64(router.as_str().as_bytes()), router)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a negative slack allows nothing"
)]
fn whole_repeats(slack: f64) -> u64 {
    slack.max(0.0) as u64
}

/// The requests and repeats of one service in the current window.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    slices: Vec<Slice>,
    /// Repeats that are set aside and neither spent nor returned yet.
    set_aside: u64,
}

#[derive(Clone, Copy, Debug)]
struct Slice {
    start: MonoTime,
    requests: u64,
    repeats: u64,
}

impl RetryBudget {
    /// Counts a request from a caller. The window has the length that the limits give it.
    pub fn count_request(&mut self, window_ms: u64, now: MonoTime) {
        self.current_slice(now, window_ms).requests += 1;
    }

    /// Spends one repeat if the budget has one left, and returns whether it did.
    pub fn try_spend(&mut self, limits: &RetryLimits, now: MonoTime) -> bool {
        let may_spend = self.has_repeat(limits, now);
        if may_spend {
            self.current_slice(now, limits.window_ms).repeats += 1;
        }
        may_spend
    }

    /// Sets one repeat aside if the budget has one left, and returns whether it did. It has to be
    /// spent or returned.
    pub fn try_set_aside(&mut self, limits: &RetryLimits, now: MonoTime) -> bool {
        let may_spend = self.has_repeat(limits, now);
        self.set_aside += u64::from(may_spend);
        may_spend
    }

    /// Spends a repeat that was set aside.
    pub fn spend_set_aside(&mut self, window_ms: u64, now: MonoTime) {
        self.return_set_aside();
        self.current_slice(now, window_ms).repeats += 1;
    }

    /// Returns a repeat that was set aside.
    pub fn return_set_aside(&mut self) {
        self.set_aside = self.set_aside.saturating_sub(1);
    }

    /// Counts a repeat that has to be sent, whatever the budget has left.
    pub fn count_repeat(&mut self, window_ms: u64, now: MonoTime) {
        self.current_slice(now, window_ms).repeats += 1;
    }

    fn has_repeat(&mut self, limits: &RetryLimits, now: MonoTime) -> bool {
        self.current_slice(now, limits.window_ms);
        // A slice whose end is in the window may hold repeats of the window; its requests count only if
        // its beginning is in it as well.
        let is_whole = |slice: &&Slice| now.ms_since(slice.start) < limits.window_ms;
        let requests: u64 = self.slices.iter().filter(is_whole).map(|slice| slice.requests).sum();
        let repeats: u64 = self.slices.iter().map(|slice| slice.repeats).sum();
        #[expect(clippy::cast_precision_loss, reason = "counts of seconds are small")]
        let allowed = limits.ratio * requests as f64 + limits.slack as f64;
        #[expect(clippy::cast_precision_loss, reason = "counts of seconds are small")]
        let wanted = (repeats + self.set_aside + 1) as f64;
        wanted <= allowed
    }

    fn current_slice(&mut self, now: MonoTime, window_ms: u64) -> &mut Slice {
        let length_ms = (window_ms / SLICES_PER_WINDOW).max(1);
        self.slices.retain(|slice| now.ms_since(slice.start) < window_ms + length_ms);
        let is_current =
            self.slices.last().is_some_and(|slice| now.ms_since(slice.start) < length_ms);
        if !is_current {
            self.slices.push(Slice { start: now, requests: 0, repeats: 0 });
        }
        self.slices.last_mut().expect("a slice was pushed")
    }
}
