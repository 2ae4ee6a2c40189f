//! What happens on a full queue, and when callers should come back.

use crate::queue::{
    DropCause, Queue,
    team::{Team, TeamId},
};

impl<T> Queue<T> {
    /// Drops an entry of the team furthest above its part, if this team is below its own.
    pub(super) fn make_room(&mut self, id: TeamId) -> bool {
        let waiting_weight: u128 = self
            .teams
            .values()
            .filter(|team| !team.entries.is_empty() || team.id == id)
            .map(|team| u128::from(team.weight))
            .sum();
        let excess = |team: &Team<T>| {
            let part = self.weighted_part(self.config.max_len, team.weight, waiting_weight);
            team.entries.len() as i64 - part as i64
        };
        if excess(&self.teams[&id]) >= 0 {
            return false;
        }
        let most_above = self.teams.values().max_by_key(|team| (excess(team), team.id));
        let Some(victim) = most_above.filter(|team| excess(team) > 0) else {
            return false;
        };
        let rank = *victim.entries.last_key_value().expect("a team above its part has entries").0;
        self.drop_entry(rank.ticket, DropCause::Displaced);
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
