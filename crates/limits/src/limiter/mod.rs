//! The state machine that decides admissions for one router.

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
    charges: BTreeMap<u64, admission::Charge>,
}

/// A message that was sent and whose reply may still arrive.
#[derive(Debug)]
struct Exchange {
    to: Holder,
    sent: MonoTime,
    kind: ExchangeKind,
}

/// The purpose of a message, which decides how its reply is processed.
#[derive(Debug)]
enum ExchangeKind {
    /// A request for a lump.
    Borrow { team: TeamName, amount: Amount },
    /// A request to acknowledge this router's shares.
    Acknowledge,
    /// A request for a promise about another holder's share.
    Promise { holder: Holder, share: ShareTerm },
    /// A notification whose reply carries no information.
    Notify,
}

impl Limiter {
    /// Creates the limiter of a router that has just started.
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
            charges: BTreeMap::new(),
        }
    }

    /// Processes one event and returns the actions to carry out.
    pub fn handle(&mut self, now: MonoTime, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        match event {
            Event::Tick => self.tick(now, &mut out),
            Event::Limits(limits) => self.set_limits(now, limits, &mut out),
            Event::LiveList(routers) => self.set_live(now, routers, &mut out),
            Event::Admit { ticket, team, tokens } => {
                self.admit(now, ticket, &team, tokens, &mut out);
            }
            Event::Refund { ticket, unused_tokens } => {
                self.refund(now, ticket, unused_tokens, &mut out);
            }
            Event::Message { exchange, message } => {
                self.handle_message(now, exchange, message, &mut out);
            }
            Event::Reply { exchange, reply } => self.handle_reply(now, exchange, reply, &mut out),
            Event::Unanswered { exchange } => self.handle_unanswered(now, exchange, &mut out),
            Event::Read { call, state } => self.handle_read(now, call, state, &mut out),
            Event::Written { call, outcome } => self.handle_written(now, call, outcome, &mut out),
            Event::Leave => self.leave(now, &mut out),
        }
        out
    }

    /// The latest time at which the caller should send the next [`Event::Tick`].
    pub fn next_tick(&self, now: MonoTime) -> MonoTime {
        let waiter = self.teams.values().filter_map(Team::next_deadline).min();
        let period_ms = (self.config.poll_ms / 4).min(self.config.lump_lifetime_ms / 8);
        let regular = now.plus_ms(period_ms + 1);
        waiter.map_or(regular, |deadline| deadline.min(regular)).max(now.plus_ms(1))
    }

    fn set_limits(&mut self, now: MonoTime, limits: Vec<TeamLimit>, actions: &mut Vec<Action>) {
        let names: BTreeSet<TeamName> = limits.iter().map(|limit| limit.team.clone()).collect();
        // A removed team keeps its entry while requests wait in it.
        self.teams.retain(|name, team| names.contains(name) || team.is_waiting());
        for limit in limits {
            self.set_limit(now, &limit);
        }
        self.read_due_objects(now, actions);
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

    fn set_live(&mut self, now: MonoTime, routers: Vec<RouterInfo>, actions: &mut Vec<Action>) {
        self.peers.set_live(now, routers);
        self.refresh_targets(now);
        self.read_due_objects(now, actions);
    }

    fn tick(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
        self.peers.tick(now, &self.config);
        self.expire_exchanges(now);
        self.expire_waiters(now, actions);
        self.refresh_targets(now);
        self.read_due_objects(now, actions);
        self.ping(now, actions);
        self.sweep_borrowed(now, actions);
        self.finish_leaving(actions);
    }

    fn leave(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
        self.leaving = true;
        self.read_due_objects(now, actions);
        self.finish_leaving(actions);
    }

    /// Reports, once, that this router holds no shares any more after [`Event::Leave`].
    fn finish_leaving(&mut self, actions: &mut Vec<Action>) {
        let holds = |slot: &Slot| {
            slot.writing.is_some()
                || slot.table.as_ref().is_some_and(|read| read.table.share(&self.me).is_some())
        };
        if self.leaving && !self.left && !self.slots.iter().any(holds) {
            self.left = true;
            actions.push(Action::LeaveFinished);
        }
    }

    fn refresh_targets(&mut self, now: MonoTime) {
        for slot in 0..self.slots.len() {
            self.slots[slot].targets = self.peers.targets(now, slot, &self.config);
        }
    }

    fn expire_exchanges(&mut self, now: MonoTime) {
        // A lump that arrives late can still be spent until its lifetime ends.
        let keep_ms = self.config.lump_lifetime_ms.max(self.config.revoke_wait_ms);
        self.exchanges.retain(|_, exchange| now.ms_since(exchange.sent) < keep_ms);
    }

    fn handle_message(
        &mut self,
        now: MonoTime,
        exchange: u64,
        message: PeerMessage,
        actions: &mut Vec<Action>,
    ) {
        let PeerMessage { from, incarnation, leaving, body } = message;
        if !self.peers.record_message(&from, incarnation, leaving) {
            return;
        }
        let answer = match body {
            PeerRequest::Borrow { team, amount, serial } => {
                self.lend(now, &from, incarnation, &team, amount, serial)
            }
            PeerRequest::Settle { team, lumps } => {
                self.settle(now, &team, &lumps, actions);
                PeerAnswer::Done
            }
            PeerRequest::Refund { team, id, number, amount } => {
                self.refund_lump(now, &team, id, number, amount, actions);
                PeerAnswer::Done
            }
            PeerRequest::Acknowledge { shares } => self.acknowledge(&from, &shares),
            PeerRequest::Promise { holder, share } => {
                self.probe_holder(now, &holder, actions);
                self.promise(now, &holder, share)
            }
        };
        let reply =
            PeerReply { incarnation: self.incarnation, leaving: self.leaving, body: answer };
        actions.push(Action::Reply { exchange, reply });
    }

    fn handle_reply(
        &mut self,
        now: MonoTime,
        exchange: u64,
        reply: PeerReply,
        actions: &mut Vec<Action>,
    ) {
        let Some(Exchange { to, sent, kind }) = self.exchanges.remove(&exchange) else { return };
        if !self.peers.record_message(&to, reply.incarnation, reply.leaving) {
            return;
        }
        match (kind, reply.body) {
            (ExchangeKind::Borrow { team, amount }, answer) => {
                self.record_lender_answer(now, &to, &team, amount, &answer);
                self.handle_borrow_answer(now, &to, sent, &team, answer, actions);
            }
            (ExchangeKind::Acknowledge, PeerAnswer::Acknowledged { shares }) => {
                self.record_acknowledgements(&to, sent, &shares);
            }
            (ExchangeKind::Promise { holder, share }, PeerAnswer::Promised(true)) => {
                self.record_promise(now, &to, &holder, share);
            }
            _ => {}
        }
    }

    fn handle_unanswered(&mut self, now: MonoTime, exchange: u64, actions: &mut Vec<Action>) {
        let Some(found) = self.exchanges.get(&exchange) else { return };
        let to = found.to.clone();
        if let ExchangeKind::Borrow { team, .. } = &found.kind {
            // The lump may still arrive later, but no request waits for it.
            let team = team.clone();
            self.record_lender_timeout(now, &team, &to);
            self.serve(now, &team, actions);
        }
    }

    fn send(
        &mut self,
        now: MonoTime,
        to: &Holder,
        kind: ExchangeKind,
        body: impl FnOnce(u64) -> PeerRequest,
        actions: &mut Vec<Action>,
    ) {
        let exchange = self.next_exchange;
        self.next_exchange += 1;
        let message = PeerMessage {
            from: self.me.clone(),
            incarnation: self.incarnation,
            leaving: self.leaving,
            body: body(exchange),
        };
        self.peers.record_sent(now, to, &self.config);
        self.exchanges.insert(exchange, Exchange { to: to.clone(), sent: now, kind });
        actions.push(Action::Send { exchange, to: to.clone(), message });
    }

    /// The time until which earlier owners of a newly acquired part may have lumps lent from it, if
    /// such lumps are to be reserved for.
    fn reserve_until(&self, now: MonoTime) -> Option<MonoTime> {
        let reserve = self.config.mechanisms.start_reserve;
        reserve.then(|| now.plus_ms(self.config.lump_lifetime_ms + self.config.clock_margin_ms))
    }
}
