//! Borrowing lumps from holders.

use std::collections::BTreeMap;

use samphirespread_core::prelude::*;

use crate::{
    amount::Amount,
    limiter::{Action, ExchangeKind, Limiter},
    lump::BorrowedLump,
    message::{Holder, PeerAnswer, PeerRequest, Settlement},
};

/// Time before a lender that did not answer, or holds nothing, is asked again.
const LENDER_BACKOFF_MS: u64 = 500;

/// Time before a lender that gave less than was wanted is asked again.
const DRAINED_BACKOFF_MS: u64 = 20;

impl Limiter {
    /// Who may hold shares of a slot, without this router.
    fn lenders(&self, index: u32) -> Vec<Holder> {
        let slot = &self.slots[index as usize];
        let table = slot.table.as_ref().filter(|_| slot.concerns(&self.me));
        let lenders: Vec<Holder> = match table {
            Some(read) => read.table.holders().into_iter().collect(),
            None if !slot.hint.is_empty() => slot.hint.clone(),
            None => slot.targets.clone(),
        };
        lenders.into_iter().filter(|lender| *lender != self.me).collect()
    }

    /// Asks every lender for what is missing. What comes beyond it is given back at once.
    pub(super) fn ask_all(
        &mut self,
        now: MonoTime,
        name: &TeamName,
        shortfall: Amount,
        out: &mut Vec<Action>,
    ) {
        let Some(team) = self.teams.get(name) else { return };
        for lender in self.lenders(team.slot) {
            self.ask(now, name, &lender, shortfall, out);
        }
    }

    /// Asks one lender before the lumps run out, so that few requests have to wait.
    pub(super) fn ask_ahead(&mut self, now: MonoTime, name: &TeamName, out: &mut Vec<Action>) {
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
        if team.is_asking(now, self.config.lump_wait_ms) {
            return;
        }
        let slot = team.slot;
        let lenders = self.lenders(slot);
        if lenders.is_empty() {
            return;
        }
        let first = usize::try_from(self.next_exchange).unwrap_or(0) % lenders.len();
        self.ask(now, name, &lenders[first], forecast.saturating_sub(available), out);
    }

    fn ask(
        &mut self,
        now: MonoTime,
        name: &TeamName,
        lender: &Holder,
        amount: Amount,
        out: &mut Vec<Action>,
    ) {
        let wait_ms = self.config.lump_wait_ms;
        let Some(team) = self.teams.get_mut(name) else { return };
        if amount == Amount::ZERO || !team.may_ask(now, lender, wait_ms) {
            return;
        }
        team.asking.insert(lender.clone(), now);
        self.settle_spent(now, name, out);
        let kind = ExchangeKind::Borrow { team: name.clone(), amount };
        let team = name.clone();
        let body = |serial| PeerRequest::Borrow { team, amount, serial };
        self.send(now, lender, kind, body, out);
    }

    pub(super) fn is_asking(&self, now: MonoTime, name: &TeamName) -> bool {
        self.teams.get(name).is_some_and(|team| team.is_asking(now, self.config.lump_wait_ms))
    }

    /// Notes when a lender is worth asking again.
    pub(super) fn note_lender(
        &mut self,
        now: MonoTime,
        lender: &Holder,
        name: &TeamName,
        wanted: Amount,
        answer: &PeerAnswer,
    ) {
        let Some(team) = self.teams.get_mut(name) else { return };
        team.asking.remove(lender);
        let backoff_ms = match answer {
            PeerAnswer::Lent { amount, .. } if *amount >= wanted => return,
            PeerAnswer::Lent { .. } => DRAINED_BACKOFF_MS,
            PeerAnswer::Dry { retry_after_ms } => *retry_after_ms,
            _ => LENDER_BACKOFF_MS,
        };
        team.dry_until.insert(lender.clone(), now.plus_ms(backoff_ms));
    }

    /// Takes a lender's answer.
    pub(super) fn borrowed(
        &mut self,
        now: MonoTime,
        lender: &Holder,
        sent: MonoTime,
        name: &TeamName,
        answer: PeerAnswer,
        out: &mut Vec<Action>,
    ) {
        let from_request = self.config.mechanisms.expiry_from_request;
        let Some(team) = self.teams.get_mut(name) else { return };
        match answer {
            PeerAnswer::Lent { id, amount, lifetime_ms } => {
                let since = if from_request { sent } else { now };
                let until = since.plus_ms(lifetime_ms);
                if until > now {
                    let lender = lender.clone();
                    team.purse.add(BorrowedLump { id, lender, remaining: amount, until });
                }
            }
            PeerAnswer::NotHolder { holders } => {
                let slot = team.slot as usize;
                self.slots[slot].hint = holders;
            }
            _ => {}
        }
        self.serve(now, name, out);
        self.return_excess(now, name, out);
    }

    pub(super) fn lender_silent(&mut self, now: MonoTime, name: &TeamName, lender: &Holder) {
        let Some(team) = self.teams.get_mut(name) else { return };
        team.asking.remove(lender);
        team.dry_until.insert(lender.clone(), now.plus_ms(LENDER_BACKOFF_MS));
        let slot = team.slot as usize;
        self.slots[slot].hint.retain(|holder| holder != lender);
    }

    /// Gives back lumps beyond what may be used within a lifetime.
    fn return_excess(&mut self, now: MonoTime, name: &TeamName, out: &mut Vec<Action>) {
        let span_ms = self.config.lump_lifetime_ms;
        let Some(team) = self.teams.get_mut(name) else { return };
        if team.is_waiting() {
            return;
        }
        // A holder needs lumps now and then, any other router all the time.
        let holds = self.slots[team.slot as usize].own.is_some();
        let keep = if holds { Amount::ZERO } else { team.demand.forecast(now, span_ms) };
        // What would lapse unspent is of use to the lender.
        let soon = now.plus_ms(span_ms / 4);
        let settled = team.purse.sweep(now, soon, keep);
        self.tell_settled(now, name, settled, out);
    }

    fn settle_spent(&mut self, now: MonoTime, name: &TeamName, out: &mut Vec<Action>) {
        let Some(team) = self.teams.get_mut(name) else { return };
        let keep = team.purse.available(now) + Amount::from_tokens(1);
        let settled = team.purse.sweep(now, now, keep);
        self.tell_settled(now, name, settled, out);
    }

    /// Settles spent lumps of all teams and forgets what is over.
    pub(super) fn sweep_purses(&mut self, now: MonoTime, out: &mut Vec<Action>) {
        let names: Vec<TeamName> = self.teams.keys().cloned().collect();
        for name in names {
            if let Some(team) = self.teams.get_mut(&name) {
                team.prune(now);
            }
            self.return_excess(now, &name, out);
        }
    }

    fn tell_settled(
        &mut self,
        now: MonoTime,
        name: &TeamName,
        settled: Vec<(Holder, Settlement)>,
        out: &mut Vec<Action>,
    ) {
        let mut by_lender: BTreeMap<Holder, Vec<Settlement>> = BTreeMap::new();
        for (lender, settlement) in settled {
            by_lender.entry(lender).or_default().push(settlement);
        }
        for (lender, lumps) in by_lender {
            let team = name.clone();
            let body = |_| PeerRequest::Settle { team, lumps };
            self.send(now, &lender, ExchangeKind::Tell, body, out);
        }
    }
}
