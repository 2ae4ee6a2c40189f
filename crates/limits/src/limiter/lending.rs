//! Lends lumps to other routers and takes their settlements and refunds.

use samphirespread_core::prelude::*;

use crate::{
    amount::Amount,
    limiter::{
        Action, Limiter,
        team::{BorrowKey, LentRecord},
    },
    message::{Holder, LumpId, PeerAnswer, Settlement},
};

/// Bounds of the time after which a borrower may ask again when there was nothing to lend.
const MIN_BORROW_RETRY_MS: u64 = 20;
const MAX_BORROW_RETRY_MS: u64 = 50;

impl Limiter {
    /// Answers a borrow request. A duplicated request gets the same lump again.
    pub(super) fn lend(
        &mut self,
        now: MonoTime,
        borrower: &Holder,
        run: Incarnation,
        name: &TeamName,
        wanted: Amount,
        serial: u64,
    ) -> PeerAnswer {
        let lifetime_ms = self.config.lump_lifetime_ms;
        let Some(index) = self.teams.get(name).map(|team| team.slot) else {
            return PeerAnswer::NotHolder { holders: Vec::new() };
        };
        if self.leaving || !self.in_contact(now, index) {
            return self.not_holder(index);
        }
        let id = LumpId { lender: self.incarnation, serial: self.next_lump };
        let shrinking = self.slots[index as usize].shrinking_to.is_some();
        let until = now.plus_ms(lifetime_ms + self.config.clock_margin_ms);
        let Some(team) = self.teams.get_mut(name) else {
            return PeerAnswer::NotHolder { holders: Vec::new() };
        };
        let key = BorrowKey { borrower: borrower.clone(), run, serial };
        if let Some(record) = team.lent_by_request.get(&key).filter(|record| record.until > now) {
            return PeerAnswer::Lent { id: record.id, amount: record.amount, lifetime_ms };
        }
        team.bucket.advance(now);
        let amount = if shrinking { Amount::ZERO } else { team.bucket.lend(id, wanted, until) };
        if amount == Amount::ZERO {
            let retry_after_ms = wanted
                .refill_ms(team.rate_tokens_per_s)
                .clamp(MIN_BORROW_RETRY_MS, MAX_BORROW_RETRY_MS);
            return PeerAnswer::NothingToLend { retry_after_ms };
        }
        self.next_lump += 1;
        team.lent_by_request.insert(key, LentRecord { id, amount, until });
        PeerAnswer::Lent { id, amount, lifetime_ms }
    }

    fn not_holder(&self, index: u32) -> PeerAnswer {
        let slot = &self.slots[index as usize];
        let known = slot.table.iter().flat_map(|read| read.table.holders());
        PeerAnswer::NotHolder { holders: known.filter(|holder| *holder != self.me).collect() }
    }

    /// Takes back lumps that this run lent, with the tokens that were not spent.
    pub(super) fn settle(
        &mut self,
        now: MonoTime,
        name: &TeamName,
        lumps: &[Settlement],
        actions: &mut Vec<Action>,
    ) {
        let Some(team) = self.teams.get_mut(name) else { return };
        for lump in lumps.iter().filter(|lump| lump.id.lender == self.incarnation) {
            team.bucket.settle(lump.id, lump.remaining);
        }
        if team.is_waiting() {
            self.serve(now, name, actions);
        }
    }

    /// Takes back tokens of a settled lump that a request did not use.
    pub(super) fn refund_lump(
        &mut self,
        now: MonoTime,
        name: &TeamName,
        id: LumpId,
        number: u32,
        amount: Amount,
        actions: &mut Vec<Action>,
    ) {
        let bounded = self.config.mechanisms.refund_bound;
        let Some(index) = self.teams.get(name).map(|team| team.slot) else { return };
        if id.lender != self.incarnation || !self.in_contact(now, index) {
            return;
        }
        let Some(team) = self.teams.get_mut(name) else { return };
        team.bucket.advance(now);
        team.bucket.refund_lump(id, number, amount, bounded);
        if team.is_waiting() {
            self.serve(now, name, actions);
        }
    }
}
