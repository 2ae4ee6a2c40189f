//! Bytes that placement spends on messages of its own.

use samphirespread_prefix::MAX_SAMPLED_BLOCKS;

/// Frame headers, compressed header fields and the envelope of one message on an h2 stream.
const MESSAGE_OVERHEAD_BYTES: u64 = 60;

/// A block key and its depth in the variable-length integers of the codec.
const SAMPLED_BLOCK_BYTES: u64 = 10;

/// The answer to a lookup.
pub(crate) const LOOKUP_REPLY_BYTES: u64 = MESSAGE_OVERHEAD_BYTES + 20;

/// A refusal with its standing.
pub(crate) const REFUSAL_BYTES: u64 = MESSAGE_OVERHEAD_BYTES + 24;

/// A lookup of a prompt with that many blocks.
pub(crate) fn lookup_bytes(blocks: usize) -> u64 {
    let sampled = blocks.min(MAX_SAMPLED_BLOCKS) as u64;
    MESSAGE_OVERHEAD_BYTES + 5 + SAMPLED_BLOCK_BYTES * sampled
}

/// What a replay spent on lookups and refusals.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ControlBytes {
    pub(crate) lookups: u64,
    pub(crate) refusals: u64,
    pub(crate) bytes: u64,
}
