//! The configuration with the highest generation that this process has heard of.

use std::collections::VecDeque;

use samphirespread_config::{
    Snapshot, SnapshotError,
    model::{Head, RouteTarget},
};
use samphirespread_core::prelude::*;
use samphirespread_engine::api::LoadedWeights;
use samphirespread_wire::message::{ConfigSnapshot, FetchConfig};

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
    /// It can't be read or contradicts itself; the one in force stays.
    Malformed {
        /// What is wrong with it.
        message: String,
    },
}

/// The configuration in force and when others came into force.
#[derive(Clone, Debug, Default)]
pub struct Configuration {
    snapshot: Snapshot,
    history: VecDeque<(Generation, MonoTime)>,
}

impl Configuration {
    /// No configuration: generation zero.
    pub fn new() -> Self {
        Self::default()
    }

    /// The generation in force.
    pub fn generation(&self) -> Generation {
        self.snapshot.generation()
    }

    /// Takes in what a peer told. The generation in force never falls.
    ///
    /// # Panics
    ///
    /// Panics if the generation would fall.
    pub fn tell(&mut self, now: MonoTime, told: &ConfigSnapshot) -> Told {
        if told.generation <= self.generation() {
            return Told::NotNewer;
        }
        let snapshot = match Snapshot::assemble(&told.head, &told.sections, Some(&self.snapshot)) {
            Ok(snapshot) => snapshot,
            Err(SnapshotError::MissingSections { hashes, .. }) => {
                return Told::Incomplete(hashes);
            }
            Err(error) => return Told::Malformed { message: error.to_string() },
        };
        if snapshot.generation() != told.generation {
            let message = "the head names another generation".to_owned();
            return Told::Malformed { message };
        }
        assert!(snapshot.generation() > self.generation(), "a generation never falls");
        self.snapshot = snapshot;
        self.note_adoption(now);
        Told::Adopted
    }

    /// The configuration in force for a peer, or `None` if the peer has it or there is none.
    pub fn answer(&self, asked: &FetchConfig) -> Option<ConfigSnapshot> {
        if self.generation() <= asked.have {
            return None;
        }
        let Head { sections: hashes, .. } = self.snapshot.head();
        let missing = self.snapshot.sections().filter(|(name, _)| {
            hashes.get(*name).is_none_or(|hash| !asked.sections.contains(hash))
        });
        Some(ConfigSnapshot {
            generation: self.generation(),
            head: self.snapshot.head_text().to_owned(),
            sections: missing.map(|(_, text)| text.to_owned()).collect(),
        })
    }

    /// Whether a generation was replaced here longer ago than the grace time.
    pub fn is_stale(&self, now: MonoTime, generation: Generation, grace_ms: u64) -> bool {
        if generation >= self.generation() {
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

    /// When the generation in force was adopted.
    pub fn adopted_at(&self) -> MonoTime {
        self.history.back().map_or(MonoTime::ZERO, |&(_, adopted_at)| adopted_at)
    }

    /// The weights that the routes ask of a set, if they agree on one model and version.
    pub fn weights_of(&self, set: &str) -> Option<LoadedWeights> {
        let routes = self.snapshot.config().routes.iter();
        let mut wanted = routes
            .filter(|route| route.sets.iter().any(|name| name.as_str() == set))
            .filter_map(|route| match &route.target {
                RouteTarget::Model { model, version, .. } => {
                    Some(LoadedWeights { model: model.clone(), version: version.clone() })
                }
                RouteTarget::Service { .. } => None,
            });
        let first = wanted.next()?;
        wanted.all(|other| other == first).then_some(first)
    }

    fn note_adoption(&mut self, now: MonoTime) {
        if self.history.len() == MAX_HISTORY {
            self.history.pop_front();
        }
        self.history.push_back((self.generation(), now));
    }
}
