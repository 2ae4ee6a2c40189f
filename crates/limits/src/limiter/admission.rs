//! Admission of requests and what they give back.

use samphirespread_core::prelude::*;

use crate::{
    amount::{Amount, PARTS},
    bucket::Moment,
    limiter::{Action, Limiter, RefuseReason, team::Waiter},
    lump::Drawn,
    message::PeerRequest,
};

/// Retry times stay within these bounds.
const MIN_RETRY_MS: u64 = 10;
const MAX_RETRY_MS: u64 = 60_000;

/// What a running request was charged.
#[derive(Debug)]
pub(crate) struct Ticket {
    team: TeamName,
    from_share: Amount,
    since: Moment,
    drawn: Vec<Drawn>,
}

impl Limiter {
    pub(super) fn admit(
        &mut self,
        now: MonoTime,
        ticket: u64,
        name: &TeamName,
        tokens: u64,
        out: &mut Vec<Action>,
    ) {
        let refuse = |reason| Action::Refuse { ticket, reason };
        let Some(team) = self.teams.get(name) else {
            out.push(refuse(RefuseReason::UnknownTeam));
            return;
        };
        if tokens > team.burst_tokens {
            let burst_tokens = team.burst_tokens;
            out.push(refuse(RefuseReason::ExceedsBurst { burst_tokens }));
            return;
        }
        let reach_tokens = self.reach(name).whole_tokens();
        if tokens > reach_tokens && !self.awaits_share(name) {
            out.push(refuse(RefuseReason::ExceedsReach { reach_tokens }));
            return;
        }
        self.queue(now, ticket, name, Amount::from_tokens(tokens));
        self.serve(now, name, out);
    }

    fn queue(&mut self, now: MonoTime, ticket: u64, name: &TeamName, cost: Amount) {
        let span_ms = self.config.lump_lifetime_ms;
        let deadline = now.plus_ms(self.config.lump_wait_ms);
        let Some(team) = self.teams.get_mut(name) else { return };
        team.demand.add(now, span_ms, cost);
        team.waiting.push_back(Waiter { ticket, cost, deadline });
    }

    /// Whether this router is about to get a share that it does not hold yet.
    fn awaits_share(&self, name: &TeamName) -> bool {
        let Some(team) = self.teams.get(name) else { return false };
        let slot = &self.slots[team.slot as usize];
        slot.own.is_none() && slot.concerns(&self.me)
    }

    /// The most that this router can ever gather of a team's burst.
    fn reach(&self, name: &TeamName) -> Amount {
        let Some(team) = self.teams.get(name) else { return Amount::ZERO };
        let own_parts = self.slots[team.slot as usize].own.as_ref().map_or(0, |own| own.parts);
        let own = Amount::of_burst(team.burst_tokens, own_parts);
        own + Amount::of_burst(team.burst_tokens, PARTS.saturating_sub(own_parts)).half_down()
    }

    /// Grants waiting requests in order as far as there are tokens, asks for lumps for the
    /// others, and refuses them where there is nobody left to ask.
    pub(super) fn serve(&mut self, now: MonoTime, name: &TeamName, out: &mut Vec<Action>) {
        self.grant_waiting(now, name, out);
        let Some(shortfall) = self.shortfall(now, name) else {
            self.ask_ahead(now, name, out);
            return;
        };
        self.ask_all(now, name, shortfall, out);
        if !self.is_asking(now, name) {
            self.refuse_waiting(now, name, MonoTime::from_us(u64::MAX), out);
        }
    }

    fn grant_waiting(&mut self, now: MonoTime, name: &TeamName, out: &mut Vec<Action>) {
        let Some(team) = self.teams.get(name) else { return };
        let in_contact = self.in_contact(now, team.slot);
        let Some(team) = self.teams.get_mut(name) else { return };
        if in_contact {
            team.bucket.advance(now);
        }
        while let Some(waiter) = team.waiting.front().copied() {
            let level = if in_contact { team.bucket.level() } else { Amount::ZERO };
            if level + team.purse.available(now) < waiter.cost {
                break;
            }
            team.waiting.pop_front();
            let from_share = level.min(waiter.cost);
            assert!(team.bucket.take(from_share), "the level was checked");
            let drawn = team.purse.take(now, waiter.cost - from_share);
            let since = team.bucket.moment();
            let charged = Ticket { team: name.clone(), from_share, since, drawn };
            self.tickets.insert(waiter.ticket, charged);
            out.push(Action::Grant { ticket: waiter.ticket });
        }
    }

    /// What is missing for the requests that wait, or `None` if none waits.
    fn shortfall(&self, now: MonoTime, name: &TeamName) -> Option<Amount> {
        let team = self.teams.get(name)?;
        if team.waiting.is_empty() {
            return None;
        }
        let wanted = team.waiting.iter().fold(Amount::ZERO, |sum, waiter| sum + waiter.cost);
        Some(wanted.saturating_sub(self.available(now, name)))
    }

    /// What this router could spend now.
    pub(super) fn available(&self, now: MonoTime, name: &TeamName) -> Amount {
        let Some(team) = self.teams.get(name) else { return Amount::ZERO };
        let in_contact = self.in_contact(now, team.slot);
        let level = if in_contact { team.bucket.level() } else { Amount::ZERO };
        level + team.purse.available(now)
    }

    /// Refuses the requests whose wait has ended by `until`, and grants what became possible.
    pub(super) fn expire_waiters(&mut self, now: MonoTime, out: &mut Vec<Action>) {
        let due: Vec<TeamName> = self
            .teams
            .iter()
            .filter(|(_, team)| team.is_waiting())
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            self.grant_waiting(now, &name, out);
            self.refuse_waiting(now, &name, now, out);
        }
    }

    fn refuse_waiting(
        &mut self,
        now: MonoTime,
        name: &TeamName,
        until: MonoTime,
        out: &mut Vec<Action>,
    ) {
        let available = self.available(now, name);
        let Some(team) = self.teams.get_mut(name) else { return };
        while let Some(waiter) = team.waiting.front().copied().filter(|w| w.deadline <= until) {
            team.waiting.pop_front();
            let missing = waiter.cost.saturating_sub(available);
            let retry_after_ms =
                missing.fill_ms(team.rate_tokens_per_s).clamp(MIN_RETRY_MS, MAX_RETRY_MS);
            let reason = RefuseReason::OverLimit { retry_after_ms };
            out.push(Action::Refuse { ticket: waiter.ticket, reason });
        }
    }

    /// Gives back what a request did not use: to lumps first, then to the own share.
    pub(super) fn refund(
        &mut self,
        now: MonoTime,
        ticket: u64,
        unused_tokens: u64,
        out: &mut Vec<Action>,
    ) {
        let Some(charged) = self.tickets.remove(&ticket) else { return };
        let mut unused = Amount::from_tokens(unused_tokens);
        let bounded = self.config.mechanisms.refund_bound;
        for drawn in &charged.drawn {
            let back = drawn.amount.min(unused);
            unused = unused.saturating_sub(back);
            self.refund_drawn(now, &charged.team, drawn, back, out);
        }
        let in_contact =
            self.teams.get(&charged.team).is_some_and(|team| self.in_contact(now, team.slot));
        let Some(team) = self.teams.get_mut(&charged.team).filter(|_| in_contact) else { return };
        team.bucket.advance(now);
        team.bucket.refund(charged.since, unused.min(charged.from_share), bounded);
        if team.is_waiting() {
            self.serve(now, &charged.team, out);
        }
    }

    fn refund_drawn(
        &mut self,
        now: MonoTime,
        name: &TeamName,
        drawn: &Drawn,
        back: Amount,
        out: &mut Vec<Action>,
    ) {
        if back == Amount::ZERO {
            return;
        }
        let Some(team) = self.teams.get_mut(name) else { return };
        if team.purse.put_back(now, drawn.id, back) {
            return;
        }
        let number = team.next_refund();
        let (id, team_name) = (drawn.id, name.clone());
        let body = |_| PeerRequest::Refund { team: team_name, id, number, amount: back };
        self.send(now, &drawn.lender, super::ExchangeKind::Tell, body, out);
    }
}
