//! Which blocks of a prompt a lookup names.

use samphirespread_core::prelude::*;
use serde::{Deserialize, Serialize};

/// Blocks of a prompt that one lookup names at most.
pub const MAX_SAMPLED_BLOCKS: usize = 8;

/// One block of a prompt. Since keys are chained, it stands for the whole prefix that ends there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SampledBlock {
    /// Blocks of the prefix that ends with this one.
    pub depth: u32,
    /// The key of the prefix.
    pub key: BlockKey,
}

/// Chooses at most [`MAX_SAMPLED_BLOCKS`] blocks of a prompt, shallowest first.
///
/// The last block is always named, then the depths that are powers of two, and what room is left
/// goes to the shallowest others. Prompts of any length thus have depths in common, and the front,
/// where prompts share most, is dense.
///
/// ```
/// use samphirespread_core::prelude::*;
/// use samphirespread_prefix::sample;
///
/// let blocks: Vec<BlockKey> = (0..64).map(BlockKey).collect();
/// let depths: Vec<u32> = sample(&blocks).iter().map(|block| block.depth).collect();
/// assert_eq!(depths, [1, 2, 3, 4, 8, 16, 32, 64]);
/// ```
pub fn sample(blocks: &[BlockKey]) -> Vec<SampledBlock> {
    let before_last = 1..blocks.len();
    let powers = before_last.clone().filter(|depth| depth.is_power_of_two());
    let others = before_last.filter(|depth| !depth.is_power_of_two());
    let mut depths: Vec<usize> = powers.chain(others).take(MAX_SAMPLED_BLOCKS - 1).collect();
    if !blocks.is_empty() {
        depths.push(blocks.len());
    }
    depths.sort_unstable();
    let sampled = |depth: usize| SampledBlock { depth: depth as u32, key: blocks[depth - 1] };
    depths.into_iter().map(sampled).collect()
}
