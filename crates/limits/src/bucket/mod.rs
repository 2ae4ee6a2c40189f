//! The token bucket of one share of one team.

use std::collections::{BTreeMap, VecDeque};

use samphirespread_core::prelude::*;

use crate::{amount::Amount, message::LumpId};

/// The most minima of past headroom that are kept. Older ones are merged, which can only lower
/// refunds.
const MAX_HEADROOM_MINIMA: usize = 64;

/// The most settled lumps of a bucket for which refunds are still accepted.
const MAX_SETTLED_LUMPS: usize = 256;

/// The most refunds that are accepted for one lump.
const MAX_REFUNDS_PER_LUMP: usize = 64;

/// A lump that was lent.
#[derive(Clone, Copy, Debug)]
struct LentLump {
    amount: Amount,
    until: MonoTime,
}

/// A lump that the borrower has settled or that has expired, with the tokens spent from it.
#[derive(Clone, Debug)]
struct SettledLump {
    id: LumpId,
    spent: Amount,
    settled_at: Moment,
    refunds: Vec<u32>,
}

/// A point in the history of a bucket, which bounds a refund of tokens taken at that point.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Moment(u64);

/// The level of one share and the lumps lent from it.
///
/// Their sum exceeds the share's burst only if the share or the limit was reduced while lumps were
/// lent, and then the level is zero.
#[derive(Debug)]
pub(crate) struct Bucket {
    rate_tokens_per_s: u64,
    burst_tokens: u64,
    parts: u32,
    level: Amount,
    refilled_at: MonoTime,
    lent: BTreeMap<LumpId, LentLump>,
    /// Amounts that earlier owners of added parts may still have lent.
    reserves: Vec<LentLump>,
    /// Tokens in lent lumps and reserves.
    outstanding: Amount,
    settled: VecDeque<SettledLump>,
    headroom: Headroom,
}

impl Bucket {
    /// An empty bucket without a share.
    pub(crate) fn new(now: MonoTime, rate_tokens_per_s: u64, burst_tokens: u64) -> Self {
        Self {
            rate_tokens_per_s,
            burst_tokens,
            parts: 0,
            level: Amount::ZERO,
            refilled_at: now,
            lent: BTreeMap::new(),
            reserves: Vec::new(),
            outstanding: Amount::ZERO,
            settled: VecDeque::new(),
            headroom: Headroom::default(),
        }
    }

    /// The share's part of the team's burst.
    pub(crate) fn cap(&self) -> Amount {
        Amount::of_burst(self.burst_tokens, self.parts)
    }

    pub(crate) fn level(&self) -> Amount {
        self.level
    }

    pub(crate) fn outstanding(&self) -> Amount {
        self.outstanding
    }

    pub(crate) fn lumps_out(&self) -> usize {
        self.lent.len()
    }

    /// Expires lumps whose lifetime is over, and refills the level up to `now`.
    pub(crate) fn advance(&mut self, now: MonoTime) {
        self.expire(now);
        let elapsed_us = now.us_since(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        let added = Amount::refill(self.rate_tokens_per_s, self.parts, elapsed_us);
        self.level = (self.level + added).min(self.cap().saturating_sub(self.outstanding));
        self.record_headroom();
    }

    /// Takes the amount from the level and returns true, or returns false if the level is lower.
    pub(crate) fn try_take(&mut self, amount: Amount) -> bool {
        if self.level < amount {
            return false;
        }
        self.level -= amount;
        true
    }

    /// The current point in the bucket's history.
    pub(crate) fn moment(&self) -> Moment {
        self.headroom.moment()
    }

    /// Gives back tokens that were taken at `since`, up to the least room that the bucket has had
    /// since then.
    pub(crate) fn refund(&mut self, since: Moment, amount: Amount, bounded: bool) -> Amount {
        let room = self.cap().saturating_sub(self.level + self.outstanding);
        let bound = if bounded { self.headroom.since(since).min(room) } else { room };
        let credited = amount.min(bound);
        self.level += credited;
        self.headroom.credit(credited);
        self.record_headroom();
        credited
    }

    /// Lends up to `wanted`, so that at most half of the share's burst is outstanding.
    pub(crate) fn lend(&mut self, id: LumpId, wanted: Amount, until: MonoTime) -> Amount {
        let most = self.cap().half_down().saturating_sub(self.outstanding);
        let amount = wanted.min(self.level).min(most);
        if amount == Amount::ZERO {
            return amount;
        }
        self.level -= amount;
        self.outstanding += amount;
        self.lent.insert(id, LentLump { amount, until });
        self.assert_conserved();
        amount
    }

    /// Takes back a lump. `remaining` was not spent.
    pub(crate) fn settle(&mut self, id: LumpId, remaining: Amount) {
        let Some(lump) = self.lent.remove(&id) else { return };
        let remaining = remaining.min(lump.amount);
        self.outstanding -= lump.amount;
        // The share may have shrunk while the lump was lent, so there may be no room for it.
        self.level = (self.level + remaining).min(self.cap().saturating_sub(self.outstanding));
        self.record_settled(id, lump.amount - remaining);
        self.assert_conserved();
    }

    /// Takes back tokens of a lump that were charged to a request that did not use them.
    pub(crate) fn refund_lump(&mut self, id: LumpId, number: u32, amount: Amount, bounded: bool) {
        let Some(settled) = self.settled.iter_mut().find(|lump| lump.id == id) else { return };
        if settled.refunds.contains(&number) || settled.refunds.len() >= MAX_REFUNDS_PER_LUMP {
            return;
        }
        settled.refunds.push(number);
        let amount = amount.min(settled.spent);
        settled.spent -= amount;
        let since = settled.settled_at;
        self.refund(since, amount, bounded);
    }

    /// Starts a share. Parts that no router has used start full and the others start empty. Lumps
    /// that earlier owners lent may be outstanding until `reserve_until`.
    pub(crate) fn start(
        &mut self,
        now: MonoTime,
        full_parts: u32,
        parts: u32,
        reserve_until: Option<MonoTime>,
    ) {
        self.stop(now);
        self.parts = full_parts.min(parts);
        self.level = self.cap();
        self.grow(parts, reserve_until);
    }

    /// Enlarges the share without adding to the level. Half of the added burst is reserved until
    /// `reserve_until`.
    pub(crate) fn grow(&mut self, parts: u32, reserve_until: Option<MonoTime>) {
        let added = parts.saturating_sub(self.parts);
        self.parts = parts;
        if let Some(until) = reserve_until {
            let amount = Amount::of_burst(self.burst_tokens, added).half_up();
            self.reserves.push(LentLump { amount, until });
            self.outstanding += amount;
        }
        self.assert_conserved();
    }

    /// Whether at most half of the burst would be outstanding if the share shrank to `parts`.
    pub(crate) fn may_shrink(&self, parts: u32) -> bool {
        self.outstanding <= Amount::of_burst(self.burst_tokens, parts).half_down()
    }

    /// Reduces the share, and the level if it is then too high.
    pub(crate) fn shrink(&mut self, parts: u32) {
        self.parts = self.parts.min(parts);
        self.level = self.level.min(self.cap().saturating_sub(self.outstanding));
        self.assert_conserved();
    }

    /// Ends the share. Its lent lumps are no longer counted.
    pub(crate) fn stop(&mut self, now: MonoTime) {
        // The history keeps its clock, so that refunds from before the end find no room.
        let mut headroom = std::mem::take(&mut self.headroom);
        headroom.reset();
        *self = Self { headroom, ..Self::new(now, self.rate_tokens_per_s, self.burst_tokens) };
    }

    /// Applies a change of the team's limit.
    pub(crate) fn set_limit(&mut self, rate_tokens_per_s: u64, burst_tokens: u64) {
        self.rate_tokens_per_s = rate_tokens_per_s;
        self.burst_tokens = burst_tokens;
        self.level = self.level.min(self.cap().saturating_sub(self.outstanding));
        self.headroom.reset();
    }

    fn expire(&mut self, now: MonoTime) {
        let over: Vec<LumpId> =
            self.lent.iter().filter(|(_, lump)| lump.until <= now).map(|(id, _)| *id).collect();
        for id in over {
            self.settle(id, Amount::ZERO);
        }
        let outstanding = &mut self.outstanding;
        self.reserves.retain(|reserve| {
            let kept = reserve.until > now;
            if !kept {
                *outstanding -= reserve.amount;
            }
            kept
        });
    }

    fn record_settled(&mut self, id: LumpId, spent: Amount) {
        if self.settled.len() == MAX_SETTLED_LUMPS {
            self.settled.pop_front();
        }
        // The headroom after the settlement is recorded before the moment is taken.
        self.record_headroom();
        self.settled.push_back(SettledLump {
            id,
            spent,
            settled_at: self.moment(),
            refunds: Vec::new(),
        });
    }

    fn record_headroom(&mut self) {
        let room = self.cap().saturating_sub(self.level + self.outstanding);
        self.headroom.record(room);
        self.assert_conserved();
    }

    fn assert_conserved(&self) {
        assert!(
            self.level == Amount::ZERO || self.level + self.outstanding <= self.cap(),
            "level and outstanding lumps exceed the share's burst"
        );
    }
}

/// The least room that a bucket has had since each moment for which a refund may still arrive.
///
/// A refund adds to the level what it would hold if the request had been charged
/// less in the first place. That is never more than the least room since then,
/// less what other refunds have added since.
#[derive(Debug, Default)]
struct Headroom {
    clock: u64,
    credited: Amount,
    minima: VecDeque<Minimum>,
}

/// The least sum of room and credits over the moments up to `until`.
#[derive(Clone, Copy, Debug)]
struct Minimum {
    until: u64,
    least: Amount,
}

impl Headroom {
    fn moment(&self) -> Moment {
        Moment(self.clock)
    }

    fn record(&mut self, room: Amount) {
        self.clock += 1;
        let least = room + self.credited;
        while self.minima.back().is_some_and(|minimum| minimum.least >= least) {
            self.minima.pop_back();
        }
        self.minima.push_back(Minimum { until: self.clock, least });
        if self.minima.len() > MAX_HEADROOM_MINIMA {
            self.merge_oldest();
        }
    }

    fn merge_oldest(&mut self) {
        if let Some(oldest) = self.minima.pop_front()
            && let Some(next) = self.minima.front_mut()
        {
            next.least = oldest.least;
        }
    }

    fn credit(&mut self, amount: Amount) {
        self.credited += amount;
    }

    fn since(&self, moment: Moment) -> Amount {
        self.minima
            .iter()
            .find(|minimum| minimum.until > moment.0)
            .map_or(Amount::ZERO, |minimum| minimum.least.saturating_sub(self.credited))
    }

    fn reset(&mut self) {
        self.clock += 1;
        self.minima.clear();
        self.minima.push_back(Minimum { until: self.clock, least: Amount::ZERO });
    }
}
