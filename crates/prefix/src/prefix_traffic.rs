//! An agent's record of which prefixes are shared and how much work they cause.

use samphirespread_core::prelude::*;

use crate::{
    SampledBlock,
    decay::{DecayingSum, steady_state_sum},
    key_map::GenerationalMap,
};

/// A hint from an agent to routers about a hot or shared prefix. It is sent with answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Hint {
    /// The number of blocks in the prefix that the hint is about: the longest prefix with too much
    /// traffic for one worker, or else the longest prefix that several prompts share.
    pub shared_blocks: u32,
    /// The number of workers that the traffic of this prefix needs. If it is greater than one,
    /// prompts with this prefix should be spread over several workers.
    pub replicas: u8,
}

/// The settings of [`PrefixTraffic`].
#[derive(Clone, Copy, Debug)]
pub struct PrefixTrafficConfig {
    max_blocks: usize,
    half_life_ms: u64,
    target_busy_percent: u32,
    max_replicas: u8,
}

impl Default for PrefixTrafficConfig {
    fn default() -> Self {
        Self { max_blocks: 65_536, half_life_ms: 10_000, target_busy_percent: 30, max_replicas: 8 }
    }
}

impl PrefixTrafficConfig {
    /// Sets the maximum number of blocks in the record.
    #[must_use]
    pub fn max_blocks(mut self, blocks: usize) -> Self {
        self.max_blocks = blocks;
        self
    }

    /// Sets the time after which the weight of an observation halves.
    #[must_use]
    pub fn half_life_ms(mut self, ms: u64) -> Self {
        self.half_life_ms = ms.max(1);
        self
    }

    /// Sets the share of an engine's time that one prefix may take before it gets more workers.
    #[must_use]
    pub fn target_busy_percent(mut self, percent: u32) -> Self {
        self.target_busy_percent = percent.max(1);
        self
    }

    /// Sets the maximum number of workers that a hint asks for.
    #[must_use]
    pub fn max_replicas(mut self, replicas: u8) -> Self {
        self.max_replicas = replicas.max(1);
        self
    }
}

/// A bounded record of which prefixes several prompts share, and how much work they cause.
///
/// Routers look each prompt up at all preferred workers of its prefix, so that the agent of each
/// such worker sees the prefix's whole traffic from all routers.
///
/// ```
/// use samphirespread_core::prelude::*;
/// use samphirespread_prefix::{PrefixTraffic, PrefixTrafficConfig};
///
/// let mut traffic = PrefixTraffic::new(PrefixTrafficConfig::default());
/// let now = MonoTime::from_ms(1);
/// assert_eq!(traffic.observe(&[BlockKey(1), BlockKey(2)], 0, now).shared_blocks, 0);
/// assert_eq!(traffic.observe(&[BlockKey(1), BlockKey(3)], 0, now).shared_blocks, 1);
/// ```
#[derive(Clone, Debug)]
pub struct PrefixTraffic {
    config: PrefixTrafficConfig,
    blocks: GenerationalMap<BlockTraffic>,
    runs: DecayingSum,
    busy_s: DecayingSum,
}

#[derive(Clone, Copy, Debug, Default)]
struct BlockTraffic {
    prompts: DecayingSum,
    lookups_without_run: u16,
}

/// The decayed number of prompts from which on a block counts as shared. A second prompt within a
/// half-life reaches it.
const MIN_PROMPTS_OF_SHARED_BLOCK: f32 = 1.5;

impl PrefixTraffic {
    /// Creates an empty record.
    pub fn new(config: PrefixTrafficConfig) -> Self {
        let blocks = GenerationalMap::new(config.max_blocks, config.half_life_ms * 6);
        Self { config, blocks, runs: DecayingSum::default(), busy_s: DecayingSum::default() }
    }

    /// Records a prompt and returns the hint for its prefix. For a lookup `cost_us` is zero. For a
    /// prompt that runs on this engine it is the engine time that the prompt takes.
    ///
    /// A run that follows a lookup of the same prompt doesn't count as a second prompt.
    pub fn observe(&mut self, blocks: &[BlockKey], cost_us: u64, now: MonoTime) -> Hint {
        self.blocks.rotate_if_due(now);
        let half_life_ms = self.config.half_life_ms;
        let new_prompts = self.count_prompt(blocks, cost_us);
        if cost_us > 0 {
            self.runs.add(1.0, now, half_life_ms);
            self.busy_s.add(cost_us as f32 / 1e6, now, half_life_ms);
        }
        for key in blocks {
            let mut traffic = self.blocks.get(*key).unwrap_or_default();
            traffic.prompts.add(new_prompts, now, half_life_ms);
            self.blocks.insert(*key, traffic);
        }
        self.hint(blocks, now)
    }

    /// Records a lookup as [`PrefixTraffic::observe`] does. A lookup contains only a sample of the
    /// prompt's blocks.
    pub fn observe_sample(&mut self, sampled: &[SampledBlock], now: MonoTime) -> Hint {
        let keys: Vec<BlockKey> = sampled.iter().map(|block| block.key).collect();
        let hint = self.observe(&keys, 0, now);
        let last = (hint.shared_blocks as usize).checked_sub(1);
        Hint { shared_blocks: last.map_or(0, |index| sampled[index].depth), ..hint }
    }

    /// Returns the hint for a prompt without recording it.
    pub fn hint(&self, blocks: &[BlockKey], now: MonoTime) -> Hint {
        let half_life_ms = self.config.half_life_ms;
        let workers_per_prompt = self.workers_per_prompt(now);
        let mut hint = Hint { shared_blocks: 0, replicas: 1 };
        for (index, key) in blocks.iter().enumerate() {
            let traffic = self.blocks.get(*key).unwrap_or_default();
            let length = index as u32 + 1;
            let prompts = traffic.prompts.value_at(now, half_life_ms);
            let needed = (prompts * workers_per_prompt).ceil() as u8;
            let replicas = needed.clamp(1, self.config.max_replicas);
            let is_shared = prompts >= MIN_PROMPTS_OF_SHARED_BLOCK;
            if replicas > 1 || (is_shared && hint.replicas == 1) {
                hint = Hint { shared_blocks: length, replicas };
            }
        }
        hint
    }

    /// Returns the number of blocks in the record.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Returns whether the record is empty.
    pub fn is_empty(&self) -> bool {
        self.blocks.len() == 0
    }

    /// Returns the number of workers needed per counted prompt, if all prompts ran here at the mean
    /// cost of the recorded runs.
    fn workers_per_prompt(&self, now: MonoTime) -> f32 {
        let half_life_ms = self.config.half_life_ms;
        let runs = self.runs.value_at(now, half_life_ms).max(1.0);
        let mean_cost_s = self.busy_s.value_at(now, half_life_ms) / runs;
        let target_busy_share = self.config.target_busy_percent as f32 / 100.0;
        mean_cost_s / steady_state_sum(half_life_ms) / target_busy_share
    }

    /// Updates the number of lookups of this prompt that no run has followed yet, which is kept
    /// with its last block. Returns how many prompts this observation counts as: zero for a run
    /// that follows a lookup, otherwise one.
    fn count_prompt(&mut self, blocks: &[BlockKey], cost_us: u64) -> f32 {
        let Some(last) = blocks.last() else { return 0.0 };
        let mut traffic = self.blocks.get(*last).unwrap_or_default();
        let is_lookup = cost_us == 0;
        let was_looked_up = !is_lookup && traffic.lookups_without_run > 0;
        traffic.lookups_without_run = if is_lookup {
            traffic.lookups_without_run.saturating_add(1)
        } else {
            traffic.lookups_without_run.saturating_sub(1)
        };
        self.blocks.insert(*last, traffic);
        if was_looked_up { 0.0 } else { 1.0 }
    }
}
