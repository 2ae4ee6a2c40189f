//! Counts that fade with time.

use samphirespread_core::prelude::*;

/// A sum whose terms halve with each half-life.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Decaying {
    value: f32,
    at: MonoTime,
}

impl Decaying {
    pub(crate) fn at(self, now: MonoTime, half_life_ms: u64) -> f32 {
        let half_lives = now.ms_since(self.at) as f32 / half_life_ms as f32;
        self.value * (-half_lives).exp2()
    }

    pub(crate) fn add(&mut self, amount: f32, now: MonoTime, half_life_ms: u64) {
        self.value = self.at(now, half_life_ms) + amount;
        self.at = now.max(self.at);
    }
}

/// What a constant rate of one a second sums up to.
pub(crate) fn steady_sum(half_life_ms: u64) -> f32 {
    half_life_ms as f32 / 1_000.0 / std::f32::consts::LN_2
}
