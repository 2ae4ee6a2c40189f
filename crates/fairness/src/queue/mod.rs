//! The queue: who runs next, who must leave.

mod room;
mod slots;
mod team;
mod types;

use std::collections::{BTreeSet, HashMap};

use samphirespread_core::prelude::*;

use self::team::{Entry, Rank, ReadyKey, Team, TeamId, VirtualTime, virtual_cost};
pub use self::types::{Admission, DropCause, Dropped, Error, Popped, Rejected, Ticket};
use crate::{
    Config,
    estimate::{Offered, SlotUse, Throughput},
};

/// Where a waiting entry is.
#[derive(Clone, Copy, Debug)]
struct Place {
    team: TeamId,
    rank: Rank,
    deadline: MonoTime,
}

/// What a running entry was charged.
#[derive(Clone, Copy, Debug)]
struct Charge {
    team: TeamId,
    cost: VirtualTime,
    cost_tokens: u64,
    weight: u64,
}

/// A queue of entries of several teams in front of one engine.
///
/// The crate's documentation tells the order of service and the bounds.
#[derive(Clone, Debug)]
pub struct Queue<T> {
    config: Config,
    names: HashMap<TeamName, TeamId>,
    teams: HashMap<TeamId, Team<T>>,
    total_weight: u128,
    ready: BTreeSet<ReadyKey>,
    idle: BTreeSet<(MonoTime, TeamId)>,
    places: HashMap<Ticket, Place>,
    deadlines: BTreeSet<(MonoTime, Ticket)>,
    running: HashMap<Ticket, Charge>,
    running_tokens: u64,
    queued_bytes: u64,
    dropped: Vec<Dropped<T>>,
    throughput: Throughput,
    slot_use: SlotUse,
    offered: Offered,
    virtual_now: VirtualTime,
    next_ticket: u64,
    next_team: TeamId,
}

impl<T> Queue<T> {
    /// An empty queue.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            names: HashMap::new(),
            teams: HashMap::new(),
            total_weight: 0,
            ready: BTreeSet::new(),
            idle: BTreeSet::new(),
            places: HashMap::new(),
            deadlines: BTreeSet::new(),
            running: HashMap::new(),
            running_tokens: 0,
            queued_bytes: 0,
            dropped: Vec::new(),
            throughput: Throughput::default(),
            slot_use: SlotUse::default(),
            offered: Offered::default(),
            virtual_now: 0,
            next_ticket: 0,
            next_team: 0,
        }
    }

    /// Entries that wait.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Entries that run.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Entries of a team that wait.
    pub fn team_len(&self, team: &TeamName) -> usize {
        self.names.get(team).map_or(0, |id| self.teams[id].entries.len())
    }

    /// When the next waiting entry runs out of time.
    pub fn next_deadline(&self) -> Option<MonoTime> {
        self.deadlines.first().map(|&(deadline, _)| deadline)
    }

    /// Estimated time until an entry that comes now starts, if it starts after all others.
    pub fn wait_ms(&self) -> u32 {
        if self.is_empty() && self.running.len() < self.config.concurrency {
            return 0;
        }
        let queued: u64 = self.teams.values().map(|team| team.queued_tokens).sum();
        let until_slot_frees = self.running_tokens / self.running.len().max(1) as u64;
        let wait_ms = self.throughput.time_for_ms(queued + until_slot_frees).unwrap_or(0);
        u32::try_from(wait_ms).unwrap_or(u32::MAX)
    }

    /// Puts an entry into its team's queue.
    ///
    /// On a full queue this may drop an entry of another team, which [`Queue::expire`] returns.
    ///
    /// # Errors
    ///
    /// Fails when the queue is full and the team already has its part of it.
    ///
    /// # Panics
    ///
    /// Panics if an invariant of the queue is broken.
    pub fn push(
        &mut self,
        now: MonoTime,
        admission: &Admission<'_>,
        item: T,
    ) -> Result<Ticket, Rejected<T>> {
        self.collect_expired(now);
        self.forget_idle(now);
        let id = self.team_id(admission, now);
        self.note_offer(now, id, admission.cost_tokens);
        if !self.make_room(now, id, admission.size_bytes) {
            let retry_after_ms = self.retry_after_ms(id);
            return Err(Rejected { item, error: Error::Full, retry_after_ms });
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.enqueue(now, id, ticket, admission, item);
        assert!(self.len() <= self.config.max_len, "the queue is bounded in entries");
        assert!(self.queued_bytes <= self.config.max_bytes, "the queue is bounded in bytes");
        Ok(ticket)
    }

    /// Takes the entry that is to run next, if a slot of the engine is free for it.
    ///
    /// Each popped entry must be given to [`Queue::complete`] in the end.
    ///
    /// # Panics
    ///
    /// Panics if an invariant of the queue is broken.
    pub fn pop(&mut self, now: MonoTime) -> Option<Popped<T>> {
        self.collect_expired(now);
        let id = self.next_team(now, |_| true)?;
        Some(self.pop_from(now, id))
    }

    /// Like [`Queue::pop`], but passes over teams that ask for more than their share.
    ///
    /// For starting work ahead of need without filling the engine with one team's.
    ///
    /// # Panics
    ///
    /// Panics if an invariant of the queue is broken.
    pub fn pop_within_share(&mut self, now: MonoTime) -> Option<Popped<T>> {
        self.collect_expired(now);
        let id = self.next_team(now, |team| !self.asks_too_much(now, team))?;
        Some(self.pop_from(now, id))
    }

    fn pop_from(&mut self, now: MonoTime, id: TeamId) -> Popped<T> {
        let team = self.teams.get_mut(&id).expect("a ready team is known");
        let rank = *team.entries.first_key_value().expect("a ready team has entries").0;
        self.virtual_now = self.virtual_now.max(team.counter);
        self.throughput.advance(now, !self.running.is_empty());
        let entry = self.take(rank.ticket);
        assert!(entry.deadline > now, "an expired entry never runs");
        self.charge(now, id, rank.ticket, entry.cost_tokens);
        assert!(self.running.len() <= self.config.concurrency, "slots are bounded");
        let waited_us = now.us_since(entry.pushed_at);
        Popped { ticket: rank.ticket, item: entry.item, waited_us }
    }

    /// Ends a running entry and corrects its charge to the tokens that it took.
    ///
    /// # Panics
    ///
    /// Panics if the entry doesn't run: its slot would be freed twice.
    pub fn complete(&mut self, now: MonoTime, ticket: Ticket, actual_tokens: u64) {
        let charge = self.running.get(&ticket).copied().expect("only a running entry completes");
        self.throughput.advance(now, true);
        // Estimates are compared with estimates: what waits is known by no other measure.
        self.throughput.serve(charge.cost_tokens);
        self.running.remove(&ticket);
        self.running_tokens -= charge.cost_tokens;
        let actual = virtual_cost(actual_tokens, charge.weight);
        self.update(charge.team, |team| {
            team.counter = (team.counter + actual).saturating_sub(charge.cost);
            team.running -= 1;
        });
        self.note_slots(now, charge.team);
        self.note_idle(now, charge.team);
    }

    /// Takes a waiting entry out. Returns none when it doesn't wait any more.
    pub fn cancel(&mut self, now: MonoTime, ticket: Ticket) -> Option<T> {
        let place = *self.places.get(&ticket)?;
        let entry = self.take(ticket);
        self.note_idle(now, place.team);
        Some(entry.item)
    }

    /// Returns the entries that expired or were displaced since the last call.
    pub fn expire(&mut self, now: MonoTime) -> Vec<Dropped<T>> {
        self.collect_expired(now);
        std::mem::take(&mut self.dropped)
    }

    /// Finds or makes the team of an entry and takes over its weight.
    fn team_id(&mut self, admission: &Admission<'_>, now: MonoTime) -> TeamId {
        if let Some(&id) = self.names.get(admission.team) {
            let team = &self.teams[&id];
            self.total_weight -= u128::from(team.weight);
            self.total_weight += u128::from(admission.weight);
            self.update(id, |team| team.weight = admission.weight);
            return id;
        }
        let id = self.next_team;
        self.next_team += 1;
        self.total_weight += u128::from(admission.weight);
        self.names.insert(admission.team.clone(), id);
        self.teams.insert(id, Team::new(id, admission.team.clone(), admission.weight));
        self.note_idle(now, id);
        id
    }

    fn enqueue(
        &mut self,
        now: MonoTime,
        id: TeamId,
        ticket: Ticket,
        admission: &Admission<'_>,
        item: T,
    ) {
        if self.teams[&id].entries.is_empty() {
            self.lift(id);
        }
        let ageing_us = self.config.ageing_ms.saturating_mul(1_000);
        let head_start_us = u64::from(admission.priority).saturating_mul(ageing_us);
        let rank = Rank { effective_us: now.as_us().saturating_add(head_start_us), ticket };
        let deadline = now.plus_ms(admission.max_wait_ms.min(self.config.max_wait_ms));
        let cost_tokens = admission.cost_tokens;
        let size_bytes = admission.size_bytes;
        self.queued_bytes += size_bytes;
        let entry = Entry { item, cost_tokens, size_bytes, pushed_at: now, deadline };
        self.update(id, |team| team.insert(rank, entry));
        if let Some(since) = self.teams.get_mut(&id).and_then(|team| team.idle_since.take()) {
            self.idle.remove(&(since, id));
        }
        self.places.insert(ticket, Place { team: id, rank, deadline });
        self.deadlines.insert((deadline, ticket));
    }

    /// Lifts a team that returns, so that idle time isn't saved up beyond the credit.
    fn lift(&mut self, id: TeamId) {
        let least = self.ready.first().map_or(self.virtual_now, |&(counter, ..)| counter);
        let activation = self.next_ticket;
        let credit_tokens = self.config.idle_credit_tokens;
        self.update(id, |team| {
            let credit = virtual_cost(credit_tokens, team.weight);
            team.counter = team.counter.max(least.saturating_sub(credit));
            team.activation = activation;
        });
    }

    fn collect_expired(&mut self, now: MonoTime) {
        while let Some(&(deadline, ticket)) = self.deadlines.first() {
            if deadline > now {
                return;
            }
            let team = self.places[&ticket].team;
            self.drop_entry(ticket, DropCause::Expired);
            self.note_idle(now, team);
        }
    }

    fn drop_entry(&mut self, ticket: Ticket, cause: DropCause) {
        let retry_after_ms = self.retry_after_ms(self.places[&ticket].team);
        let item = self.take(ticket).item;
        self.dropped.push(Dropped { ticket, item, cause, retry_after_ms });
    }

    /// Removes a waiting entry from every index.
    fn take(&mut self, ticket: Ticket) -> Entry<T> {
        let place = self.places.remove(&ticket).expect("the entry waits");
        self.deadlines.remove(&(place.deadline, ticket));
        let entry = self.update(place.team, |team| team.remove(&place.rank));
        self.queued_bytes -= entry.size_bytes;
        entry
    }

    fn charge(&mut self, now: MonoTime, id: TeamId, ticket: Ticket, tokens: u64) {
        let weight = self.teams[&id].weight;
        let cost = virtual_cost(tokens, weight);
        self.update(id, |team| {
            team.counter += cost;
            team.running += 1;
        });
        let charge = Charge { team: id, cost, cost_tokens: tokens, weight };
        self.running_tokens += tokens;
        let earlier = self.running.insert(ticket, charge);
        assert!(earlier.is_none(), "an entry runs once");
        self.note_slots(now, id);
    }

    /// Changes a team and keeps its place among the ready teams.
    fn update<R>(&mut self, id: TeamId, change: impl FnOnce(&mut Team<T>) -> R) -> R {
        let team = self.teams.get_mut(&id).expect("the team is known");
        if !team.entries.is_empty() {
            self.ready.remove(&team.ready_key());
        }
        let result = change(team);
        if !team.entries.is_empty() {
            self.ready.insert(team.ready_key());
        }
        result
    }

    fn note_idle(&mut self, now: MonoTime, id: TeamId) {
        let team = self.teams.get_mut(&id).expect("the team is known");
        if team.is_idle() && team.idle_since.is_none() {
            team.idle_since = Some(now);
            self.idle.insert((now, id));
        }
    }

    /// Forgets teams that have been idle for long.
    fn forget_idle(&mut self, now: MonoTime) {
        while let Some(&(since, id)) = self.idle.first() {
            if now.ms_since(since) < self.config.forget_ms {
                return;
            }
            self.idle.pop_first();
            let team = self.teams.remove(&id).expect("an idle team is known");
            assert!(team.is_idle(), "only an idle team is forgotten");
            self.names.remove(&team.name);
            self.total_weight -= u128::from(team.weight);
        }
    }
}
