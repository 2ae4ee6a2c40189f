//! The workers that may serve a prompt, as a router knows them.

use std::{collections::HashMap, sync::Arc};

use rand::Rng;
use samphirespread_core::prelude::*;
use xxhash_rust::xxh3::xxh3_64;

use super::ring::HomeRing;

/// A worker as a router knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Worker {
    /// The worker's agent.
    pub name: InstanceName,
    /// The failure domain that it stands in.
    pub failure_domain: Arc<str>,
    /// Whether it takes new work.
    pub takes_work: bool,
    /// The wait that it last reported, with what was sent to it since.
    pub wait_ms: u32,
    /// When that wait was reported.
    pub reported_at: MonoTime,
}

impl Worker {
    /// A worker that takes work and has reported nothing.
    pub fn new(name: InstanceName, failure_domain: impl AsRef<str>) -> Self {
        Self {
            name,
            failure_domain: Arc::from(failure_domain.as_ref()),
            takes_work: true,
            wait_ms: 0,
            reported_at: MonoTime::ZERO,
        }
    }

    /// The reported wait, less the time that has passed since.
    pub fn expected_wait_ms(&self, now: MonoTime) -> u64 {
        u64::from(self.wait_ms).saturating_sub(now.ms_since(self.reported_at))
    }
}

/// The workers that serve one model and version, with their ring.
///
/// A set is made anew when the list of instances or the configuration changes; reports and sent
/// work change it in place.
///
/// ```
/// use samphirespread_core::prelude::*;
/// use samphirespread_prefix::{Worker, WorkerSet};
///
/// let names = ["w1", "w2"].map(|name| Worker::new(InstanceName::new(name), "north"));
/// let mut workers = WorkerSet::new(names.to_vec());
/// workers.report(0, 250, MonoTime::from_ms(10));
/// assert_eq!(workers.get(0).expected_wait_ms(MonoTime::from_ms(110)), 150);
/// ```
#[derive(Clone, Debug, Default)]
pub struct WorkerSet {
    id: u64,
    workers: Vec<Worker>,
    ring: HomeRing,
}

impl WorkerSet {
    /// A set of these workers.
    pub fn new(workers: Vec<Worker>) -> Self {
        let ring = HomeRing::new(workers.iter().map(|worker| worker.name.as_str()));
        let id = workers.iter().fold(0, |id, worker| id ^ xxh3_64(worker.name.as_str().as_bytes()));
        Self { id, workers, ring }
    }

    /// Replaces the workers and keeps what those that stay have reported, and the traffic that was
    /// counted for the set.
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

    /// Tells sets apart. Two routes to the same workers have equal ids.
    pub(crate) fn id(&self) -> u64 {
        self.id
    }

    /// All workers.
    pub fn workers(&self) -> &[Worker] {
        &self.workers
    }

    /// The worker at a place.
    ///
    /// # Panics
    ///
    /// Panics if the place is not in the set.
    pub fn get(&self, place: usize) -> &Worker {
        &self.workers[place]
    }

    /// The ring of all workers.
    pub fn ring(&self) -> &HomeRing {
        &self.ring
    }

    /// Number of workers.
    pub fn len(&self) -> usize {
        self.workers.len()
    }

    /// Whether there is no worker.
    pub fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    /// Takes in the wait that a worker reports on any answer.
    ///
    /// # Panics
    ///
    /// Panics if the place is not in the set.
    pub fn report(&mut self, place: usize, wait_ms: u32, now: MonoTime) {
        self.workers[place].wait_ms = wait_ms;
        self.workers[place].reported_at = now;
    }

    /// Adds the time that a prompt just sent will take, until the next report counts it.
    ///
    /// # Panics
    ///
    /// Panics if the place is not in the set.
    pub fn note_sent(&mut self, place: usize, cost_ms: u32, now: MonoTime) {
        let worker = &mut self.workers[place];
        let wait_ms = worker.expected_wait_ms(now).saturating_add(u64::from(cost_ms));
        worker.wait_ms = u32::try_from(wait_ms).unwrap_or(u32::MAX);
        worker.reported_at = now;
    }

    /// Sets whether a worker takes new work.
    ///
    /// # Panics
    ///
    /// Panics if the place is not in the set.
    pub fn set_takes_work(&mut self, place: usize, takes_work: bool) {
        self.workers[place].takes_work = takes_work;
    }

    /// The less loaded of two random workers that take work. Looks at all workers only if many
    /// of them take none.
    pub(crate) fn less_loaded_of_two<R: Rng + ?Sized>(
        &self,
        now: MonoTime,
        rng: &mut R,
    ) -> Option<usize> {
        let first = self.random_taking_work(rng)?;
        let second = self.random_taking_work(rng)?;
        let wait_ms = |place: usize| self.workers[place].expected_wait_ms(now);
        Some(if wait_ms(second) < wait_ms(first) { second } else { first })
    }

    fn random_taking_work<R: Rng + ?Sized>(&self, rng: &mut R) -> Option<usize> {
        if self.workers.is_empty() {
            return None;
        }
        let start = rng.random_range(0..self.workers.len());
        (start..self.workers.len()).chain(0..start).find(|place| self.workers[*place].takes_work)
    }
}
