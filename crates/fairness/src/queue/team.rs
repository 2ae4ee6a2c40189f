//! One team's entries and counter.

use std::{cmp::Reverse, collections::BTreeMap};

use samphirespread_core::prelude::*;

use crate::{
    estimate::{Offered, SlotUse},
    queue::Ticket,
};

/// Fixed-point scale of virtual time, so that small costs of heavy teams still count.
const VIRTUAL_SCALE: u128 = 1 << 20;

/// Tokens divided by weight.
pub(crate) type VirtualTime = u128;

/// The virtual time that so many tokens take for a team of that weight.
pub(crate) fn virtual_cost(tokens: u64, weight: u64) -> VirtualTime {
    u128::from(tokens) * VIRTUAL_SCALE / u128::from(weight)
}

/// Names a team within one queue.
pub(crate) type TeamId = u32;

/// The place of a waiting team: least counter first, then the latest to return.
pub(crate) type ReadyKey = (VirtualTime, Reverse<u64>, TeamId);

/// The place of an entry within its team.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    /// When the entry was pushed, plus the head start that more urgent entries get.
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

/// A team that waits, runs or did so lately.
#[derive(Clone, Debug)]
pub(crate) struct Team<T> {
    pub(crate) id: TeamId,
    pub(crate) name: TeamName,
    pub(crate) weight: u64,
    pub(crate) counter: VirtualTime,
    pub(crate) activation: u64,
    pub(crate) entries: BTreeMap<Rank, Entry<T>>,
    pub(crate) queued_tokens: u64,
    pub(crate) queued_bytes: u64,
    pub(crate) running: usize,
    pub(crate) slot_use: SlotUse,
    pub(crate) offered: Offered,
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
            offered: Offered::default(),
            idle_since: None,
        }
    }

    pub(crate) fn ready_key(&self) -> ReadyKey {
        (self.counter, Reverse(self.activation), self.id)
    }

    pub(crate) fn insert(&mut self, rank: Rank, entry: Entry<T>) {
        self.queued_tokens += entry.cost_tokens;
        self.queued_bytes += entry.size_bytes;
        let earlier = self.entries.insert(rank, entry);
        assert!(earlier.is_none(), "a ticket is issued once");
    }

    pub(crate) fn remove(&mut self, rank: &Rank) -> Entry<T> {
        let entry = self.entries.remove(rank).expect("a waiting entry is in its team's queue");
        self.queued_tokens -= entry.cost_tokens;
        self.queued_bytes -= entry.size_bytes;
        entry
    }

    /// Whether the team neither waits nor runs.
    pub(crate) fn is_idle(&self) -> bool {
        self.entries.is_empty() && self.running == 0
    }
}
