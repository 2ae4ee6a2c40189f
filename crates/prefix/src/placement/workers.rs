//! The workers that may serve a prompt, with the state that a router has of them.

use std::{collections::HashMap, sync::Arc};

use rand::Rng;
use samphirespread_core::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

use super::ring::HashRing;

/// A backend server that may run prompts, with the state that a router has of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Worker {
    /// The name of the worker's agent.
    pub name: InstanceName,
    /// The failure domain of the worker.
    pub failure_domain: Arc<str>,
    /// Whether the worker accepts new prompts.
    pub takes_work: bool,
    /// The wait that the worker last reported, plus the cost of prompts sent to it since.
    pub wait_ms: u32,
    /// The time at which `wait_ms` was last set.
    pub reported_at: MonoTime,
}

impl Worker {
    /// Creates a worker that accepts prompts and has not reported a wait.
    pub fn new(name: InstanceName, failure_domain: impl AsRef<str>) -> Self {
        Self {
            name,
            failure_domain: Arc::from(failure_domain.as_ref()),
            takes_work: true,
            wait_ms: 0,
            reported_at: MonoTime::ZERO,
        }
    }

    /// Returns the wait, less the time that has passed since it was set.
    pub fn expected_wait_ms(&self, now: MonoTime) -> u64 {
        u64::from(self.wait_ms).saturating_sub(now.ms_since(self.reported_at))
    }
}

/// The workers that serve one model and version, with their hash ring.
///
/// A new set is created when the list of instances or the configuration changes; reported waits and
/// sent prompts change the set itself.
///
/// ```
/// use samphirespread_core::prelude::*;
/// use samphirespread_prefix::{Worker, WorkerSet};
///
/// let names = ["w1", "w2"].map(|name| Worker::new(InstanceName::new(name), "north"));
/// let mut workers = WorkerSet::new(names.to_vec());
/// workers.record_wait(0, 250, MonoTime::from_ms(10));
/// assert_eq!(workers.get(0).expected_wait_ms(MonoTime::from_ms(110)), 150);
/// ```
#[derive(Clone, Debug, Default)]
pub struct WorkerSet {
    id: u64,
    workers: Vec<Worker>,
    ring: HashRing,
}

impl WorkerSet {
    /// Creates a set of these workers.
    pub fn new(workers: Vec<Worker>) -> Self {
        let ring = HashRing::new(workers.iter().map(|worker| worker.name.as_str()));
        let id = workers.iter().fold(0, |id, worker| id ^ xxh3_64(worker.name.as_str().as_bytes()));
        Self { id, workers, ring }
    }

    /// Returns a set of the new workers. Workers that are in both sets keep their waits, and the
    /// new set keeps the id, so that the traffic counted for the old set still applies.
    #[must_use]
    pub fn replaced_by(&self, mut workers: Vec<Worker>) -> Self {
        let known: HashMap<&InstanceName, &Worker> =
            self.workers.iter().map(|worker| (&worker.name, worker)).collect();
        for worker in &mut workers {
            let Some(known) = known.get(&worker.name) else { continue };
            worker.wait_ms = known.wait_ms;
            worker.reported_at = known.reported_at;
        }
        Self { id: self.id, ..Self::new(workers) }
    }

    /// Returns the identity of the set. Sets that are created with the same workers have equal ids.
    pub(crate) fn id(&self) -> u64 {
        self.id
    }

    /// Returns all workers.
    pub fn workers(&self) -> &[Worker] {
        &self.workers
    }

    /// Returns the worker at an index.
    ///
    /// # Panics
    ///
    /// Panics if the index is out of bounds.
    pub fn get(&self, index: usize) -> &Worker {
        &self.workers[index]
    }

    /// Returns the hash ring of all workers.
    pub fn ring(&self) -> &HashRing {
        &self.ring
    }

    /// Returns the number of workers.
    pub fn len(&self) -> usize {
        self.workers.len()
    }

    /// Returns whether the set has no workers.
    pub fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    /// Records the wait that a worker reported with an answer.
    ///
    /// # Panics
    ///
    /// Panics if the index is out of bounds.
    pub fn record_wait(&mut self, index: usize, wait_ms: u32, now: MonoTime) {
        self.workers[index].wait_ms = wait_ms;
        self.workers[index].reported_at = now;
    }

    /// Adds the cost of a prompt that was just sent to the worker's wait. The worker's next report
    /// replaces the sum.
    ///
    /// # Panics
    ///
    /// Panics if the index is out of bounds.
    pub fn record_sent(&mut self, index: usize, cost_ms: u32, now: MonoTime) {
        let worker = &mut self.workers[index];
        let wait_ms = worker.expected_wait_ms(now).saturating_add(u64::from(cost_ms));
        worker.wait_ms = u32::try_from(wait_ms).unwrap_or(u32::MAX);
        worker.reported_at = now;
    }

    /// Sets whether a worker accepts new prompts.
    ///
    /// # Panics
    ///
    /// Panics if the index is out of bounds.
    pub fn set_takes_work(&mut self, index: usize, takes_work: bool) {
        self.workers[index].takes_work = takes_work;
    }

    /// Returns the less loaded of two random workers that accept prompts, or `None` if none does.
    /// The search for a worker that accepts prompts is long only if many don't.
    pub(crate) fn less_loaded_of_two<R: Rng + ?Sized>(
        &self,
        now: MonoTime,
        rng: &mut R,
    ) -> Option<usize> {
        let first = self.random_accepting_worker(rng)?;
        let second = self.random_accepting_worker(rng)?;
        let wait_ms = |index: usize| self.workers[index].expected_wait_ms(now);
        Some(if wait_ms(second) < wait_ms(first) { second } else { first })
    }

    fn random_accepting_worker<R: Rng + ?Sized>(&self, rng: &mut R) -> Option<usize> {
        if self.workers.is_empty() {
            return None;
        }
        let start = rng.random_range(0..self.workers.len());
        (start..self.workers.len()).chain(0..start).find(|index| self.workers[*index].takes_work)
    }
}
