//! Which backend servers load newer weights next.
//!
//! One router at a time conducts the rollout; should two take themselves for the conductor, more
//! servers load at once than meant, which is slower but never wrong, since the order itself is given
//! by the one process beside each server. Cost: one sort of the servers for each look.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use samphirespread_core::prelude::*;

/// Servers load together in about this many groups.
const GROUPS: usize = 6;

/// Where a server stands in the rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It takes requests.
    Serving,
    /// It has been told to load and finishes what runs first.
    Finishing,
    /// It loads.
    Loading,
    /// Nobody can give it an order now.
    Unreachable,
}

/// One server, as the conductor sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The server.
    pub id: Arc<str>,
    /// Its failure domain.
    pub failure_domain: Arc<str>,
    /// The version it holds.
    pub version: u64,
    /// Where it stands.
    pub phase: Phase,
    /// Requests that run there.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
}

/// The number of servers that load at once.
pub fn at_once(servers: usize) -> usize {
    servers.div_ceil(GROUPS).max(1)
}

/// The servers that are to load `target` now, by their index.
///
/// The oldest versions go first, then the failure domains take turns, then the servers with the
/// least to finish.
pub fn next(candidates: &[Candidate], target: u64, at_once: usize) -> Vec<usize> {
    let is_out =
        |candidate: &&Candidate| matches!(candidate.phase, Phase::Loading | Phase::Finishing);
    let out = candidates.iter().filter(is_out).count();
    let free = (at_once + ahead(candidates, at_once)).saturating_sub(out);
    let mut waiting = order(candidates, target);
    waiting.truncate(free);
    waiting
}

/// The servers that have yet to load `target`, in the order in which they will.
pub fn order(candidates: &[Candidate], target: u64) -> Vec<usize> {
    let mut waiting: Vec<usize> = candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| candidate.phase == Phase::Serving && candidate.version < target)
        .map(|(index, _)| index)
        .collect();
    waiting.sort_by_key(|index| {
        let candidate = &candidates[*index];
        (candidate.version, candidate.running, &candidate.id)
    });
    let turns = turns(candidates, &waiting, target);
    waiting.sort_by_key(|index| (candidates[*index].version, turns[index]));
    waiting
}

/// Servers that may finish what runs while others load: none while the rest are short of capacity.
fn ahead(candidates: &[Candidate], at_once: usize) -> usize {
    let is_short =
        |candidate: &Candidate| candidate.phase == Phase::Unreachable || candidate.waiting > 0;
    if candidates.iter().any(is_short) { 0 } else { at_once.div_ceil(2) }
}

/// The servers that hold a version and will load `target` last of these: half of them, and at least one.
///
/// Runs of that version that have to leave their servers go there. Versions mix where they follow each other quickly,
/// and all that hold the oldest one are the next to load.
pub fn last_of_version(candidates: &[Candidate], held: u64, target: u64) -> Vec<usize> {
    let mut waiting = order(candidates, target);
    waiting.retain(|index| candidates[*index].version == held);
    waiting.split_off(waiting.len() / 2)
}

/// How many servers of its failure domain are done, load or go before each waiting server.
fn turns(candidates: &[Candidate], waiting: &[usize], target: u64) -> HashMap<usize, usize> {
    let mut taken: HashMap<&str, usize> = HashMap::new();
    for candidate in candidates {
        if candidate.phase != Phase::Serving || candidate.version >= target {
            *taken.entry(&candidate.failure_domain).or_default() += 1;
        }
    }
    let mut turns = HashMap::new();
    for &index in waiting {
        let turn = taken.entry(&candidates[index].failure_domain).or_default();
        turns.insert(index, *turn);
        *turn += 1;
    }
    turns
}

/// Versions of one model that are remembered; older ones are long out of bounds.
const MAX_REMEMBERED: usize = 8;

/// The versions of one model that operators have named, and when that was at the latest.
///
/// Each version has its own bound: a newer one that is named meanwhile gives the ones before it no
/// more time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NamedVersions {
    named: BTreeMap<u64, MonoTime>,
}

impl NamedVersions {
    /// Takes in that a version had been named by an instant. The earliest word counts.
    ///
    /// Returns whether the version is newer than all before it.
    pub fn learn(&mut self, version: u64, named_by: MonoTime) -> bool {
        let is_news = version > self.newest();
        let known = self.named.entry(version).or_insert(named_by);
        *known = named_by.min(*known);
        if self.named.len() > MAX_REMEMBERED {
            self.named.pop_first();
        }
        is_news
    }

    /// The newest version; zero before one was named.
    pub fn newest(&self) -> u64 {
        self.named.last_key_value().map_or(0, |(version, _)| *version)
    }

    /// All remembered versions with the time since each was named.
    pub fn ages_ms(&self, now: MonoTime) -> impl Iterator<Item = (u64, u64)> + '_ {
        self.named.iter().map(move |(version, named_by)| (*version, now.ms_since(*named_by)))
    }

    /// The time for which requests may still begin on a version; without an end while no newer one is named.
    pub fn left_ms(&self, held: u64, now: MonoTime, bound_ms: u64) -> u64 {
        let newer = self.named.iter().filter(|(version, _)| **version > held);
        let left = newer.map(|(_, named_by)| bound_ms.saturating_sub(now.ms_since(*named_by)));
        left.min().unwrap_or(u64::MAX)
    }

    /// The lowest version on which a request may still begin.
    pub fn oldest_allowed(&self, now: MonoTime, bound_ms: u64) -> u64 {
        let is_due = |(_, named_by): &(&u64, &MonoTime)| now.ms_since(**named_by) >= bound_ms;
        self.named.iter().rev().find(is_due).map_or(0, |(version, _)| *version)
    }
}
