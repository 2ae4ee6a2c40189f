//! Homes that every router computes alike without talking.

use samphirespread_core::prelude::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Points of each worker on the ring.
const POINTS_PER_WORKER: u64 = 64;

/// A precomputed ring of the workers of one set.
///
/// Each worker has several points that depend on its name alone. The homes of a key are the first
/// distinct workers from the key's place on. A worker that comes or goes moves only the keys next
/// to its points. A lookup is a binary search.
///
/// ```
/// use samphirespread_core::prelude::*;
/// use samphirespread_prefix::HomeRing;
///
/// let ring = HomeRing::new(["a", "b", "c"]);
/// let homes: Vec<usize> = ring.homes(BlockKey(42)).take(2).collect();
/// assert_ne!(homes[0], homes[1]);
/// ```
#[derive(Clone, Debug, Default)]
pub struct HomeRing {
    points: Vec<Point>,
    workers: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Point {
    at: u64,
    worker: u32,
}

impl HomeRing {
    /// A ring of the named workers. Places are positions in `names`.
    pub fn new<'a>(names: impl IntoIterator<Item = &'a str>) -> Self {
        let mut points = Vec::new();
        let mut workers = 0;
        for name in names {
            let worker = workers as u32;
            points.extend(
                (0..POINTS_PER_WORKER)
                    .map(|number| Point { at: xxh3_64_with_seed(name.as_bytes(), number), worker }),
            );
            workers += 1;
        }
        points.sort_unstable();
        Self { points, workers }
    }

    /// All workers in the order in which they are homes of the key, each once.
    pub fn homes(&self, key: BlockKey) -> Homes<'_> {
        let spread = xxh3_64_with_seed(&key.0.to_le_bytes(), 0);
        let start = self.points.partition_point(|point| point.at < spread);
        Homes { ring: self, next: start, walked: 0, found: Vec::new() }
    }

    /// Number of workers.
    pub fn len(&self) -> usize {
        self.workers
    }

    /// Whether there is no worker.
    pub fn is_empty(&self) -> bool {
        self.workers == 0
    }
}

/// The homes of a key, nearest first.
#[derive(Clone, Debug)]
pub struct Homes<'a> {
    ring: &'a HomeRing,
    next: usize,
    walked: usize,
    found: Vec<u32>,
}

impl Iterator for Homes<'_> {
    type Item = usize;

    fn next(&mut self) -> Option<usize> {
        while self.found.len() < self.ring.workers && self.walked < self.ring.points.len() {
            let worker = self.ring.points[self.next % self.ring.points.len()].worker;
            self.next += 1;
            self.walked += 1;
            if !self.found.contains(&worker) {
                self.found.push(worker);
                return Some(worker as usize);
            }
        }
        None
    }
}
