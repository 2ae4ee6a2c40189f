//! The configuration with the highest generation that this process has heard of.

use std::collections::{BTreeMap, VecDeque};

use samphirespread_config::model::Head;
use samphirespread_core::prelude::*;
use samphirespread_wire::message::{ConfigSnapshot, FetchConfig};
use sha2::{Digest, Sha256};

const MAX_HISTORY: usize = 64;

/// What became of a configuration that a peer told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Told {
    /// It is in force now.
    Adopted,
    /// It is not newer than the one in force.
    NotNewer,
    /// Sections with these hashes are missing; the one in force stays.
    Incomplete(Vec<String>),
    /// Its head can't be read or contradicts it; the one in force stays.
    Malformed,
}

/// The configuration in force and when others came into force.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    generation: Generation,
    head: String,
    sections: BTreeMap<String, String>,
    history: VecDeque<(Generation, MonoTime)>,
}

impl Configuration {
    /// No configuration: generation zero.
    pub fn new() -> Self {
        Self::default()
    }

    /// The generation in force.
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// The texts of the sections in force, by hash.
    pub fn sections(&self) -> &BTreeMap<String, String> {
        &self.sections
    }

    /// Takes in what a peer told. The generation in force never falls.
    ///
    /// # Panics
    ///
    /// Panics if the generation would fall.
    pub fn tell(&mut self, now: MonoTime, snapshot: &ConfigSnapshot) -> Told {
        if snapshot.generation <= self.generation {
            return Told::NotNewer;
        }
        let Ok(head) = serde_json::from_str::<Head>(&snapshot.head) else {
            return Told::Malformed;
        };
        if head.generation != snapshot.generation {
            return Told::Malformed;
        }
        let offered: BTreeMap<String, &String> =
            snapshot.sections.iter().map(|text| (sha256_hex(text), text)).collect();
        let mut sections = BTreeMap::new();
        let mut missing = Vec::new();
        for hash in head.sections.values() {
            match offered.get(hash).copied().or_else(|| self.sections.get(hash)) {
                Some(text) => drop(sections.insert(hash.clone(), text.clone())),
                None => missing.push(hash.clone()),
            }
        }
        if !missing.is_empty() {
            return Told::Incomplete(missing);
        }
        assert!(snapshot.generation > self.generation, "a generation never falls");
        self.generation = snapshot.generation;
        self.head.clone_from(&snapshot.head);
        self.sections = sections;
        self.note_adoption(now);
        Told::Adopted
    }

    /// The configuration in force for a peer, or `None` if the peer has it or there is none.
    pub fn answer(&self, asked: &FetchConfig) -> Option<ConfigSnapshot> {
        if self.generation <= asked.have {
            return None;
        }
        let missing = self.sections.iter().filter(|(hash, _)| !asked.sections.contains(hash));
        Some(ConfigSnapshot {
            generation: self.generation,
            head: self.head.clone(),
            sections: missing.map(|(_, text)| text.clone()).collect(),
        })
    }

    /// Whether a generation was replaced here longer ago than the grace time.
    pub fn is_stale(&self, now: MonoTime, generation: Generation, grace_ms: u64) -> bool {
        if generation >= self.generation {
            return false;
        }
        let oldest = self.history.front().map(|&(oldest, _)| oldest);
        let was_trimmed = self.history.len() == MAX_HISTORY;
        if was_trimmed && oldest.is_some_and(|oldest| generation < oldest) {
            return true;
        }
        let newer = self.history.iter().find(|&&(adopted, _)| adopted > generation);
        newer.is_some_and(|&(_, adopted_at)| now.ms_since(adopted_at) >= grace_ms)
    }

    fn note_adoption(&mut self, now: MonoTime) {
        if self.history.len() == MAX_HISTORY {
            self.history.pop_front();
        }
        self.history.push_back((self.generation, now));
    }
}

fn sha256_hex(text: &str) -> String {
    use std::fmt::Write;

    Sha256::digest(text.as_bytes()).iter().fold(String::with_capacity(64), |mut hex, byte| {
        let _ = write!(hex, "{byte:02x}");
        hex
    })
}
