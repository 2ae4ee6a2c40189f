//! How long requests of each route last, as far as recent requests show.
//!
//! ```
//! use std::sync::Arc;
//!
//! use samphirespread_core::prelude::*;
//! use samphirespread_routing::durations::{Caution, RequestDurations};
//!
//! let (route, now) = (Arc::from("draft"), MonoTime::from_ms(1_000));
//! let mut durations = RequestDurations::default();
//! for number in 0..100 {
//!     durations.observe(&route, if number < 95 { 800 } else { 6_000 }, 0, now);
//! }
//!
//! assert_eq!(durations.expected_ms(&route, 0, Caution::Usual, now), Some(896));
//! assert_eq!(durations.expected_ms(&route, 0, Caution::Longest, now), Some(6_000));
//! ```
//!
//! Memory: two histograms of about 300 bytes for each route, up to a bound on routes.

use std::{collections::HashMap, sync::Arc};

use samphirespread_core::prelude::*;

/// Requests are remembered for one to two windows.
const WINDOW_MS: u64 = 15_000;
/// Maximum number of routes with an estimate.
const MAX_ROUTES: usize = 1_024;
/// The usual duration is one that this share of requests does not exceed.
const USUAL_PERCENT: u64 = 90;
/// Each power of two is divided into this many buckets, so that an estimate is too long by a quarter
/// at most.
const BUCKETS_PER_DOUBLING: u64 = 4;
/// Durations below this have a bucket for each millisecond.
const FINE_BELOW_MS: u64 = BUCKETS_PER_DOUBLING;
/// The last bucket begins at some two minutes and holds all that is longer.
const BUCKETS: usize = 64;

/// How sure an estimate has to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Caution {
    /// The duration that nine of ten requests don't exceed.
    Usual,
    /// The duration that no recent request exceeded.
    Longest,
}

/// The durations of recent requests of each route.
#[derive(Clone, Debug, Default)]
pub struct RequestDurations {
    routes: HashMap<Arc<str>, RouteDurations>,
}

#[derive(Clone, Copy, Debug, Default)]
struct RouteDurations {
    window_start: MonoTime,
    before: Window,
    current: Window,
}

/// The requests of one window.
#[derive(Clone, Copy, Debug)]
struct Window {
    longest_ms: u64,
    /// The largest bound on the output of a request.
    max_output_tokens: u64,
    requests: u64,
    buckets: [u32; BUCKETS],
}

impl Default for Window {
    fn default() -> Self {
        Self { longest_ms: 0, max_output_tokens: 0, requests: 0, buckets: [0; BUCKETS] }
    }
}

impl Window {
    fn observe(&mut self, took_ms: u64, max_output_tokens: u64) {
        self.longest_ms = self.longest_ms.max(took_ms);
        self.max_output_tokens = self.max_output_tokens.max(max_output_tokens);
        self.requests += 1;
        let bucket = &mut self.buckets[bucket_of(took_ms)];
        *bucket = bucket.saturating_add(1);
    }

    fn merge(mut self, other: &Self) -> Self {
        self.longest_ms = self.longest_ms.max(other.longest_ms);
        self.max_output_tokens = self.max_output_tokens.max(other.max_output_tokens);
        self.requests += other.requests;
        for (bucket, more) in self.buckets.iter_mut().zip(&other.buckets) {
            *bucket = bucket.saturating_add(*more);
        }
        self
    }

    fn duration_ms(&self, caution: Caution) -> u64 {
        if caution == Caution::Longest {
            return self.longest_ms;
        }
        let wanted = (self.requests * USUAL_PERCENT).div_ceil(100);
        let mut counted = 0;
        for (index, count) in self.buckets.iter().enumerate() {
            counted += u64::from(*count);
            if counted >= wanted {
                return end_of(index).min(self.longest_ms);
            }
        }
        self.longest_ms
    }
}

fn bucket_of(took_ms: u64) -> usize {
    let doublings = u64::from(took_ms.checked_ilog2().unwrap_or(0));
    let fine_doublings = u64::from(FINE_BELOW_MS.ilog2());
    let index = match doublings.checked_sub(fine_doublings) {
        None => took_ms,
        Some(above) => {
            let within = (took_ms >> above) - BUCKETS_PER_DOUBLING;
            FINE_BELOW_MS + above * BUCKETS_PER_DOUBLING + within
        }
    };
    usize::try_from(index).unwrap_or(usize::MAX).min(BUCKETS - 1)
}

/// The first duration above a bucket.
fn end_of(index: usize) -> u64 {
    let next = index as u64 + 1;
    let Some(above_fine) = next.checked_sub(FINE_BELOW_MS) else { return next };
    let above = above_fine / BUCKETS_PER_DOUBLING;
    (BUCKETS_PER_DOUBLING + above_fine % BUCKETS_PER_DOUBLING) << above
}

impl RouteDurations {
    fn turn_to(&mut self, now: MonoTime) {
        let passed_ms = now.ms_since(self.window_start);
        if passed_ms < WINDOW_MS {
            return;
        }
        let is_next = passed_ms < 2 * WINDOW_MS;
        self.before = if is_next { self.current } else { Window::default() };
        self.current = Window::default();
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

    /// How long a request of the route lasts. A request with a larger bound on its output than those
    /// of recent requests is expected to last longer in proportion.
    pub fn expected_ms(
        &self,
        route: &str,
        max_output_tokens: u64,
        caution: Caution,
        now: MonoTime,
    ) -> Option<u64> {
        let mut known = *self.routes.get(route)?;
        known.turn_to(now);
        let recent = known.before.merge(&known.current);
        if recent.requests == 0 {
            return None;
        }
        let seen = recent.max_output_tokens.max(1);
        let wanted = max_output_tokens.max(seen);
        Some(recent.duration_ms(caution).saturating_mul(wanted).div_ceil(seen))
    }
}
