//! The bucket of one share of one team.

use std::collections::{BTreeMap, VecDeque};

use samphirespread_core::prelude::*;

use crate::{amount::Amount, message::LumpId};

/// Marks kept of past headroom. Older ones are merged, which only lowers refunds.
const MAX_HEADROOM_MARKS: usize = 64;

/// Ended lumps whose refunds are still taken.
const MAX_ENDED_LUMPS: usize = 256;

/// Refunds of one lump that are taken.
const MAX_REFUNDS_PER_LUMP: usize = 64;

/// A lump that was lent.
#[derive(Clone, Copy, Debug)]
struct LentLump {
    amount: Amount,
    until: MonoTime,
}

/// A lump whose use is settled.
#[derive(Clone, Debug)]
struct EndedLump {
    id: LumpId,
    spent: Amount,
    ended: Moment,
    refunds: Vec<u32>,
}

/// A point in the history of a bucket, for bounding a later refund.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Moment(u64);

/// Level and lumps out of one share. Their sum never exceeds the share of the burst.
#[derive(Debug)]
pub(crate) struct Bucket {
    rate_tokens_per_s: u64,
    burst_tokens: u64,
    parts: u32,
    level: Amount,
    filled_at: MonoTime,
    lent: BTreeMap<LumpId, LentLump>,
    reserves: Vec<LentLump>,
    out: Amount,
    ended: VecDeque<EndedLump>,
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
            filled_at: now,
            lent: BTreeMap::new(),
            reserves: Vec::new(),
            out: Amount::ZERO,
            ended: VecDeque::new(),
            headroom: Headroom::default(),
        }
    }

    /// The share of the burst.
    pub(crate) fn cap(&self) -> Amount {
        Amount::of_burst(self.burst_tokens, self.parts)
    }

    pub(crate) fn level(&self) -> Amount {
        self.level
    }

    pub(crate) fn out(&self) -> Amount {
        self.out
    }

    pub(crate) fn lumps_out(&self) -> usize {
        self.lent.len()
    }

    /// Ends lumps whose lifetime is over and fills the level up to `now`.
    pub(crate) fn advance(&mut self, now: MonoTime) {
        self.expire(now);
        let elapsed_us = now.us_since(self.filled_at);
        self.filled_at = self.filled_at.max(now);
        let added = Amount::filled(self.rate_tokens_per_s, self.parts, elapsed_us);
        self.level = (self.level + added).min(self.cap().saturating_sub(self.out));
        self.note();
    }

    /// Takes the amount from the level if it is there.
    pub(crate) fn take(&mut self, amount: Amount) -> bool {
        if self.level < amount {
            return false;
        }
        self.level -= amount;
        true
    }

    /// The present point in the bucket's history.
    pub(crate) fn moment(&self) -> Moment {
        self.headroom.moment()
    }

    /// Gives back tokens that were taken at `since`, as far as the bucket has had room ever since.
    pub(crate) fn refund(&mut self, since: Moment, amount: Amount, bounded: bool) -> Amount {
        let room = self.cap().saturating_sub(self.level + self.out);
        let bound = if bounded { self.headroom.since(since).min(room) } else { room };
        let credited = amount.min(bound);
        self.level += credited;
        self.headroom.credit(credited);
        self.note();
        credited
    }

    /// Lends up to `wanted`, so that at most half of the share's burst is out.
    pub(crate) fn lend(&mut self, id: LumpId, wanted: Amount, until: MonoTime) -> Amount {
        let most = self.cap().half_down().saturating_sub(self.out);
        let amount = wanted.min(self.level).min(most);
        if amount == Amount::ZERO {
            return amount;
        }
        self.level -= amount;
        self.out += amount;
        self.lent.insert(id, LentLump { amount, until });
        self.assert_conserved();
        amount
    }

    /// Takes back a lump. `remaining` was not spent.
    pub(crate) fn settle(&mut self, id: LumpId, remaining: Amount) {
        let Some(lump) = self.lent.remove(&id) else { return };
        let remaining = remaining.min(lump.amount);
        self.out -= lump.amount;
        // The share may have shrunk with the lump out, so there may be no room for it.
        self.level = (self.level + remaining).min(self.cap().saturating_sub(self.out));
        self.remember_ended(id, lump.amount - remaining);
        self.assert_conserved();
    }

    /// Takes back tokens of a lump that were spent on a request that did not use them.
    pub(crate) fn refund_lump(&mut self, id: LumpId, number: u32, amount: Amount, bounded: bool) {
        let Some(ended) = self.ended.iter_mut().find(|ended| ended.id == id) else { return };
        if ended.refunds.contains(&number) || ended.refunds.len() >= MAX_REFUNDS_PER_LUMP {
            return;
        }
        ended.refunds.push(number);
        let amount = amount.min(ended.spent);
        ended.spent -= amount;
        let since = ended.ended;
        self.refund(since, amount, bounded);
    }

    /// Starts a share. Parts that nobody has used start full, the others empty, and lumps of
    /// their earlier owners may be out until `reserve_until`.
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
        self.raise(parts, reserve_until);
    }

    /// Enlarges the share without adding to the level.
    pub(crate) fn raise(&mut self, parts: u32, reserve_until: Option<MonoTime>) {
        let added = parts.saturating_sub(self.parts);
        self.parts = parts;
        if let Some(until) = reserve_until {
            let amount = Amount::of_burst(self.burst_tokens, added).half_up();
            self.reserves.push(LentLump { amount, until });
            self.out += amount;
        }
        self.assert_conserved();
    }

    /// Whether the share may shrink to `parts` with at most half of its burst out.
    pub(crate) fn may_shrink(&self, parts: u32) -> bool {
        self.out <= Amount::of_burst(self.burst_tokens, parts).half_down()
    }

    /// Makes the share smaller, and the level with it.
    pub(crate) fn shrink(&mut self, parts: u32) {
        self.parts = self.parts.min(parts);
        self.level = self.level.min(self.cap().saturating_sub(self.out));
        self.assert_conserved();
    }

    /// Ends the share. Its lumps are no longer counted here.
    pub(crate) fn stop(&mut self, now: MonoTime) {
        // The history keeps its clock, so that refunds of the ended share find no room.
        let mut headroom = std::mem::take(&mut self.headroom);
        headroom.reset();
        *self = Self { headroom, ..Self::new(now, self.rate_tokens_per_s, self.burst_tokens) };
    }

    /// Follows a change of the team's limit.
    pub(crate) fn set_limit(&mut self, rate_tokens_per_s: u64, burst_tokens: u64) {
        self.rate_tokens_per_s = rate_tokens_per_s;
        self.burst_tokens = burst_tokens;
        self.level = self.level.min(self.cap().saturating_sub(self.out));
        self.headroom.reset();
    }

    fn expire(&mut self, now: MonoTime) {
        let over: Vec<LumpId> =
            self.lent.iter().filter(|(_, lump)| lump.until <= now).map(|(id, _)| *id).collect();
        for id in over {
            self.settle(id, Amount::ZERO);
        }
        let out = &mut self.out;
        self.reserves.retain(|reserve| {
            let kept = reserve.until > now;
            if !kept {
                *out -= reserve.amount;
            }
            kept
        });
    }

    fn remember_ended(&mut self, id: LumpId, spent: Amount) {
        if self.ended.len() == MAX_ENDED_LUMPS {
            self.ended.pop_front();
        }
        // The moment is taken after the headroom that the settled lump leaves is known.
        self.note();
        self.ended.push_back(EndedLump { id, spent, ended: self.moment(), refunds: Vec::new() });
    }

    fn note(&mut self) {
        let room = self.cap().saturating_sub(self.level + self.out);
        self.headroom.note(room);
        self.assert_conserved();
    }

    fn assert_conserved(&self) {
        assert!(
            self.level == Amount::ZERO || self.level + self.out <= self.cap(),
            "level and lumps out exceed the share of the burst"
        );
    }
}

/// The least room that a bucket has had since each moment that may still matter.
///
/// A refund adds to the level what would be there had the request been charged
/// less in the first place. That is never more than the least room since then,
/// less what other refunds have added meanwhile.
#[derive(Debug, Default)]
struct Headroom {
    clock: u64,
    credited: Amount,
    marks: VecDeque<Mark>,
}

/// The least of room plus credits over the moments up to `until`.
#[derive(Clone, Copy, Debug)]
struct Mark {
    until: u64,
    least: Amount,
}

impl Headroom {
    fn moment(&self) -> Moment {
        Moment(self.clock)
    }

    fn note(&mut self, room: Amount) {
        self.clock += 1;
        let least = room + self.credited;
        while self.marks.back().is_some_and(|mark| mark.least >= least) {
            self.marks.pop_back();
        }
        self.marks.push_back(Mark { until: self.clock, least });
        if self.marks.len() > MAX_HEADROOM_MARKS {
            self.merge_oldest();
        }
    }

    fn merge_oldest(&mut self) {
        if let Some(oldest) = self.marks.pop_front()
            && let Some(next) = self.marks.front_mut()
        {
            next.least = oldest.least;
        }
    }

    fn credit(&mut self, amount: Amount) {
        self.credited += amount;
    }

    fn since(&self, moment: Moment) -> Amount {
        self.marks
            .iter()
            .find(|mark| mark.until > moment.0)
            .map_or(Amount::ZERO, |mark| mark.least.saturating_sub(self.credited))
    }

    fn reset(&mut self) {
        self.clock += 1;
        self.marks.clear();
        self.marks.push_back(Mark { until: self.clock, least: Amount::ZERO });
    }
}
