//! What the engine did, for assertions.

use samphirespread_core::prelude::*;

/// One reuse of a cached block.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BlockReuse {
    /// The stream that reused the block.
    pub stream: String,
    /// Its salt.
    pub salt: String,
    /// Its weights version.
    pub version: WeightsVersion,
    /// The run of the engine.
    pub incarnation: Incarnation,
    /// The block.
    pub key: BlockKey,
    /// The stream that computed the block; `None` for an imported one.
    pub owner_stream: Option<String>,
    /// The salt under which it was computed.
    pub owner_salt: String,
    /// The weights version that computed it.
    pub owner_version: WeightsVersion,
}

/// One stream that was taken in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamRecord {
    /// The stream's id.
    pub id: String,
    /// The run of the engine.
    pub incarnation: Incarnation,
    /// Its salt.
    pub salt: String,
    /// Its weights version.
    pub version: WeightsVersion,
    /// Its priority.
    pub priority: u8,
    /// Its prompt.
    pub prompt: String,
}

/// Counters since the engine's first start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineTotals {
    /// Streams taken in.
    pub streams: u64,
    /// Prompt tokens of streams that began to run.
    pub prompt_tokens: u64,
    /// Of these, tokens reused from the cache.
    pub cached_tokens: u64,
    /// Prompt tokens computed.
    pub computed_tokens: u64,
    /// Tokens generated.
    pub output_tokens: u64,
    /// Streams that were cancelled or given up before their end.
    pub cancelled: u64,
}

/// What the engine did.
#[derive(Clone, Debug, Default)]
pub struct EngineRecord {
    /// Streams in the order in which they were taken in.
    pub streams: Vec<StreamRecord>,
    /// Ids of streams in the order in which they came into the batch.
    pub begun: Vec<String>,
    /// Reuses of blocks.
    pub reuses: Vec<BlockReuse>,
}
