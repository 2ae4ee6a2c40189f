//! What a router has to do with one other router.

use samphirespread_core::prelude::*;
use serde::{Deserialize, Serialize};

/// A router that is asked and does not answer for this long is silent, and the next one is asked.
pub(crate) const LINK_SILENT_MS: u64 = 300;
/// A router that begins to answer may have just started, and knows little until then.
const SETTLING_MS: u64 = 400;
/// A router that asked is served for this long.
const ASK_LIFETIME_MS: u64 = 1_000;

/// What one router wants of another one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Asks {
    /// Nothing.
    #[default]
    Nothing,
    /// To be heard, so that it could take over at once.
    Presence,
    /// The records of its failure domain.
    Near,
    /// All records.
    All,
}

/// One other router.
#[derive(Clone, Debug, Default)]
pub(crate) struct Link {
    /// When it was heard and showed that it hears this router.
    answered: Option<MonoTime>,
    /// Since when it has answered without a break.
    answers_since: MonoTime,
    /// Since when it has been asked without a break.
    asked_since: Option<MonoTime>,
    /// What it wants, and when it said so.
    wants: Asks,
    wanted: MonoTime,
    /// Records up to this change were sent to it.
    pub(crate) sent_change: u64,
}

impl Link {
    /// Takes in that the router was heard, what it wants, and whether it hears this one.
    pub(crate) fn was_asked(&mut self, asks: Asks, hears_this: bool, now: MonoTime) {
        if self.wants_now(now) != asks {
            // What it has of an earlier time may not be what it wants now.
            self.sent_change = 0;
        }
        if hears_this {
            if !self.answers(now) {
                self.answers_since = now;
            }
            self.answered = Some(now);
        }
        self.wants = asks;
        self.wanted = now;
    }

    /// What it wants, if it said so lately.
    pub(crate) fn wants_now(&self, now: MonoTime) -> Asks {
        let is_recent = now.ms_since(self.wanted) <= ASK_LIFETIME_MS;
        if is_recent { self.wants } else { Asks::Nothing }
    }

    /// Notes whether this router asks it.
    pub(crate) fn set_asked(&mut self, is_asked: bool, now: MonoTime) {
        self.asked_since = if is_asked { self.asked_since.or(Some(now)) } else { None };
    }

    /// Whether it has answered for long enough to have heard of all others itself.
    pub(crate) fn is_settled(&self, now: MonoTime) -> bool {
        self.answers(now) && now.ms_since(self.answers_since) >= SETTLING_MS
    }

    /// Whether this router asks it.
    pub(crate) fn is_asked(&self) -> bool {
        self.asked_since.is_some()
    }

    /// Whether it has answered lately.
    pub(crate) fn answers(&self, now: MonoTime) -> bool {
        self.answered.is_some_and(|answered| now.ms_since(answered) <= LINK_SILENT_MS)
    }

    /// Whether it has not answered although it was asked.
    pub(crate) fn is_silent(&self, now: MonoTime) -> bool {
        let Some(asked_since) = self.asked_since else { return false };
        let since = self.answered.unwrap_or(asked_since).max(asked_since);
        now.ms_since(since) > LINK_SILENT_MS
    }
}
