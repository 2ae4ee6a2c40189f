//! One router's share of a server's limit.

use samphirespread_core::prelude::*;

use super::rate::RequestRate;
use crate::units::{seconds, whole_ms};

/// A share holds what it gets in this time, but at least one request.
const BURST_S: f64 = 1.0;
/// A bucket with this level holds a whole request, but for rounding.
const ONE_REQUEST: f64 = 1.0 - 1e-9;
/// The longest time after which a refused caller is told to return. By then, the limit may have
/// changed, or another router may have room.
const MAX_RETURN_MS: u64 = 2_000;

/// A router's share of a limit: a token bucket that holds whole requests.
#[derive(Clone, Copy, Debug)]
pub(super) struct Share {
    /// Zero if the router may send nothing.
    rate_per_s: f64,
    /// Requests that may be sent now. Negative after requests that had to be sent.
    level: f64,
    filled_until: MonoTime,
    /// The latest time at which a refused caller was told to return.
    latest_return: MonoTime,
}

impl Share {
    pub(super) fn empty(now: MonoTime) -> Self {
        Self { rate_per_s: 0.0, level: 0.0, filled_until: now, latest_return: now }
    }

    fn level_at(&self, now: MonoTime) -> f64 {
        let elapsed_s = seconds(now.us_since(self.filled_until));
        let most = (self.rate_per_s * BURST_S).max(1.0);
        (self.level + self.rate_per_s * elapsed_s).min(most)
    }

    /// Whether a request may be sent now.
    pub(super) fn has_room(&self, now: MonoTime) -> bool {
        self.level_at(now) >= ONE_REQUEST
    }

    /// Counts a request that is sent, even if there was no room for it.
    pub(super) fn charge(&mut self, now: MonoTime) {
        self.fill_until(now);
        self.level -= 1.0;
    }

    /// Returns the time after which the next refused caller should return, in milliseconds.
    pub(super) fn promise_return_ms(&mut self, rate: RequestRate, now: MonoTime) -> u64 {
        self.latest_return = self.next_return(rate, now).min(now.plus_ms(MAX_RETURN_MS));
        self.latest_return.ms_since(now)
    }

    fn fill_until(&mut self, now: MonoTime) {
        self.level = self.level_at(now);
        self.filled_until = self.filled_until.max(now);
    }

    /// Changes the rate. A share that is lost leaves nothing behind for the time when it is back.
    pub(super) fn set_rate(&mut self, rate_per_s: f64, now: MonoTime) {
        self.fill_until(now);
        self.rate_per_s = rate_per_s;
        if rate_per_s <= 0.0 {
            self.level = self.level.min(0.0);
        }
    }

    /// When the next refused caller should return. A router without a share goes by the rate of all
    /// routers, as the caller is likely to return through another one.
    pub(super) fn next_return(&self, rate: RequestRate, now: MonoTime) -> MonoTime {
        let (missing, per_s) = match self.rate_per_s > 0.0 {
            true => ((1.0 - self.level_at(now)).max(0.0), self.rate_per_s),
            false => (1.0, rate.allowed_per_s()),
        };
        let room = now.plus_ms(whole_ms(1_000.0 * missing / per_s).max(1));
        room.max(self.latest_return.plus_ms(whole_ms(1_000.0 / per_s)))
    }
}
