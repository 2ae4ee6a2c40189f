//! What a router knows of the pace of one server.

use samphirespread_core::prelude::*;

use super::Pace;

/// The time constants that are compared, in milliseconds. Neighbours differ by about a factor of
/// two; a choice between them changes the predicted pace by little.
const TIME_CONSTANTS_MS: [f64; 6] = [50.0, 105.0, 220.0, 460.0, 960.0, 2_000.0];
/// The index of the time constant before any has been learnt. Servers are typically slow for some
/// 600 ms.
const INITIAL_TIME_CONSTANT: usize = 3;
/// The weight of one prediction in the mean squared error of a time constant, which thus covers about the
/// last 20 values.
const ERROR_WEIGHT: f64 = 0.05;
/// The initial mean squared error of all time constants, in squares of a ratio to the normal pace. With it, the first few values don't decide
/// between them.
const INITIAL_ERROR: f64 = 0.05;
/// Another time constant is used only if its error is below this fraction of the current one's.
/// Otherwise rounding errors would decide between constants that predict equally well.
const MAX_ERROR_RATIO: f64 = 0.95;
/// The time constant of the long-term mean. It covers many slow phases.
const MEAN_TIME_CONSTANT_MS: f64 = 30_000.0;
/// A value says nothing about earlier times than this. It counts for this long at most.
const MAX_VALUE_MS: f64 = 2_000.0;
/// For how long a server is assumed to have had the normal pace before its first value.
const PRIOR_MS: f64 = 2_000.0;

/// The latest pace of a server, its long-term mean, and how fast a value goes stale.
///
/// The pace is predicted to revert exponentially from the latest value to the mean. The time
/// constant is the one that would have predicted the values so far best.
///
/// ```
/// use samphirespread_core::prelude::*;
/// use samphirespread_routing::server_speed::{Pace, PaceHistory};
///
/// let mut history = PaceHistory::default();
/// let slow = Pace::from_percent(250.0).unwrap();
/// let now = MonoTime::from_ms(1_000);
/// history.record(slow, now);
///
/// assert_eq!(history.pace(now), Some(slow));
/// assert!(history.pace(now.plus_ms(500)) < Some(slow));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PaceHistory {
    known: Option<KnownPace>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
struct KnownPace {
    latest: Pace,
    at: MonoTime,
    mean: f64,
    /// The time that the mean covers, at most [`MEAN_TIME_CONSTANT_MS`].
    covered_ms: f64,
    /// The mean squared error of the predictions with each time constant.
    errors: [f64; TIME_CONSTANTS_MS.len()],
    /// The index of the time constant in use.
    time_constant: usize,
}

impl PaceHistory {
    /// Records a pace that the server has stated now.
    pub fn record(&mut self, pace: Pace, now: MonoTime) {
        match &mut self.known {
            Some(known) => known.record(pace, now),
            None => self.known = Some(KnownPace::first(pace, now)),
        }
    }

    /// Returns the pace that is expected now, or `None` if the server has never stated one.
    pub fn pace(&self, now: MonoTime) -> Option<Pace> {
        self.known.as_ref().map(|known| {
            Pace::from_ratio(known.predicted(TIME_CONSTANTS_MS[known.time_constant], now))
        })
    }

    /// Returns the time constant with which values go stale, in milliseconds.
    pub fn time_constant_ms(&self) -> f64 {
        let index = self.known.as_ref().map_or(INITIAL_TIME_CONSTANT, |known| known.time_constant);
        TIME_CONSTANTS_MS[index]
    }
}

impl KnownPace {
    fn first(pace: Pace, now: MonoTime) -> Self {
        let mut known = Self {
            latest: pace,
            at: now,
            mean: Pace::NORMAL.ratio(),
            covered_ms: PRIOR_MS,
            errors: [INITIAL_ERROR; TIME_CONSTANTS_MS.len()],
            time_constant: INITIAL_TIME_CONSTANT,
        };
        known.add_to_mean(pace, MAX_VALUE_MS);
        known
    }

    fn record(&mut self, pace: Pace, now: MonoTime) {
        let ratio = pace.ratio();
        for (index, time_constant_ms) in TIME_CONSTANTS_MS.into_iter().enumerate() {
            let error = (ratio - self.predicted(time_constant_ms, now)).powi(2);
            self.errors[index] += ERROR_WEIGHT * (error - self.errors[index]);
        }
        let best =
            (0..self.errors.len()).min_by(|a, b| self.errors[*a].total_cmp(&self.errors[*b]));
        let is_better =
            |best: &usize| self.errors[*best] < MAX_ERROR_RATIO * self.errors[self.time_constant];
        self.time_constant = best.filter(is_better).unwrap_or(self.time_constant);
        self.add_to_mean(pace, ms_since(now, self.at).min(MAX_VALUE_MS));
        self.latest = pace;
        self.at = now;
    }

    fn add_to_mean(&mut self, pace: Pace, duration_ms: f64) {
        self.covered_ms = (self.covered_ms + duration_ms).min(MEAN_TIME_CONSTANT_MS);
        self.mean += duration_ms / self.covered_ms * (pace.ratio() - self.mean);
    }

    fn predicted(&self, time_constant_ms: f64, now: MonoTime) -> f64 {
        let weight = (-ms_since(now, self.at) / time_constant_ms).exp();
        self.mean + weight * (self.latest.ratio() - self.mean)
    }
}

#[expect(clippy::cast_precision_loss, reason = "spans are far below 2^52 microseconds")]
fn ms_since(now: MonoTime, earlier: MonoTime) -> f64 {
    now.us_since(earlier) as f64 / 1_000.0
}
