//! How the engine behaves.

use samphirespread_core::prelude::*;

use crate::weight_store::WeightStore;

const DEFAULT_BATCH_LIMIT: usize = 32;
const DEFAULT_CAPACITY_BLOCKS: usize = 4_096;
const DEFAULT_PREFILL_US_PER_TOKEN: u64 = 5;
const DEFAULT_PREFILL_CHUNK_TOKENS: u64 = 2_048;
const DEFAULT_DECODE_STEP_US: u64 = 2_000;
const DEFAULT_TRANSFER_US_PER_BLOCK: u64 = 1_000;
const DEFAULT_LINGER_MS: u64 = 10_000;
const DEFAULT_WEIGHTS_MS: u64 = 200;
const DEFAULT_WEIGHTS_LIMIT: u32 = 3;

/// How the engine behaves. The default is fast enough for tests.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    pub(super) model: ModelName,
    pub(super) version: WeightsVersion,
    pub(super) batch_limit: usize,
    pub(super) capacity_blocks: usize,
    pub(super) prefill_us_per_token: u64,
    pub(super) prefill_chunk_tokens: u64,
    pub(super) decode_step_us: u64,
    pub(super) transfer_us_per_block: u64,
    pub(super) event_delay_ms: u64,
    pub(super) load_lag_ms: u64,
    pub(super) linger_ms: u64,
    pub(super) checks_fencing: bool,
    pub(super) records_requests: bool,
    pub(super) weight_store: WeightStore,
}

impl EngineConfig {
    /// An engine that serves a version of a model.
    pub fn new(model: &str, version: &str) -> Self {
        Self {
            model: ModelName::new(model),
            version: WeightsVersion::new(version),
            batch_limit: DEFAULT_BATCH_LIMIT,
            capacity_blocks: DEFAULT_CAPACITY_BLOCKS,
            prefill_us_per_token: DEFAULT_PREFILL_US_PER_TOKEN,
            prefill_chunk_tokens: DEFAULT_PREFILL_CHUNK_TOKENS,
            decode_step_us: DEFAULT_DECODE_STEP_US,
            transfer_us_per_block: DEFAULT_TRANSFER_US_PER_BLOCK,
            event_delay_ms: 0,
            load_lag_ms: 0,
            linger_ms: DEFAULT_LINGER_MS,
            checks_fencing: true,
            records_requests: true,
            weight_store: WeightStore::new(DEFAULT_WEIGHTS_MS, DEFAULT_WEIGHTS_LIMIT),
        }
    }

    /// Streams that run at once.
    #[must_use]
    pub fn batch_limit(mut self, streams: usize) -> Self {
        self.batch_limit = streams.max(1);
        self
    }

    /// Blocks that the cache holds.
    #[must_use]
    pub fn capacity_blocks(mut self, blocks: usize) -> Self {
        self.capacity_blocks = blocks;
        self
    }

    /// Time to compute one missing prompt token.
    #[must_use]
    pub fn prefill_us_per_token(mut self, us: u64) -> Self {
        self.prefill_us_per_token = us;
        self
    }

    /// Prompt tokens at most that one step computes.
    #[must_use]
    pub fn prefill_chunk_tokens(mut self, tokens: u64) -> Self {
        self.prefill_chunk_tokens = tokens.max(1);
        self
    }

    /// Time of a step that gives every running stream one token.
    #[must_use]
    pub fn decode_step_us(mut self, us: u64) -> Self {
        self.decode_step_us = us;
        self
    }

    /// Time to export or import one block.
    #[must_use]
    pub fn transfer_us_per_block(mut self, us: u64) -> Self {
        self.transfer_us_per_block = us;
        self
    }

    /// Cache events are published this much late.
    #[must_use]
    pub fn event_delay_ms(mut self, delay_ms: u64) -> Self {
        self.event_delay_ms = delay_ms;
        self
    }

    /// Load reports are this old.
    #[must_use]
    pub fn load_lag_ms(mut self, lag_ms: u64) -> Self {
        self.load_lag_ms = lag_ms;
        self
    }

    /// A stream goes on, and a finished one is kept, this long after its reader left.
    #[must_use]
    pub fn linger_ms(mut self, linger_ms: u64) -> Self {
        self.linger_ms = linger_ms;
        self
    }

    /// Whether orders with an old fencing number are refused.
    #[must_use]
    pub fn checks_fencing(mut self, checks: bool) -> Self {
        self.checks_fencing = checks;
        self
    }

    /// Whether requests and reuses of blocks are recorded. Turn it off for long loads.
    #[must_use]
    pub fn records_requests(mut self, records: bool) -> Self {
        self.records_requests = records;
        self
    }

    /// Where weights come from. Engines that share a store slow each other down.
    #[must_use]
    pub fn weight_store(mut self, store: WeightStore) -> Self {
        self.weight_store = store;
        self
    }
}
