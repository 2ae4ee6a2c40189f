//! Hash tables keyed by block keys, and a bounded map that drops old entries.

use std::{
    collections::{HashMap, HashSet, hash_map::RandomState},
    hash::{BuildHasher, Hasher},
};

use samphirespread_core::prelude::*;

pub(crate) type KeyMap<V> = HashMap<BlockKey, V, KeyHashBuilder>;
pub(crate) type KeySet = HashSet<BlockKey, KeyHashBuilder>;

/// Builds hashers with a random secret seed.
///
/// Callers choose the prompts that the keys are computed from, so with a known seed they could
/// provoke hash collisions.
#[derive(Clone, Debug)]
pub(crate) struct KeyHashBuilder {
    seed: u64,
}

impl Default for KeyHashBuilder {
    fn default() -> Self {
        Self { seed: RandomState::new().hash_one(0_u64) }
    }
}

impl BuildHasher for KeyHashBuilder {
    type Hasher = KeyHasher;

    fn build_hasher(&self) -> KeyHasher {
        KeyHasher { state: self.seed }
    }
}

/// Hashes a 64-bit key by one 128-bit multiplication and a fold of the two halves.
///
/// This suffices because the keys are hashes already.
#[derive(Clone, Debug)]
pub(crate) struct KeyHasher {
    state: u64,
}

/// The fractional part of the golden ratio in 64 bits: an odd constant with well-mixed bits.
const MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

impl Hasher for KeyHasher {
    fn finish(&self) -> u64 {
        self.state
    }

    fn write(&mut self, bytes: &[u8]) {
        for chunk in bytes.chunks(8) {
            let mut word = [0; 8];
            word[..chunk.len()].copy_from_slice(chunk);
            self.write_u64(u64::from_le_bytes(word));
        }
    }

    fn write_u64(&mut self, value: u64) {
        let product = u128::from(self.state ^ value) * u128::from(MULTIPLIER);
        self.state = (product as u64) ^ ((product >> 64) as u64);
    }
}

/// A bounded map that drops the entries that were not written for one to two rotations.
///
/// Entries are written to the young generation. When that is full or old enough, it becomes the old
/// generation, and the former old generation is dropped. Expiry never scans the entries.
#[derive(Clone, Debug)]
pub(crate) struct GenerationalMap<V> {
    young: KeyMap<V>,
    old: KeyMap<V>,
    max_young_entries: usize,
    rotation_interval_ms: u64,
    rotated_at: MonoTime,
}

impl<V: Copy> GenerationalMap<V> {
    pub(crate) fn new(max_entries: usize, rotation_interval_ms: u64) -> Self {
        Self {
            young: KeyMap::default(),
            old: KeyMap::default(),
            max_young_entries: (max_entries / 2).max(1),
            rotation_interval_ms,
            rotated_at: MonoTime::ZERO,
        }
    }

    pub(crate) fn get(&self, key: BlockKey) -> Option<V> {
        self.young.get(&key).or_else(|| self.old.get(&key)).copied()
    }

    pub(crate) fn insert(&mut self, key: BlockKey, value: V) {
        self.old.remove(&key);
        self.young.insert(key, value);
        if self.young.len() >= self.max_young_entries {
            self.rotate();
        }
    }

    pub(crate) fn rotate_if_due(&mut self, now: MonoTime) {
        let rotations = now.ms_since(self.rotated_at) / self.rotation_interval_ms.max(1);
        if rotations == 0 {
            return;
        }
        self.rotated_at = now;
        self.rotate();
        if rotations > 1 {
            self.rotate();
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    fn rotate(&mut self) {
        self.old = std::mem::take(&mut self.young);
    }
}
