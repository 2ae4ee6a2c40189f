//! Chained hashes of the blocks of a prompt.

use samphirespread_core::prelude::*;
use sha2::{Digest, Sha256};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::PrefixError;

/// The default number of prompt bytes in one cache block: 2,048 tokens of four bytes.
pub const DEFAULT_BLOCK_BYTES: u32 = 8_192;

/// The number of prompt bytes that count as one token.
pub const BYTES_PER_TOKEN: u32 = 4;

/// Computes the block keys of prompts for one team and one version of one model.
///
/// Apart from hash collisions, two keys are equal only if prompt, team, model and version are
/// equal, so that an entry of another team or of older weights doesn't match.
///
/// ```
/// use samphirespread_core::prelude::*;
/// use samphirespread_prefix::PrefixHasher;
///
/// let model = ModelName::new("draft");
/// let version = WeightsVersion::new("v1");
/// let hasher = PrefixHasher::new(&TeamName::new("roads"), &model, &version);
/// let other = PrefixHasher::new(&TeamName::new("ledgers"), &model, &version);
/// let prompt = vec![b'x'; 20_000];
///
/// // The last 3,616 bytes are shorter than a block and have no key.
/// assert_eq!(hasher.blocks(&prompt).len(), 2);
/// assert_ne!(hasher.blocks(&prompt), other.blocks(&prompt));
/// assert_ne!(hasher.cache_salt(), other.cache_salt());
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PrefixHasher {
    seed: u64,
    cache_salt: String,
    block_bytes: u32,
}

impl PrefixHasher {
    /// Creates a hasher with blocks of [`DEFAULT_BLOCK_BYTES`].
    pub fn new(team: &TeamName, model: &ModelName, version: &WeightsVersion) -> Self {
        let digest = salt_digest(&[team.as_str(), model.as_str(), version.as_str()]);
        let mut seed_bytes = [0; 8];
        seed_bytes.copy_from_slice(&digest[..8]);
        Self {
            seed: u64::from_le_bytes(seed_bytes),
            cache_salt: digest.iter().map(|byte| format!("{byte:02x}")).collect(),
            block_bytes: DEFAULT_BLOCK_BYTES,
        }
    }

    /// Sets the number of prompt bytes in one block.
    ///
    /// # Errors
    ///
    /// Returns an error if `bytes` is zero.
    pub fn block_bytes(mut self, bytes: u32) -> Result<Self, PrefixError> {
        if bytes == 0 {
            return Err(PrefixError::EmptyBlock);
        }
        self.block_bytes = bytes;
        Ok(self)
    }

    /// Returns the keys of the complete blocks of a prompt, in order.
    ///
    /// Each key covers the prompt from its start to the end of the block.
    pub fn blocks(&self, prompt: &[u8]) -> Vec<BlockKey> {
        let mut previous = self.seed;
        prompt
            .chunks_exact(self.block_bytes as usize)
            .map(|block| {
                previous = xxh3_64_with_seed(block, previous);
                BlockKey(previous)
            })
            .collect()
    }

    /// Returns the salt of the engine's cache entries: a SHA-256 over team, model and version in
    /// hex.
    pub fn cache_salt(&self) -> &str {
        &self.cache_salt
    }

    /// Returns the number of tokens in one block, rounded up.
    pub fn block_tokens(&self) -> u32 {
        self.block_bytes.div_ceil(BYTES_PER_TOKEN)
    }

    /// Returns the number of prompt bytes in one block.
    pub fn bytes_per_block(&self) -> u32 {
        self.block_bytes
    }
}

/// Hashes each part with its length, so that different lists of parts with the same concatenation
/// give different digests.
fn salt_digest(parts: &[&str]) -> [u8; 32] {
    let mut digest = Sha256::new();
    for part in parts {
        digest.update((part.len() as u64).to_le_bytes());
        digest.update(part.as_bytes());
    }
    digest.finalize().into()
}
