//! What the limiter knows of one team.

use std::collections::{BTreeMap, VecDeque};

use samphirespread_core::prelude::*;

use crate::{
    amount::Amount,
    bucket::Bucket,
    limiter::TeamLimit,
    lump::Purse,
    message::{Holder, LumpId},
};

/// One team: its bucket, its lumps and the requests that wait for a lump.
#[derive(Debug)]
pub(crate) struct Team {
    pub(crate) slot: u32,
    pub(crate) rate_tokens_per_s: u64,
    pub(crate) burst_tokens: u64,
    pub(crate) bucket: Bucket,
    pub(crate) purse: Purse,
    pub(crate) waiting: VecDeque<Waiter>,
    pub(crate) dry_until: BTreeMap<Holder, MonoTime>,
    pub(crate) lent_for: BTreeMap<BorrowKey, LentRecord>,
    pub(crate) demand: Demand,
    /// Lenders asked and not yet heard, with the time of asking.
    pub(crate) asking: BTreeMap<Holder, MonoTime>,
    refunds_sent: u32,
}

/// A request that waits for a lump.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Waiter {
    pub(crate) ticket: u64,
    pub(crate) cost: Amount,
    pub(crate) deadline: MonoTime,
}

/// Names a request for a lump over all borrowers and their runs.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct BorrowKey {
    pub(crate) borrower: Holder,
    pub(crate) run: Incarnation,
    pub(crate) serial: u64,
}

/// What was lent for a request, so that a doubled request gets the same lump.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LentRecord {
    pub(crate) id: LumpId,
    pub(crate) amount: Amount,
    pub(crate) until: MonoTime,
}

/// Use over the present and the last lifetime of a lump.
#[derive(Debug, Default)]
pub(crate) struct Demand {
    since: MonoTime,
    present: Amount,
    last: Amount,
}

impl Demand {
    pub(crate) fn add(&mut self, now: MonoTime, span_ms: u64, amount: Amount) {
        self.roll(now, span_ms);
        self.present += amount;
    }

    /// What may be used within the next lifetime.
    pub(crate) fn forecast(&mut self, now: MonoTime, span_ms: u64) -> Amount {
        self.roll(now, span_ms);
        self.present.max(self.last)
    }

    fn roll(&mut self, now: MonoTime, span_ms: u64) {
        let elapsed_ms = now.ms_since(self.since);
        if elapsed_ms < span_ms {
            return;
        }
        self.last = if elapsed_ms < 2 * span_ms { self.present } else { Amount::ZERO };
        self.present = Amount::ZERO;
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
            purse: Purse::default(),
            waiting: VecDeque::new(),
            dry_until: BTreeMap::new(),
            lent_for: BTreeMap::new(),
            demand: Demand::default(),
            asking: BTreeMap::new(),
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

    /// Numbers refunds to lenders, so that each is counted once.
    pub(crate) fn next_refund(&mut self) -> u32 {
        let number = self.refunds_sent;
        self.refunds_sent = number.saturating_add(1);
        number
    }

    /// Whether a lender is still expected to answer.
    pub(crate) fn is_asking(&self, now: MonoTime, wait_ms: u64) -> bool {
        self.asking.values().any(|sent| now.ms_since(*sent) < wait_ms)
    }

    /// Whether a lender may be asked now.
    pub(crate) fn may_ask(&self, now: MonoTime, lender: &Holder, wait_ms: u64) -> bool {
        let asked = self.asking.get(lender).is_some_and(|sent| now.ms_since(*sent) < wait_ms);
        !asked && self.dry_until.get(lender).is_none_or(|until| *until <= now)
    }

    /// Forgets what is over.
    pub(crate) fn prune(&mut self, now: MonoTime) {
        self.lent_for.retain(|_, record| record.until > now);
        self.dry_until.retain(|_, until| *until > now);
    }

    pub(crate) fn is_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    pub(crate) fn next_deadline(&self) -> Option<MonoTime> {
        self.waiting.front().map(|waiter| waiter.deadline)
    }
}
