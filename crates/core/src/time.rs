//! Monotonic time as a plain value, so that decision code needs no clock, and the clock itself.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Monotonic time in microseconds since an origin that is private to this process.
///
/// Values of different processes are not comparable.
///
/// ```
/// use samphirespread_core::prelude::*;
///
/// let start = MonoTime::from_ms(5);
/// assert_eq!(start.plus_ms(10).ms_since(start), 10);
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct MonoTime {
    us: u64,
}

impl MonoTime {
    /// The origin of time.
    pub const ZERO: Self = Self { us: 0 };

    /// Creates the time `us` microseconds after the origin.
    pub const fn from_us(us: u64) -> Self {
        Self { us }
    }

    /// Creates the time `ms` milliseconds after the origin.
    pub const fn from_ms(ms: u64) -> Self {
        Self { us: ms.saturating_mul(1_000) }
    }

    /// Returns the microseconds since the origin.
    pub const fn as_us(self) -> u64 {
        self.us
    }

    /// Returns the whole milliseconds since the origin.
    pub const fn as_ms(self) -> u64 {
        self.us / 1_000
    }

    /// Returns the time `ms` milliseconds later.
    #[must_use]
    pub const fn plus_ms(self, ms: u64) -> Self {
        Self { us: self.us.saturating_add(ms.saturating_mul(1_000)) }
    }

    /// Returns the time `us` microseconds later.
    #[must_use]
    pub const fn plus_us(self, us: u64) -> Self {
        Self { us: self.us.saturating_add(us) }
    }

    /// Returns the time `ms` milliseconds earlier, but no earlier than the origin.
    #[must_use]
    pub const fn minus_ms(self, ms: u64) -> Self {
        Self { us: self.us.saturating_sub(ms.saturating_mul(1_000)) }
    }

    /// Returns the microseconds since `earlier`, or zero if `earlier` is later.
    pub const fn us_since(self, earlier: Self) -> u64 {
        self.us.saturating_sub(earlier.us)
    }

    /// Returns the whole milliseconds since `earlier`, or zero if `earlier` is later.
    pub const fn ms_since(self, earlier: Self) -> u64 {
        self.us_since(earlier) / 1_000
    }
}

/// Monotonic clock of a process. Crates that only make decisions take [`MonoTime`] values instead.
///
/// The clock includes the time during which the machine is suspended, so that limits on the age of
/// data also hold across a suspension.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    boot_us_at_start: u64,
    start: MonoTime,
}

impl Clock {
    /// Creates a clock whose origin is now.
    pub fn start() -> Self {
        Self::start_at(MonoTime::ZERO)
    }

    /// Creates a clock that shows `start` now, so that times before the start can be represented.
    pub fn start_at(start: MonoTime) -> Self {
        Self { boot_us_at_start: boot_us(), start }
    }

    /// Returns the current time.
    pub fn now(&self) -> MonoTime {
        self.start.plus_us(boot_us().saturating_sub(self.boot_us_at_start))
    }
}

/// Returns the microseconds since the machine booted, including suspensions.
fn boot_us() -> u64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanoseconds = u64::try_from(time.tv_nsec).unwrap_or(0);
    seconds.saturating_mul(1_000_000).saturating_add(nanoseconds / 1_000)
}

/// Returns an incarnation for this run of the process. It is higher than those of earlier runs at
/// the same address, unless the wall clock was set back by more than the time between two starts.
///
/// Incarnations are only used to determine which of two runs at the same address is the later one.
/// Those of different addresses are never compared.
pub fn fresh_incarnation() -> crate::ids::Incarnation {
    let since_unix_epoch = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or(Duration::ZERO);
    crate::ids::Incarnation(u64::try_from(since_unix_epoch.as_micros()).unwrap_or(u64::MAX))
}
