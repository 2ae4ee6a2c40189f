//! The limiter of one router.

use std::collections::{BTreeMap, BTreeSet};

use samphirespread_core::prelude::*;

use crate::{
    amount::Amount,
    config::LimitsConfig,
    limiter::{peers::Peers, slot::Slot, team::Team},
    message::{Holder, PeerAnswer, PeerMessage, PeerReply, PeerRequest, ShareTerm},
    table::slot_of,
};

pub use self::{
    api::{Action, Call, Event, ObjectState, RefuseReason, RouterInfo, TeamLimit, WriteOutcome},
    dump::{SlotDump, Snapshot, TeamDump},
};

mod admission;
mod api;
mod borrowing;
mod dump;
mod lending;
mod ownership;
mod peers;
mod plan;
mod slot;
mod team;
mod witness;

/// Decides admissions for one router. See the [crate documentation](crate).
#[derive(Debug)]
pub struct Limiter {
    config: LimitsConfig,
    me: Holder,
    incarnation: Incarnation,
    teams: BTreeMap<TeamName, Team>,
    slots: Vec<Slot>,
    peers: Peers,
    exchanges: BTreeMap<u64, Exchange>,
    next_exchange: u64,
    next_lump: u64,
    next_call: u64,
    leaving: bool,
    left: bool,
    tickets: BTreeMap<u64, admission::Ticket>,
}

/// A message that was sent and whose answer may still come.
#[derive(Debug)]
struct Exchange {
    to: Holder,
    sent: MonoTime,
    kind: ExchangeKind,
}

/// What the answer is for.
#[derive(Debug)]
enum ExchangeKind {
    /// A lump is wanted.
    Borrow { team: TeamName, amount: Amount },
    /// Acknowledgements of own shares.
    Acknowledge,
    /// A promise about another holder's share.
    Promise { holder: Holder, share: ShareTerm },
    /// Told, not asked.
    Tell,
}

impl Limiter {
    /// The limiter of a router that has just started.
    ///
    /// `incarnation` must be higher than that of every earlier run at the same address.
    pub fn new(config: LimitsConfig, me: Holder, incarnation: Incarnation, now: MonoTime) -> Self {
        let slots = (0..config.slots).map(Slot::new).collect();
        Self {
            peers: Peers::new(now),
            config,
            me,
            incarnation,
            teams: BTreeMap::new(),
            slots,
            exchanges: BTreeMap::new(),
            next_exchange: 0,
            next_lump: 0,
            next_call: 0,
            leaving: false,
            left: false,
            tickets: BTreeMap::new(),
        }
    }

    /// Takes one event and says what to do.
    pub fn handle(&mut self, now: MonoTime, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        match event {
            Event::Tick => self.tick(now, &mut out),
            Event::Limits(limits) => self.set_limits(now, limits, &mut out),
            Event::Live(routers) => self.set_live(now, routers, &mut out),
            Event::Admit { ticket, team, tokens } => {
                self.admit(now, ticket, &team, tokens, &mut out);
            }
            Event::Refund { ticket, unused_tokens } => {
                self.refund(now, ticket, unused_tokens, &mut out);
            }
            Event::Message { exchange, message } => {
                self.message(now, exchange, message, &mut out);
            }
            Event::Reply { exchange, reply } => self.reply(now, exchange, reply, &mut out),
            Event::Unanswered { exchange } => self.unanswered(now, exchange, &mut out),
            Event::Read { call, state } => self.read_done(now, call, state, &mut out),
            Event::Written { call, outcome } => self.written(now, call, outcome, &mut out),
            Event::Leave => self.leave(now, &mut out),
        }
        out
    }

    /// When [`Event::Tick`] should come next at the latest.
    pub fn next_tick(&self, now: MonoTime) -> MonoTime {
        let waiter = self.teams.values().filter_map(Team::next_deadline).min();
        let period_ms = (self.config.poll_ms / 4).min(self.config.lump_lifetime_ms / 8);
        let regular = now.plus_ms(period_ms + 1);
        waiter.map_or(regular, |deadline| deadline.min(regular)).max(now.plus_ms(1))
    }

    fn set_limits(&mut self, now: MonoTime, limits: Vec<TeamLimit>, out: &mut Vec<Action>) {
        let names: BTreeSet<TeamName> = limits.iter().map(|limit| limit.team.clone()).collect();
        // Teams that are gone keep their entry while requests still run on it.
        self.teams.retain(|name, team| names.contains(name) || team.is_waiting());
        for limit in limits {
            self.set_limit(now, &limit);
        }
        self.poll(now, out);
    }

    fn set_limit(&mut self, now: MonoTime, limit: &TeamLimit) {
        if let Some(team) = self.teams.get_mut(&limit.team) {
            team.set_limit(now, limit);
            return;
        }
        let slot = slot_of(&limit.team, self.config.slots);
        let mut team = Team::new(now, slot, limit);
        let reserve_until = self.reserve_until(now);
        if let Some(own) = &self.slots[slot as usize].own {
            team.bucket.start(now, 0, own.parts, reserve_until);
        }
        self.teams.insert(limit.team.clone(), team);
    }

    fn set_live(&mut self, now: MonoTime, routers: Vec<RouterInfo>, out: &mut Vec<Action>) {
        self.peers.set_live(now, routers);
        self.refresh_targets(now);
        self.poll(now, out);
    }

    fn tick(&mut self, now: MonoTime, out: &mut Vec<Action>) {
        self.peers.tick(now, &self.config);
        self.expire_exchanges(now);
        self.expire_waiters(now, out);
        self.refresh_targets(now);
        self.poll(now, out);
        self.ping(now, out);
        self.sweep_purses(now, out);
        self.finish_leaving(out);
    }

    fn leave(&mut self, now: MonoTime, out: &mut Vec<Action>) {
        self.leaving = true;
        self.poll(now, out);
        self.finish_leaving(out);
    }

    /// Reports once that nothing is held any more after a leave.
    fn finish_leaving(&mut self, out: &mut Vec<Action>) {
        let holds = |slot: &Slot| {
            slot.writing.is_some()
                || slot.table.as_ref().is_some_and(|read| read.table.share(&self.me).is_some())
        };
        if self.leaving && !self.left && !self.slots.iter().any(holds) {
            self.left = true;
            out.push(Action::Left);
        }
    }

    fn refresh_targets(&mut self, now: MonoTime) {
        for slot in 0..self.slots.len() {
            self.slots[slot].targets = self.peers.targets(now, slot, &self.config);
        }
    }

    fn expire_exchanges(&mut self, now: MonoTime) {
        // A late lump may still be spent until its lifetime is over.
        let keep_ms = self.config.lump_lifetime_ms.max(self.config.revoke_wait_ms);
        self.exchanges.retain(|_, exchange| now.ms_since(exchange.sent) < keep_ms);
    }

    fn message(
        &mut self,
        now: MonoTime,
        exchange: u64,
        message: PeerMessage,
        out: &mut Vec<Action>,
    ) {
        let PeerMessage { from, incarnation, leaving, body } = message;
        if !self.peers.heard(&from, incarnation, leaving) {
            return;
        }
        let answer = match body {
            PeerRequest::Borrow { team, amount, serial } => {
                self.lend(now, &from, incarnation, &team, amount, serial)
            }
            PeerRequest::Settle { team, lumps } => {
                self.settle(now, &team, &lumps, out);
                PeerAnswer::Done
            }
            PeerRequest::Refund { team, id, number, amount } => {
                self.refund_lump(now, &team, id, number, amount, out);
                PeerAnswer::Done
            }
            PeerRequest::Acknowledge { shares } => self.acknowledge(&from, &shares),
            PeerRequest::Promise { holder, share } => {
                self.sound_out(now, &holder, out);
                self.promise(now, &holder, share)
            }
        };
        let reply =
            PeerReply { incarnation: self.incarnation, leaving: self.leaving, body: answer };
        out.push(Action::Reply { exchange, reply });
    }

    fn reply(&mut self, now: MonoTime, exchange: u64, reply: PeerReply, out: &mut Vec<Action>) {
        let Some(Exchange { to, sent, kind }) = self.exchanges.remove(&exchange) else { return };
        if !self.peers.heard(&to, reply.incarnation, reply.leaving) {
            return;
        }
        match (kind, reply.body) {
            (ExchangeKind::Borrow { team, amount }, answer) => {
                self.note_lender(now, &to, &team, amount, &answer);
                self.borrowed(now, &to, sent, &team, answer, out);
            }
            (ExchangeKind::Acknowledge, PeerAnswer::Acknowledged { shares }) => {
                self.acknowledged(&to, sent, &shares);
            }
            (ExchangeKind::Promise { holder, share }, PeerAnswer::Promised(true)) => {
                self.promised(now, &to, &holder, share);
            }
            _ => {}
        }
    }

    fn unanswered(&mut self, now: MonoTime, exchange: u64, out: &mut Vec<Action>) {
        let Some(found) = self.exchanges.get(&exchange) else { return };
        let to = found.to.clone();
        if let ExchangeKind::Borrow { team, .. } = &found.kind {
            // The lump may still come. Nobody waits for it.
            let team = team.clone();
            self.lender_silent(now, &team, &to);
            self.serve(now, &team, out);
        }
    }

    fn send(
        &mut self,
        now: MonoTime,
        to: &Holder,
        kind: ExchangeKind,
        body: impl FnOnce(u64) -> PeerRequest,
        out: &mut Vec<Action>,
    ) {
        let exchange = self.next_exchange;
        self.next_exchange += 1;
        let message = PeerMessage {
            from: self.me.clone(),
            incarnation: self.incarnation,
            leaving: self.leaving,
            body: body(exchange),
        };
        self.peers.asked(now, to, &self.config);
        self.exchanges.insert(exchange, Exchange { to: to.clone(), sent: now, kind });
        out.push(Action::Send { exchange, to: to.clone(), message });
    }

    /// Until when lumps of earlier owners of a newly acquired part may be out.
    fn reserve_until(&self, now: MonoTime) -> Option<MonoTime> {
        let reserve = self.config.mechanisms.start_reserve;
        reserve.then(|| now.plus_ms(self.config.lump_lifetime_ms + self.config.clock_margin_ms))
    }
}
