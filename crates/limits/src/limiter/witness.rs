//! Acknowledgements and promises between holders.
//!
//! A holder that cannot read the platform may go on using its share while enough of its witnesses
//! acknowledge it. A revocation needs promises from enough witnesses not to acknowledge the share
//! any more.

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
    /// Asks the witnesses for acknowledgements, and for promises for shares being revoked.
    pub(super) fn ping(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
        if !self.peers.start_ping_if_due(now, &self.config) {
            return;
        }
        for (to, shares) in self.acknowledgement_requests() {
            let body = |_| PeerRequest::Acknowledge { shares };
            self.send(now, &to, ExchangeKind::Acknowledge, body, actions);
        }
        for index in 0..self.slots.len() {
            // The table of a slot that this router no longer follows may be out of date.
            if !self.slots[index].is_followed_by(&self.me) {
                continue;
            }
            self.request_promises(now, index, actions);
        }
    }

    /// The shares to ask each router about. Holders and candidates that are no witnesses get an
    /// empty list, so that their silence is noticed.
    fn acknowledgement_requests(&self) -> BTreeMap<Holder, Vec<ShareTerm>> {
        let mut requests: BTreeMap<Holder, Vec<ShareTerm>> = BTreeMap::new();
        for slot in self.slots.iter().filter(|slot| slot.is_followed_by(&self.me)) {
            let holders = slot.table.iter().flat_map(|read| read.table.holders());
            let candidates = self.peers.candidates(slot.index as usize, &self.config);
            for holder in holders.chain(candidates) {
                requests.entry(holder).or_default();
            }
            // While a claim is pending, acknowledgements for the old term and promises for the new
            // one may come from sets of witnesses that don't overlap.
            let Some(own) = slot.own.as_ref().filter(|_| slot.writing.is_none()) else { continue };
            let share = ShareTerm { slot: slot.index, term: own.term };
            for witness in &own.witnesses {
                requests.entry(witness.clone()).or_default().push(share);
            }
        }
        requests.remove(&self.me);
        requests
    }

    /// Answers with those of the asker's shares that this router still acknowledges.
    pub(super) fn acknowledge(&self, from: &Holder, shares: &[ShareTerm]) -> PeerAnswer {
        let shares =
            shares.iter().copied().filter(|share| self.acknowledges(from, *share)).collect();
        PeerAnswer::Acknowledged { shares }
    }

    fn acknowledges(&self, holder: &Holder, share: ShareTerm) -> bool {
        let Some(slot) = self.slots.get(share.slot as usize) else { return false };
        // An earlier run of this router may have given a promise. A share is marked as being
        // revoked before any promise, so only a run that has itself read the share without that
        // mark may acknowledge it.
        let Some(read) = &slot.table else { return false };
        if slot.promises.get(holder).is_some_and(|promised| *promised >= share.term) {
            return false;
        }
        share.term >= read.table.next_term
            || slot.seen_not_revoking.get(holder) == Some(&share.term)
    }

    /// Records which shares a witness has acknowledged.
    pub(super) fn record_acknowledgements(
        &mut self,
        from: &Holder,
        sent: MonoTime,
        shares: &[ShareTerm],
    ) {
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

    /// Sends a holder a message, so that its silence is noticed.
    pub(super) fn probe_holder(
        &mut self,
        now: MonoTime,
        holder: &Holder,
        actions: &mut Vec<Action>,
    ) {
        if *holder == self.me || self.peers.is_silent(now, holder, &self.config) {
            return;
        }
        let body = |_| PeerRequest::Acknowledge { shares: Vec::new() };
        self.send(now, holder, ExchangeKind::Acknowledge, body, actions);
    }

    /// Promises to stop acknowledging a share, if its holder is silent.
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

    /// Records a promise that a witness has given.
    pub(super) fn record_promise(
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
        self.start_revoke_waits(now, index);
    }

    /// Asks the witnesses of shares being revoked for their promises.
    fn request_promises(&mut self, now: MonoTime, index: usize, actions: &mut Vec<Action>) {
        let revoked: Vec<Share> = shares_being_revoked(&self.slots[index], &self.me);
        for share in revoked {
            let term = ShareTerm { slot: self.slots[index].index, term: share.term };
            if share.witnesses.contains(&self.me) {
                let answer = self.promise(now, &share.holder, term);
                if answer == PeerAnswer::Promised(true) {
                    let me = self.me.clone();
                    self.record_promise(now, &me, &share.holder, term);
                }
            }
            let mut witnesses = share.witnesses.clone();
            witnesses.remove(&self.me);
            for witness in &witnesses {
                let kind = ExchangeKind::Promise { holder: share.holder.clone(), share: term };
                let holder = share.holder.clone();
                let body = |_| PeerRequest::Promise { holder, share: term };
                self.send(now, witness, kind, body, actions);
            }
        }
        self.start_revoke_waits(now, index);
    }

    /// Starts the revoke wait of those revocations that have enough promises.
    fn start_revoke_waits(&mut self, now: MonoTime, index: usize) {
        for share in shares_being_revoked(&self.slots[index], &self.me) {
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
        let dead_witnesses: BTreeSet<&Holder> = share.witnesses.iter().filter(dead).collect();
        let given = share
            .witnesses
            .iter()
            .filter(|w| revocation.promised.contains(*w) || dead_witnesses.contains(w));
        given.count() >= promises_needed(share.witnesses.len())
    }
}

/// The shares of other holders that are being revoked.
fn shares_being_revoked(slot: &Slot, me: &Holder) -> Vec<Share> {
    let Some(read) = &slot.table else { return Vec::new() };
    read.table.shares.iter().filter(|s| s.revoking && s.holder != *me).cloned().collect()
}
