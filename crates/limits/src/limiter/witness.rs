//! Acknowledgements and promises between holders.

use std::collections::{BTreeMap, BTreeSet};

use samphirespread_core::prelude::*;

use crate::{
    limiter::{
        Action, ExchangeKind, Limiter,
        slot::{Slot, promises_needed},
    },
    message::{Holder, PeerAnswer, PeerRequest, ShareTerm},
    table::Share,
};

impl Limiter {
    /// Asks the witnesses for acknowledgements, and for promises where a share is being revoked.
    pub(super) fn ping(&mut self, now: MonoTime, out: &mut Vec<Action>) {
        if !self.peers.ping_is_due(now, &self.config) {
            return;
        }
        for (to, shares) in self.rounds() {
            let body = |_| PeerRequest::Acknowledge { shares };
            self.send(now, &to, ExchangeKind::Acknowledge, body, out);
        }
        for index in 0..self.slots.len() {
            // The table of a slot that this router follows no longer may be old.
            if !self.slots[index].concerns(&self.me) {
                continue;
            }
            self.pursue_revocations(now, index, out);
        }
    }

    /// Which shares to ask each router about. Others that matter are asked about none.
    fn rounds(&self) -> BTreeMap<Holder, Vec<ShareTerm>> {
        let mut rounds: BTreeMap<Holder, Vec<ShareTerm>> = BTreeMap::new();
        for slot in self.slots.iter().filter(|slot| slot.concerns(&self.me)) {
            let holders = slot.table.iter().flat_map(|read| read.table.holders());
            let candidates = self.peers.candidates(slot.index as usize, &self.config);
            for holder in holders.chain(candidates) {
                rounds.entry(holder).or_default();
            }
            // While a claim is under way, acknowledgements for the old term may no longer meet
            // the promises for the new one.
            let Some(own) = slot.own.as_ref().filter(|_| slot.writing.is_none()) else { continue };
            let share = ShareTerm { slot: slot.index, term: own.term };
            for witness in &own.witnesses {
                rounds.entry(witness.clone()).or_default().push(share);
            }
        }
        rounds.remove(&self.me);
        rounds
    }

    /// Answers which of the asker's shares are still acknowledged.
    pub(super) fn acknowledge(&self, from: &Holder, shares: &[ShareTerm]) -> PeerAnswer {
        let shares =
            shares.iter().copied().filter(|share| self.acknowledges(from, *share)).collect();
        PeerAnswer::Acknowledged { shares }
    }

    fn acknowledges(&self, holder: &Holder, share: ShareTerm) -> bool {
        let Some(slot) = self.slots.get(share.slot as usize) else { return false };
        // An earlier run here may have promised. The mark was there before the promise, so
        // only a run that has read the object itself, and the share unmarked, may answer.
        let Some(read) = &slot.table else { return false };
        if slot.promises.get(holder).is_some_and(|promised| *promised >= share.term) {
            return false;
        }
        share.term >= read.table.next_term || slot.seen_unmarked.get(holder) == Some(&share.term)
    }

    pub(super) fn acknowledged(&mut self, from: &Holder, sent: MonoTime, shares: &[ShareTerm]) {
        for share in shares {
            let Some(slot) = self.slots.get_mut(share.slot as usize) else { continue };
            let Some(own) = slot.own.as_mut() else { continue };
            if own.term != share.term || !own.witnesses.contains(from) {
                continue;
            }
            let latest = own.acknowledged.entry(from.clone()).or_default();
            *latest = (*latest).max(sent);
        }
    }

    /// Asks a holder for a sign of life, so that its silence can be told.
    pub(super) fn sound_out(&mut self, now: MonoTime, holder: &Holder, out: &mut Vec<Action>) {
        if *holder == self.me || self.peers.is_silent(now, holder, &self.config) {
            return;
        }
        let body = |_| PeerRequest::Acknowledge { shares: Vec::new() };
        self.send(now, holder, ExchangeKind::Acknowledge, body, out);
    }

    /// Promises to acknowledge a share no more, unless its holder was heard lately.
    pub(super) fn promise(
        &mut self,
        now: MonoTime,
        holder: &Holder,
        share: ShareTerm,
    ) -> PeerAnswer {
        let silent = self.peers.is_silent(now, holder, &self.config);
        let Some(slot) = self.slots.get_mut(share.slot as usize) else {
            return PeerAnswer::Promised(false);
        };
        let promised = slot.promises.get(holder).is_some_and(|term| *term >= share.term);
        if *holder == self.me || !(silent || promised) {
            return PeerAnswer::Promised(false);
        }
        let term = slot.promises.entry(holder.clone()).or_default();
        *term = (*term).max(share.term);
        PeerAnswer::Promised(true)
    }

    pub(super) fn promised(
        &mut self,
        now: MonoTime,
        witness: &Holder,
        holder: &Holder,
        share: ShareTerm,
    ) {
        let index = share.slot as usize;
        if let Some(revocation) = self.slots[index].revocations.get_mut(holder)
            && revocation.term == share.term
        {
            revocation.promised.insert(witness.clone());
        }
        self.complete_revocations(now, index);
    }

    fn pursue_revocations(&mut self, now: MonoTime, index: usize, out: &mut Vec<Action>) {
        let revoked: Vec<Share> = marked_shares(&self.slots[index], &self.me);
        for share in revoked {
            let term = ShareTerm { slot: self.slots[index].index, term: share.term };
            if share.witnesses.contains(&self.me) {
                let answer = self.promise(now, &share.holder, term);
                if answer == PeerAnswer::Promised(true) {
                    let me = self.me.clone();
                    self.promised(now, &me, &share.holder, term);
                }
            }
            let mut witnesses = share.witnesses.clone();
            witnesses.remove(&self.me);
            for witness in &witnesses {
                let kind = ExchangeKind::Promise { holder: share.holder.clone(), share: term };
                let holder = share.holder.clone();
                let body = |_| PeerRequest::Promise { holder, share: term };
                self.send(now, witness, kind, body, out);
            }
        }
        self.complete_revocations(now, index);
    }

    /// Starts the wait of those revocations that have their promises.
    fn complete_revocations(&mut self, now: MonoTime, index: usize) {
        for share in marked_shares(&self.slots[index], &self.me) {
            let enough = self.has_promises(index, &share);
            let wait_ms = self.config.revoke_wait_ms;
            let Some(revocation) = self.slots[index].revocations.get_mut(&share.holder) else {
                continue;
            };
            if enough && revocation.complete_at.is_none() {
                revocation.complete_at = Some(now.plus_ms(wait_ms));
            }
        }
    }

    fn has_promises(&self, index: usize, share: &Share) -> bool {
        let Some(revocation) = self.slots[index].revocations.get(&share.holder) else {
            return false;
        };
        if revocation.term != share.term {
            return false;
        }
        if !self.config.mechanisms.promises {
            return true;
        }
        let dead = |holder: &&Holder| self.peers.is_dead(holder, &self.config);
        if dead(&&share.holder) {
            return true;
        }
        let never: BTreeSet<&Holder> = share.witnesses.iter().filter(dead).collect();
        let given = share
            .witnesses
            .iter()
            .filter(|w| revocation.promised.contains(*w) || never.contains(w));
        given.count() >= promises_needed(share.witnesses.len())
    }
}

fn marked_shares(slot: &Slot, me: &Holder) -> Vec<Share> {
    let Some(read) = &slot.table else { return Vec::new() };
    read.table.shares.iter().filter(|s| s.revoking && s.holder != *me).cloned().collect()
}
