//! Rates of tokens over two time constants.

use samphirespread_core::prelude::*;

use super::{decay, ms};

/// The time constants of the short and the long rate.
///
/// The short one follows a team that sends more at once. The long one is for teams of which too few
/// requests arrive in a second to tell their rate.
const TIME_CONSTANTS_MS: [f64; 2] = [1_000.0, 10_000.0];

/// The time constant of a rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Window {
    /// 1 s.
    Short,
    /// 10 s.
    Long,
}

impl Window {
    /// The time constant in seconds.
    pub fn seconds(self) -> f64 {
        TIME_CONSTANTS_MS[self as usize] / 1_000.0
    }
}

/// Tokens that count less as time passes.
#[derive(Clone, Copy, Debug, Default)]
pub struct TokenRate {
    sums: [f64; 2],
    as_of: MonoTime,
}

impl TokenRate {
    /// Counts tokens.
    pub fn add(&mut self, tokens: f64, now: MonoTime) {
        self.add_over(tokens, 0, now);
    }

    /// Counts tokens that were spread evenly over the time up to now.
    ///
    /// The report of a router that was silent thus adds what it has admitted lately, not all that it has
    /// admitted since its last report.
    pub fn add_over(&mut self, tokens: f64, span_ms: u64, now: MonoTime) {
        for (sum, time_ms) in self.sums.iter_mut().zip(TIME_CONSTANTS_MS) {
            let spans = ms(span_ms) / time_ms;
            let remaining = if spans > 0.0 { -(-spans).exp_m1() / spans } else { 1.0 };
            *sum = *sum * decay(self.as_of, now, time_ms) + tokens * remaining;
        }
        self.as_of = self.as_of.max(now);
    }

    /// The tokens of the last time constant.
    pub fn tokens(&self, window: Window, now: MonoTime) -> f64 {
        let time_ms = TIME_CONSTANTS_MS[window as usize];
        (self.sums[window as usize] * decay(self.as_of, now, time_ms)).max(0.0)
    }

    /// Tokens in a second.
    pub fn per_s(&self, window: Window, now: MonoTime) -> f64 {
        self.tokens(window, now) / window.seconds()
    }
}
