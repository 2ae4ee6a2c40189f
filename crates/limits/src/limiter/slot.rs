//! What the limiter knows of one slot.

use std::collections::{BTreeMap, BTreeSet};

use samphirespread_core::prelude::*;

use crate::{
    limiter::Call,
    message::{Holder, Term},
    table::ShareTable,
};

/// One slot: the object as last read, the own share, and revocations under way.
#[derive(Debug)]
pub(crate) struct Slot {
    pub(crate) index: u32,
    /// Only ever read by this run from the platform itself.
    pub(crate) table: Option<Versioned>,
    pub(crate) absent: bool,
    pub(crate) own: Option<Own>,
    /// Whether this run has ever held a share here.
    pub(crate) has_owned: bool,
    pub(crate) targets: Vec<Holder>,
    /// Who holds shares, as other routers say. For borrowing only.
    pub(crate) hint: Vec<Holder>,
    pub(crate) reading: Option<Reading>,
    pub(crate) last_read_sent: Option<MonoTime>,
    pub(crate) writing: Option<Writing>,
    pub(crate) promises: BTreeMap<Holder, Term>,
    /// The present terms that this run has read unmarked.
    pub(crate) seen_unmarked: BTreeMap<Holder, Term>,
    pub(crate) revocations: BTreeMap<Holder, Revocation>,
    /// The parts that the share is about to shrink to; lending stays within them.
    pub(crate) shrinking_to: Option<u32>,
}

/// A table with the version of its object.
#[derive(Clone, Debug)]
pub(crate) struct Versioned {
    pub(crate) version: u64,
    pub(crate) table: ShareTable,
}

/// The share that this run holds.
#[derive(Clone, Debug)]
pub(crate) struct Own {
    pub(crate) parts: u32,
    pub(crate) term: Term,
    pub(crate) witnesses: BTreeSet<Holder>,
    /// When the last read was sent that showed the share unmarked.
    pub(crate) read_sent: MonoTime,
    /// When the last request was sent that each witness has acknowledged.
    pub(crate) acknowledged: BTreeMap<Holder, MonoTime>,
}

/// A read under way.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reading {
    pub(crate) call: Call,
    pub(crate) sent: MonoTime,
}

/// A write that may take effect at any time until a higher version is seen.
#[derive(Clone, Debug)]
pub(crate) struct Writing {
    pub(crate) call: Call,
    pub(crate) sent: MonoTime,
    pub(crate) expect: Option<u64>,
    pub(crate) table: ShareTable,
    pub(crate) answered: bool,
}

/// A share of another holder that is being taken away.
#[derive(Clone, Debug)]
pub(crate) struct Revocation {
    pub(crate) term: Term,
    pub(crate) promised: BTreeSet<Holder>,
    pub(crate) complete_at: Option<MonoTime>,
}

impl Slot {
    pub(crate) fn new(index: u32) -> Self {
        Self {
            index,
            table: None,
            absent: false,
            own: None,
            has_owned: false,
            targets: Vec::new(),
            hint: Vec::new(),
            reading: None,
            last_read_sent: None,
            writing: None,
            promises: BTreeMap::new(),
            seen_unmarked: BTreeMap::new(),
            revocations: BTreeMap::new(),
            shrinking_to: None,
        }
    }

    /// Whether this router has to follow the object.
    pub(crate) fn concerns(&self, me: &Holder) -> bool {
        let holds = self.table.as_ref().is_some_and(|t| t.table.share(me).is_some());
        holds || self.writing.is_some() || self.targets.contains(me)
    }
}

impl Own {
    /// Until when the share may be used without further contact.
    pub(crate) fn contact(&self, now: MonoTime) -> MonoTime {
        self.read_sent.max(self.quorum_sent(now))
    }

    /// When the latest round was sent that enough witnesses have acknowledged.
    fn quorum_sent(&self, now: MonoTime) -> MonoTime {
        let needed = acknowledgements_needed(self.witnesses.len());
        if needed == 0 {
            return now;
        }
        let mut sent: Vec<MonoTime> = self.acknowledged.values().copied().collect();
        sent.sort_unstable_by(|a, b| b.cmp(a));
        sent.get(needed - 1).copied().unwrap_or(MonoTime::ZERO)
    }
}

/// Acknowledgements that a holder with so many witnesses needs.
pub(crate) const fn acknowledgements_needed(witnesses: usize) -> usize {
    witnesses.div_ceil(2)
}

/// Promises that a revocation needs, so that they meet every set of acknowledgements.
pub(crate) const fn promises_needed(witnesses: usize) -> usize {
    witnesses - acknowledgements_needed(witnesses) + 1
}
