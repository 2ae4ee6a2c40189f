//! Decides which team may use a free slot of the engine.

use samphirespread_core::prelude::*;

use crate::queue::{
    Queue,
    team::{Team, TeamId},
};

impl<T> Queue<T> {
    /// Returns the team with the lowest counter that may use a free slot and satisfies
    /// `is_eligible`.
    pub(super) fn select_team(
        &self,
        now: MonoTime,
        is_eligible: impl Fn(&Team<T>) -> bool,
    ) -> Option<TeamId> {
        if self.running.len() >= self.config.concurrency {
            return None;
        }
        let mut waiting = self.ready.iter().map(|&(_, _, id)| id);
        waiting.find(|id| is_eligible(&self.teams[id]) && self.may_use_slot(now, *id))
    }

    /// Returns whether a team may use a free slot.
    ///
    /// A team with excess demand that already uses its weighted share must leave free as many slots
    /// as the other teams used on average recently, plus a margin for the variation of their use.
    fn may_use_slot(&self, now: MonoTime, id: TeamId) -> bool {
        let team = &self.teams[&id];
        let share = self.weighted_share(self.config.concurrency, team.weight, self.total_weight);
        if team.running < share || !self.has_excess_demand(now, team) {
            return true;
        }
        let window_ms = self.config.window_ms;
        let own_average = team.slot_use.average(now, window_ms);
        let average_of_others = (self.slot_use.average(now, window_ms) - own_average).max(0.0);
        let expected_of_others =
            average_of_others + self.config.reserve_deviations * average_of_others.sqrt();
        let running_of_others = self.running.len() - team.running;
        let reserved = (expected_of_others.round() as usize).saturating_sub(running_of_others);
        let free = self.config.concurrency - self.running.len();
        free > reserved.max(self.config.reserved_slots)
    }

    /// Returns whether the demand of a team is more than [`Config::excess_factor`] times the demand
    /// of the others, each relative to the weights.
    ///
    /// [`Config::excess_factor`]: crate::Config::excess_factor
    pub(super) fn has_excess_demand(&self, now: MonoTime, team: &Team<T>) -> bool {
        let window_ms = self.config.window_ms;
        let own = team.demand.tokens(now, window_ms);
        let others = (self.demand.tokens(now, window_ms) - own).max(0.0);
        let weight_of_others = (self.total_weight - u128::from(team.weight)) as f64;
        own * weight_of_others > self.config.excess_factor * others * team.weight as f64
    }

    /// Adds requested tokens to the demand of the team and of the queue.
    pub(super) fn record_demand(&mut self, now: MonoTime, id: TeamId, tokens: u64) {
        let window_ms = self.config.window_ms;
        let team = self.teams.get_mut(&id).expect("the team is known");
        team.demand.add(now, tokens, window_ms);
        self.demand.add(now, tokens, window_ms);
    }

    /// Records how many slots the team and the queue use from now on.
    pub(super) fn record_slot_use(&mut self, now: MonoTime, id: TeamId) {
        let window_ms = self.config.window_ms;
        let team = self.teams.get_mut(&id).expect("the team is known");
        team.slot_use.set(now, team.running, window_ms);
        self.slot_use.set(now, self.running.len(), window_ms);
    }

    /// Returns the share of `total` for a team of the given weight, at least one.
    pub(super) fn weighted_share(&self, total: usize, weight: u64, total_weight: u128) -> usize {
        let share = total as u128 * u128::from(weight) / total_weight;
        usize::try_from(share).unwrap_or(total).clamp(1, total)
    }
}
