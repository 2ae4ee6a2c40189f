//! Holds the waiting entries, the counter and the measurements of one team.

use std::{cmp::Reverse, collections::BTreeMap};

use samphirespread_core::prelude::*;

use crate::{
    estimate::{Demand, SlotUse},
    queue::Ticket,
};

/// Fixed-point scale of virtual time, so that small costs of teams with a large weight don't round
/// to zero.
const VIRTUAL_SCALE: u128 = 1 << 20;

/// A number of tokens divided by a weight, in units of 1/[`VIRTUAL_SCALE`].
pub(crate) type VirtualTime = u128;

/// Returns the virtual time that `tokens` cost a team of the given weight.
pub(crate) fn virtual_cost(tokens: u64, weight: u64) -> VirtualTime {
    u128::from(tokens) * VIRTUAL_SCALE / u128::from(weight)
}

/// Identifies a team within one queue.
pub(crate) type TeamId = u32;

/// The sort key of a team with waiting entries: lowest counter first, and among equal counters the
/// team that most recently became active.
pub(crate) type ReadyKey = (VirtualTime, Reverse<u64>, TeamId);

/// The sort key of an entry within its team.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    /// When the entry was pushed, plus [`Config::ageing_ms`](crate::Config::ageing_ms) for each
    /// priority level.
    pub(crate) effective_us: u64,
    pub(crate) ticket: Ticket,
}

/// A waiting entry.
#[derive(Clone, Debug)]
pub(crate) struct Entry<T> {
    pub(crate) item: T,
    pub(crate) cost_tokens: u64,
    pub(crate) size_bytes: u64,
    pub(crate) pushed_at: MonoTime,
    pub(crate) deadline: MonoTime,
}

/// A team that has waiting or running entries, or had some recently.
#[derive(Clone, Debug)]
pub(crate) struct Team<T> {
    pub(crate) id: TeamId,
    pub(crate) name: TeamName,
    pub(crate) weight: u64,
    /// The tokens that the team was served, divided by its weight.
    pub(crate) counter: VirtualTime,
    /// The number of the next ticket when the team last went from no waiting entries to one.
    pub(crate) activation: u64,
    pub(crate) entries: BTreeMap<Rank, Entry<T>>,
    pub(crate) queued_tokens: u64,
    pub(crate) queued_bytes: u64,
    pub(crate) running: usize,
    pub(crate) slot_use: SlotUse,
    pub(crate) demand: Demand,
    pub(crate) idle_since: Option<MonoTime>,
}

impl<T> Team<T> {
    pub(crate) fn new(id: TeamId, name: TeamName, weight: u64) -> Self {
        Self {
            id,
            name,
            weight,
            counter: 0,
            activation: 0,
            entries: BTreeMap::new(),
            queued_tokens: 0,
            queued_bytes: 0,
            running: 0,
            slot_use: SlotUse::default(),
            demand: Demand::default(),
            idle_since: None,
        }
    }

    pub(crate) fn ready_key(&self) -> ReadyKey {
        (self.counter, Reverse(self.activation), self.id)
    }

    pub(crate) fn insert(&mut self, rank: Rank, entry: Entry<T>) {
        self.queued_tokens += entry.cost_tokens;
        self.queued_bytes += entry.size_bytes;
        let previous = self.entries.insert(rank, entry);
        assert!(previous.is_none(), "a ticket is issued only once");
    }

    pub(crate) fn remove(&mut self, rank: &Rank) -> Entry<T> {
        let entry = self.entries.remove(rank).expect("a waiting entry is in its team's queue");
        self.queued_tokens -= entry.cost_tokens;
        self.queued_bytes -= entry.size_bytes;
        entry
    }

    /// Returns whether the team has neither waiting nor running entries.
    pub(crate) fn is_idle(&self) -> bool {
        self.entries.is_empty() && self.running == 0
    }
}
