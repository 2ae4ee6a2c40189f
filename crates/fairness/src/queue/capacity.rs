//! Enforces the bounds of the queue and estimates when refused callers should retry.

use samphirespread_core::prelude::*;

use crate::queue::{
    DropCause, Queue,
    team::{Team, TeamId},
};

/// A quantity of waiting entries that is bounded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Bound {
    Entries,
    Bytes,
}

impl<T> Queue<T> {
    /// Drops entries of other teams until an entry of the team fits.
    ///
    /// Returns false if the entry doesn't fit, because it would take the team above its share or no
    /// other team is above its own.
    pub(super) fn make_space(&mut self, now: MonoTime, id: TeamId, size_bytes: u64) -> bool {
        while let Some(bound) = self.exceeded_bound(size_bytes) {
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

    /// Returns the bound that one more entry of this size would exceed.
    fn exceeded_bound(&self, size_bytes: u64) -> Option<Bound> {
        if self.len() >= self.config.max_len {
            Some(Bound::Entries)
        } else if self.queued_bytes.saturating_add(size_bytes) > self.config.max_bytes {
            Some(Bound::Bytes)
        } else {
            None
        }
    }

    /// Drops the last entry of the team furthest above its share, if the given team stays within
    /// its own with `added` more.
    ///
    /// Returns whether an entry was dropped.
    fn displace(&mut self, now: MonoTime, id: TeamId, bound: Bound, added: u64) -> bool {
        let waiting_weight: u128 = self
            .teams
            .values()
            .filter(|team| !team.entries.is_empty() || team.id == id)
            .map(|team| u128::from(team.weight))
            .sum();
        let excess_over_share = |team: &Team<T>| {
            let (used, total) = match bound {
                Bound::Entries => (team.entries.len() as u64, self.config.max_len as u64),
                Bound::Bytes => (team.queued_bytes, self.config.max_bytes),
            };
            let share = u128::from(total) * u128::from(team.weight) / waiting_weight;
            i128::from(used) - i128::try_from(share.max(1)).unwrap_or(i128::MAX)
        };
        if excess_over_share(&self.teams[&id]) + i128::from(added) > 0 {
            return false;
        }
        let furthest_above =
            self.teams.values().max_by_key(|team| (excess_over_share(team), team.id));
        let Some(displaced_team) = furthest_above.filter(|team| excess_over_share(team) > 0) else {
            return false;
        };
        let displaced_team_id = displaced_team.id;
        let rank =
            *displaced_team.entries.last_key_value().expect("a team above its share has entries").0;
        self.drop_entry(rank.ticket, DropCause::Displaced);
        self.mark_if_idle(now, displaced_team_id);
        true
    }

    /// Returns the estimated time until the team's waiting tokens are served at its share of the
    /// throughput, within the configured limits.
    pub(super) fn retry_after_ms(&self, id: TeamId) -> u32 {
        let team = &self.teams[&id];
        let inverse_share = self.total_weight / u128::from(team.weight);
        let tokens = u128::from(team.queued_tokens).saturating_mul(inverse_share.max(1));
        let tokens = u64::try_from(tokens).unwrap_or(u64::MAX);
        let wait_ms = self.throughput.serving_time_ms(tokens).unwrap_or(0);
        let wait_ms = u32::try_from(wait_ms).unwrap_or(u32::MAX);
        wait_ms.clamp(self.config.min_retry_ms, self.config.max_retry_ms)
    }
}
