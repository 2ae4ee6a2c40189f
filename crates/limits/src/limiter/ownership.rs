//! Reads and writes the objects that record the shares, and derives this router's share from them.

use samphirespread_core::prelude::*;

use crate::{
    limiter::{
        Action, Call, Limiter, ObjectState, WriteOutcome,
        slot::{OwnShare, PendingRead, PendingWrite, VersionedTable},
    },
    table::{Share, ShareTable},
};

impl Limiter {
    /// Reads the objects that are due.
    pub(super) fn read_due_objects(&mut self, now: MonoTime, actions: &mut Vec<Action>) {
        // The bucket of a team that is added later starts empty. So no share is started before the
        // teams are known.
        if self.teams.is_empty() {
            return;
        }
        for index in 0..self.slots.len() {
            if self.read_is_due(now, index) {
                self.start_read(now, index, actions);
            }
        }
    }

    fn read_is_due(&self, now: MonoTime, index: usize) -> bool {
        let slot = &self.slots[index];
        if !slot.is_followed_by(&self.me) {
            return false;
        }
        if let Some(reading) = slot.reading {
            return now.ms_since(reading.sent) >= self.config.call_timeout_ms;
        }
        let answered = slot.writing.as_ref().is_none_or(|writing| {
            writing.answered || now.ms_since(writing.sent) >= self.config.call_timeout_ms
        });
        let due = slot.last_read_sent.is_none_or(|sent| now.ms_since(sent) >= self.config.poll_ms);
        answered && due
    }

    fn start_read(&mut self, now: MonoTime, index: usize, actions: &mut Vec<Action>) {
        let call = self.new_call();
        let slot = &mut self.slots[index];
        slot.reading = Some(PendingRead { call, sent: now });
        slot.last_read_sent = Some(now);
        actions.push(Action::Read { call, slot: slot.index });
    }

    fn new_call(&mut self) -> Call {
        self.next_call += 1;
        Call(self.next_call)
    }

    /// Processes the result of a read.
    pub(super) fn handle_read(
        &mut self,
        now: MonoTime,
        call: Call,
        state: ObjectState,
        actions: &mut Vec<Action>,
    ) {
        let found = |slot: &super::Slot| slot.reading.is_some_and(|reading| reading.call == call);
        let Some(index) = self.slots.iter().position(found) else { return };
        let Some(reading) = self.slots[index].reading.take() else { return };
        match state {
            ObjectState::Unknown => return,
            ObjectState::Absent => self.slots[index].absent = true,
            ObjectState::Present { version, text } => {
                let Ok(table) = ShareTable::from_json(&text) else { return };
                self.read_table(now, index, reading.sent, VersionedTable { version, table });
            }
        }
        self.write_plan(now, index, actions);
    }

    /// Stores a table that was read or written. `sent` is when that call was sent.
    fn read_table(&mut self, now: MonoTime, index: usize, sent: MonoTime, read: VersionedTable) {
        let slot = &mut self.slots[index];
        if slot.table.as_ref().is_some_and(|known| known.version > read.version) {
            return;
        }
        slot.absent = false;
        // Once the version is higher than the expected one, the pending write has either taken
        // effect already or never will.
        if slot.writing.as_ref().is_some_and(|w| w.expect.is_none_or(|base| read.version > base)) {
            slot.writing = None;
        }
        slot.table = Some(read);
        if slot.writing.is_none() {
            self.apply_table(now, index, sent);
        }
    }

    /// Processes the result of a write.
    pub(super) fn handle_written(
        &mut self,
        now: MonoTime,
        call: Call,
        outcome: WriteOutcome,
        actions: &mut Vec<Action>,
    ) {
        let found = |slot: &super::Slot| slot.writing.as_ref().is_some_and(|w| w.call == call);
        let Some(index) = self.slots.iter().position(found) else { return };
        let slot = &mut self.slots[index];
        let Some(writing) = slot.writing.as_mut() else { return };
        writing.answered = true;
        if let WriteOutcome::Done { version } = outcome {
            let (sent, table) = (writing.sent, writing.table.clone());
            self.read_table(now, index, sent, VersionedTable { version, table });
            return;
        }
        if outcome == WriteOutcome::Conflict && self.slots[index].reading.is_none() {
            self.start_read(now, index, actions);
        }
    }

    /// Updates this router's share and the revocations from the table just stored. `sent` is when
    /// the call was sent.
    fn apply_table(&mut self, now: MonoTime, index: usize, sent: MonoTime) {
        let Some(read) = self.slots[index].table.clone() else { return };
        for holder in read.table.holders() {
            self.peers.ensure_known(&holder);
        }
        self.drop_old_revocations(index, &read.table);
        self.record_not_revoking(index, &read.table);
        match read.table.share(&self.me) {
            None => self.stop_share(now, index),
            Some(share) if !self.is_claimed_here(share) => self.stop_share(now, index),
            Some(share) if self.slots[index].own.is_none() => {
                if !share.revoking {
                    self.start_share(now, index, sent, share);
                }
            }
            Some(share) => self.update_share(now, index, sent, share),
        }
    }

    fn is_claimed_here(&self, share: &Share) -> bool {
        share.claimed_by == Some(self.incarnation) || !self.config.mechanisms.claim_write
    }

    fn start_share(&mut self, now: MonoTime, index: usize, sent: MonoTime, share: &Share) {
        let reserve_until = self.reserve_until(now);
        let slot = &mut self.slots[index];
        let mine = share.claimed_by == Some(self.incarnation);
        let full_parts = if mine && !slot.has_held_share { share.full_parts } else { 0 };
        slot.has_held_share = true;
        slot.own = Some(OwnShare {
            parts: share.parts,
            term: share.term,
            witnesses: share.witnesses.clone(),
            read_sent: sent,
            acknowledged: Default::default(),
        });
        for team in self.teams.values_mut().filter(|team| team.slot as usize == index) {
            team.bucket.start(now, full_parts, share.parts, reserve_until);
        }
    }

    fn stop_share(&mut self, now: MonoTime, index: usize) {
        self.slots[index].own = None;
        self.slots[index].shrinking_to = None;
        for team in self.teams.values_mut().filter(|team| team.slot as usize == index) {
            team.bucket.stop(now);
        }
    }

    fn update_share(&mut self, now: MonoTime, index: usize, sent: MonoTime, share: &Share) {
        let Some(own) = self.slots[index].own.as_mut() else { return };
        if own.term != share.term {
            own.term = share.term;
            own.witnesses = share.witnesses.clone();
            own.acknowledged.clear();
        }
        if !share.revoking {
            own.read_sent = own.read_sent.max(sent);
        }
        let held = own.parts;
        own.parts = share.parts;
        if share.parts > held {
            self.grow_share(now, index, share.parts);
        } else if share.parts < held {
            self.shrink_share(now, index, share.parts);
        }
    }

    fn grow_share(&mut self, now: MonoTime, index: usize, parts: u32) {
        let reserve_until = self.reserve_until(now);
        for team in self.teams.values_mut().filter(|team| team.slot as usize == index) {
            team.bucket.advance(now);
            team.bucket.grow(parts, reserve_until);
        }
    }

    fn shrink_share(&mut self, now: MonoTime, index: usize, parts: u32) {
        for team in self.teams.values_mut().filter(|team| team.slot as usize == index) {
            team.bucket.advance(now);
            team.bucket.shrink(parts);
        }
    }

    /// Writes the table that the object should have, if it differs from the present one.
    fn write_plan(&mut self, now: MonoTime, index: usize, actions: &mut Vec<Action>) {
        if let Some(writing) = self.slots[index].writing.clone() {
            // The version has not changed, so the same write is sent again. Until the version
            // changes, the first write may still take effect.
            self.send_write(now, index, writing.expect, writing.table, actions);
            return;
        }
        let Some(planned) = self.planned_table(now, index) else { return };
        let expect = self.slots[index].table.as_ref().map(|read| read.version);
        self.apply_reductions(now, index, &planned);
        self.send_write(now, index, expect, planned, actions);
    }

    /// Reduces this router's share to the planned table before the table is written.
    fn apply_reductions(&mut self, now: MonoTime, index: usize, planned: &ShareTable) {
        let Some(own) = &self.slots[index].own else { return };
        let held = own.parts;
        match planned.share(&self.me) {
            None => self.stop_share(now, index),
            Some(share) if share.parts < held => {
                self.shrink_share(now, index, share.parts);
                let slot = &mut self.slots[index];
                slot.shrinking_to = None;
                if let Some(own) = slot.own.as_mut() {
                    own.parts = share.parts;
                }
            }
            Some(_) => {}
        }
    }

    fn send_write(
        &mut self,
        now: MonoTime,
        index: usize,
        expect: Option<u64>,
        table: ShareTable,
        actions: &mut Vec<Action>,
    ) {
        let Ok(text) = table.to_json() else { return };
        let call = self.new_call();
        let slot = &mut self.slots[index];
        slot.writing = Some(PendingWrite { call, sent: now, expect, table, answered: false });
        actions.push(Action::Write { call, slot: slot.index, expect, text });
    }

    /// Whether the share of a slot may be used now.
    pub(super) fn in_contact(&self, now: MonoTime, index: u32) -> bool {
        let Some(own) = &self.slots[index as usize].own else { return false };
        if !self.config.mechanisms.contact_rule {
            return true;
        }
        let usable_ms = self.config.revoke_wait_ms - self.config.clock_margin_ms;
        now < own.last_contact(now).plus_ms(usable_ms)
    }

    /// Records the terms of the shares that the table shows as not being revoked.
    fn record_not_revoking(&mut self, index: usize, table: &ShareTable) {
        let seen = &mut self.slots[index].seen_not_revoking;
        seen.retain(|holder, term| table.share(holder).is_some_and(|s| s.term == *term));
        for share in table.shares.iter().filter(|share| !share.revoking) {
            seen.insert(share.holder.clone(), share.term);
        }
    }

    fn drop_old_revocations(&mut self, index: usize, table: &ShareTable) {
        self.slots[index].revocations.retain(|holder, revocation| {
            table.share(holder).is_some_and(|s| s.revoking && s.term == revocation.term)
        });
        // A term that has ended needs no promise, since its number alone is refused. A promise for
        // a term that is newer than this table must be kept.
        self.slots[index].promises.retain(|holder, term| {
            *term >= table.next_term || table.share(holder).is_some_and(|s| s.term <= *term)
        });
    }
}
