//! When a router tells the others of a cause.

use samphirespread_core::prelude::*;

/// News is told this often, also if there is more of it than fits into the records of a moment. Single
/// records get lost.
const MIN_TELLINGS: u32 = 2;
/// News that could not be told within this time is left out.
const MAX_NEWS_AGE_MS: u64 = 3_000;
/// Time from one telling of all that is known of a cause to the next, by whichever router.
const TELLING_INTERVAL_MS: u64 = 1_000;
/// Routers that are first in rank tell without waiting for each other, as some of them may have started
/// together.
const PROMPT_ROUTERS: usize = 4;
/// The others wait for this long for each router before them, which may tell first.
const RANK_DELAY_MS: u64 = 100;

/// What a router has told of a cause, and what it has heard.
#[derive(Clone, Copy, Debug)]
pub(super) struct Telling {
    /// When this router last had something new to tell.
    news_since: Option<MonoTime>,
    /// How often it has told that.
    times_told: u32,
    /// From when on the routers that are first in rank tell all that is known.
    due: MonoTime,
}

impl Telling {
    pub(super) fn new(now: MonoTime) -> Self {
        Self { news_since: None, times_told: 0, due: now }
    }

    pub(super) fn add_news(&mut self, now: MonoTime) {
        self.news_since = Some(now);
        self.times_told = 0;
    }

    pub(super) fn news_since(&self) -> Option<MonoTime> {
        self.news_since
    }

    pub(super) fn times_told(&self) -> u32 {
        self.times_told
    }

    /// Whether there is something new to tell: news of the last `within_ms`, and older ones that were
    /// not told often enough, as there were many.
    pub(super) fn has_news(&self, within_ms: u64, now: MonoTime) -> bool {
        let Some(since) = self.news_since else { return false };
        let age_ms = now.ms_since(since);
        age_ms <= within_ms || (self.times_told < MIN_TELLINGS && age_ms <= MAX_NEWS_AGE_MS)
    }

    pub(super) fn record_told(&mut self, now: MonoTime) {
        self.times_told = self.times_told.saturating_add(1);
        self.record_heard_all(now);
    }

    /// Records that another router has told all that this one knows.
    pub(super) fn record_heard_all(&mut self, now: MonoTime) {
        self.due = now.plus_ms(TELLING_INTERVAL_MS);
    }

    /// Records that another router knows less than this one, or nothing.
    pub(super) fn record_unknown(&mut self, now: MonoTime) {
        self.due = self.due.min(now);
    }

    /// Whether this router is to tell all that is known, as those before it in rank have not.
    pub(super) fn is_due(&self, rank: impl FnOnce() -> usize, now: MonoTime) -> bool {
        if now < self.due {
            return false;
        }
        let awaited = (rank() + 1).saturating_sub(PROMPT_ROUTERS);
        let awaited = u64::try_from(awaited).unwrap_or(u64::MAX);
        now.ms_since(self.due) >= awaited.saturating_mul(RANK_DELAY_MS)
    }
}
