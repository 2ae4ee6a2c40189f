//! Decides which backend servers load newer weights next, and on which versions requests may start.
//!
//! One router at a time coordinates the rollout. If two routers do so at once, more servers than
//! intended load at the same time. This is slower but still correct, because the actual order is
//! given by the single sidecar of each server. Running time: one sort of the servers for each
//! decision.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
};

use samphirespread_core::prelude::*;

/// The servers load in about this many groups, one group after the other.
const LOADING_GROUPS: usize = 6;

/// The phase of a server in the rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It takes requests.
    Serving,
    /// It has been ordered to load and first finishes its running requests.
    Finishing,
    /// It loads new weights.
    Loading,
    /// No process can give it an order now.
    Unreachable,
}

/// What the coordinating router knows of one server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The server's id.
    pub id: Arc<str>,
    /// Its failure domain.
    pub failure_domain: Arc<str>,
    /// The version of its weights.
    pub version: u64,
    /// Its phase in the rollout.
    pub phase: Phase,
    /// Requests that run there.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
}

/// Returns the number of servers that may load at once.
pub fn max_loading(servers: usize) -> usize {
    servers.div_ceil(LOADING_GROUPS).max(1)
}

/// Returns the indices of the servers that should be ordered to load `target` now.
///
/// Servers with the oldest versions come first. Among these, failure domains alternate, and within
/// a domain, the servers with the fewest running requests come first.
pub fn next_to_load(candidates: &[Candidate], target: u64, max_loading: usize) -> Vec<usize> {
    let is_out =
        |candidate: &&Candidate| matches!(candidate.phase, Phase::Loading | Phase::Finishing);
    let out = candidates.iter().filter(is_out).count();
    let free = (max_loading + extra_finishing(candidates, max_loading)).saturating_sub(out);
    let mut waiting = order(candidates, target);
    waiting.truncate(free);
    waiting
}

/// Returns the serving servers that have yet to load `target`, in the order in which they will.
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
    let failure_domain_turns = failure_domain_turns(candidates, &waiting, target);
    waiting.sort_by_key(|index| (candidates[*index].version, failure_domain_turns[index]));
    waiting
}

/// Returns how many servers may finish their running requests while others load. There are none if
/// the rest lack capacity, which shows in unreachable servers or waiting requests.
fn extra_finishing(candidates: &[Candidate], max_loading: usize) -> usize {
    let is_short =
        |candidate: &Candidate| candidate.phase == Phase::Unreachable || candidate.waiting > 0;
    if candidates.iter().any(is_short) { 0 } else { max_loading.div_ceil(2) }
}

/// Returns those servers that hold a version and will load `target` last: half of the servers that
/// hold this version, rounded up.
///
/// Running requests on that version that have to leave their servers move to these. If versions
/// follow each other quickly, servers hold several versions, and all servers with the oldest one
/// are the next to load.
pub fn last_of_version(candidates: &[Candidate], held: u64, target: u64) -> Vec<usize> {
    let mut waiting = order(candidates, target);
    waiting.retain(|index| candidates[*index].version == held);
    waiting.split_off(waiting.len() / 2)
}

/// Returns those servers to which running requests on version `held` may move: the last ones to load
/// `target`, without those that are to be ordered to load now.
///
/// Of the last servers with a version, some are both. A running request that is moved to one of them
/// would find it loading as well.
pub fn may_take_runs(
    candidates: &[Candidate],
    held: u64,
    target: u64,
    max_loading: usize,
) -> Vec<usize> {
    let next = next_to_load(candidates, target, max_loading);
    let mut last = last_of_version(candidates, held, target);
    last.retain(|index| !next.contains(index));
    last
}

/// Returns, for each waiting server, how many servers of its failure domain are done, load, can't
/// be reached, or come before it.
fn failure_domain_turns(
    candidates: &[Candidate],
    waiting: &[usize],
    target: u64,
) -> HashMap<usize, usize> {
    let mut taken: HashMap<&str, usize> = HashMap::new();
    for candidate in candidates {
        if candidate.phase != Phase::Serving || candidate.version >= target {
            *taken.entry(&candidate.failure_domain).or_default() += 1;
        }
    }
    let mut failure_domain_turns = HashMap::new();
    for &index in waiting {
        let turn = taken.entry(&candidates[index].failure_domain).or_default();
        failure_domain_turns.insert(index, *turn);
        *turn += 1;
    }
    failure_domain_turns
}

/// The number of versions of one model that are remembered. Requests have long been barred from
/// older ones.
const MAX_REMEMBERED_VERSIONS: usize = 8;

/// The versions of one model that operators have set as the target, each with the latest time at
/// which that can have happened.
///
/// Once a version has been named for a given time, requests may not start on older ones. Each
/// version has its own limit, which a newer version does not extend.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NamedVersions {
    named: BTreeMap<u64, MonoTime>,
}

impl NamedVersions {
    /// Records that a version had been named by an instant. The earliest instant counts.
    ///
    /// Returns whether the version is newer than all recorded ones.
    pub fn learn(&mut self, version: u64, named_by: MonoTime) -> bool {
        let is_news = version > self.newest();
        let known = self.named.entry(version).or_insert(named_by);
        *known = named_by.min(*known);
        if self.named.len() > MAX_REMEMBERED_VERSIONS {
            self.named.pop_first();
        }
        is_news
    }

    /// Returns the latest time at which a version can have been named, if it is known.
    pub fn named_by(&self, version: u64) -> Option<MonoTime> {
        self.named.get(&version).copied()
    }

    /// Returns the newest version, or 0 before one was named.
    pub fn newest(&self) -> u64 {
        self.named.last_key_value().map_or(0, |(version, _)| *version)
    }

    /// Returns all remembered versions with the time since each was named.
    pub fn ages_ms(&self, now: MonoTime) -> impl Iterator<Item = (u64, u64)> + '_ {
        self.named.iter().map(move |(version, named_by)| (*version, now.ms_since(*named_by)))
    }

    /// Returns how much longer requests may start on a version. It is unlimited while no newer one
    /// is named.
    pub fn left_ms(&self, held: u64, now: MonoTime, bound_ms: u64) -> u64 {
        let newer = self.named.iter().filter(|(version, _)| **version > held);
        let left = newer.map(|(_, named_by)| bound_ms.saturating_sub(now.ms_since(*named_by)));
        left.min().unwrap_or(u64::MAX)
    }

    /// Returns the lowest version on which a request may still start.
    pub fn oldest_allowed(&self, now: MonoTime, bound_ms: u64) -> u64 {
        let is_due = |(_, named_by): &(&u64, &MonoTime)| now.ms_since(**named_by) >= bound_ms;
        self.named.iter().rev().find(is_due).map_or(0, |(version, _)| *version)
    }
}
