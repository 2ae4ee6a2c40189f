//! The times of a router's drain, and which requests it still takes.
//!
//! A drain begins with the signal to stop and lasts for the grace period at most; then the process
//! is killed. A request that is taken has to end with an answer. It may be cut only in the last
//! sixth of the grace period, and only if it was sent while the port was open.
//!
//! ```
//! use samphirespread_core::prelude::*;
//! use samphirespread_routing::drain::DrainSchedule;
//!
//! let signal = MonoTime::from_ms(1_000);
//! let drain = DrainSchedule::new(signal, 8_000);
//!
//! assert_eq!(drain.close_port, signal.plus_ms(2_600));
//! assert_eq!(drain.answer_by, signal.plus_ms(7_400));
//! assert_eq!(drain.end_by, signal.plus_ms(7_700));
//! // Its deadline is after the end, but such requests take two seconds.
//! let deadline = signal.plus_ms(10_000);
//! assert!(drain.admits(signal.plus_ms(2_000), deadline, Some(2_000)));
//! assert!(!drain.admits(signal.plus_ms(2_700), deadline, Some(2_000)));
//! ```
//!
//! Memory: one estimate for each route, up to a bound.

use std::{collections::HashMap, sync::Arc};

use samphirespread_core::prelude::*;

/// The load balancer stops sending callers here within this time: two readiness checks, one a
/// second.
const BALANCER_REACTION_MS: u64 = 2_600;
/// Time between the last answers and the end of the grace period.
const ANSWER_MARGIN_MS: u64 = 600;
/// That margin is at most this part of the grace period, so that answers stay in its last sixth.
const ANSWER_MARGIN_PART: u64 = 8;
/// Time between the end of the process and the end of the grace period.
const END_MARGIN_MS: u64 = 300;
/// That margin is at most this part of the grace period.
const END_MARGIN_PART: u64 = 12;
/// The longest request of a route is remembered for one to two windows.
const WINDOW_MS: u64 = 15_000;
/// Maximum number of routes with an estimate.
const MAX_ROUTES: usize = 1_024;

/// The times of a drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub struct DrainSchedule {
    /// When the process was told to stop.
    pub begun: MonoTime,
    /// When no more connections are accepted.
    pub close_port: MonoTime,
    /// By when every request gets its final answer.
    pub answer_by: MonoTime,
    /// When the process ends at the latest.
    pub end_by: MonoTime,
    /// When the process is killed.
    pub kill: MonoTime,
}

impl DrainSchedule {
    /// The schedule of a drain that begins now, with a grace period in milliseconds.
    pub fn new(begun: MonoTime, grace_ms: u64) -> Self {
        let answer_margin_ms = ANSWER_MARGIN_MS.min(grace_ms / ANSWER_MARGIN_PART);
        let end_margin_ms = END_MARGIN_MS.min(grace_ms / END_MARGIN_PART);
        Self {
            begun,
            close_port: begun.plus_ms(BALANCER_REACTION_MS.min(grace_ms / 2)),
            answer_by: begun.plus_ms(grace_ms - answer_margin_ms),
            end_by: begun.plus_ms(grace_ms - end_margin_ms),
            kill: begun.plus_ms(grace_ms),
        }
    }

    /// Whether a request that is complete now may be sent to a server.
    ///
    /// It may if it ends in time even in the worst case. While the port is open, it is enough that
    /// requests like it end in time, as far as this is known (`expected_ms`).
    pub fn admits(&self, now: MonoTime, deadline: MonoTime, expected_ms: Option<u64>) -> bool {
        if deadline <= self.answer_by {
            return true;
        }
        let is_port_open = now < self.close_port;
        is_port_open && expected_ms.is_some_and(|ms| now.plus_ms(ms) <= self.answer_by)
    }
}

/// The longest recent requests of each route.
#[derive(Clone, Debug, Default)]
pub struct RequestDurations {
    routes: HashMap<Arc<str>, RouteDurations>,
}

#[derive(Clone, Copy, Debug, Default)]
struct RouteDurations {
    window_start: MonoTime,
    before: Longest,
    current: Longest,
}

/// The longest request of a window.
#[derive(Clone, Copy, Debug, Default)]
struct Longest {
    took_ms: u64,
    /// The largest bound on the output of a request of the window, which may be another request.
    max_output_tokens: u64,
    has_request: bool,
}

impl Longest {
    fn observe(&mut self, took_ms: u64, max_output_tokens: u64) {
        self.took_ms = self.took_ms.max(took_ms);
        self.max_output_tokens = self.max_output_tokens.max(max_output_tokens);
        self.has_request = true;
    }

    fn merge(self, other: Self) -> Self {
        Self {
            took_ms: self.took_ms.max(other.took_ms),
            max_output_tokens: self.max_output_tokens.max(other.max_output_tokens),
            has_request: self.has_request || other.has_request,
        }
    }
}

impl RouteDurations {
    fn turn_to(&mut self, now: MonoTime) {
        let passed_ms = now.ms_since(self.window_start);
        if passed_ms < WINDOW_MS {
            return;
        }
        let is_next = passed_ms < 2 * WINDOW_MS;
        self.before = if is_next { self.current } else { Longest::default() };
        self.current = Longest::default();
        self.window_start = now;
    }
}

impl RequestDurations {
    /// Records how long a request took from the moment at which it was complete. A request that was
    /// abandoned counts as well: it would have lasted longer still.
    pub fn observe(
        &mut self,
        route: &Arc<str>,
        took_ms: u64,
        max_output_tokens: u64,
        now: MonoTime,
    ) {
        if !self.routes.contains_key(route) && self.routes.len() >= MAX_ROUTES {
            self.routes.retain(|_, known| now.ms_since(known.window_start) < 2 * WINDOW_MS);
            if self.routes.len() >= MAX_ROUTES {
                return;
            }
        }
        let fresh = RouteDurations { window_start: now, ..RouteDurations::default() };
        let known = self.routes.entry(route.clone()).or_insert(fresh);
        known.turn_to(now);
        known.current.observe(took_ms, max_output_tokens);
    }

    /// How long a request of the route lasts at most, as far as recent requests show. A request
    /// with a larger bound on its output than theirs is expected to last longer in proportion.
    pub fn expected_ms(&self, route: &str, max_output_tokens: u64, now: MonoTime) -> Option<u64> {
        let mut known = *self.routes.get(route)?;
        known.turn_to(now);
        let longest = known.before.merge(known.current);
        if !longest.has_request {
            return None;
        }
        let seen = longest.max_output_tokens.max(1);
        let wanted = max_output_tokens.max(seen);
        Some(longest.took_ms.saturating_mul(wanted).div_ceil(seen))
    }
}
