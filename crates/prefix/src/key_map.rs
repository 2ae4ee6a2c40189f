//! Hash tables keyed by block keys.

use std::{
    collections::{HashMap, HashSet, hash_map::RandomState},
    hash::{BuildHasher, Hasher},
};

use samphirespread_core::prelude::*;

pub(crate) type KeyMap<V> = HashMap<BlockKey, V, KeyHashBuilder>;
pub(crate) type KeySet = HashSet<BlockKey, KeyHashBuilder>;

/// Builds hashers with a secret seed, since callers choose the prompts behind the keys.
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

/// Folds a 64-bit key by one wide multiplication; keys are hashes already.
#[derive(Clone, Debug)]
pub(crate) struct KeyHasher {
    state: u64,
}

/// An odd constant with well spread bits: the golden ratio in 64 bits.
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

/// A bounded table that forgets what was not touched for one to two turns.
///
/// Entries go into the young half. When that is full or old enough, it becomes the old half, and
/// the former old half is dropped. Nothing is ever scanned.
#[derive(Clone, Debug)]
pub(crate) struct TwoGenerations<V> {
    young: KeyMap<V>,
    old: KeyMap<V>,
    young_limit: usize,
    turn_ms: u64,
    turned_at: MonoTime,
}

impl<V: Copy> TwoGenerations<V> {
    pub(crate) fn new(limit: usize, turn_ms: u64) -> Self {
        Self {
            young: KeyMap::default(),
            old: KeyMap::default(),
            young_limit: (limit / 2).max(1),
            turn_ms,
            turned_at: MonoTime::ZERO,
        }
    }

    pub(crate) fn get(&self, key: BlockKey) -> Option<V> {
        self.young.get(&key).or_else(|| self.old.get(&key)).copied()
    }

    pub(crate) fn put(&mut self, key: BlockKey, value: V) {
        self.old.remove(&key);
        self.young.insert(key, value);
        if self.young.len() >= self.young_limit {
            self.turn();
        }
    }

    pub(crate) fn age(&mut self, now: MonoTime) {
        let turns = now.ms_since(self.turned_at) / self.turn_ms.max(1);
        if turns == 0 {
            return;
        }
        self.turned_at = now;
        self.turn();
        if turns > 1 {
            self.turn();
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    fn turn(&mut self) {
        self.old = std::mem::take(&mut self.young);
    }
}
