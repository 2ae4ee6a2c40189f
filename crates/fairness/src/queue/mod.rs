//! Implements the queue, which chooses the entry to run next and drops entries that expire or are
//! displaced.

mod capacity;
mod slots;
mod team;
mod types;

use std::collections::{BTreeSet, HashMap};

use samphirespread_core::prelude::*;

use self::team::{Entry, Rank, ReadyKey, Team, TeamId, VirtualTime, virtual_cost};
pub use self::types::{Admission, DropCause, Dropped, Error, Popped, Rejected, Ticket};
use crate::{
    Config,
    estimate::{Demand, SlotUse, Throughput},
};

/// The keys of a waiting entry in the indexes of the queue.
#[derive(Clone, Copy, Debug)]
struct Location {
    team: TeamId,
    rank: Rank,
    deadline: MonoTime,
}

/// The cost that a running entry was charged.
#[derive(Clone, Copy, Debug)]
struct Charge {
    team: TeamId,
    cost: VirtualTime,
    cost_tokens: u64,
    weight: u64,
}

/// A queue of entries of several teams in front of one engine.
///
/// The crate's documentation describes the order of service and the bounds.
#[derive(Clone, Debug)]
pub struct Queue<T> {
    config: Config,
    team_ids: HashMap<TeamName, TeamId>,
    teams: HashMap<TeamId, Team<T>>,
    total_weight: u128,
    /// The teams with waiting entries, in the order in which they are served.
    ready: BTreeSet<ReadyKey>,
    /// The teams without waiting or running entries, ordered by when they became idle.
    idle: BTreeSet<(MonoTime, TeamId)>,
    locations: HashMap<Ticket, Location>,
    deadlines: BTreeSet<(MonoTime, Ticket)>,
    running: HashMap<Ticket, Charge>,
    running_tokens: u64,
    queued_bytes: u64,
    /// The entries to be returned by the next call of [`Queue::take_dropped`].
    dropped: Vec<Dropped<T>>,
    throughput: Throughput,
    slot_use: SlotUse,
    demand: Demand,
    /// The highest counter with which a team has been served.
    virtual_now: VirtualTime,
    next_ticket: u64,
    next_team_id: TeamId,
}

impl<T> Queue<T> {
    /// Creates an empty queue.
    pub fn new(config: Config) -> Self {
        Self {
            config,
            team_ids: HashMap::new(),
            teams: HashMap::new(),
            total_weight: 0,
            ready: BTreeSet::new(),
            idle: BTreeSet::new(),
            locations: HashMap::new(),
            deadlines: BTreeSet::new(),
            running: HashMap::new(),
            running_tokens: 0,
            queued_bytes: 0,
            dropped: Vec::new(),
            throughput: Throughput::default(),
            slot_use: SlotUse::default(),
            demand: Demand::default(),
            virtual_now: 0,
            next_ticket: 0,
            next_team_id: 0,
        }
    }

    /// Returns the number of waiting entries.
    pub fn len(&self) -> usize {
        self.locations.len()
    }

    /// Returns whether no entry is waiting.
    pub fn is_empty(&self) -> bool {
        self.locations.is_empty()
    }

    /// Returns the number of running entries.
    pub fn running(&self) -> usize {
        self.running.len()
    }

    /// Returns the number of waiting entries of a team.
    pub fn team_len(&self, team: &TeamName) -> usize {
        self.team_ids.get(team).map_or(0, |id| self.teams[id].entries.len())
    }

    /// Returns the earliest deadline of the waiting entries.
    pub fn next_deadline(&self) -> Option<MonoTime> {
        self.deadlines.first().map(|&(deadline, _)| deadline)
    }

    /// Returns the estimated time until an entry pushed now starts, if all waiting entries run
    /// before it.
    pub fn wait_ms(&self) -> u32 {
        if self.is_empty() && self.running.len() < self.config.concurrency {
            return 0;
        }
        let waiting_tokens: u64 = self.teams.values().map(|team| team.queued_tokens).sum();
        let tokens_until_free_slot = self.running_tokens / self.running.len().max(1) as u64;
        let wait_ms =
            self.throughput.serving_time_ms(waiting_tokens + tokens_until_free_slot).unwrap_or(0);
        u32::try_from(wait_ms).unwrap_or(u32::MAX)
    }

    /// Adds an entry to its team's queue.
    ///
    /// If the queue is full, this may drop entries of other teams, which
    /// [`Queue::take_dropped`] returns.
    ///
    /// # Errors
    ///
    /// Fails if the queue is full and the entry would take the team above its share of it.
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
        self.drop_expired(now);
        self.forget_idle(now);
        let id = self.find_or_create_team(admission, now);
        self.record_demand(now, id, admission.cost_tokens);
        if !self.make_space(now, id, admission.size_bytes) {
            let retry_after_ms = self.retry_after_ms(id);
            return Err(Rejected { item, error: Error::Full, retry_after_ms });
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.enqueue(now, id, ticket, admission, item);
        assert!(self.len() <= self.config.max_len, "the number of waiting entries is bounded");
        assert!(
            self.queued_bytes <= self.config.max_bytes,
            "the size of the waiting entries is bounded"
        );
        Ok(ticket)
    }

    /// Removes and returns the entry to run next, or `None` if no waiting team may use a free slot
    /// of the engine.
    ///
    /// Each popped entry must be ended with [`Queue::complete`].
    ///
    /// # Panics
    ///
    /// Panics if an invariant of the queue is broken.
    pub fn pop(&mut self, now: MonoTime) -> Option<Popped<T>> {
        self.drop_expired(now);
        let id = self.select_team(now, |_| true)?;
        Some(self.pop_from(now, id))
    }

    /// Does the same as [`Queue::pop`], but skips teams with excess demand.
    ///
    /// Callers use this to start work early without filling the engine with one team's entries.
    ///
    /// # Panics
    ///
    /// Panics if an invariant of the queue is broken.
    pub fn pop_within_share(&mut self, now: MonoTime) -> Option<Popped<T>> {
        self.drop_expired(now);
        let id = self.select_team(now, |team| !self.has_excess_demand(now, team))?;
        Some(self.pop_from(now, id))
    }

    fn pop_from(&mut self, now: MonoTime, id: TeamId) -> Popped<T> {
        let team = self.teams.get_mut(&id).expect("a ready team is known");
        let rank = *team.entries.first_key_value().expect("a ready team has entries").0;
        self.virtual_now = self.virtual_now.max(team.counter);
        self.throughput.advance(now, !self.running.is_empty());
        let entry = self.remove_waiting(rank.ticket);
        assert!(entry.deadline > now, "an expired entry never runs");
        self.charge(now, id, rank.ticket, entry.cost_tokens);
        assert!(
            self.running.len() <= self.config.concurrency,
            "the number of running entries is bounded"
        );
        let waited_us = now.us_since(entry.pushed_at);
        Popped { ticket: rank.ticket, item: entry.item, waited_us }
    }

    /// Ends a running entry and replaces its estimated cost by the tokens that it actually used.
    ///
    /// # Panics
    ///
    /// Panics if the entry isn't running, because its slot would be freed twice.
    pub fn complete(&mut self, now: MonoTime, ticket: Ticket, actual_tokens: u64) {
        let charge = self.running.get(&ticket).copied().expect("only a running entry completes");
        self.throughput.advance(now, true);
        // The throughput counts estimated tokens, because it is applied to the waiting entries, of
        // which only the estimated costs are known.
        self.throughput.add_served(charge.cost_tokens);
        self.running.remove(&ticket);
        self.running_tokens -= charge.cost_tokens;
        let actual = virtual_cost(actual_tokens, charge.weight);
        self.update_team(charge.team, |team| {
            team.counter = (team.counter + actual).saturating_sub(charge.cost);
            team.running -= 1;
        });
        self.record_slot_use(now, charge.team);
        self.mark_if_idle(now, charge.team);
    }

    /// Removes a waiting entry. Returns `None` if it is no longer waiting.
    pub fn cancel(&mut self, now: MonoTime, ticket: Ticket) -> Option<T> {
        let location = *self.locations.get(&ticket)?;
        let entry = self.remove_waiting(ticket);
        self.mark_if_idle(now, location.team);
        Some(entry.item)
    }

    /// Returns the entries that expired or were displaced since the last call.
    pub fn take_dropped(&mut self, now: MonoTime) -> Vec<Dropped<T>> {
        self.drop_expired(now);
        std::mem::take(&mut self.dropped)
    }

    /// Returns the team of an entry with its weight updated, and creates the team if necessary.
    fn find_or_create_team(&mut self, admission: &Admission<'_>, now: MonoTime) -> TeamId {
        if let Some(&id) = self.team_ids.get(admission.team) {
            let team = &self.teams[&id];
            self.total_weight -= u128::from(team.weight);
            self.total_weight += u128::from(admission.weight);
            self.update_team(id, |team| team.weight = admission.weight);
            return id;
        }
        let id = self.next_team_id;
        self.next_team_id += 1;
        self.total_weight += u128::from(admission.weight);
        self.team_ids.insert(admission.team.clone(), id);
        self.teams.insert(id, Team::new(id, admission.team.clone(), admission.weight));
        self.mark_if_idle(now, id);
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
            self.raise_counter(id);
        }
        let ageing_us = self.config.ageing_ms.saturating_mul(1_000);
        let priority_delay_us = u64::from(admission.priority).saturating_mul(ageing_us);
        let rank = Rank { effective_us: now.as_us().saturating_add(priority_delay_us), ticket };
        let deadline = now.plus_ms(admission.max_wait_ms.min(self.config.max_wait_ms));
        let cost_tokens = admission.cost_tokens;
        let size_bytes = admission.size_bytes;
        self.queued_bytes += size_bytes;
        let entry = Entry { item, cost_tokens, size_bytes, pushed_at: now, deadline };
        self.update_team(id, |team| team.insert(rank, entry));
        if let Some(since) = self.teams.get_mut(&id).and_then(|team| team.idle_since.take()) {
            self.idle.remove(&(since, id));
        }
        self.locations.insert(ticket, Location { team: id, rank, deadline });
        self.deadlines.insert((deadline, ticket));
    }

    /// Raises the counter of a team that had no waiting entries, so that idle time gives it no more
    /// than the credit.
    fn raise_counter(&mut self, id: TeamId) {
        let lowest_counter = self.ready.first().map_or(self.virtual_now, |&(counter, ..)| counter);
        let activation = self.next_ticket;
        let credit_tokens = self.config.idle_credit_tokens;
        self.update_team(id, |team| {
            let credit = virtual_cost(credit_tokens, team.weight);
            team.counter = team.counter.max(lowest_counter.saturating_sub(credit));
            team.activation = activation;
        });
    }

    fn drop_expired(&mut self, now: MonoTime) {
        while let Some(&(deadline, ticket)) = self.deadlines.first() {
            if deadline > now {
                return;
            }
            let team = self.locations[&ticket].team;
            self.drop_entry(ticket, DropCause::Expired);
            self.mark_if_idle(now, team);
        }
    }

    fn drop_entry(&mut self, ticket: Ticket, cause: DropCause) {
        let retry_after_ms = self.retry_after_ms(self.locations[&ticket].team);
        let item = self.remove_waiting(ticket).item;
        self.dropped.push(Dropped { ticket, item, cause, retry_after_ms });
    }

    /// Removes a waiting entry from all indexes.
    fn remove_waiting(&mut self, ticket: Ticket) -> Entry<T> {
        let location = self.locations.remove(&ticket).expect("the entry is waiting");
        self.deadlines.remove(&(location.deadline, ticket));
        let entry = self.update_team(location.team, |team| team.remove(&location.rank));
        self.queued_bytes -= entry.size_bytes;
        entry
    }

    fn charge(&mut self, now: MonoTime, id: TeamId, ticket: Ticket, tokens: u64) {
        let weight = self.teams[&id].weight;
        let cost = virtual_cost(tokens, weight);
        self.update_team(id, |team| {
            team.counter += cost;
            team.running += 1;
        });
        let charge = Charge { team: id, cost, cost_tokens: tokens, weight };
        self.running_tokens += tokens;
        let previous = self.running.insert(ticket, charge);
        assert!(previous.is_none(), "an entry runs only once");
        self.record_slot_use(now, id);
    }

    /// Changes a team and updates its position among the ready teams.
    fn update_team<R>(&mut self, id: TeamId, change: impl FnOnce(&mut Team<T>) -> R) -> R {
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

    /// Records since when a team is idle, if it has just become idle.
    fn mark_if_idle(&mut self, now: MonoTime, id: TeamId) {
        let team = self.teams.get_mut(&id).expect("the team is known");
        if team.is_idle() && team.idle_since.is_none() {
            team.idle_since = Some(now);
            self.idle.insert((now, id));
        }
    }

    /// Forgets teams that have been idle for [`Config::forget_ms`].
    fn forget_idle(&mut self, now: MonoTime) {
        while let Some(&(since, id)) = self.idle.first() {
            if now.ms_since(since) < self.config.forget_ms {
                return;
            }
            self.idle.pop_first();
            let team = self.teams.remove(&id).expect("an idle team is known");
            assert!(team.is_idle(), "only an idle team is forgotten");
            self.team_ids.remove(&team.name);
            self.total_weight -= u128::from(team.weight);
        }
    }
}
