//! Monotonic time as a plain value, so that decisions never read a clock.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Microseconds since an origin that only this process knows.
///
/// Values of two processes are never compared.
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
    /// The origin.
    pub const ZERO: Self = Self { us: 0 };

    /// An instant that many microseconds after the origin.
    pub const fn from_us(us: u64) -> Self {
        Self { us }
    }

    /// An instant that many milliseconds after the origin.
    pub const fn from_ms(ms: u64) -> Self {
        Self { us: ms.saturating_mul(1_000) }
    }

    /// Microseconds since the origin.
    pub const fn as_us(self) -> u64 {
        self.us
    }

    /// Whole milliseconds since the origin.
    pub const fn as_ms(self) -> u64 {
        self.us / 1_000
    }

    /// The instant that many milliseconds later.
    #[must_use]
    pub const fn plus_ms(self, ms: u64) -> Self {
        Self { us: self.us.saturating_add(ms.saturating_mul(1_000)) }
    }

    /// The instant that many microseconds later.
    #[must_use]
    pub const fn plus_us(self, us: u64) -> Self {
        Self { us: self.us.saturating_add(us) }
    }

    /// The instant that many milliseconds earlier, or the origin.
    #[must_use]
    pub const fn minus_ms(self, ms: u64) -> Self {
        Self { us: self.us.saturating_sub(ms.saturating_mul(1_000)) }
    }

    /// Microseconds since `earlier`, or zero if `earlier` is later.
    pub const fn us_since(self, earlier: Self) -> u64 {
        self.us.saturating_sub(earlier.us)
    }

    /// Whole milliseconds since `earlier`, or zero if `earlier` is later.
    pub const fn ms_since(self, earlier: Self) -> u64 {
        self.us_since(earlier) / 1_000
    }
}

/// The clock of a daemon. Decision crates take [`MonoTime`] values instead.
///
/// It counts the time during which the machine was suspended, so that a bound on the age of
/// what a process believes holds across a suspension too.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started_boot_us: u64,
    start: MonoTime,
}

impl Clock {
    /// A clock whose origin is now.
    pub fn start() -> Self {
        Self::start_at(MonoTime::ZERO)
    }

    /// A clock that shows `start` now, so that instants before the start can be told.
    pub fn start_at(start: MonoTime) -> Self {
        Self { started_boot_us: boot_us(), start }
    }

    /// The current instant.
    pub fn now(&self) -> MonoTime {
        self.start.plus_us(boot_us().saturating_sub(self.started_boot_us))
    }
}

/// Microseconds since the machine started, suspensions included.
fn boot_us() -> u64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanoseconds = u64::try_from(time.tv_nsec).unwrap_or(0);
    seconds.saturating_mul(1_000_000).saturating_add(nanoseconds / 1_000)
}

/// A number for this run of the process that is higher than those of earlier runs at the same
/// address, as long as the wall clock there has not gone back by more than the time between two
/// starts.
///
/// The number is never compared with one of another address, and decides nothing but which of
/// two runs at one address is the later.
pub fn fresh_incarnation() -> crate::ids::Incarnation {
    let since_epoch = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or(Duration::ZERO);
    crate::ids::Incarnation(u64::try_from(since_epoch.as_micros()).unwrap_or(u64::MAX))
}
