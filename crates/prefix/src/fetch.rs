//! The decision whether to fetch cached blocks from elsewhere or to compute them again.

/// The costs of a transfer of blocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TransferCost {
    /// The time before the first byte: round trips, export and import.
    pub setup_us: u64,
    /// The size of the attention keys and values of one block.
    pub block_bytes: u64,
    /// The throughput of the path in bytes per second.
    pub bytes_per_s: u64,
}

impl TransferCost {
    /// Returns the time that it takes to fetch that many blocks.
    pub fn fetch_us(&self, blocks: u32) -> u64 {
        let bytes = self.block_bytes.saturating_mul(u64::from(blocks));
        let transfer_us = u128::from(bytes) * 1_000_000 / u128::from(self.bytes_per_s.max(1));
        self.setup_us.saturating_add(u64::try_from(transfer_us).unwrap_or(u64::MAX))
    }
}

/// How an engine gets blocks that are missing in its cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BlockSource {
    /// The engine computes them.
    Compute,
    /// The engine imports them from another engine or the kept-cache store.
    Fetch,
}

/// Returns whether to fetch `available` blocks or to compute them.
///
/// Blocks are fetched only if computing them takes more than 1.25 times as long, since a fetch also
/// loads the source and may fail.
///
/// ```
/// use samphirespread_prefix::{BlockSource, TransferCost, block_source};
///
/// let cost = TransferCost { setup_us: 5_000, block_bytes: 256 << 20, bytes_per_s: 3 << 30 };
/// assert_eq!(block_source(&cost, 4, 200_000), BlockSource::Fetch);
/// assert_eq!(block_source(&cost, 4, 50_000), BlockSource::Compute);
/// ```
pub fn block_source(cost: &TransferCost, available: u32, compute_us_per_block: u64) -> BlockSource {
    if available == 0 {
        return BlockSource::Compute;
    }
    let compute_us = compute_us_per_block.saturating_mul(u64::from(available));
    let fetch_us = cost.fetch_us(available);
    if fetch_us.saturating_add(fetch_us / 4) < compute_us {
        BlockSource::Fetch
    } else {
        BlockSource::Compute
    }
}
