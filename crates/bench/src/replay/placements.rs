//! The placements that are compared.

use rand::Rng;
use samphirespread_core::prelude::*;
use samphirespread_prefix::{
    CandidateState, Candidates, FirstBlock, Hint, LeastLoad, Placement, PrefixAffinity, Prompt,
    RoundRobin, WorkerSet, choose,
};

/// A placement in a replay.
pub trait ReplayPlacement: Placement {
    /// Whether it is shown the true state of every engine before each prompt.
    fn knows_engines(&self) -> bool {
        false
    }

    /// Takes in the true state of every engine for the prompt that comes next.
    fn see(&mut self, _standings: Vec<CandidateState>) {}

    /// Whether workers report their load to routers at an interval.
    fn uses_load_reports(&self) -> bool {
        false
    }
}

impl ReplayPlacement for RoundRobin {}

impl ReplayPlacement for FirstBlock {}

impl ReplayPlacement for PrefixAffinity {}

impl ReplayPlacement for LeastLoad {
    fn uses_load_reports(&self) -> bool {
        true
    }
}

/// Knows every engine's cache and queue at no cost. Only a replay can offer that.
#[derive(Clone, Debug, Default)]
pub struct AllKnowing {
    standings: Vec<CandidateState>,
    is_greedy: bool,
}

impl AllKnowing {
    /// One that gives each prompt its earliest first token, whatever that costs later ones.
    pub fn greedy() -> Self {
        Self { is_greedy: true, ..Self::default() }
    }

    fn earliest(&self, prompt: &Prompt<'_>) -> Option<usize> {
        let up = self.standings.iter().enumerate().filter(|(_, standing)| standing.takes_work);
        up.min_by_key(|(_, standing)| standing.first_token_us(prompt)).map(|(place, _)| place)
    }
}

impl ReplayPlacement for AllKnowing {
    fn knows_engines(&self) -> bool {
        true
    }

    fn see(&mut self, standings: Vec<CandidateState>) {
        self.standings = standings;
    }
}

impl Placement for AllKnowing {
    fn candidates<R: Rng + ?Sized>(
        &mut self,
        prompt: &Prompt<'_>,
        _workers: &WorkerSet,
        _now: MonoTime,
        _rng: &mut R,
    ) -> Candidates {
        let mut candidates = Candidates::default();
        let place =
            if self.is_greedy { self.earliest(prompt) } else { choose(prompt, &self.standings) };
        if let Some(place) = place {
            candidates.push(place);
        }
        candidates
    }

    fn record_hint(&mut self, _prompt: &Prompt<'_>, _hint: Hint, _now: MonoTime) {}
}
