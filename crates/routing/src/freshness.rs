//! Tracks how current a router's copy of data in the store is, from its own reads and from the
//! reports of other routers.
//!
//! Clocks of different machines are never compared. A report contains the age of the sender's copy
//! and an echo: the send time, on the receiver's clock, of the last report that the sender received
//! from it. The receiver subtracts the age from this time. Because the echoed time lies before the
//! report was sent, the result is never later than the actual read, however long the report took.
//!
//! A store that was restored from a copy is in a later era. Equal copies of two eras don't confirm
//! each other, as the store may hold something else in the later one.
//!
//! ```
//! use samphirespread_core::prelude::*;
//! use samphirespread_routing::freshness::{Echo, FreshnessReport, StoreCopy};
//!
//! let mut copy = StoreCopy::default();
//! copy.read(1, 7, MonoTime::from_ms(1_000));
//! let echo = Echo { incarnation: Incarnation(1), sent: MonoTime::from_ms(5_000) };
//!
//! let report = FreshnessReport { era: 1, mark: 7, age_ms: Some(300) };
//! copy.apply_report(report, echo.of(Incarnation(1)).unwrap());
//!
//! assert_eq!(copy.age_ms(MonoTime::from_ms(5_100)), 400);
//! assert_eq!(echo.of(Incarnation(2)), None);
//! ```

use samphirespread_core::prelude::*;
use serde::{Deserialize, Serialize};

/// A router's report of how current its copy is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FreshnessReport {
    /// The era in which the store confirmed the copy.
    #[serde(skip)]
    pub era: u64,
    /// A value that is equal for equal copies.
    pub mark: u64,
    /// The time since the start of the read that confirmed the copy, in milliseconds. It is none
    /// before the first read.
    pub age_ms: Option<u64>,
}

/// Identifies the last report that the sender received from the router to which it now reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The run of the receiving router that sent the echoed report.
    pub incarnation: Incarnation,
    /// The time on the clock of that run when it sent the echoed report.
    pub sent: MonoTime,
}

impl Echo {
    /// Returns the echoed time if the given run sent the report. The clock of another run can't be
    /// compared with that of this run.
    pub fn of(self, incarnation: Incarnation) -> Option<MonoTime> {
        (self.incarnation == incarnation).then_some(self.sent)
    }
}

/// The version and age of a router's copy of some data in the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreCopy {
    era: u64,
    mark: u64,
    confirmed: Option<MonoTime>,
}

impl StoreCopy {
    /// Records that a read which started at `began` returned the copy with this mark, in this era of
    /// the store.
    pub fn read(&mut self, era: u64, mark: u64, began: MonoTime) {
        let is_confirmation = (era, mark) == (self.era, self.mark);
        self.confirmed =
            if is_confirmation { self.confirmed.max(Some(began)) } else { Some(began) };
        (self.era, self.mark) = (era, mark);
    }

    /// Returns the era of the store in which the copy was confirmed.
    pub fn era(self) -> u64 {
        self.era
    }

    /// Returns a value that is equal for equal copies.
    pub fn mark(self) -> u64 {
        self.mark
    }

    /// Returns a lower bound of when the latest read that confirmed the copy started.
    pub fn confirmed(self) -> Option<MonoTime> {
        self.confirmed
    }

    /// Whether a read that started at `began`, in this era of the store, shows a newer state than the
    /// reads that confirmed the copy.
    pub fn is_superseded_by(self, era: u64, began: MonoTime) -> bool {
        match era == self.era {
            true => self.confirmed < Some(began),
            false => era > self.era,
        }
    }

    /// Makes the copy unconfirmed, until the next read of this process. No other router's report
    /// confirms it meanwhile.
    pub fn invalidate(&mut self) {
        (self.mark, self.confirmed) = (0, None);
    }

    /// Returns the report for other routers.
    pub fn report(self, now: MonoTime) -> FreshnessReport {
        FreshnessReport {
            era: self.era,
            mark: self.mark,
            age_ms: self.confirmed.map(|began| now.ms_since(began) + 1),
        }
    }

    /// Returns the time since the copy was confirmed, or `u64::MAX` before the first read.
    pub fn age_ms(self, now: MonoTime) -> u64 {
        self.confirmed.map_or(u64::MAX, |began| now.ms_since(began))
    }

    /// Processes another router's report, which was sent after this router's clock showed `echo`.
    ///
    /// Returns whether the other router has a different copy from a later read, or a copy from a
    /// later era.
    pub fn apply_report(&mut self, theirs: FreshnessReport, echo: MonoTime) -> bool {
        let Some(age_ms) = theirs.age_ms else { return false };
        if theirs.era != self.era {
            return theirs.era > self.era;
        }
        let began = echo.minus_ms(age_ms);
        if Some(began) <= self.confirmed {
            return false;
        }
        if theirs.mark == self.mark {
            self.confirmed = Some(began);
            return false;
        }
        true
    }
}
