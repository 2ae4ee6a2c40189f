//! The selection of the blocks of a prompt that a lookup contains.

use samphirespread_core::prelude::*;
use serde::{Deserialize, Serialize};

/// The maximum number of blocks of a prompt in one lookup.
pub const MAX_SAMPLED_BLOCKS: usize = 8;

/// One block of a prompt.
///
/// Since keys are chained, the key of a block identifies the whole prefix that ends with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SampledBlock {
    /// The number of blocks in the prefix that ends with this one.
    pub depth: u32,
    /// The key of the prefix.
    pub key: BlockKey,
}

/// Selects at most [`MAX_SAMPLED_BLOCKS`] blocks of a prompt, ordered by depth.
///
/// The last block is always selected. The remaining entries go to the depths that are powers of
/// two, smallest first, and then to the smallest other depths. Samples of prompts of different
/// lengths thus have depths in common, and they are dense at the start, where prompts share most.
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
    let sampled_block = |depth: usize| SampledBlock { depth: depth as u32, key: blocks[depth - 1] };
    depths.into_iter().map(sampled_block).collect()
}
