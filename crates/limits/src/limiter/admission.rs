//! Admits requests and refunds the tokens that they did not use.

use samphirespread_core::prelude::*;

use crate::{
    amount::{Amount, PARTS},
    bucket::Moment,
    limiter::{Action, Limiter, RefuseReason, team::Waiter},
    lump::LumpCharge,
    message::PeerRequest,
};

/// Bounds of the retry time in a refusal.
const MIN_RETRY_AFTER_MS: u64 = 10;
const MAX_RETRY_AFTER_MS: u64 = 60_000;

/// The tokens that a running request was charged, by source.
#[derive(Debug)]
pub(crate) struct Charge {
    team: TeamName,
    from_share: Amount,
    since: Moment,
    from_lumps: Vec<LumpCharge>,
}

impl Limiter {
    pub(super) fn admit(
        &mut self,
        now: MonoTime,
        ticket: u64,
        name: &TeamName,
        tokens: u64,
        actions: &mut Vec<Action>,
    ) {
        let refuse = |reason| Action::Refuse { ticket, reason };
        let Some(team) = self.teams.get(name) else {
            actions.push(refuse(RefuseReason::UnknownTeam));
            return;
        };
        if tokens > team.burst_tokens {
            let burst_tokens = team.burst_tokens;
            actions.push(refuse(RefuseReason::ExceedsBurst { burst_tokens }));
            return;
        }
        let reach_tokens = self.max_obtainable(name).whole_tokens();
        if tokens > reach_tokens && !self.awaits_share(name) {
            actions.push(refuse(RefuseReason::ExceedsReach { reach_tokens }));
            return;
        }
        self.queue(now, ticket, name, Amount::from_tokens(tokens));
        self.serve(now, name, actions);
    }

    fn queue(&mut self, now: MonoTime, ticket: u64, name: &TeamName, cost: Amount) {
        let span_ms = self.config.lump_lifetime_ms;
        let deadline = now.plus_ms(self.config.lump_wait_ms);
        let Some(team) = self.teams.get_mut(name) else { return };
        team.demand.add(now, span_ms, cost);
        team.waiting.push_back(Waiter { ticket, cost, deadline });
    }

    /// Whether this router is expected to receive a share of the team but has none yet.
    fn awaits_share(&self, name: &TeamName) -> bool {
        let Some(team) = self.teams.get(name) else { return false };
        let slot = &self.slots[team.slot as usize];
        slot.own.is_none() && slot.is_followed_by(&self.me)
    }

    /// The largest part of a team's burst that this router can gather: its own share, and the
    /// half of the other shares that may be lent.
    fn max_obtainable(&self, name: &TeamName) -> Amount {
        let Some(team) = self.teams.get(name) else { return Amount::ZERO };
        let own_parts = self.slots[team.slot as usize].own.as_ref().map_or(0, |own| own.parts);
        let own = Amount::of_burst(team.burst_tokens, own_parts);
        own + Amount::of_burst(team.burst_tokens, PARTS.saturating_sub(own_parts)).half_down()
    }

    /// Grants waiting requests in order while there are tokens, and borrows lumps for the rest.
    /// Refuses the rest if no lender is left to ask.
    pub(super) fn serve(&mut self, now: MonoTime, name: &TeamName, actions: &mut Vec<Action>) {
        self.grant_waiting(now, name, actions);
        let Some(shortfall) = self.shortfall(now, name) else {
            self.borrow_ahead(now, name, actions);
            return;
        };
        self.borrow_from_all(now, name, shortfall, actions);
        if !self.is_borrowing(now, name) {
            self.refuse_waiting(now, name, MonoTime::from_us(u64::MAX), actions);
        }
    }

    fn grant_waiting(&mut self, now: MonoTime, name: &TeamName, actions: &mut Vec<Action>) {
        let Some(team) = self.teams.get(name) else { return };
        let in_contact = self.in_contact(now, team.slot);
        let Some(team) = self.teams.get_mut(name) else { return };
        if in_contact {
            team.bucket.advance(now);
        }
        while let Some(waiter) = team.waiting.front().copied() {
            let level = if in_contact { team.bucket.level() } else { Amount::ZERO };
            if level + team.borrowed.available(now) < waiter.cost {
                break;
            }
            team.waiting.pop_front();
            let from_share = level.min(waiter.cost);
            assert!(team.bucket.try_take(from_share), "the amount is at most the level");
            let from_lumps = team.borrowed.take(now, waiter.cost - from_share);
            let since = team.bucket.moment();
            let charge = Charge { team: name.clone(), from_share, since, from_lumps };
            self.charges.insert(waiter.ticket, charge);
            actions.push(Action::Grant { ticket: waiter.ticket });
        }
    }

    /// The tokens that the waiting requests lack, or `None` if no request waits.
    fn shortfall(&self, now: MonoTime, name: &TeamName) -> Option<Amount> {
        let team = self.teams.get(name)?;
        if team.waiting.is_empty() {
            return None;
        }
        let wanted = team.waiting.iter().fold(Amount::ZERO, |sum, waiter| sum + waiter.cost);
        Some(wanted.saturating_sub(self.available(now, name)))
    }

    /// The tokens that this router can spend now, from its share and from borrowed lumps.
    pub(super) fn available(&self, now: MonoTime, name: &TeamName) -> Amount {
        let Some(team) = self.teams.get(name) else { return Amount::ZERO };
        let in_contact = self.in_contact(now, team.slot);
        let level = if in_contact { team.bucket.level() } else { Amount::ZERO };
        level + team.borrowed.available(now)
    }

    /// For every team, grants the waiting requests that now have enough tokens, and refuses those
    /// whose deadline has passed.
    pub(super) fn expire_waiters(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
        let due: Vec<TeamName> = self
            .teams
            .iter()
            .filter(|(_, team)| team.is_waiting())
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            self.grant_waiting(now, &name, actions);
            self.refuse_waiting(now, &name, now, actions);
        }
    }

    /// Refuses the requests at the head of the queue whose deadline is at or before `until`.
    fn refuse_waiting(
        &mut self,
        now: MonoTime,
        name: &TeamName,
        until: MonoTime,
        actions: &mut Vec<Action>,
    ) {
        let available = self.available(now, name);
        let Some(team) = self.teams.get_mut(name) else { return };
        while let Some(waiter) = team.waiting.front().copied().filter(|w| w.deadline <= until) {
            team.waiting.pop_front();
            let missing = waiter.cost.saturating_sub(available);
            let retry_after_ms = missing
                .refill_ms(team.rate_tokens_per_s)
                .clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
            let reason = RefuseReason::OverLimit { retry_after_ms };
            actions.push(Action::Refuse { ticket: waiter.ticket, reason });
        }
    }

    /// Refunds the tokens that a request did not use, first to its lumps, then to the own share.
    pub(super) fn refund(
        &mut self,
        now: MonoTime,
        ticket: u64,
        unused_tokens: u64,
        actions: &mut Vec<Action>,
    ) {
        let Some(charge) = self.charges.remove(&ticket) else { return };
        let mut unused = Amount::from_tokens(unused_tokens);
        let bounded = self.config.mechanisms.refund_bound;
        for lump_charge in &charge.from_lumps {
            let back = lump_charge.amount.min(unused);
            unused = unused.saturating_sub(back);
            self.refund_lump_charge(now, &charge.team, lump_charge, back, actions);
        }
        let in_contact =
            self.teams.get(&charge.team).is_some_and(|team| self.in_contact(now, team.slot));
        let Some(team) = self.teams.get_mut(&charge.team).filter(|_| in_contact) else { return };
        team.bucket.advance(now);
        team.bucket.refund(charge.since, unused.min(charge.from_share), bounded);
        if team.is_waiting() {
            self.serve(now, &charge.team, actions);
        }
    }

    /// Returns tokens to a borrowed lump, or to its lender if the lump is no longer held here.
    fn refund_lump_charge(
        &mut self,
        now: MonoTime,
        name: &TeamName,
        lump_charge: &LumpCharge,
        back: Amount,
        actions: &mut Vec<Action>,
    ) {
        if back == Amount::ZERO {
            return;
        }
        let Some(team) = self.teams.get_mut(name) else { return };
        if team.borrowed.put_back(now, lump_charge.id, back) {
            return;
        }
        let number = team.next_refund();
        let (id, team_name) = (lump_charge.id, name.clone());
        let body = |_| PeerRequest::Refund { team: team_name, id, number, amount: back };
        self.send(now, &lump_charge.lender, super::ExchangeKind::Notify, body, actions);
    }
}
