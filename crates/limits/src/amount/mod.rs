//! Exact amounts of tokens.

use std::ops::{Add, AddAssign, Sub, SubAssign};

use serde::{Deserialize, Serialize};

/// The number of equal parts that a team's rate and burst are divided into.
///
/// It is divisible by every number of holders from one to eight.
pub const PARTS: u32 = 840;

/// Microseconds in a second.
const US_PER_S: u128 = 1_000_000;

/// An exact amount of tokens, in units of one token divided by [`PARTS`] and by a million.
///
/// In one microsecond, one part of a rate of one token per second adds exactly one
/// unit, so refilling a bucket never rounds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Amount(u128);

impl Amount {
    /// No tokens.
    pub const ZERO: Self = Self(0);

    /// The amount of a number of whole tokens.
    pub const fn from_tokens(tokens: u64) -> Self {
        Self(tokens as u128 * US_PER_S * PARTS as u128)
    }

    /// The amount that `parts` of a rate add within a time.
    pub const fn refill(rate_tokens_per_s: u64, parts: u32, elapsed_us: u64) -> Self {
        Self((rate_tokens_per_s as u128 * parts as u128).saturating_mul(elapsed_us as u128))
    }

    /// The amount of `parts` of a burst.
    pub const fn of_burst(burst_tokens: u64, parts: u32) -> Self {
        Self(burst_tokens as u128 * US_PER_S * parts as u128)
    }

    /// The amount in whole tokens, rounded down.
    pub fn whole_tokens(self) -> u64 {
        u64::try_from(self.0 / (US_PER_S * u128::from(PARTS))).unwrap_or(u64::MAX)
    }

    /// The amount in whole tokens, rounded up.
    pub fn tokens_rounded_up(self) -> u64 {
        u64::try_from(self.0.div_ceil(US_PER_S * u128::from(PARTS))).unwrap_or(u64::MAX)
    }

    /// Half of the amount, rounded down.
    #[must_use]
    pub const fn half_down(self) -> Self {
        Self(self.0 / 2)
    }

    /// Half of the amount, rounded up.
    #[must_use]
    pub const fn half_up(self) -> Self {
        Self(self.0.div_ceil(2))
    }

    /// The difference, or zero if `other` is larger.
    #[must_use]
    pub const fn saturating_sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }

    /// The milliseconds that a team's whole rate takes to add the amount, rounded up.
    pub fn refill_ms(self, rate_tokens_per_s: u64) -> u64 {
        let per_ms = u128::from(rate_tokens_per_s) * u128::from(PARTS) * 1_000;
        if per_ms == 0 {
            return u64::MAX;
        }
        u64::try_from(self.0.div_ceil(per_ms)).unwrap_or(u64::MAX)
    }
}

impl Add for Amount {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Amount {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl Sub for Amount {
    type Output = Self;

    /// Subtracts.
    ///
    /// # Panics
    ///
    /// Panics if the result would be negative, since wrapping around would create tokens.
    fn sub(self, other: Self) -> Self {
        Self(
            self.0
                .checked_sub(other.0)
                .expect("the result of a subtraction of amounts is negative"),
        )
    }
}

impl SubAssign for Amount {
    fn sub_assign(&mut self, other: Self) {
        *self = *self - other;
    }
}
