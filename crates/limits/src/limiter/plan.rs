//! Plans the next table of a slot: removals, revocations and the distribution of parts.

use samphirespread_core::prelude::*;

use crate::{
    limiter::{Limiter, slot::Revocation},
    message::Holder,
    table::{Share, ShareTable, fair_parts},
};

impl Limiter {
    /// The table that should replace the one last read, or `None` if no change is needed.
    pub(super) fn planned_table(&mut self, now: MonoTime, index: usize) -> Option<ShareTable> {
        let slot = &self.slots[index];
        let Some(read) = slot.table.clone() else {
            return slot.absent.then(|| self.plan_initial_table(index)).flatten();
        };
        let mut table = read.table.clone();
        self.expire_lumps(now, index);
        self.track_revocations(index, &table);
        self.plan_removals(now, index, &mut table);
        self.plan_revocations(now, &mut table);
        if self.leaving {
            self.plan_leaving(index, &mut table);
        } else {
            self.plan_own_share(index, &mut table);
        }
        (table != read.table).then_some(table)
    }

    /// Expires lumps whose lifetime is over, including those of teams without traffic.
    fn expire_lumps(&mut self, now: MonoTime, index: usize) {
        for team in self.teams.values_mut().filter(|team| team.slot as usize == index) {
            team.bucket.advance(now);
        }
    }

    fn plan_initial_table(&self, index: usize) -> Option<ShareTable> {
        let targets = &self.slots[index].targets;
        if self.leaving || !targets.contains(&self.me) {
            return None;
        }
        let mut table = ShareTable::initial(targets);
        table.claim(&self.me, self.incarnation);
        Some(table)
    }

    /// Starts to track the revocations that the table shows.
    fn track_revocations(&mut self, index: usize, table: &ShareTable) {
        for share in table.shares.iter().filter(|share| share.revoking) {
            let fresh =
                || Revocation { term: share.term, promised: Default::default(), complete_at: None };
            self.slots[index].revocations.entry(share.holder.clone()).or_insert_with(fresh);
        }
    }

    /// Reassigns the shares of other holders whose revocation is complete, and those of silent
    /// holders that were never claimed.
    fn plan_removals(&self, now: MonoTime, index: usize, table: &mut ShareTable) {
        let slot = &self.slots[index];
        let over: Vec<Holder> = table
            .shares
            .iter()
            .filter(|share| share.holder != self.me)
            .filter(|share| {
                let revocation = slot.revocations.get(&share.holder);
                let complete = revocation
                    .filter(|revocation| revocation.term == share.term)
                    .and_then(|revocation| revocation.complete_at);
                complete.is_some_and(|at| at <= now)
                    || (share.claimed_by.is_none() && self.is_suspect(now, &share.holder))
            })
            .map(|share| share.holder.clone())
            .collect();
        let targets: Vec<Holder> =
            slot.targets.iter().filter(|target| !over.contains(target)).cloned().collect();
        for holder in &over {
            table.remove(holder, &targets);
        }
    }

    /// Marks the shares of silent holders as being revoked.
    fn plan_revocations(&self, now: MonoTime, table: &mut ShareTable) {
        let suspects: Vec<Holder> = table
            .shares
            .iter()
            .filter(|share| share.holder != self.me && !share.revoking)
            .filter(|share| self.is_suspect(now, &share.holder))
            .map(|share| share.holder.clone())
            .collect();
        for suspect in &suspects {
            table.mark_revoking(suspect);
        }
    }

    fn is_suspect(&self, now: MonoTime, holder: &Holder) -> bool {
        self.peers.is_silent(now, holder, &self.config)
    }

    /// Gives this router's share to others once nothing of it is lent.
    fn plan_leaving(&self, index: usize, table: &mut ShareTable) {
        if table.share(&self.me).is_none() || !self.may_shrink(index, 0) {
            return;
        }
        let targets: Vec<Holder> =
            self.slots[index].targets.iter().filter(|t| **t != self.me).cloned().collect();
        table.remove(&self.me, &targets);
    }

    /// Assigns free parts, gives surplus parts to others, and claims this router's share if needed.
    fn plan_own_share(&mut self, index: usize, table: &mut ShareTable) {
        let targets = self.slots[index].targets.clone();
        let is_target = targets.contains(&self.me);
        if is_target && table.free_parts() > 0 {
            table.assign_free_parts(&targets);
        }
        if let Some(surplus_to) = self.surplus(table, &targets) {
            if self.may_shrink(index, surplus_to) {
                self.release_surplus(table, surplus_to, &targets);
            } else {
                self.slots[index].shrinking_to = Some(surplus_to);
            }
        } else {
            self.slots[index].shrinking_to = None;
        }
        let stale = table.share(&self.me).is_some_and(|share| self.needs_claim(table, share));
        if stale {
            table.claim(&self.me, self.incarnation);
        }
    }

    /// Whether this router's share needs a new claim.
    fn needs_claim(&self, table: &ShareTable, share: &Share) -> bool {
        let unclaimed =
            self.config.mechanisms.claim_write && share.claimed_by != Some(self.incarnation);
        unclaimed || share.revoking || share.witnesses != table.other_holders(&self.me)
    }

    /// The parts to which this router's share should shrink, if it holds more than its fair number
    /// of parts and another target holds less.
    fn surplus(&self, table: &ShareTable, targets: &[Holder]) -> Option<u32> {
        let share = table.share(&self.me)?;
        let fair = if targets.contains(&self.me) { fair_parts(targets.len()) } else { 0 };
        if share.parts <= fair || share.claimed_by != Some(self.incarnation) {
            return None;
        }
        let fair_others = fair_parts(targets.len());
        let missing: u32 = targets
            .iter()
            .filter(|target| **target != self.me)
            .map(|target| fair_others.saturating_sub(table.share(target).map_or(0, |s| s.parts)))
            .sum();
        (missing > 0).then(|| fair.max(share.parts.saturating_sub(missing)))
    }

    fn release_surplus(&self, table: &mut ShareTable, parts: u32, targets: &[Holder]) {
        if parts == 0 {
            table.remove(&self.me, targets);
        } else {
            table.shrink(&self.me, parts, targets);
        }
    }

    /// Whether every team of the slot has lent at most half of the smaller share's burst.
    fn may_shrink(&self, index: usize, parts: u32) -> bool {
        self.teams
            .values()
            .filter(|team| team.slot as usize == index)
            .all(|team| team.bucket.may_shrink(parts))
    }
}
