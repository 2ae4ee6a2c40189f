//! The limiter's state for one team.

use std::collections::{BTreeMap, VecDeque};

use samphirespread_core::prelude::*;

use crate::{
    amount::Amount,
    bucket::Bucket,
    limiter::TeamLimit,
    lump::BorrowedLumps,
    message::{Holder, LumpId},
};

/// The state of one team: its bucket, its borrowed lumps and the requests that wait for a lump.
#[derive(Debug)]
pub(crate) struct Team {
    pub(crate) slot: u32,
    pub(crate) rate_tokens_per_s: u64,
    pub(crate) burst_tokens: u64,
    pub(crate) bucket: Bucket,
    pub(crate) borrowed: BorrowedLumps,
    pub(crate) waiting: VecDeque<Waiter>,
    /// When each lender that did not lend the full amount may be asked again.
    pub(crate) retry_at: BTreeMap<Holder, MonoTime>,
    /// The lumps lent, by the request that asked for them.
    pub(crate) lent_by_request: BTreeMap<BorrowKey, LentRecord>,
    pub(crate) demand: Demand,
    /// The lenders that have not answered yet, with the time at which they were asked.
    pub(crate) asked_at: BTreeMap<Holder, MonoTime>,
    refunds_sent: u32,
}

/// A request that waits for a lump.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Waiter {
    pub(crate) ticket: u64,
    pub(crate) cost: Amount,
    pub(crate) deadline: MonoTime,
}

/// Identifies a borrow request among all borrowers and their runs.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct BorrowKey {
    pub(crate) borrower: Holder,
    pub(crate) run: Incarnation,
    pub(crate) serial: u64,
}

/// The lump that was lent for a request, so that a duplicated request gets the same one.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LentRecord {
    pub(crate) id: LumpId,
    pub(crate) amount: Amount,
    pub(crate) until: MonoTime,
}

/// The tokens requested in the current and the previous period of one lump lifetime.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    since: MonoTime,
    current: Amount,
    previous: Amount,
}

impl Demand {
    pub(crate) fn add(&mut self, now: MonoTime, span_ms: u64, amount: Amount) {
        self.roll(now, span_ms);
        self.current += amount;
    }

    /// The tokens expected to be used within the next lump lifetime.
    pub(crate) fn forecast(&mut self, now: MonoTime, span_ms: u64) -> Amount {
        self.roll(now, span_ms);
        self.current.max(self.previous)
    }

    fn roll(&mut self, now: MonoTime, span_ms: u64) {
        let elapsed_ms = now.ms_since(self.since);
        if elapsed_ms < span_ms {
            return;
        }
        self.previous = if elapsed_ms < 2 * span_ms { self.current } else { Amount::ZERO };
        self.current = Amount::ZERO;
        self.since = now;
    }
}

impl Team {
    pub(crate) fn new(now: MonoTime, slot: u32, limit: &TeamLimit) -> Self {
        Self {
            slot,
            rate_tokens_per_s: limit.rate_tokens_per_s,
            burst_tokens: limit.burst_tokens,
            bucket: Bucket::new(now, limit.rate_tokens_per_s, limit.burst_tokens),
            borrowed: BorrowedLumps::default(),
            waiting: VecDeque::new(),
            retry_at: BTreeMap::new(),
            lent_by_request: BTreeMap::new(),
            demand: Demand::default(),
            asked_at: BTreeMap::new(),
            refunds_sent: 0,
        }
    }

    pub(crate) fn set_limit(&mut self, now: MonoTime, limit: &TeamLimit) {
        let same = self.rate_tokens_per_s == limit.rate_tokens_per_s
            && self.burst_tokens == limit.burst_tokens;
        if same {
            return;
        }
        self.bucket.advance(now);
        self.rate_tokens_per_s = limit.rate_tokens_per_s;
        self.burst_tokens = limit.burst_tokens;
        self.bucket.set_limit(limit.rate_tokens_per_s, limit.burst_tokens);
    }

    /// Returns the next refund number, by which a lender counts each refund once.
    pub(crate) fn next_refund(&mut self) -> u32 {
        let number = self.refunds_sent;
        self.refunds_sent = number.saturating_add(1);
        number
    }

    /// Whether any lender is still expected to answer.
    pub(crate) fn is_borrowing(&self, now: MonoTime, wait_ms: u64) -> bool {
        self.asked_at.values().any(|sent| now.ms_since(*sent) < wait_ms)
    }

    /// Whether a lender may be asked now.
    pub(crate) fn may_borrow_from(&self, now: MonoTime, lender: &Holder, wait_ms: u64) -> bool {
        let asked = self.asked_at.get(lender).is_some_and(|sent| now.ms_since(*sent) < wait_ms);
        !asked && self.retry_at.get(lender).is_none_or(|until| *until <= now)
    }

    /// Removes expired records.
    pub(crate) fn prune(&mut self, now: MonoTime) {
        self.lent_by_request.retain(|_, record| record.until > now);
        self.retry_at.retain(|_, until| *until > now);
    }

    pub(crate) fn is_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    pub(crate) fn next_deadline(&self) -> Option<MonoTime> {
        self.waiting.front().map(|waiter| waiter.deadline)
    }
}
