//! Which team may use a free slot of the engine.

use samphirespread_core::prelude::*;

use crate::queue::{
    Queue,
    team::{Team, TeamId},
};

impl<T> Queue<T> {
    /// The team with the least counter that may use a free slot.
    pub(super) fn next_team(
        &self,
        now: MonoTime,
        is_wanted: impl Fn(&Team<T>) -> bool,
    ) -> Option<TeamId> {
        if self.running.len() >= self.config.concurrency {
            return None;
        }
        let mut waiting = self.ready.iter().map(|&(_, _, id)| id);
        waiting.find(|id| is_wanted(&self.teams[id]) && self.may_use_slot(now, *id))
    }

    /// Whether a team may use a free slot: a team that asks for more than its share
    /// leaves free what the others used lately, and something for their variation.
    fn may_use_slot(&self, now: MonoTime, id: TeamId) -> bool {
        let team = &self.teams[&id];
        let share = self.weighted_part(self.config.concurrency, team.weight, self.total_weight);
        if team.running < share || !self.asks_too_much(now, team) {
            return true;
        }
        let window_ms = self.config.window_ms;
        let average = team.slot_use.average(now, window_ms);
        let others = (self.slot_use.average(now, window_ms) - average).max(0.0);
        let wanted = others + self.config.reserve_deviations * others.sqrt();
        let running_of_others = self.running.len() - team.running;
        let reserved = (wanted.round() as usize).saturating_sub(running_of_others);
        let free = self.config.concurrency - self.running.len();
        free > reserved.max(self.config.reserved_slots)
    }

    /// Whether a team asks for a multiple of what the others ask for, relative to weights.
    pub(super) fn asks_too_much(&self, now: MonoTime, team: &Team<T>) -> bool {
        let window_ms = self.config.window_ms;
        let own = team.offered.tokens(now, window_ms);
        let others = (self.offered.tokens(now, window_ms) - own).max(0.0);
        let weight_of_others = (self.total_weight - u128::from(team.weight)) as f64;
        own * weight_of_others > self.config.excess_factor * others * team.weight as f64
    }

    pub(super) fn note_offer(&mut self, now: MonoTime, id: TeamId, tokens: u64) {
        let window_ms = self.config.window_ms;
        let team = self.teams.get_mut(&id).expect("the team is known");
        team.offered.add(now, tokens, window_ms);
        self.offered.add(now, tokens, window_ms);
    }

    pub(super) fn note_slots(&mut self, now: MonoTime, id: TeamId) {
        let window_ms = self.config.window_ms;
        let team = self.teams.get_mut(&id).expect("the team is known");
        team.slot_use.set(now, team.running, window_ms);
        self.slot_use.set(now, self.running.len(), window_ms);
    }

    /// A team's part of a total, but at least one.
    pub(super) fn weighted_part(&self, total: usize, weight: u64, total_weight: u128) -> usize {
        let part = total as u128 * u128::from(weight) / total_weight;
        usize::try_from(part).unwrap_or(total).clamp(1, total)
    }
}
