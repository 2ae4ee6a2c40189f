//! Counts the answers of two versions at one router.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::{FULL_RAMP, Phase};

/// An answer counts as slow if it takes this many times as long as usual. A faulty version is several
/// times slower; twice as slow is common under uneven load.
const SLOW_FACTOR: f64 = 2.5;
/// With all requests at the new version, its times are compared with those of the baseline before, and
/// its servers may carry more load than those did. An answer counts as slow at that many times the usual
/// limit.
const FULL_RAMP_TOLERANCE: f64 = 2.0;
/// The times of the baseline from which the usual time is taken.
const REFERENCE_ANSWERS: usize = 64;
/// With fewer times than this, no answer counts as slow.
const MIN_REFERENCE_ANSWERS: usize = 8;
/// The routes of which a router reports evidence. Answers on further routes are not counted.
const MAX_ROUTES: usize = 16;
/// The median is taken anew after this many times.
const ANSWERS_PER_MEDIAN: u32 = 8;
/// The groups into which the servers of a version are divided, so that a fault of one server can be
/// told from one of the version by a few numbers, however many servers there are.
pub(super) const SERVER_GROUPS: usize = 8;

/// A route, as a hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RouteTag(u32);

impl RouteTag {
    /// Returns the tag of the route with this name.
    pub fn of(name: &str) -> Self {
        #[expect(clippy::cast_possible_truncation, reason = "32 bits tell a few routes apart")]
        Self(xxh3_64(name.as_bytes()) as u32)
    }
}

/// A group of servers, to which some of a version's servers belong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerGroup(usize);

impl ServerGroup {
    /// Returns the group of the server with this id.
    pub fn of(server: &str) -> Self {
        #[expect(clippy::cast_possible_truncation, reason = "the remainder is small")]
        Self((xxh3_64(server.as_bytes()) % SERVER_GROUPS as u64) as usize)
    }
}

/// The version that a server has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The new version, at a server of this group.
    New(ServerGroup),
    /// Another one.
    Baseline,
}

/// What became of a request that a server began to run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Outcome {
    /// The server failed it.
    Failed,
    /// The answer began.
    Answered {
        /// The time that it took, in units in which requests of one route compare. `None` if there is
        /// nothing to compare it with: it then counts as usual.
        time: Option<f64>,
    },
}

/// A number of answers, and how many of them failed or were slow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerCounts {
    /// All answers.
    pub answers: u32,
    /// Those that failed or were slow.
    pub bad: u32,
}

/// The factor by which times may be longer in a phase before they count as slow.
pub fn time_tolerance(phase: Phase) -> f64 {
    if phase < FULL_RAMP { 1.0 } else { FULL_RAMP_TOLERANCE }
}

impl AnswerCounts {
    fn count(&mut self, is_bad: bool) {
        self.answers = self.answers.saturating_add(1);
        self.bad = self.bad.saturating_add(u32::from(is_bad));
    }

    pub(super) fn add(&mut self, other: Self) {
        self.answers = self.answers.saturating_add(other.answers);
        self.bad = self.bad.saturating_add(other.bad);
    }

    /// These counts without a part of them.
    pub(super) fn minus(self, part: Self) -> Self {
        Self {
            answers: self.answers.saturating_sub(part.answers),
            bad: self.bad.saturating_sub(part.bad),
        }
    }
}

/// The answers on one route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteCounts {
    /// The route.
    pub route: RouteTag,
    /// Answers of the new version, by group of servers.
    pub new: [AnswerCounts; SERVER_GROUPS],
    /// Answers of the baseline.
    pub baseline: AnswerCounts,
}

/// What a router has counted since it learned of the order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Evidence {
    /// By route.
    pub routes: Vec<RouteCounts>,
    /// Requests that run at servers of the baseline.
    pub in_flight_baseline: u32,
}

/// Counts the answers at one router.
#[derive(Clone, Debug, Default)]
pub struct EvidenceRecorder {
    routes: BTreeMap<RouteTag, RouteRecord>,
}

#[derive(Clone, Debug, Default)]
struct RouteRecord {
    new: [AnswerCounts; SERVER_GROUPS],
    baseline: AnswerCounts,
    usual: UsualTime,
}

/// The median of the last times of the baseline.
#[derive(Clone, Debug, Default)]
struct UsualTime {
    times: VecDeque<f64>,
    /// Times since the median was taken.
    unused: u32,
    median: Option<f64>,
}

impl UsualTime {
    fn observe(&mut self, time: f64) {
        if self.times.len() == REFERENCE_ANSWERS {
            self.times.pop_front();
        }
        self.times.push_back(time);
        self.unused += 1;
        if self.times.len() >= MIN_REFERENCE_ANSWERS && self.unused >= ANSWERS_PER_MEDIAN {
            self.unused = 0;
            let mut sorted: Vec<f64> = self.times.iter().copied().collect();
            let middle = sorted.len() / 2;
            self.median = Some(*sorted.select_nth_unstable_by(middle, f64::total_cmp).1);
        }
    }

    /// Whether a time is slow. None is as long as the usual one is not known.
    fn is_slow(&self, time: f64) -> bool {
        self.median.is_some_and(|median| time > SLOW_FACTOR * median)
    }
}

impl EvidenceRecorder {
    /// Counts an answer.
    pub fn record(&mut self, route: RouteTag, side: Side, outcome: Outcome) {
        let record = self.routes.entry(route).or_default();
        let is_bad = match outcome {
            Outcome::Failed => true,
            Outcome::Answered { time: None } => false,
            Outcome::Answered { time: Some(time) } => {
                let is_slow = record.usual.is_slow(time);
                if side == Side::Baseline {
                    record.usual.observe(time);
                }
                is_slow
            }
        };
        match side {
            Side::Baseline => record.baseline.count(is_bad),
            Side::New(ServerGroup(group)) => record.new[group].count(is_bad),
        }
    }

    /// Counts a request that ended without an answer after this time, as its caller left. It counts
    /// only if it was slow by then.
    pub fn record_abandoned(&mut self, route: RouteTag, side: Side, time: f64) {
        if self.routes.get(&route).is_some_and(|record| record.usual.is_slow(time)) {
            self.record(route, side, Outcome::Failed);
        }
    }

    /// Makes an answer that was counted as usual a bad one, as it broke off later.
    pub fn record_broken(&mut self, route: RouteTag, side: Side) {
        let Some(record) = self.routes.get_mut(&route) else { return };
        let counts = match side {
            Side::Baseline => &mut record.baseline,
            Side::New(ServerGroup(group)) => &mut record.new[group],
        };
        counts.bad = (counts.bad + 1).min(counts.answers);
    }

    /// Returns what was counted, for the other routers.
    pub fn evidence(&self, in_flight_baseline: u32) -> Evidence {
        // In the order of their tags, so that a route is not left out in one report and counted again
        // with the next.
        let routes = self.routes.iter().take(MAX_ROUTES);
        let routes = routes
            .map(|(route, record)| RouteCounts {
                route: *route,
                new: record.new,
                baseline: record.baseline,
            })
            .collect();
        Evidence { routes, in_flight_baseline }
    }
}
