//! A consistent hash ring, from which all routers compute the same preferred workers for a key
//! without communication.

use samphirespread_core::prelude::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The number of points of each worker on the ring.
const POINTS_PER_WORKER: u64 = 64;

/// A consistent hash ring of the workers of one set.
///
/// Each worker has several points, which depend only on its name. The preferred workers of a key
/// are the first distinct workers at or after the key's position. Adding or removing a worker moves
/// only the keys next to its points. A lookup is a binary search.
///
/// ```
/// use samphirespread_core::prelude::*;
/// use samphirespread_prefix::HashRing;
///
/// let ring = HashRing::new(["a", "b", "c"]);
/// let preferred: Vec<usize> = ring.preferred_workers(BlockKey(42)).take(2).collect();
/// assert_ne!(preferred[0], preferred[1]);
/// ```
#[derive(Clone, Debug, Default)]
pub struct HashRing {
    points: Vec<Point>,
    workers: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Point {
    position: u64,
    worker: u32,
}

impl HashRing {
    /// Creates a ring of the named workers. Workers are identified by their index in `names`.
    pub fn new<'a>(names: impl IntoIterator<Item = &'a str>) -> Self {
        let mut points = Vec::new();
        let mut workers = 0;
        for name in names {
            let worker = workers as u32;
            points.extend((0..POINTS_PER_WORKER).map(|number| Point {
                position: xxh3_64_with_seed(name.as_bytes(), number),
                worker,
            }));
            workers += 1;
        }
        points.sort_unstable();
        Self { points, workers }
    }

    /// Returns the indices of all workers in the order of preference for the key, each once.
    pub fn preferred_workers(&self, key: BlockKey) -> PreferredWorkers<'_> {
        let key_position = xxh3_64_with_seed(&key.0.to_le_bytes(), 0);
        let start = self.points.partition_point(|point| point.position < key_position);
        PreferredWorkers { ring: self, next: start, visited_points: 0, returned: Vec::new() }
    }

    /// Returns the number of workers.
    pub fn len(&self) -> usize {
        self.workers
    }

    /// Returns whether the ring has no workers.
    pub fn is_empty(&self) -> bool {
        self.workers == 0
    }
}

/// An iterator over the preferred workers of a key, most preferred first.
#[derive(Clone, Debug)]
pub struct PreferredWorkers<'a> {
    ring: &'a HashRing,
    next: usize,
    visited_points: usize,
    returned: Vec<u32>,
}

impl Iterator for PreferredWorkers<'_> {
    type Item = usize;

    fn next(&mut self) -> Option<usize> {
        while self.returned.len() < self.ring.workers
            && self.visited_points < self.ring.points.len()
        {
            let worker = self.ring.points[self.next % self.ring.points.len()].worker;
            self.next += 1;
            self.visited_points += 1;
            if !self.returned.contains(&worker) {
                self.returned.push(worker);
                return Some(worker as usize);
            }
        }
        None
    }
}
