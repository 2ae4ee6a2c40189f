//! Borrows lumps from holders, and returns those that are not needed.

use std::collections::BTreeMap;

use samphirespread_core::prelude::*;

use crate::{
    amount::Amount,
    limiter::{Action, ExchangeKind, Limiter},
    lump::BorrowedLump,
    message::{Holder, PeerAnswer, PeerRequest, Settlement},
};

/// Time before a lender that did not answer, or holds no share, is asked again.
const NO_LOAN_BACKOFF_MS: u64 = 500;

/// Time before a lender that lent less than was requested is asked again.
const PARTIAL_LOAN_BACKOFF_MS: u64 = 20;

impl Limiter {
    /// The other routers that may hold shares of a slot. Taken from the table if this router
    /// follows the slot, else from the reports of other routers, else from the routers that should
    /// hold shares.
    fn lenders(&self, index: u32) -> Vec<Holder> {
        let slot = &self.slots[index as usize];
        let table = slot.table.as_ref().filter(|_| slot.is_followed_by(&self.me));
        let lenders: Vec<Holder> = match table {
            Some(read) => read.table.holders().into_iter().collect(),
            None if !slot.reported_holders.is_empty() => slot.reported_holders.clone(),
            None => slot.targets.clone(),
        };
        lenders.into_iter().filter(|lender| *lender != self.me).collect()
    }

    /// Asks every lender for the whole shortfall. What is lent beyond it is returned at once.
    pub(super) fn borrow_from_all(
        &mut self,
        now: MonoTime,
        name: &TeamName,
        shortfall: Amount,
        actions: &mut Vec<Action>,
    ) {
        let Some(team) = self.teams.get(name) else { return };
        for lender in self.lenders(team.slot) {
            self.borrow_from(now, name, &lender, shortfall, actions);
        }
    }

    /// Asks one lender before the borrowed lumps run out, so that few requests have to wait.
    pub(super) fn borrow_ahead(
        &mut self,
        now: MonoTime,
        name: &TeamName,
        actions: &mut Vec<Action>,
    ) {
        let span_ms = self.config.lump_lifetime_ms;
        let available = self.available(now, name);
        let Some(team) = self.teams.get_mut(name) else { return };
        if self.slots[team.slot as usize].own.is_some() {
            return;
        }
        let forecast = team.demand.forecast(now, span_ms);
        if available >= forecast.half_down().half_down() {
            return;
        }
        if team.is_borrowing(now, self.config.lump_wait_ms) {
            return;
        }
        let slot = team.slot;
        let lenders = self.lenders(slot);
        if lenders.is_empty() {
            return;
        }
        let first = usize::try_from(self.next_exchange).unwrap_or(0) % lenders.len();
        self.borrow_from(now, name, &lenders[first], forecast.saturating_sub(available), actions);
    }

    fn borrow_from(
        &mut self,
        now: MonoTime,
        name: &TeamName,
        lender: &Holder,
        amount: Amount,
        actions: &mut Vec<Action>,
    ) {
        let wait_ms = self.config.lump_wait_ms;
        let Some(team) = self.teams.get_mut(name) else { return };
        if amount == Amount::ZERO || !team.may_borrow_from(now, lender, wait_ms) {
            return;
        }
        team.asked_at.insert(lender.clone(), now);
        self.settle_spent(now, name, actions);
        let kind = ExchangeKind::Borrow { team: name.clone(), amount };
        let team = name.clone();
        let body = |serial| PeerRequest::Borrow { team, amount, serial };
        self.send(now, lender, kind, body, actions);
    }

    pub(super) fn is_borrowing(&self, now: MonoTime, name: &TeamName) -> bool {
        self.teams.get(name).is_some_and(|team| team.is_borrowing(now, self.config.lump_wait_ms))
    }

    /// Records when a lender may be asked again.
    pub(super) fn record_lender_answer(
        &mut self,
        now: MonoTime,
        lender: &Holder,
        name: &TeamName,
        wanted: Amount,
        answer: &PeerAnswer,
    ) {
        let Some(team) = self.teams.get_mut(name) else { return };
        team.asked_at.remove(lender);
        let backoff_ms = match answer {
            PeerAnswer::Lent { amount, .. } if *amount >= wanted => return,
            PeerAnswer::Lent { .. } => PARTIAL_LOAN_BACKOFF_MS,
            PeerAnswer::NothingToLend { retry_after_ms } => *retry_after_ms,
            _ => NO_LOAN_BACKOFF_MS,
        };
        team.retry_at.insert(lender.clone(), now.plus_ms(backoff_ms));
    }

    /// Processes a lender's answer to a borrow request.
    pub(super) fn handle_borrow_answer(
        &mut self,
        now: MonoTime,
        lender: &Holder,
        sent: MonoTime,
        name: &TeamName,
        answer: PeerAnswer,
        actions: &mut Vec<Action>,
    ) {
        let from_request = self.config.mechanisms.expiry_from_request;
        let Some(team) = self.teams.get_mut(name) else { return };
        match answer {
            PeerAnswer::Lent { id, amount, lifetime_ms } => {
                let since = if from_request { sent } else { now };
                let until = since.plus_ms(lifetime_ms);
                if until > now {
                    let lender = lender.clone();
                    team.borrowed.add(BorrowedLump { id, lender, remaining: amount, until });
                }
            }
            PeerAnswer::NotHolder { holders } => {
                let slot = team.slot as usize;
                self.slots[slot].reported_holders = holders;
            }
            _ => {}
        }
        self.serve(now, name, actions);
        self.return_excess(now, name, actions);
    }

    pub(super) fn record_lender_timeout(
        &mut self,
        now: MonoTime,
        name: &TeamName,
        lender: &Holder,
    ) {
        let Some(team) = self.teams.get_mut(name) else { return };
        team.asked_at.remove(lender);
        team.retry_at.insert(lender.clone(), now.plus_ms(NO_LOAN_BACKOFF_MS));
        let slot = team.slot as usize;
        self.slots[slot].reported_holders.retain(|holder| holder != lender);
    }

    /// Returns lumps beyond the tokens that are expected to be used within one lump lifetime.
    fn return_excess(&mut self, now: MonoTime, name: &TeamName, actions: &mut Vec<Action>) {
        let span_ms = self.config.lump_lifetime_ms;
        let Some(team) = self.teams.get_mut(name) else { return };
        if team.is_waiting() {
            return;
        }
        // A holder needs lumps only occasionally; any other router needs them all the time.
        let holds = self.slots[team.slot as usize].own.is_some();
        let keep = if holds { Amount::ZERO } else { team.demand.forecast(now, span_ms) };
        // The lender can use tokens that would expire here unspent.
        let soon = now.plus_ms(span_ms / 4);
        let settled = team.borrowed.sweep(now, soon, keep);
        self.send_settlements(now, name, settled, actions);
    }

    /// Reports lumps that are fully spent to their lenders.
    fn settle_spent(&mut self, now: MonoTime, name: &TeamName, actions: &mut Vec<Action>) {
        let Some(team) = self.teams.get_mut(name) else { return };
        let keep = team.borrowed.available(now) + Amount::from_tokens(1);
        let settled = team.borrowed.sweep(now, now, keep);
        self.send_settlements(now, name, settled, actions);
    }

    /// Settles spent and excess lumps of all teams, and removes expired records.
    pub(super) fn sweep_borrowed(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
        let names: Vec<TeamName> = self.teams.keys().cloned().collect();
        for name in names {
            if let Some(team) = self.teams.get_mut(&name) {
                team.prune(now);
            }
            self.return_excess(now, &name, actions);
        }
    }

    fn send_settlements(
        &mut self,
        now: MonoTime,
        name: &TeamName,
        settled: Vec<(Holder, Settlement)>,
        actions: &mut Vec<Action>,
    ) {
        let mut by_lender: BTreeMap<Holder, Vec<Settlement>> = BTreeMap::new();
        for (lender, settlement) in settled {
            by_lender.entry(lender).or_default().push(settlement);
        }
        for (lender, lumps) in by_lender {
            let team = name.clone();
            let body = |_| PeerRequest::Settle { team, lumps };
            self.send(now, &lender, ExchangeKind::Notify, body, actions);
        }
    }
}
