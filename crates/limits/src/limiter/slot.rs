//! The limiter's state for one slot.

use std::collections::{BTreeMap, BTreeSet};

use samphirespread_core::prelude::*;

use crate::{
    limiter::Call,
    message::{Holder, Term},
    table::ShareTable,
};

/// The state of one slot: the object as last read, this router's share, and pending revocations.
#[derive(Debug)]
pub(crate) struct Slot {
    pub(crate) index: u32,
    /// The table that this run last read from, or wrote to, the platform. Never taken from other
    /// routers.
    pub(crate) table: Option<VersionedTable>,
    /// Whether a read has shown that the object does not exist.
    pub(crate) absent: bool,
    pub(crate) own: Option<OwnShare>,
    /// Whether this run has ever held a share of this slot.
    pub(crate) has_held_share: bool,
    /// The routers that should hold shares, in order of preference.
    pub(crate) targets: Vec<Holder>,
    /// The holders of shares as reported by other routers. Used for borrowing only.
    pub(crate) reported_holders: Vec<Holder>,
    pub(crate) reading: Option<PendingRead>,
    pub(crate) last_read_sent: Option<MonoTime>,
    pub(crate) writing: Option<PendingWrite>,
    /// For each holder, the highest term that this run has promised not to acknowledge.
    pub(crate) promises: BTreeMap<Holder, Term>,
    /// The current terms that this run has read before they were marked as being revoked.
    pub(crate) seen_not_revoking: BTreeMap<Holder, Term>,
    pub(crate) revocations: BTreeMap<Holder, Revocation>,
    /// The parts to which the share is about to shrink. While this is set, nothing is lent.
    pub(crate) shrinking_to: Option<u32>,
}

/// A table and the version of its object.
#[derive(Clone, Debug)]
pub(crate) struct VersionedTable {
    pub(crate) version: u64,
    pub(crate) table: ShareTable,
}

/// The share that this run holds.
#[derive(Clone, Debug)]
pub(crate) struct OwnShare {
    pub(crate) parts: u32,
    pub(crate) term: Term,
    pub(crate) witnesses: BTreeSet<Holder>,
    /// When the last read was sent that showed the share as not being revoked.
    pub(crate) read_sent: MonoTime,
    /// For each witness, when the last request that it has acknowledged was sent.
    pub(crate) acknowledged: BTreeMap<Holder, MonoTime>,
}

/// A read that has not finished.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingRead {
    pub(crate) call: Call,
    pub(crate) sent: MonoTime,
}

/// A write that may take effect at any time until a higher version is read.
#[derive(Clone, Debug)]
pub(crate) struct PendingWrite {
    pub(crate) call: Call,
    pub(crate) sent: MonoTime,
    pub(crate) expect: Option<u64>,
    pub(crate) table: ShareTable,
    pub(crate) answered: bool,
}

/// The state of the revocation of another holder's share.
#[derive(Clone, Debug)]
pub(crate) struct Revocation {
    pub(crate) term: Term,
    /// The witnesses that have given their promise.
    pub(crate) promised: BTreeSet<Holder>,
    /// When the share may be removed, once there are enough promises.
    pub(crate) complete_at: Option<MonoTime>,
}

impl Slot {
    pub(crate) fn new(index: u32) -> Self {
        Self {
            index,
            table: None,
            absent: false,
            own: None,
            has_held_share: false,
            targets: Vec::new(),
            reported_holders: Vec::new(),
            reading: None,
            last_read_sent: None,
            writing: None,
            promises: BTreeMap::new(),
            seen_not_revoking: BTreeMap::new(),
            revocations: BTreeMap::new(),
            shrinking_to: None,
        }
    }

    /// Whether router `me` has to keep its copy of the object up to date.
    pub(crate) fn is_followed_by(&self, me: &Holder) -> bool {
        let holds = self.table.as_ref().is_some_and(|t| t.table.share(me).is_some());
        holds || self.writing.is_some() || self.targets.contains(me)
    }
}

impl OwnShare {
    /// The time of the last contact, with the platform or with enough witnesses.
    pub(crate) fn last_contact(&self, now: MonoTime) -> MonoTime {
        self.read_sent.max(self.quorum_sent(now))
    }

    /// The latest time such that enough witnesses have acknowledged a request sent then or later.
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

/// Number of acknowledgements that a holder with this many witnesses needs.
pub(crate) const fn acknowledgements_needed(witnesses: usize) -> usize {
    witnesses.div_ceil(2)
}

/// Number of promises that a revocation needs, so that every sufficient set of acknowledgements
/// includes a witness that has promised.
pub(crate) const fn promises_needed(witnesses: usize) -> usize {
    witnesses - acknowledgements_needed(witnesses) + 1
}
