//! Tracks attempts so that each runs at most once and is reported as "not run" only if it never
//! runs.
//!
//! ```
//! use samphirespread_agent::attempts::{AttemptConfig, AttemptTable, ResumeDecision, RunDecision};
//! use samphirespread_core::prelude::*;
//! use samphirespread_wire::message::NotRunReason;
//!
//! let mut table = AttemptTable::new(AttemptConfig::default());
//! let now = MonoTime::ZERO;
//! let request = RequestId { origin: 1, serial: 1 };
//! let late = AttemptId { request, number: 0 };
//!
//! // The resume request arrives before the run request, which is then refused.
//! assert_eq!(table.resume(now, late), ResumeDecision::Refuse(NotRunReason::Unknown));
//! let decision = table.run(now, late, FencingNumber(1));
//! assert_eq!(decision, RunDecision::Refuse(NotRunReason::Unknown));
//! ```
//!
//! # What is remembered
//!
//! An attempt that was refused, or whose cancel or resume request arrived before its run request,
//! stays in the table as "not run", so that a late or duplicated run request is refused too. An
//! attempt that was started stays as ended. Both are forgotten after a while; then only the highest
//! forgotten serial of each origin is kept. The table does not say whether an attempt at or below
//! that serial ran, and starts none of them.
//!
//! # Time
//!
//! The table's age advances by at most a second between two calls. A process that was frozen and
//! then reads old requests from its sockets has therefore not forgotten their attempts.

mod origins;

use std::collections::{BTreeMap, BTreeSet};

use samphirespread_core::prelude::*;
use samphirespread_wire::message::NotRunReason;

use self::origins::Origins;

const MAX_RECORDS: usize = 65_536;
const MAX_ORIGINS: usize = 16_384;
const GRACE_MS: u64 = 5_000;
const KEEP_MS: u64 = 15_000;
const FORGET_MS: u64 = 600_000;
const MAX_AGE_STEP_US: u64 = 1_000_000;

/// Bounds of an [`AttemptTable`].
#[derive(Clone, Copy, Debug)]
pub struct AttemptConfig {
    max_records: usize,
    max_origins: usize,
    grace_ms: u64,
    keep_ms: u64,
    forget_ms: u64,
}

impl Default for AttemptConfig {
    fn default() -> Self {
        Self {
            max_records: MAX_RECORDS,
            max_origins: MAX_ORIGINS,
            grace_ms: GRACE_MS,
            keep_ms: KEEP_MS,
            forget_ms: FORGET_MS,
        }
    }
}

impl AttemptConfig {
    /// Maximum number of attempts in the table.
    #[must_use]
    pub fn max_records(mut self, records: usize) -> Self {
        self.max_records = records.max(1);
        self
    }

    /// Maximum number of origins whose highest forgotten serial is kept.
    #[must_use]
    pub fn max_origins(mut self, origins: usize) -> Self {
        self.max_origins = origins.max(1);
        self
    }

    /// Time that an attempt continues without a follower.
    #[must_use]
    pub fn grace_ms(mut self, ms: u64) -> Self {
        self.grace_ms = ms;
        self
    }

    /// Time for which the answer of an ended attempt is kept.
    #[must_use]
    pub fn keep_ms(mut self, ms: u64) -> Self {
        self.keep_ms = ms;
        self
    }

    /// Time for which an ended attempt stays in the table after its answer was released.
    #[must_use]
    pub fn forget_ms(mut self, ms: u64) -> Self {
        self.forget_ms = ms;
        self
    }
}

/// Decision on a request to run an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunDecision {
    /// The attempt is new and now waits.
    Start,
    /// The attempt is already in the table; the caller follows its answer.
    Attach,
    /// The attempt never ran here and never will.
    Refuse(NotRunReason),
    /// The attempt may be one that was forgotten. Whether it ran is unknown, and it isn't started.
    Uncertain,
    /// The table is full. The attempt was not added.
    Full,
}

/// Decision on a request for the rest of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResumeDecision {
    /// The attempt is in the table.
    Attach,
    /// The attempt never ran here and never will.
    Refuse(NotRunReason),
    /// The attempt may be one that was forgotten, or the table is full. Whether it ran is unknown.
    Uncertain,
}

/// Decision on a request to cancel an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelDecision {
    /// The attempt was waiting and will never run.
    Withdraw,
    /// The attempt is running and must be stopped.
    Stop,
    /// Nothing has to be done.
    Nothing,
}

/// An action that has become due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Due {
    /// The attempt has had no follower for the grace time and must be cancelled.
    Abandon(AttemptId),
    /// The answer of the attempt must be released.
    Release(AttemptId),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Waiting,
    /// `may_have_run` is true once the backend server may have begun to run the attempt.
    Running {
        may_have_run: bool,
    },
    Ended,
    NotRun(NotRunReason),
}

#[derive(Clone, Copy, Debug)]
struct Record {
    fence: FencingNumber,
    phase: Phase,
    followers: u32,
    released: bool,
    due_age_us: Option<u64>,
}

/// A bounded table of attempts and their phases.
#[derive(Clone, Debug)]
pub struct AttemptTable {
    config: AttemptConfig,
    records: BTreeMap<AttemptId, Record>,
    due: BTreeSet<(u64, AttemptId)>,
    released: BTreeSet<(u64, AttemptId)>,
    origins: Origins,
    age_us: u64,
    last_advance_at: MonoTime,
}

impl AttemptTable {
    /// Creates an empty table.
    pub fn new(config: AttemptConfig) -> Self {
        Self {
            config,
            records: BTreeMap::new(),
            due: BTreeSet::new(),
            released: BTreeSet::new(),
            origins: Origins::default(),
            age_us: 0,
            last_advance_at: MonoTime::ZERO,
        }
    }

    /// Returns the number of attempts in the table.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether the table has no attempts.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Handles a request to run an attempt.
    pub fn run(&mut self, now: MonoTime, id: AttemptId, fence: FencingNumber) -> RunDecision {
        self.advance(now);
        if let Some(record) = self.records.get(&id) {
            return match record.phase {
                Phase::NotRun(reason) => RunDecision::Refuse(reason),
                Phase::Waiting | Phase::Running { .. } | Phase::Ended => RunDecision::Attach,
            };
        }
        if self.origins.may_have_forgotten(id.request) {
            return RunDecision::Uncertain;
        }
        let is_outdated = self.newest_fence(id.request).is_some_and(|newest| fence < newest);
        if !self.make_room() {
            return RunDecision::Full;
        }
        if is_outdated {
            self.insert(id, fence, Phase::NotRun(NotRunReason::Unknown));
            return RunDecision::Refuse(NotRunReason::Unknown);
        }
        self.insert(id, fence, Phase::Waiting);
        RunDecision::Start
    }

    /// Handles a request for the rest of an answer. An unknown attempt is marked as not run, if
    /// there is room, and then never runs.
    pub fn resume(&mut self, now: MonoTime, id: AttemptId) -> ResumeDecision {
        self.advance(now);
        if let Some(record) = self.records.get(&id) {
            return match record.phase {
                Phase::NotRun(reason) => ResumeDecision::Refuse(reason),
                Phase::Waiting | Phase::Running { .. } | Phase::Ended => ResumeDecision::Attach,
            };
        }
        if self.origins.may_have_forgotten(id.request) || !self.make_room() {
            return ResumeDecision::Uncertain;
        }
        self.insert(id, FencingNumber(0), Phase::NotRun(NotRunReason::Unknown));
        ResumeDecision::Refuse(NotRunReason::Unknown)
    }

    /// Handles a request to cancel. An unknown attempt is marked as not run, if there is room, and
    /// then never runs.
    pub fn cancel(&mut self, now: MonoTime, id: AttemptId) -> CancelDecision {
        self.advance(now);
        match self.records.get(&id).map(|record| record.phase) {
            Some(Phase::Waiting) => {
                self.refuse(now, id, NotRunReason::Unknown);
                CancelDecision::Withdraw
            }
            Some(Phase::Running { .. }) => CancelDecision::Stop,
            Some(Phase::Ended | Phase::NotRun(_)) => CancelDecision::Nothing,
            None => {
                if !self.origins.may_have_forgotten(id.request) && self.make_room() {
                    self.insert(id, FencingNumber(0), Phase::NotRun(NotRunReason::Unknown));
                }
                CancelDecision::Nothing
            }
        }
    }

    /// Marks a waiting attempt as running. Nothing has been sent to the backend server yet.
    ///
    /// # Panics
    ///
    /// Panics if the attempt isn't waiting: it would run twice, or run after it was refused.
    pub fn start(&mut self, id: AttemptId) {
        let record = self.record_mut(id);
        assert_eq!(record.phase, Phase::Waiting, "only a waiting attempt starts: {id}");
        record.phase = Phase::Running { may_have_run: false };
    }

    /// Records that the backend server may have begun to run the attempt.
    ///
    /// # Panics
    ///
    /// Panics if the attempt isn't running.
    pub fn mark_may_have_run(&mut self, id: AttemptId) {
        let record = self.record_mut(id);
        assert!(
            matches!(record.phase, Phase::Running { .. }),
            "only a running attempt begins: {id}"
        );
        record.phase = Phase::Running { may_have_run: true };
    }

    /// Ends a running attempt.
    ///
    /// # Panics
    ///
    /// Panics if the attempt isn't running.
    pub fn end(&mut self, now: MonoTime, id: AttemptId) {
        self.advance(now);
        let record = self.record_mut(id);
        assert!(matches!(record.phase, Phase::Running { .. }), "only a running attempt ends: {id}");
        record.phase = Phase::Ended;
        self.schedule_release(id);
    }

    /// Marks an attempt as not run. This is final.
    ///
    /// # Panics
    ///
    /// Panics if the backend server may have begun to run the attempt.
    pub fn refuse(&mut self, now: MonoTime, id: AttemptId, reason: NotRunReason) {
        self.advance(now);
        let record = self.record_mut(id);
        assert!(
            matches!(record.phase, Phase::Waiting | Phase::Running { may_have_run: false }),
            "an attempt that may have run is never called not run: {id}"
        );
        record.phase = Phase::NotRun(reason);
        self.schedule_release(id);
    }

    /// Returns whether the backend server may have begun to run the attempt.
    pub fn may_have_run(&self, id: AttemptId) -> bool {
        self.records.get(&id).is_some_and(|record| {
            matches!(record.phase, Phase::Running { may_have_run: true } | Phase::Ended)
        })
    }

    /// Returns whether an attempt has a follower.
    pub fn is_followed(&self, id: AttemptId) -> bool {
        self.records.get(&id).is_some_and(|record| record.followers > 0)
    }

    /// Adds a follower to an attempt in the table.
    ///
    /// # Panics
    ///
    /// Panics if the attempt is unknown.
    pub fn attach(&mut self, id: AttemptId) {
        let record = self.record_mut(id);
        record.followers += 1;
        if matches!(record.phase, Phase::Waiting | Phase::Running { .. }) {
            self.set_due(id, None);
        }
    }

    /// Removes a follower. An attempt without followers is abandoned after the grace time.
    ///
    /// # Panics
    ///
    /// Panics if the attempt is in the table and has no follower.
    pub fn detach(&mut self, now: MonoTime, id: AttemptId) {
        self.advance(now);
        let grace_us = self.config.grace_ms.saturating_mul(1_000);
        let due = self.age_us.saturating_add(grace_us);
        // An attempt may be forgotten while a follower still reads the end of its answer.
        let Some(record) = self.records.get_mut(&id) else { return };
        record.followers = record.followers.checked_sub(1).expect("a follower detaches once");
        let is_open = matches!(record.phase, Phase::Waiting | Phase::Running { .. });
        if is_open && record.followers == 0 {
            self.set_due(id, Some(due));
        }
    }

    /// Returns the actions that are due, and forgets old attempts.
    pub fn tick(&mut self, now: MonoTime) -> Vec<Due> {
        self.advance(now);
        let mut due = Vec::new();
        while let Some(&(at_us, id)) = self.due.first() {
            if at_us > self.age_us {
                break;
            }
            self.set_due(id, None);
            match self.record_mut(id).phase {
                Phase::Waiting | Phase::Running { .. } => due.push(Due::Abandon(id)),
                Phase::Ended | Phase::NotRun(_) => {
                    self.release(id);
                    due.push(Due::Release(id));
                }
            }
        }
        self.forget_old();
        due
    }

    fn record_mut(&mut self, id: AttemptId) -> &mut Record {
        self.records.get_mut(&id).expect("the attempt is known")
    }

    fn insert(&mut self, id: AttemptId, fence: FencingNumber, phase: Phase) {
        let record = Record { fence, phase, followers: 0, released: false, due_age_us: None };
        let earlier = self.records.insert(id, record);
        assert!(earlier.is_none(), "an attempt is taken in once: {id}");
        assert!(self.records.len() <= self.config.max_records, "the table is bounded");
        if let Phase::NotRun(_) = phase {
            self.schedule_release(id);
        }
    }

    fn newest_fence(&self, request: RequestId) -> Option<FencingNumber> {
        let first = AttemptId { request, number: 0 };
        let last = AttemptId { request, number: u32::MAX };
        self.records.range(first..=last).map(|(_, record)| record.fence).max()
    }

    fn schedule_release(&mut self, id: AttemptId) {
        let keep_us = self.config.keep_ms.saturating_mul(1_000);
        self.set_due(id, Some(self.age_us.saturating_add(keep_us)));
    }

    fn release(&mut self, id: AttemptId) {
        let age_us = self.age_us;
        self.record_mut(id).released = true;
        self.released.insert((age_us, id));
    }

    fn forget_old(&mut self) {
        let forget_us = self.config.forget_ms.saturating_mul(1_000);
        while let Some(&(released_us, _)) = self.released.first() {
            if self.age_us.saturating_sub(released_us) < forget_us {
                return;
            }
            self.forget_oldest();
        }
    }

    /// Forgets the attempt that was released first. Returns false if no attempt was released.
    fn forget_oldest(&mut self) -> bool {
        let Some((_, id)) = self.released.pop_first() else {
            return false;
        };
        let record = self.records.remove(&id).expect("a released attempt is known");
        assert!(
            matches!(record.phase, Phase::Ended | Phase::NotRun(_)) && record.released,
            "an open attempt is never forgotten"
        );
        self.origins.forget(id.request, self.age_us, self.config.max_origins);
        true
    }

    fn make_room(&mut self) -> bool {
        self.records.len() < self.config.max_records || self.forget_oldest()
    }

    fn set_due(&mut self, id: AttemptId, due_age_us: Option<u64>) {
        let record = self.records.get_mut(&id).expect("the attempt is known");
        if let Some(earlier) = record.due_age_us.take() {
            self.due.remove(&(earlier, id));
        }
        record.due_age_us = due_age_us;
        if let Some(due) = due_age_us {
            self.due.insert((due, id));
        }
    }

    fn advance(&mut self, now: MonoTime) {
        self.age_us += now.us_since(self.last_advance_at).min(MAX_AGE_STEP_US);
        self.last_advance_at = self.last_advance_at.max(now);
    }
}
