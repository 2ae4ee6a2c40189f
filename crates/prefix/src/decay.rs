//! Sums whose older terms lose weight over time.

use samphirespread_core::prelude::*;

/// A sum whose terms halve in weight with each half-life.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct DecayingSum {
    value: f32,
    updated_at: MonoTime,
}

impl DecayingSum {
    pub(crate) fn value_at(self, now: MonoTime, half_life_ms: u64) -> f32 {
        let half_lives = now.ms_since(self.updated_at) as f32 / half_life_ms as f32;
        self.value * (-half_lives).exp2()
    }

    pub(crate) fn add(&mut self, amount: f32, now: MonoTime, half_life_ms: u64) {
        self.value = self.value_at(now, half_life_ms) + amount;
        self.updated_at = now.max(self.updated_at);
    }
}

/// Returns the sum that a constant rate of one per second converges to.
pub(crate) fn steady_state_sum(half_life_ms: u64) -> f32 {
    half_life_ms as f32 / 1_000.0 / std::f32::consts::LN_2
}
