//! Messages between an agent and its engine.

use samphirespread_core::prelude::*;
use serde::{Deserialize, Serialize};

/// Starts a stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StartStream {
    /// Names the stream for resuming and cancelling; an attempt's text form.
    pub id: String,
    /// The fencing number of the order.
    pub fence: FencingNumber,
    /// The model to run.
    pub model: ModelName,
    /// The weights version to run; another one is refused with `412`.
    pub version: WeightsVersion,
    /// Blocks are reused only between streams with the same salt.
    pub cache_salt: String,
    /// Lower runs first.
    pub priority: u8,
    /// The whole prompt.
    pub prompt: String,
    /// Tokens at most to generate.
    pub max_output_tokens: u32,
    /// Sampling parameters as a JSON object.
    #[serde(default)]
    pub sampling: String,
    /// The keys under which cache events name the prompt's blocks, first block first.
    pub block_keys: Vec<BlockKey>,
    /// Size of a block in prompt bytes; a shorter rest is never cached.
    pub block_bytes: u32,
}

/// One line of a stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum StreamLine {
    /// The engine has taken the stream in.
    Started {
        /// The run of the engine.
        incarnation: Incarnation,
    },
    /// A piece of output.
    Output {
        /// Counts the output lines of the stream from zero.
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
        /// What the stream used.
        usage: Usage,
    },
    /// The engine gave up on the stream.
    Failed {
        /// What went wrong.
        message: String,
    },
}

/// Why generation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model ended its answer.
    Stop,
    /// The cap on output tokens was reached.
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

/// The load of an engine, as it was some time ago.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The run of the engine.
    pub incarnation: Incarnation,
    /// Streams in the batch.
    pub running: u32,
    /// Streams that wait for the batch.
    pub waiting: u32,
    /// Prompt tokens still to prefill.
    pub prefill_backlog_tokens: u64,
    /// Cached blocks.
    pub cached_blocks: u64,
    /// Blocks that fit.
    pub capacity_blocks: u64,
    /// The model and version loaded, if any.
    pub loaded: Option<LoadedWeights>,
    /// Age of the report.
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
    /// The run of the engine.
    pub incarnation: Incarnation,
    /// Counts the events of the run from zero; a jump means that events were lost.
    pub seq: u64,
    /// What changed.
    pub change: CacheChange,
}

/// What changed in an engine's cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// These blocks are cached now.
    Stored(Vec<BlockKey>),
    /// These blocks are gone.
    Evicted(Vec<BlockKey>),
    /// Nothing is cached any more.
    Cleared,
}

/// All that an engine has cached.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlockList {
    /// The run of the engine.
    pub incarnation: Incarnation,
    /// The sequence number of the next event.
    pub next_seq: u64,
    /// The cached blocks.
    pub keys: Vec<BlockKey>,
}

/// Moves blocks between engines or to and from the kept-cache store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlockTransfer {
    /// Blocks are imported under the salt that they were exported with.
    pub cache_salt: String,
    /// The weights version that computed the blocks.
    pub version: WeightsVersion,
    /// The blocks, first of the prefix first.
    pub keys: Vec<BlockKey>,
}

/// Orders an engine to load weights.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadWeights {
    /// The fencing number of the order.
    pub fence: FencingNumber,
    /// The model to load.
    pub model: ModelName,
    /// The version to load.
    pub version: WeightsVersion,
}
