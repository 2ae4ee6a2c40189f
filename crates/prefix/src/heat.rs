//! What a home agent learns from the prompts that it sees.

use samphirespread_core::prelude::*;

use crate::{
    SampledBlock,
    decay::{Decaying, steady_sum},
    key_map::TwoGenerations,
};

/// A hint of a home agent to routers. It travels on answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Hint {
    /// Leading blocks of the prefix that the hint is about: the longest one that is too hot for one
    /// home, or else the longest one that several prompts share.
    pub shared_blocks: u32,
    /// Homes that this prefix deserves. More than one means that prompts below it should spread.
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
        Self { max_blocks: 65_536, half_life_ms: 10_000, target_busy_percent: 30, max_replicas: 8 }
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

/// Which leading blocks several prompts share, and how much work they bring.
///
/// The homes of a prefix are all looked up for each prompt below it, so that each of them sees the
/// prefix's whole traffic, from whichever router it comes.
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
    runs: Decaying,
    busy_s: Decaying,
}

#[derive(Clone, Copy, Debug, Default)]
struct BlockHeat {
    prompts: Decaying,
    lookups_before_run: u16,
}

/// Decayed prompts from which on a block counts as shared: a second prompt within a half-life.
const SHARED_PROMPTS: f32 = 1.5;

impl Heat {
    /// An empty record.
    pub fn new(config: HeatConfig) -> Self {
        let blocks = TwoGenerations::new(config.max_blocks, config.half_life_ms * 6);
        Self { config, blocks, runs: Decaying::default(), busy_s: Decaying::default() }
    }

    /// Takes in a prompt that was looked up (`cost_us` is zero) or that runs here, where
    /// `cost_us` is the time that it takes from the engine. Returns the hint for its prefix.
    ///
    /// A run that follows a lookup of the same prompt doesn't count as a second prompt.
    pub fn observe(&mut self, blocks: &[BlockKey], cost_us: u64, now: MonoTime) -> Hint {
        self.blocks.age(now);
        let half_life_ms = self.config.half_life_ms;
        let prompts = self.count_sighting(blocks, cost_us);
        if cost_us > 0 {
            self.runs.add(1.0, now, half_life_ms);
            self.busy_s.add(cost_us as f32 / 1e6, now, half_life_ms);
        }
        for key in blocks {
            let mut heat = self.blocks.get(*key).unwrap_or_default();
            heat.prompts.add(prompts, now, half_life_ms);
            self.blocks.put(*key, heat);
        }
        self.hint(blocks, now)
    }

    /// As [`Heat::observe`] for a lookup, which names a sample of the prompt's blocks.
    pub fn observe_sample(&mut self, sampled: &[SampledBlock], now: MonoTime) -> Hint {
        let keys: Vec<BlockKey> = sampled.iter().map(|block| block.key).collect();
        let hint = self.observe(&keys, 0, now);
        let last = (hint.shared_blocks as usize).checked_sub(1);
        Hint { shared_blocks: last.map_or(0, |index| sampled[index].depth), ..hint }
    }

    /// The hint for a prompt that was observed.
    pub fn hint(&self, blocks: &[BlockKey], now: MonoTime) -> Hint {
        let half_life_ms = self.config.half_life_ms;
        let homes_per_prompt = self.homes_per_prompt(now);
        let mut hint = Hint { shared_blocks: 0, replicas: 1 };
        for (index, key) in blocks.iter().enumerate() {
            let heat = self.blocks.get(*key).unwrap_or_default();
            let length = index as u32 + 1;
            let prompts = heat.prompts.at(now, half_life_ms);
            let deserved = (prompts * homes_per_prompt).ceil() as u8;
            let replicas = deserved.clamp(1, self.config.max_replicas);
            let is_shared = prompts >= SHARED_PROMPTS;
            if replicas > 1 || (is_shared && hint.replicas == 1) {
                hint = Hint { shared_blocks: length, replicas };
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

    /// Homes for each counted prompt, if all of them came here at their mean cost.
    fn homes_per_prompt(&self, now: MonoTime) -> f32 {
        let half_life_ms = self.config.half_life_ms;
        let runs = self.runs.at(now, half_life_ms).max(1.0);
        let mean_cost_s = self.busy_s.at(now, half_life_ms) / runs;
        let target = self.config.target_busy_percent as f32 / 100.0;
        mean_cost_s / steady_sum(half_life_ms) / target
    }

    /// Notes on the last block whether a run is due, and returns how many prompts this one counts.
    fn count_sighting(&mut self, blocks: &[BlockKey], cost_us: u64) -> f32 {
        let Some(last) = blocks.last() else { return 0.0 };
        let mut heat = self.blocks.get(*last).unwrap_or_default();
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
}
