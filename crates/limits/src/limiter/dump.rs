//! The state of a limiter for operators.

use samphirespread_core::prelude::*;
use serde::Serialize;

use crate::limiter::Limiter;

/// The state of a limiter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Snapshot {
    /// Slots in which this router holds a share or follows one.
    pub slots: Vec<SlotDump>,
    /// Teams.
    pub teams: Vec<TeamDump>,
    /// Requests that run.
    pub tickets: usize,
    /// Whether the shares are being handed back.
    pub leaving: bool,
    /// Whether requests of every team can be admitted: from an own share, or from what another
    /// holder lends.
    pub can_admit: bool,
}

/// The state of one slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct SlotDump {
    /// The slot.
    pub slot: u32,
    /// The parts held by this run, of [`PARTS`](crate::PARTS).
    pub parts: u32,
    /// Whether the share may be used now.
    pub in_contact: bool,
    /// Time since the last contact.
    pub contact_age_ms: Option<u64>,
    /// The version of the object as last read.
    pub version: Option<u64>,
    /// Holders as last read, with a mark for those whose share is being revoked.
    pub holders: Vec<String>,
    /// Whether a write is under way.
    pub writing: bool,
}

/// The state of one team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct TeamDump {
    /// The team.
    pub team: TeamName,
    /// Its slot.
    pub slot: u32,
    /// Whole tokens in the bucket of the own share.
    pub level_tokens: u64,
    /// The own share of the burst.
    pub share_burst_tokens: u64,
    /// Tokens lent or reserved.
    pub out_tokens: u64,
    /// Lumps lent.
    pub lumps_out: usize,
    /// Lumps borrowed.
    pub lumps_in: usize,
    /// Tokens in borrowed lumps.
    pub borrowed_tokens: u64,
    /// Requests that wait for a lump.
    pub waiting: usize,
}

impl Limiter {
    /// The state for a dump and for metrics.
    pub fn snapshot(&self, now: MonoTime) -> Snapshot {
        Snapshot {
            slots: self.slot_dumps(now),
            teams: self.team_dumps(now),
            tickets: self.tickets.len(),
            leaving: self.leaving,
            can_admit: self.teams.values().all(|team| self.can_admit(now, team.slot)),
        }
    }

    fn slot_dumps(&self, now: MonoTime) -> Vec<SlotDump> {
        let followed = self.slots.iter().filter(|slot| slot.concerns(&self.me));
        followed
            .map(|slot| SlotDump {
                slot: slot.index,
                parts: slot.own.as_ref().map_or(0, |own| own.parts),
                in_contact: self.in_contact(now, slot.index),
                contact_age_ms: slot.own.as_ref().map(|own| now.ms_since(own.contact(now))),
                version: slot.table.as_ref().map(|read| read.version),
                holders: slot
                    .table
                    .iter()
                    .flat_map(|read| &read.table.shares)
                    .map(|share| {
                        let mark = if share.revoking { " (revoking)" } else { "" };
                        format!("{} {}{mark}", share.holder, share.parts)
                    })
                    .collect(),
                writing: slot.writing.is_some(),
            })
            .collect()
    }

    fn can_admit(&self, now: MonoTime, slot: u32) -> bool {
        let state = &self.slots[slot as usize];
        if state.own.is_some() && self.in_contact(now, slot) {
            return true;
        }
        let read =
            state.table.iter().flat_map(|read| &read.table.shares).map(|share| &share.holder);
        let mut lenders = read.chain(&state.hint).chain(&state.targets);
        lenders.any(|holder| *holder != self.me)
    }

    fn team_dumps(&self, now: MonoTime) -> Vec<TeamDump> {
        self.teams
            .iter()
            .map(|(name, team)| TeamDump {
                team: name.clone(),
                slot: team.slot,
                level_tokens: team.bucket.level().whole_tokens(),
                share_burst_tokens: team.bucket.cap().whole_tokens(),
                out_tokens: team.bucket.out().whole_tokens(),
                lumps_out: team.bucket.lumps_out(),
                lumps_in: team.purse.len(),
                borrowed_tokens: team.purse.available(now).whole_tokens(),
                waiting: team.waiting.len(),
            })
            .collect()
    }
}
