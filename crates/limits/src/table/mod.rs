//! The object that says who holds which share of the teams in one slot.

use std::collections::BTreeSet;

use samphirespread_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{
    LimitsError,
    amount::PARTS,
    message::{Holder, Term},
};

/// The object `shares/<slot>`. All teams of the slot are shared out alike.
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
    /// The run that has claimed the share. Nobody uses it before.
    pub claimed_by: Option<Incarnation>,
    /// The term since the last claim.
    pub term: Term,
    /// Parts of rate and burst.
    pub parts: u32,
    /// Of the parts, those that nobody has used before the next claim.
    pub untouched_parts: u32,
    /// Of the parts, those that nobody had used before the last claim. They started full.
    pub full_parts: u32,
    /// The holders whose acknowledgements count for this term.
    pub witnesses: BTreeSet<Holder>,
    /// Whether the share is being taken away.
    pub revoking: bool,
}

/// The key of a slot's object.
pub fn table_key(slot: u32) -> String {
    format!("shares/{slot}")
}

/// The slot of a team.
pub fn slot_of(team: &TeamName, slots: u32) -> u32 {
    let slot = rendezvous::score(team.as_str().as_bytes(), "slot") % u64::from(slots.max(1));
    u32::try_from(slot).unwrap_or(0)
}

impl ShareTable {
    /// The table as text.
    ///
    /// # Errors
    ///
    /// Fails when the table cannot be encoded.
    pub fn print(&self) -> Result<String, LimitsError> {
        serde_json::to_string(self).map_err(|_| LimitsError::Table)
    }

    /// Reads a table and checks that no part is given twice.
    ///
    /// # Errors
    ///
    /// Fails when the text is no table, or its parts add up to more than there are.
    pub fn parse(text: &str) -> Result<Self, LimitsError> {
        let table: Self = serde_json::from_str(text).map_err(|_| LimitsError::Table)?;
        let holders: BTreeSet<&Holder> = table.shares.iter().map(|share| &share.holder).collect();
        if table.parts_held() > PARTS || holders.len() != table.shares.len() {
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

    /// All holders but one.
    pub(crate) fn others(&self, holder: &Holder) -> BTreeSet<Holder> {
        let mut others = self.holders();
        others.remove(holder);
        others
    }

    fn parts_held(&self) -> u32 {
        self.shares.iter().fold(0u32, |sum, share| sum.saturating_add(share.parts))
    }

    /// Parts that nobody holds.
    pub(crate) fn free_parts(&self) -> u32 {
        PARTS.saturating_sub(self.parts_held())
    }

    /// The first table of a slot. Nobody has used any part of it.
    pub(crate) fn first(targets: &[Holder]) -> Self {
        let mut table = Self::default();
        table.give_free(targets);
        for share in &mut table.shares {
            share.untouched_parts = share.parts;
        }
        table
    }

    /// Claims a share for a run, with the present co-holders as witnesses.
    pub(crate) fn claim(&mut self, holder: &Holder, incarnation: Incarnation) {
        let witnesses = self.others(holder);
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

    /// Marks a share as being taken away.
    pub(crate) fn mark(&mut self, holder: &Holder) {
        if let Some(share) = self.shares.iter_mut().find(|share| share.holder == *holder) {
            share.revoking = true;
        }
    }

    /// Takes a share away and gives its parts to the targets.
    pub(crate) fn remove(&mut self, holder: &Holder, targets: &[Holder]) {
        self.shares.retain(|share| share.holder != *holder);
        self.give_free(targets);
    }

    /// Makes a share smaller and gives the difference to the targets.
    pub(crate) fn shrink(&mut self, holder: &Holder, parts: u32, targets: &[Holder]) {
        if let Some(share) = self.shares.iter_mut().find(|share| share.holder == *holder) {
            share.parts = share.parts.min(parts);
        }
        let others: Vec<Holder> = targets.iter().filter(|t| *t != holder).cloned().collect();
        self.give_free_up_to(&others, fair_parts(targets.len()));
        self.assert_whole();
    }

    /// Gives the parts that nobody holds to the targets, evenly.
    pub(crate) fn give_free(&mut self, targets: &[Holder]) {
        self.give_free_up_to(targets, fair_parts(targets.len()));
        // What is left, since others hold more than their even part, goes to the first target.
        if let Some(first) = targets.first() {
            let rest = self.free_parts();
            self.add(first, rest);
        }
        self.assert_whole();
    }

    fn give_free_up_to(&mut self, targets: &[Holder], fair: u32) {
        for target in targets {
            let held = self.share(target).map_or(0, |share| share.parts);
            let given = fair.saturating_sub(held).min(self.free_parts());
            self.add(target, given);
        }
    }

    fn add(&mut self, holder: &Holder, parts: u32) {
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

    fn assert_whole(&self) {
        assert!(self.parts_held() <= PARTS, "parts of a slot exceed the whole");
    }
}

/// The even part of each of `holders`.
pub(crate) fn fair_parts(holders: usize) -> u32 {
    PARTS / u32::try_from(holders.max(1)).unwrap_or(PARTS)
}
