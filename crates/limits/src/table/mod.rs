//! The object that records which router holds which share of the teams in one slot.

use std::collections::BTreeSet;

use samphirespread_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{
    LimitsError,
    amount::PARTS,
    message::{Holder, Term},
};

/// The object `shares/<slot>`. All teams of the slot are divided in the same way.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareTable {
    /// The term that the next claim gets.
    pub next_term: Term,
    /// The shares. Their parts add up to at most [`PARTS`].
    pub shares: Vec<Share>,
}

/// The share of one holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// The holder.
    pub holder: Holder,
    /// The run that has claimed the share. An unclaimed share is not used.
    pub claimed_by: Option<Incarnation>,
    /// The current term. Each claim starts a new one.
    pub term: Term,
    /// The number of parts of rate and burst, out of [`PARTS`].
    pub parts: u32,
    /// The number of these parts that no router has ever used. The next claim makes them
    /// `full_parts`.
    pub untouched_parts: u32,
    /// The number of these parts that no router had used before the last claim. They start full.
    pub full_parts: u32,
    /// The holders whose acknowledgements count for this term.
    pub witnesses: BTreeSet<Holder>,
    /// Whether the share is being revoked.
    pub revoking: bool,
}

/// The key of a slot's object on the platform.
pub fn table_key(slot: u32) -> String {
    format!("shares/{slot}")
}

/// The slot that a team belongs to.
pub fn slot_of(team: &TeamName, slots: u32) -> u32 {
    let slot = rendezvous::score(team.as_str().as_bytes(), "slot") % u64::from(slots.max(1));
    u32::try_from(slot).unwrap_or(0)
}

impl ShareTable {
    /// Encodes the table as JSON.
    ///
    /// # Errors
    ///
    /// Fails if the table cannot be encoded.
    pub fn to_json(&self) -> Result<String, LimitsError> {
        serde_json::to_string(self).map_err(|_| LimitsError::Table)
    }

    /// Decodes a table from JSON, and checks that no part and no holder appears twice.
    ///
    /// # Errors
    ///
    /// Fails if the text is not a table, its parts add up to more than [`PARTS`], or a holder has
    /// two shares.
    pub fn from_json(text: &str) -> Result<Self, LimitsError> {
        let table: Self = serde_json::from_str(text).map_err(|_| LimitsError::Table)?;
        let holders: BTreeSet<&Holder> = table.shares.iter().map(|share| &share.holder).collect();
        if table.assigned_parts() > PARTS || holders.len() != table.shares.len() {
            return Err(LimitsError::Table);
        }
        Ok(table)
    }

    /// The share of a holder.
    pub fn share(&self, holder: &Holder) -> Option<&Share> {
        self.shares.iter().find(|share| share.holder == *holder)
    }

    /// All holders.
    pub fn holders(&self) -> BTreeSet<Holder> {
        self.shares.iter().map(|share| share.holder.clone()).collect()
    }

    /// All holders except one.
    pub(crate) fn other_holders(&self, holder: &Holder) -> BTreeSet<Holder> {
        let mut others = self.holders();
        others.remove(holder);
        others
    }

    fn assigned_parts(&self) -> u32 {
        self.shares.iter().fold(0u32, |sum, share| sum.saturating_add(share.parts))
    }

    /// The number of parts that no router holds.
    pub(crate) fn free_parts(&self) -> u32 {
        PARTS.saturating_sub(self.assigned_parts())
    }

    /// The first table of a slot. No router has used any part of it.
    pub(crate) fn initial(targets: &[Holder]) -> Self {
        let mut table = Self::default();
        table.assign_free_parts(targets);
        for share in &mut table.shares {
            share.untouched_parts = share.parts;
        }
        table
    }

    /// Claims a share for a run, with the other current holders as witnesses.
    pub(crate) fn claim(&mut self, holder: &Holder, incarnation: Incarnation) {
        let witnesses = self.other_holders(holder);
        let term = self.next_term;
        let Some(share) = self.shares.iter_mut().find(|share| share.holder == *holder) else {
            return;
        };
        share.claimed_by = Some(incarnation);
        share.term = term;
        share.full_parts = share.untouched_parts.min(share.parts);
        share.untouched_parts = 0;
        share.witnesses = witnesses;
        share.revoking = false;
        self.next_term = Term(term.0 + 1);
    }

    /// Marks a share as being revoked.
    pub(crate) fn mark_revoking(&mut self, holder: &Holder) {
        if let Some(share) = self.shares.iter_mut().find(|share| share.holder == *holder) {
            share.revoking = true;
        }
    }

    /// Removes a share and gives its parts to the targets.
    pub(crate) fn remove(&mut self, holder: &Holder, targets: &[Holder]) {
        self.shares.retain(|share| share.holder != *holder);
        self.assign_free_parts(targets);
    }

    /// Reduces a share and gives the freed parts to the other targets.
    pub(crate) fn shrink(&mut self, holder: &Holder, parts: u32, targets: &[Holder]) {
        if let Some(share) = self.shares.iter_mut().find(|share| share.holder == *holder) {
            share.parts = share.parts.min(parts);
        }
        let others: Vec<Holder> = targets.iter().filter(|t| *t != holder).cloned().collect();
        self.assign_free_parts_up_to(&others, fair_parts(targets.len()));
        self.assert_parts_within_total();
    }

    /// Gives the free parts to the targets, as evenly as their present shares allow.
    pub(crate) fn assign_free_parts(&mut self, targets: &[Holder]) {
        self.assign_free_parts_up_to(targets, fair_parts(targets.len()));
        // Parts that are left over, as when `PARTS` is not divisible by the number of targets, go
        // to the first target.
        if let Some(first) = targets.first() {
            let rest = self.free_parts();
            self.add_parts(first, rest);
        }
        self.assert_parts_within_total();
    }

    fn assign_free_parts_up_to(&mut self, targets: &[Holder], fair: u32) {
        for target in targets {
            let held = self.share(target).map_or(0, |share| share.parts);
            let given = fair.saturating_sub(held).min(self.free_parts());
            self.add_parts(target, given);
        }
    }

    fn add_parts(&mut self, holder: &Holder, parts: u32) {
        if parts == 0 {
            return;
        }
        if let Some(share) = self.shares.iter_mut().find(|share| share.holder == *holder) {
            share.parts += parts;
            return;
        }
        let term = self.next_term;
        self.next_term = Term(term.0 + 1);
        self.shares.push(Share {
            holder: holder.clone(),
            claimed_by: None,
            term,
            parts,
            untouched_parts: 0,
            full_parts: 0,
            witnesses: self.holders(),
            revoking: false,
        });
    }

    fn assert_parts_within_total(&self) {
        assert!(self.assigned_parts() <= PARTS, "the parts of a slot add up to more than PARTS");
    }
}

/// The parts of each holder when `holders` divide them evenly.
pub(crate) fn fair_parts(holders: usize) -> u32 {
    PARTS / u32::try_from(holders.max(1)).unwrap_or(PARTS)
}
