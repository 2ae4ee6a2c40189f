//! How current a copy of something in the store is, by own reads and by the word of other routers.
//!
//! No clocks are compared. A router tells the age of its copy and echoes the receiver's own time of
//! the last report that it had from it. The receiver counts the age back from that echo, which lies
//! before the word was sent, so the result is never later than the read itself, however long the
//! word took.
//!
//! ```
//! use samphirespread_core::prelude::*;
//! use samphirespread_routing::freshness::{Copy, Echo, Word};
//!
//! let mut copy = Copy::default();
//! copy.read(7, MonoTime::from_ms(1_000));
//! let echo = Echo { incarnation: Incarnation(1), sent: MonoTime::from_ms(5_000) };
//!
//! copy.heard(Word { mark: 7, age_ms: Some(300) }, echo.of(Incarnation(1)).unwrap());
//!
//! assert_eq!(copy.age_ms(MonoTime::from_ms(5_100)), 400);
//! assert_eq!(echo.of(Incarnation(2)), None);
//! ```

use samphirespread_core::prelude::*;
use serde::{Deserialize, Serialize};

/// How current a router says that its copy is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Word {
    /// Equal for equal copies.
    pub mark: u64,
    /// Time since the read that confirmed the copy began, in milliseconds.
    pub age_ms: Option<u64>,
}

/// The last report that a router had from the receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Echo {
    /// The receiver's run that sent it.
    pub incarnation: Incarnation,
    /// The receiver's clock as it sent it.
    pub sent: MonoTime,
}

impl Echo {
    /// The time on the clock of a run. None when another run sent the report: its clock is not
    /// that of this one.
    pub fn of(self, incarnation: Incarnation) -> Option<MonoTime> {
        (self.incarnation == incarnation).then_some(self.sent)
    }
}

/// One thing that the store holds, as a router knows it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Copy {
    mark: u64,
    confirmed: Option<MonoTime>,
}

impl Copy {
    /// A read that began then gave this copy.
    pub fn read(&mut self, mark: u64, began: MonoTime) {
        self.mark = mark;
        self.confirmed = self.confirmed.max(Some(began));
    }

    /// Equal for equal copies.
    pub fn mark(self) -> u64 {
        self.mark
    }

    /// When the read that confirmed the copy began, at the latest.
    pub fn confirmed(self) -> Option<MonoTime> {
        self.confirmed
    }

    /// What to tell other routers.
    pub fn word(self, now: MonoTime) -> Word {
        Word { mark: self.mark, age_ms: self.confirmed.map(|began| now.ms_since(began) + 1) }
    }

    /// Time since the copy was confirmed.
    pub fn age_ms(self, now: MonoTime) -> u64 {
        self.confirmed.map_or(u64::MAX, |began| now.ms_since(began))
    }

    /// Takes in another router's word, sent after this router's clock showed `echo`.
    ///
    /// Returns whether the other has another copy from a later read.
    pub fn heard(&mut self, theirs: Word, echo: MonoTime) -> bool {
        let Some(age_ms) = theirs.age_ms else { return false };
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
