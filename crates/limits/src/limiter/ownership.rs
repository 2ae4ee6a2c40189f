//! Reading and writing the objects, and what the own share follows from.

use samphirespread_core::prelude::*;

use crate::{
    limiter::{
        Action, Call, Limiter, ObjectState, WriteOutcome,
        slot::{Own, Reading, Versioned, Writing},
    },
    table::{Share, ShareTable},
};

impl Limiter {
    /// Reads the objects that are due.
    pub(super) fn poll(&mut self, now: MonoTime, out: &mut Vec<Action>) {
        // A share that starts full does so for the teams that are known by then.
        if self.teams.is_empty() {
            return;
        }
        for index in 0..self.slots.len() {
            if self.read_is_due(now, index) {
                self.start_read(now, index, out);
            }
        }
    }

    fn read_is_due(&self, now: MonoTime, index: usize) -> bool {
        let slot = &self.slots[index];
        if !slot.concerns(&self.me) {
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

    fn start_read(&mut self, now: MonoTime, index: usize, out: &mut Vec<Action>) {
        let call = self.new_call();
        let slot = &mut self.slots[index];
        slot.reading = Some(Reading { call, sent: now });
        slot.last_read_sent = Some(now);
        out.push(Action::Read { call, slot: slot.index });
    }

    fn new_call(&mut self) -> Call {
        self.next_call += 1;
        Call(self.next_call)
    }

    pub(super) fn read_done(
        &mut self,
        now: MonoTime,
        call: Call,
        state: ObjectState,
        out: &mut Vec<Action>,
    ) {
        let found = |slot: &super::Slot| slot.reading.is_some_and(|reading| reading.call == call);
        let Some(index) = self.slots.iter().position(found) else { return };
        let Some(reading) = self.slots[index].reading.take() else { return };
        match state {
            ObjectState::Unknown => return,
            ObjectState::Absent => self.slots[index].absent = true,
            ObjectState::Present { version, text } => {
                let Ok(table) = ShareTable::parse(&text) else { return };
                self.read_table(now, index, reading.sent, Versioned { version, table });
            }
        }
        self.act(now, index, out);
    }

    fn read_table(&mut self, now: MonoTime, index: usize, sent: MonoTime, read: Versioned) {
        let slot = &mut self.slots[index];
        if slot.table.as_ref().is_some_and(|known| known.version > read.version) {
            return;
        }
        slot.absent = false;
        // Once the version has moved, the write either shows or never takes effect.
        if slot.writing.as_ref().is_some_and(|w| w.expect.is_none_or(|base| read.version > base)) {
            slot.writing = None;
        }
        slot.table = Some(read);
        if slot.writing.is_none() {
            self.adopt(now, index, sent);
        }
    }

    pub(super) fn written(
        &mut self,
        now: MonoTime,
        call: Call,
        outcome: WriteOutcome,
        out: &mut Vec<Action>,
    ) {
        let found = |slot: &super::Slot| slot.writing.as_ref().is_some_and(|w| w.call == call);
        let Some(index) = self.slots.iter().position(found) else { return };
        let slot = &mut self.slots[index];
        let Some(writing) = slot.writing.as_mut() else { return };
        writing.answered = true;
        if let WriteOutcome::Done { version } = outcome {
            let (sent, table) = (writing.sent, writing.table.clone());
            self.read_table(now, index, sent, Versioned { version, table });
            return;
        }
        if outcome == WriteOutcome::Conflict && self.slots[index].reading.is_none() {
            self.start_read(now, index, out);
        }
    }

    /// Follows the object as just read. `sent` is when the read was sent.
    fn adopt(&mut self, now: MonoTime, index: usize, sent: MonoTime) {
        let Some(read) = self.slots[index].table.clone() else { return };
        for holder in read.table.holders() {
            self.peers.meet(&holder);
        }
        self.drop_old_revocations(index, &read.table);
        self.note_unmarked(index, &read.table);
        match read.table.share(&self.me) {
            None => self.stop_share(now, index),
            Some(share) if !self.is_mine(share) => self.stop_share(now, index),
            Some(share) if self.slots[index].own.is_none() => {
                if !share.revoking {
                    self.start_share(now, index, sent, share);
                }
            }
            Some(share) => self.follow_share(now, index, sent, share),
        }
    }

    fn is_mine(&self, share: &Share) -> bool {
        share.claimed_by == Some(self.incarnation) || !self.config.mechanisms.claim_write
    }

    fn start_share(&mut self, now: MonoTime, index: usize, sent: MonoTime, share: &Share) {
        let reserve_until = self.reserve_until(now);
        let slot = &mut self.slots[index];
        let mine = share.claimed_by == Some(self.incarnation);
        let full_parts = if mine && !slot.has_owned { share.full_parts } else { 0 };
        slot.has_owned = true;
        slot.own = Some(Own {
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

    fn follow_share(&mut self, now: MonoTime, index: usize, sent: MonoTime, share: &Share) {
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
            self.raise_share(now, index, share.parts);
        } else if share.parts < held {
            self.shrink_share(now, index, share.parts);
        }
    }

    fn raise_share(&mut self, now: MonoTime, index: usize, parts: u32) {
        let reserve_until = self.reserve_until(now);
        for team in self.teams.values_mut().filter(|team| team.slot as usize == index) {
            team.bucket.advance(now);
            team.bucket.raise(parts, reserve_until);
        }
    }

    fn shrink_share(&mut self, now: MonoTime, index: usize, parts: u32) {
        for team in self.teams.values_mut().filter(|team| team.slot as usize == index) {
            team.bucket.advance(now);
            team.bucket.shrink(parts);
        }
    }

    /// Writes what the object should become, if anything.
    fn act(&mut self, now: MonoTime, index: usize, out: &mut Vec<Action>) {
        if let Some(writing) = self.slots[index].writing.clone() {
            // The version has not moved, so the same write is sent again. Until the
            // version moves, the first one may still take effect.
            self.send_write(now, index, writing.expect, writing.table, out);
            return;
        }
        let Some(planned) = self.plan(now, index) else { return };
        let expect = self.slots[index].table.as_ref().map(|read| read.version);
        self.prepare_own(now, index, &planned);
        self.send_write(now, index, expect, planned, out);
    }

    /// Acts on what the planned table takes away from this router before it is written.
    fn prepare_own(&mut self, now: MonoTime, index: usize, planned: &ShareTable) {
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
        out: &mut Vec<Action>,
    ) {
        let Ok(text) = table.print() else { return };
        let call = self.new_call();
        let slot = &mut self.slots[index];
        slot.writing = Some(Writing { call, sent: now, expect, table, answered: false });
        out.push(Action::Write { call, slot: slot.index, expect, text });
    }

    /// Whether the share of a slot may be used now.
    pub(super) fn in_contact(&self, now: MonoTime, index: u32) -> bool {
        let Some(own) = &self.slots[index as usize].own else { return false };
        if !self.config.mechanisms.contact_rule {
            return true;
        }
        let usable_ms = self.config.revoke_wait_ms - self.config.clock_margin_ms;
        now < own.contact(now).plus_ms(usable_ms)
    }

    fn note_unmarked(&mut self, index: usize, table: &ShareTable) {
        let seen = &mut self.slots[index].seen_unmarked;
        seen.retain(|holder, term| table.share(holder).is_some_and(|s| s.term == *term));
        for share in table.shares.iter().filter(|share| !share.revoking) {
            seen.insert(share.holder.clone(), share.term);
        }
    }

    fn drop_old_revocations(&mut self, index: usize, table: &ShareTable) {
        self.slots[index].revocations.retain(|holder, revocation| {
            table.share(holder).is_some_and(|s| s.revoking && s.term == revocation.term)
        });
        // A term that is over is refused by its number alone. One that is newer than
        // this table must be kept.
        self.slots[index].promises.retain(|holder, term| {
            *term >= table.next_term || table.share(holder).is_some_and(|s| s.term <= *term)
        });
    }
}
