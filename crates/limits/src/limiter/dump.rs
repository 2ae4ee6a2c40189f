//! A summary of the limiter's state for operators.

use samphirespread_core::prelude::*;
use serde::Serialize;

use crate::limiter::Limiter;

/// A summary of the limiter's state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Snapshot {
    /// Slots in which this router holds a share, should hold one, or has a write pending.
    pub slots: Vec<SlotDump>,
    /// All teams.
    pub teams: Vec<TeamDump>,
    /// Number of running requests.
    pub tickets: usize,
    /// Whether this router is handing its shares to others before it shuts down.
    pub leaving: bool,
    /// Whether requests of every team can be admitted, from this router's own share or from lumps
    /// of another holder.
    pub can_admit: bool,
}

/// The state of one slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct SlotDump {
    /// The index of the slot.
    pub slot: u32,
    /// The parts that this run holds, out of [`PARTS`](crate::PARTS).
    pub parts: u32,
    /// Whether the share may be used now.
    pub in_contact: bool,
    /// Time since the share's last contact with the platform or enough witnesses.
    pub contact_age_ms: Option<u64>,
    /// The version of the slot's object when it was last read.
    pub version: Option<u64>,
    /// The holders when the object was last read, with their parts and whether their share is being
    /// revoked.
    pub holders: Vec<String>,
    /// Whether a write of the object may still take effect.
    pub writing: bool,
}

/// The state of one team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct TeamDump {
    /// The team's name.
    pub team: TeamName,
    /// The team's slot.
    pub slot: u32,
    /// Whole tokens in the bucket of this router's share.
    pub level_tokens: u64,
    /// This router's share of the burst.
    pub share_burst_tokens: u64,
    /// Tokens lent to other routers, or reserved for lumps that an earlier owner may have lent.
    pub out_tokens: u64,
    /// Number of lumps lent.
    pub lumps_out: usize,
    /// Number of lumps borrowed.
    pub lumps_in: usize,
    /// Unspent tokens in borrowed lumps.
    pub borrowed_tokens: u64,
    /// Number of requests that wait for a lump.
    pub waiting: usize,
}

impl Limiter {
    /// Summarizes the state for the admin dump and for metrics.
    pub fn snapshot(&self, now: MonoTime) -> Snapshot {
        Snapshot {
            slots: self.slot_dumps(now),
            teams: self.team_dumps(now),
            tickets: self.charges.len(),
            leaving: self.leaving,
            can_admit: self.teams.values().all(|team| self.can_admit(now, team.slot)),
        }
    }

    fn slot_dumps(&self, now: MonoTime) -> Vec<SlotDump> {
        let followed = self.slots.iter().filter(|slot| slot.is_followed_by(&self.me));
        followed
            .map(|slot| SlotDump {
                slot: slot.index,
                parts: slot.own.as_ref().map_or(0, |own| own.parts),
                in_contact: self.in_contact(now, slot.index),
                contact_age_ms: slot.own.as_ref().map(|own| now.ms_since(own.last_contact(now))),
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
        let mut lenders = read.chain(&state.reported_holders).chain(&state.targets);
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
                out_tokens: team.bucket.outstanding().whole_tokens(),
                lumps_out: team.bucket.lumps_out(),
                lumps_in: team.borrowed.len(),
                borrowed_tokens: team.borrowed.available(now).whole_tokens(),
                waiting: team.waiting.len(),
            })
            .collect()
    }
}
