//! Messages between an agent and its engine.

use samphirespread_core::prelude::*;
use serde::{Deserialize, Serialize};

/// Starts a stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StartStream {
    /// ID of the stream for resuming and cancelling, which is the text form of an attempt's ID.
    pub id: String,
    /// Fencing number of the order.
    pub fence: FencingNumber,
    /// The model to run.
    pub model: ModelName,
    /// The weights version to run; another one is refused with `412`.
    pub version: WeightsVersion,
    /// Salt of the cache; streams reuse only blocks with the same salt.
    pub cache_salt: String,
    /// Priority of the stream; lower values run first.
    pub priority: u8,
    /// The whole prompt.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    pub max_output_tokens: u32,
    /// Sampling parameters as a JSON object.
    #[serde(default)]
    pub sampling: String,
    /// Keys of the prompt's blocks in cache events, in the order of the prompt.
    pub block_keys: Vec<BlockKey>,
    /// Size of a block in bytes of the prompt; a shorter remainder is never cached.
    pub block_bytes: u32,
}

/// One line of a stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum StreamLine {
    /// The engine has accepted the stream.
    Started {
        /// Incarnation of the engine.
        incarnation: Incarnation,
    },
    /// A piece of output.
    Output {
        /// Number of the output line within the stream, from zero.
        seq: u64,
        /// The text of the piece.
        text: String,
        /// Tokens in the piece.
        tokens: u32,
    },
    /// The end of a complete answer.
    Finished {
        /// Sequence number after the last output line.
        seq: u64,
        /// Why generation ended.
        reason: FinishReason,
        /// Tokens that the stream used.
        usage: Usage,
    },
    /// The engine aborted the stream.
    Failed {
        /// Description of the failure.
        message: String,
    },
}

/// Why generation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model completed its answer.
    Stop,
    /// The maximum number of output tokens was reached.
    Length,
    /// The caller or a newer order cancelled the stream.
    Cancelled,
}

/// Tokens that a stream used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Prompt tokens served from the prefix cache.
    pub cached_tokens: u64,
    /// Tokens generated.
    pub output_tokens: u64,
}

/// Load of an engine at an earlier time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Incarnation of the engine.
    pub incarnation: Incarnation,
    /// Streams in the batch.
    pub running: u32,
    /// Streams that wait to join the batch.
    pub waiting: u32,
    /// Prompt tokens that are not prefilled yet.
    pub prefill_backlog_tokens: u64,
    /// Number of cached blocks.
    pub cached_blocks: u64,
    /// Number of blocks that fit in the cache.
    pub capacity_blocks: u64,
    /// The loaded model and version, if any.
    pub loaded: Option<LoadedWeights>,
    /// Age of the report, in milliseconds.
    pub age_ms: u64,
}

/// The weights that an engine serves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedWeights {
    /// The model.
    pub model: ModelName,
    /// Its version.
    pub version: WeightsVersion,
}

/// A change of an engine's cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Incarnation of the engine.
    pub incarnation: Incarnation,
    /// Number of the event within the incarnation, from zero; a gap means that events were lost.
    pub seq: u64,
    /// What changed.
    pub change: CacheChange,
}

/// What changed in an engine's cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// These blocks have been added.
    Stored(Vec<BlockKey>),
    /// These blocks have been removed.
    Evicted(Vec<BlockKey>),
    /// All blocks have been removed.
    Cleared,
}

/// List of all blocks in an engine's cache.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlockList {
    /// Incarnation of the engine.
    pub incarnation: Incarnation,
    /// The sequence number of the next event.
    pub next_seq: u64,
    /// The cached blocks.
    pub keys: Vec<BlockKey>,
}

/// Lists blocks to transfer between engines, or to or from the kept-cache store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlockTransfer {
    /// Salt of the blocks; they are imported with the salt that they were exported with.
    pub cache_salt: String,
    /// Version of the weights that computed the blocks.
    pub version: WeightsVersion,
    /// Keys of the blocks, in the order of the prefix.
    pub keys: Vec<BlockKey>,
}

/// Orders an engine to load weights.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadWeights {
    /// Fencing number of the order.
    pub fence: FencingNumber,
    /// The model to load.
    pub model: ModelName,
    /// The version to load.
    pub version: WeightsVersion,
}
