//! What happens on a full queue, and when callers should come back.

use samphirespread_core::prelude::*;

use crate::queue::{
    DropCause, Queue,
    team::{Team, TeamId},
};

/// What a queue is bounded in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Bound {
    Entries,
    Bytes,
}

impl<T> Queue<T> {
    /// Makes room for an entry of the team. False when others have the better claim.
    pub(super) fn make_room(&mut self, now: MonoTime, id: TeamId, size_bytes: u64) -> bool {
        while let Some(bound) = self.broken_bound(size_bytes) {
            let added = match bound {
                Bound::Entries => 1,
                Bound::Bytes => size_bytes,
            };
            if !self.displace(now, id, bound, added) {
                return false;
            }
        }
        true
    }

    /// The bound that one more entry would break.
    fn broken_bound(&self, size_bytes: u64) -> Option<Bound> {
        if self.len() >= self.config.max_len {
            Some(Bound::Entries)
        } else if self.queued_bytes.saturating_add(size_bytes) > self.config.max_bytes {
            Some(Bound::Bytes)
        } else {
            None
        }
    }

    /// Drops an entry of the team furthest above its part, if this team stays within its own.
    fn displace(&mut self, now: MonoTime, id: TeamId, bound: Bound, added: u64) -> bool {
        let waiting_weight: u128 = self
            .teams
            .values()
            .filter(|team| !team.entries.is_empty() || team.id == id)
            .map(|team| u128::from(team.weight))
            .sum();
        let excess = |team: &Team<T>| {
            let (used, total) = match bound {
                Bound::Entries => (team.entries.len() as u64, self.config.max_len as u64),
                Bound::Bytes => (team.queued_bytes, self.config.max_bytes),
            };
            let part = u128::from(total) * u128::from(team.weight) / waiting_weight;
            i128::from(used) - i128::try_from(part.max(1)).unwrap_or(i128::MAX)
        };
        if excess(&self.teams[&id]) + i128::from(added) > 0 {
            return false;
        }
        let most_above = self.teams.values().max_by_key(|team| (excess(team), team.id));
        let Some(victim) = most_above.filter(|team| excess(team) > 0) else {
            return false;
        };
        let victim_id = victim.id;
        let rank = *victim.entries.last_key_value().expect("a team above its part has entries").0;
        self.drop_entry(rank.ticket, DropCause::Displaced);
        self.note_idle(now, victim_id);
        true
    }

    /// When the team's waiting tokens will have been served at its share of the throughput.
    pub(super) fn retry_after_ms(&self, id: TeamId) -> u32 {
        let team = &self.teams[&id];
        let share_inverse = self.total_weight / u128::from(team.weight);
        let tokens = u128::from(team.queued_tokens).saturating_mul(share_inverse.max(1));
        let tokens = u64::try_from(tokens).unwrap_or(u64::MAX);
        let wait_ms = self.throughput.time_for_ms(tokens).unwrap_or(0);
        let wait_ms = u32::try_from(wait_ms).unwrap_or(u32::MAX);
        wait_ms.clamp(self.config.min_retry_ms, self.config.max_retry_ms)
    }
}
