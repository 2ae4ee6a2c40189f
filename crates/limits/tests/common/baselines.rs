//! Simpler methods of enforcing a limit, for comparison.

use std::collections::{BTreeMap, VecDeque};

use samphirespread_core::prelude::*;
use samphirespread_limits::{
    Action, Call, Event, Holder, LimitsConfig, ObjectState, RefuseReason, TeamLimit, WriteOutcome,
};

use super::Admission;

const US_PER_S: u128 = 1_000_000;
const OVER_LIMIT: RefuseReason = RefuseReason::OverLimit { retry_after_ms: 100 };

/// Gives each router an equal part of the limit, by the number of routers in the live list.
pub(crate) struct StaticSplit {
    limits: Vec<TeamLimit>,
    routers: u128,
    buckets: BTreeMap<TeamName, (u128, MonoTime)>,
    tickets: BTreeMap<u64, TeamName>,
}

impl StaticSplit {
    fn refilled_level(&mut self, now: MonoTime, name: &TeamName) -> Option<(u128, u128)> {
        let limit = self.limits.iter().find(|limit| limit.team == *name)?;
        let cap = u128::from(limit.burst_tokens) * US_PER_S / self.routers;
        let (level, at) = self.buckets.entry(name.clone()).or_insert((0, now));
        let filled = u128::from(limit.rate_tokens_per_s) * u128::from(now.us_since(*at));
        *level = (*level + filled / self.routers).min(cap);
        *at = now;
        Some((*level, cap))
    }

    fn set_level(&mut self, name: &TeamName, to: u128) {
        if let Some((level, _)) = self.buckets.get_mut(name) {
            *level = to;
        }
    }
}

impl Admission for StaticSplit {
    fn start(_: &LimitsConfig, _: Holder, _: Incarnation, _: MonoTime) -> Self {
        Self { limits: Vec::new(), routers: 1, buckets: BTreeMap::new(), tickets: BTreeMap::new() }
    }

    fn handle(&mut self, now: MonoTime, event: Event) -> Vec<Action> {
        match event {
            Event::Limits(limits) => self.limits = limits,
            Event::LiveList(routers) => self.routers = routers.len().max(1) as u128,
            Event::Admit { ticket, team, tokens } => {
                let cost = u128::from(tokens) * US_PER_S;
                let level = self.refilled_level(now, &team).map_or(0, |(level, _)| level);
                if level < cost {
                    return vec![Action::Refuse { ticket, reason: OVER_LIMIT }];
                }
                self.set_level(&team, level - cost);
                self.tickets.insert(ticket, team);
                return vec![Action::Grant { ticket }];
            }
            Event::Refund { ticket, unused_tokens } => {
                let Some(team) = self.tickets.remove(&ticket) else { return Vec::new() };
                if let Some((level, cap)) = self.refilled_level(now, &team) {
                    self.set_level(&team, (level + u128::from(unused_tokens) * US_PER_S).min(cap));
                }
            }
            _ => {}
        }
        Vec::new()
    }
}

/// Reads and conditionally writes the team's object for each admission and each refund.
///
/// It assumes that all routers read the same clock, which no real fleet has.
pub(crate) struct WritePerRequest {
    limits: Vec<TeamLimit>,
    tickets: BTreeMap<u64, TeamName>,
    queues: Vec<VecDeque<PendingUpdate>>,
    pending_calls: Vec<Option<Call>>,
    next_call: u64,
}

/// An admission, or a refund if it has no ticket, that waits for its write.
#[derive(Clone, Copy)]
struct PendingUpdate {
    ticket: Option<u64>,
    tokens: u64,
    attempts: u32,
}

const MAX_ATTEMPTS: u32 = 4;

impl WritePerRequest {
    fn enqueue(&mut self, team: &TeamName, update: PendingUpdate) -> Vec<Action> {
        let Some(slot) = self.limits.iter().position(|limit| limit.team == *team) else {
            return Vec::new();
        };
        self.queues[slot].push_back(update);
        self.read_next(slot)
    }

    fn read_next(&mut self, slot: usize) -> Vec<Action> {
        if self.pending_calls[slot].is_some() || self.queues[slot].is_empty() {
            return Vec::new();
        }
        let call = self.new_call(slot);
        vec![Action::Read { call, slot: slot as u32 }]
    }

    fn new_call(&mut self, slot: usize) -> Call {
        self.next_call += 1;
        self.pending_calls[slot] = Some(Call(self.next_call));
        Call(self.next_call)
    }

    fn slot_of(&self, call: Call) -> Option<usize> {
        self.pending_calls.iter().position(|found| *found == Some(call))
    }

    fn handle_read(&mut self, now: MonoTime, slot: usize, state: &ObjectState) -> Vec<Action> {
        let Some(update) = self.queues[slot].front().copied() else { return Vec::new() };
        let limit = &self.limits[slot];
        let cap = u128::from(limit.burst_tokens) * US_PER_S;
        let (expect, level) = match state {
            ObjectState::Unknown => return self.finish(slot, false),
            ObjectState::Absent => (None, cap),
            ObjectState::Present { version, text } => {
                let (level, at_us) = text.split_once(' ').unwrap_or(("0", "0"));
                let level: u128 = level.parse().unwrap_or(0);
                let at_us: u64 = at_us.parse().unwrap_or(0);
                let filled = u128::from(limit.rate_tokens_per_s)
                    * u128::from(now.as_us().saturating_sub(at_us));
                (Some(*version), (level + filled).min(cap))
            }
        };
        let amount = u128::from(update.tokens) * US_PER_S;
        let level = match update.ticket {
            Some(_) if level < amount => return self.finish(slot, false),
            Some(_) => level - amount,
            None => (level + amount).min(cap),
        };
        let text = format!("{level} {}", now.as_us());
        let call = self.new_call(slot);
        vec![Action::Write { call, slot: slot as u32, expect, text }]
    }

    fn finish(&mut self, slot: usize, granted: bool) -> Vec<Action> {
        let Some(update) = self.queues[slot].pop_front() else { return Vec::new() };
        let mut actions = Vec::new();
        if let Some(ticket) = update.ticket {
            if granted {
                self.tickets.insert(ticket, self.limits[slot].team.clone());
                actions.push(Action::Grant { ticket });
            } else {
                actions.push(Action::Refuse { ticket, reason: OVER_LIMIT });
            }
        }
        self.pending_calls[slot] = None;
        actions.extend(self.read_next(slot));
        actions
    }

    fn retry(&mut self, slot: usize) -> Vec<Action> {
        let Some(update) = self.queues[slot].front_mut() else { return Vec::new() };
        update.attempts += 1;
        if update.attempts >= MAX_ATTEMPTS {
            return self.finish(slot, false);
        }
        self.pending_calls[slot] = None;
        self.read_next(slot)
    }
}

impl Admission for WritePerRequest {
    const SHARED_CLOCK: bool = true;

    fn start(_: &LimitsConfig, _: Holder, _: Incarnation, _: MonoTime) -> Self {
        Self {
            limits: Vec::new(),
            tickets: BTreeMap::new(),
            queues: Vec::new(),
            pending_calls: Vec::new(),
            next_call: 0,
        }
    }

    fn handle(&mut self, now: MonoTime, event: Event) -> Vec<Action> {
        match event {
            Event::Limits(limits) => {
                self.queues = limits.iter().map(|_| VecDeque::new()).collect();
                self.pending_calls = vec![None; limits.len()];
                self.limits = limits;
                Vec::new()
            }
            Event::Admit { ticket, team, tokens } => {
                self.enqueue(&team, PendingUpdate { ticket: Some(ticket), tokens, attempts: 0 })
            }
            Event::Refund { ticket, unused_tokens } => {
                let Some(team) = self.tickets.remove(&ticket) else { return Vec::new() };
                self.enqueue(
                    &team,
                    PendingUpdate { ticket: None, tokens: unused_tokens, attempts: 0 },
                )
            }
            Event::Read { call, state } => match self.slot_of(call) {
                Some(slot) => self.handle_read(now, slot, &state),
                None => Vec::new(),
            },
            Event::Written { call, outcome } => match (self.slot_of(call), outcome) {
                (Some(slot), WriteOutcome::Done { .. }) => self.finish(slot, true),
                (Some(slot), WriteOutcome::Conflict) => self.retry(slot),
                (Some(slot), WriteOutcome::Unknown) => self.finish(slot, false),
                (None, _) => Vec::new(),
            },
            _ => Vec::new(),
        }
    }
}
