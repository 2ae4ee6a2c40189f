//! What a home agent learns from the prompts that it sees.

use samphirespread_core::prelude::*;

use crate::key_map::TwoGenerations;

/// A hint of a home agent to routers. It travels on answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Hint {
    /// Leading blocks that several prompts share.
    pub shared_blocks: u32,
    /// Homes that the shared prefix deserves.
    pub replicas: u8,
}

/// Bounds and targets of [`Heat`].
#[derive(Clone, Copy, Debug)]
pub struct HeatConfig {
    max_blocks: usize,
    half_life_ms: u64,
    target_busy_percent: u32,
    max_replicas: u8,
}

impl Default for HeatConfig {
    fn default() -> Self {
        Self { max_blocks: 65_536, half_life_ms: 10_000, target_busy_percent: 60, max_replicas: 8 }
    }
}

impl HeatConfig {
    /// Sets the number of blocks that are remembered at most.
    #[must_use]
    pub fn max_blocks(mut self, blocks: usize) -> Self {
        self.max_blocks = blocks;
        self
    }

    /// Sets the time after which an observation counts half.
    #[must_use]
    pub fn half_life_ms(mut self, ms: u64) -> Self {
        self.half_life_ms = ms.max(1);
        self
    }

    /// Sets the share of an engine's time that one prefix may take before it gets more homes.
    #[must_use]
    pub fn target_busy_percent(mut self, percent: u32) -> Self {
        self.target_busy_percent = percent.max(1);
        self
    }

    /// Sets the number of homes at most.
    #[must_use]
    pub fn max_replicas(mut self, replicas: u8) -> Self {
        self.max_replicas = replicas.max(1);
        self
    }
}

/// Which leading blocks several prompts share, and how much of the engine's time they take.
///
/// ```
/// use samphirespread_core::prelude::*;
/// use samphirespread_prefix::{Heat, HeatConfig};
///
/// let mut heat = Heat::new(HeatConfig::default());
/// let now = MonoTime::from_ms(1);
/// assert_eq!(heat.observe(&[BlockKey(1), BlockKey(2)], 0, now).shared_blocks, 0);
/// assert_eq!(heat.observe(&[BlockKey(1), BlockKey(3)], 0, now).shared_blocks, 1);
/// ```
#[derive(Clone, Debug)]
pub struct Heat {
    config: HeatConfig,
    blocks: TwoGenerations<BlockHeat>,
}

#[derive(Clone, Copy, Debug)]
struct BlockHeat {
    prompts: f32,
    busy_us: f32,
    seen_at: MonoTime,
    replicas: u8,
    replicas_set_at: MonoTime,
    lookups_before_run: u16,
}

/// Decayed prompts from which on a block counts as shared: a second prompt within a half-life.
const SHARED_PROMPTS: f32 = 1.5;

impl Heat {
    /// An empty record.
    pub fn new(config: HeatConfig) -> Self {
        let blocks = TwoGenerations::new(config.max_blocks, config.half_life_ms * 6);
        Self { config, blocks }
    }

    /// Takes in a prompt that was looked up (`cost_us` is zero) or that runs here, where
    /// `cost_us` is the time that it takes from the engine. Returns the hint for its prefix.
    ///
    /// A run that follows a lookup of the same prompt doesn't count as a second prompt.
    pub fn observe(&mut self, blocks: &[BlockKey], cost_us: u64, now: MonoTime) -> Hint {
        self.blocks.age(now);
        let prompts = self.count_sighting(blocks, cost_us, now);
        let mut hint = Hint { shared_blocks: 0, replicas: 1 };
        for (index, key) in blocks.iter().enumerate() {
            let mut heat = self.decayed(*key, now);
            heat.prompts += prompts;
            heat.busy_us += cost_us as f32;
            self.adjust_replicas(&mut heat, now);
            self.blocks.put(*key, heat);
            if heat.prompts >= SHARED_PROMPTS {
                hint = Hint { shared_blocks: index as u32 + 1, replicas: heat.replicas };
            }
        }
        hint
    }

    /// The hint for a prompt, without counting it.
    pub fn hint(&self, blocks: &[BlockKey], now: MonoTime) -> Hint {
        let mut hint = Hint { shared_blocks: 0, replicas: 1 };
        for (index, key) in blocks.iter().enumerate() {
            let heat = self.decayed(*key, now);
            if heat.prompts + 1.0 >= SHARED_PROMPTS {
                hint = Hint { shared_blocks: index as u32 + 1, replicas: heat.replicas };
            }
        }
        hint
    }

    /// Blocks that are remembered.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.blocks.len() == 0
    }

    /// Notes on the last block whether a run is due, and returns how many prompts this one counts.
    fn count_sighting(&mut self, blocks: &[BlockKey], cost_us: u64, now: MonoTime) -> f32 {
        let Some(last) = blocks.last() else { return 0.0 };
        let mut heat = self.decayed(*last, now);
        let is_lookup = cost_us == 0;
        let was_looked_up = !is_lookup && heat.lookups_before_run > 0;
        heat.lookups_before_run = if is_lookup {
            heat.lookups_before_run.saturating_add(1)
        } else {
            heat.lookups_before_run.saturating_sub(1)
        };
        self.blocks.put(*last, heat);
        if was_looked_up { 0.0 } else { 1.0 }
    }

    fn decayed(&self, key: BlockKey, now: MonoTime) -> BlockHeat {
        let Some(heat) = self.blocks.get(key) else {
            return BlockHeat {
                prompts: 0.0,
                busy_us: 0.0,
                seen_at: now,
                replicas: 1,
                replicas_set_at: now,
                lookups_before_run: 0,
            };
        };
        let half_lives = now.ms_since(heat.seen_at) as f32 / self.config.half_life_ms as f32;
        let factor = (-half_lives).exp2();
        BlockHeat {
            prompts: heat.prompts * factor,
            busy_us: heat.busy_us * factor,
            seen_at: now,
            ..heat
        }
    }

    /// Doubles or halves the homes, at most once per half-life, so that one change shows in the
    /// share of this engine before the next.
    fn adjust_replicas(&self, heat: &mut BlockHeat, now: MonoTime) {
        if now.ms_since(heat.replicas_set_at) < self.config.half_life_ms {
            return;
        }
        // A constant rate of work decays to rate * half-life / ln 2.
        let window_us = self.config.half_life_ms as f32 * 1_000.0 / std::f32::consts::LN_2;
        let busy_percent = heat.busy_us / window_us * 100.0;
        let target = self.config.target_busy_percent as f32;
        let replicas = if busy_percent > target {
            heat.replicas.saturating_mul(2).min(self.config.max_replicas)
        } else if busy_percent < target / 4.0 {
            (heat.replicas / 2).max(1)
        } else {
            heat.replicas
        };
        if replicas != heat.replicas {
            heat.replicas = replicas;
            heat.replicas_set_at = now;
        }
    }
}
