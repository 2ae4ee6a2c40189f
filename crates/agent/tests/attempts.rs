//! Tests of the attempt table: no attempt runs twice, and none is reported as "not run" after it
//! ran.

use std::collections::{BTreeMap, BTreeSet};

use proptest::{prelude::*, test_runner::RngSeed};
use samphirespread_agent::attempts::{
    AttemptConfig, AttemptTable, CancelDecision, Due, ResumeDecision, RunDecision,
};
use samphirespread_core::prelude::*;
use samphirespread_wire::message::NotRunReason;

fn attempt(serial: u64, number: u32) -> AttemptId {
    AttemptId { request: RequestId { origin: serial % 2, serial }, number }
}

fn at(ms: u64) -> MonoTime {
    MonoTime::from_ms(ms)
}

fn table() -> AttemptTable {
    AttemptTable::new(AttemptConfig::default().grace_ms(100).keep_ms(200).forget_ms(500))
}

const FENCE: FencingNumber = FencingNumber(1);
const UNKNOWN: NotRunReason = NotRunReason::Unknown;

#[test]
fn a_duplicate_run_request_attaches_to_the_attempt() {
    let mut table = table();
    let id = attempt(1, 0);

    let first = table.run(at(0), id, FENCE);
    let second = table.run(at(1), id, FENCE);

    assert_eq!((first, second), (RunDecision::Start, RunDecision::Attach));
}

#[test]
fn refuses_a_run_request_after_its_cancel_request() {
    let mut table = table();
    let id = attempt(1, 0);

    let cancelled = table.cancel(at(0), id);
    let run = table.run(at(1), id, FENCE);

    assert_eq!(cancelled, CancelDecision::Nothing);
    assert_eq!(run, RunDecision::Refuse(UNKNOWN));
}

#[test]
fn refuses_an_older_fence_for_the_same_request() {
    let mut table = table();
    table.run(at(0), attempt(1, 1), FencingNumber(2));

    let older = table.run(at(1), attempt(1, 0), FencingNumber(1));
    let other_request = table.run(at(1), attempt(2, 0), FencingNumber(1));

    assert_eq!(older, RunDecision::Refuse(UNKNOWN));
    assert_eq!(other_request, RunDecision::Start);
}

#[test]
fn a_refused_attempt_stays_refused() {
    let mut table = table();
    let id = attempt(1, 0);
    table.run(at(0), id, FENCE);
    table.refuse(at(0), id, NotRunReason::Busy);

    let again = table.run(at(1), id, FENCE);
    let resumed = table.resume(at(1), id);

    assert_eq!(again, RunDecision::Refuse(NotRunReason::Busy));
    assert_eq!(resumed, ResumeDecision::Refuse(NotRunReason::Busy));
}

#[test]
fn an_attempt_without_followers_is_abandoned_after_the_grace_time() {
    let mut table = table();
    let id = attempt(1, 0);
    table.run(at(0), id, FENCE);
    table.attach(id);
    table.start(id);
    table.detach(at(10), id);

    let before = table.tick(at(109));
    table.attach(id);
    let while_followed = table.tick(at(300));
    table.detach(at(300), id);
    let after = table.tick(at(400));

    assert_eq!((before, while_followed), (Vec::new(), Vec::new()));
    assert_eq!(after, [Due::Abandon(id)]);
}

#[test]
fn a_forgotten_attempt_is_neither_started_nor_reported_as_not_run() {
    let mut table = table();
    let id = attempt(1, 0);
    table.run(at(0), id, FENCE);
    table.start(id);
    table.mark_may_have_run(id);
    table.end(at(0), id);
    let released = table.tick(at(200));
    table.tick(at(700));

    let run = table.run(at(701), id, FENCE);
    let resumed = table.resume(at(701), id);

    assert_eq!(released, [Due::Release(id)]);
    assert!(table.is_empty());
    assert_eq!((run, resumed), (RunDecision::Uncertain, ResumeDecision::Uncertain));
}

#[test]
fn a_frozen_process_forgets_no_attempts() {
    let mut table = AttemptTable::new(AttemptConfig::default());
    let id = attempt(1, 0);
    table.resume(at(0), id);
    table.tick(at(0));

    table.tick(at(3_600_000));
    table.tick(at(3_600_100));
    let run = table.run(at(3_600_200), id, FENCE);

    assert_eq!(run, RunDecision::Refuse(UNKNOWN));
}

#[test]
#[should_panic(expected = "never called not run")]
fn panics_when_an_attempt_that_may_have_begun_is_refused() {
    let mut table = table();
    let id = attempt(1, 0);
    table.run(at(0), id, FENCE);
    table.start(id);
    table.mark_may_have_run(id);

    table.refuse(at(0), id, NotRunReason::EngineDown);
}

#[derive(Clone, Debug)]
enum Step {
    Run { serial: u64, number: u32 },
    Resume { serial: u64, number: u32 },
    Cancel { serial: u64, number: u32 },
    Start { nth: usize },
    Begin { nth: usize },
    End { nth: usize },
    Refuse { nth: usize },
    Detach { nth: usize },
    Sleep { ms: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let id = || (0..24_u64, 0..3_u32);
    let nth = || 0..8_usize;
    prop_oneof![
        6 => id().prop_map(|(serial, number)| Step::Run { serial, number }),
        2 => id().prop_map(|(serial, number)| Step::Resume { serial, number }),
        1 => id().prop_map(|(serial, number)| Step::Cancel { serial, number }),
        3 => nth().prop_map(|nth| Step::Start { nth }),
        3 => nth().prop_map(|nth| Step::Begin { nth }),
        3 => nth().prop_map(|nth| Step::End { nth }),
        1 => nth().prop_map(|nth| Step::Refuse { nth }),
        2 => nth().prop_map(|nth| Step::Detach { nth }),
        2 => (0..400_u64).prop_map(|ms| Step::Sleep { ms }),
    ]
}

fn proptest_config() -> ProptestConfig {
    let number = |name: &str, default| {
        std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
    };
    ProptestConfig {
        cases: number("SAMPHIRESPREAD_CASES", 512) as u32,
        rng_seed: RngSeed::Fixed(number("SAMPHIRESPREAD_SEED", 11)),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// A model of the table that never forgets an attempt.
#[derive(Default)]
struct Model {
    now: MonoTime,
    waiting: BTreeSet<AttemptId>,
    running: BTreeMap<AttemptId, bool>,
    started: BTreeSet<AttemptId>,
    begun: BTreeSet<AttemptId>,
    reported_not_run: BTreeSet<AttemptId>,
    followers: Vec<AttemptId>,
}

impl Model {
    fn report_not_run(&mut self, id: AttemptId) {
        assert!(!self.begun.contains(&id), "{id} was reported as not run after it began");
        self.reported_not_run.insert(id);
    }

    fn follow(&mut self, table: &mut AttemptTable, id: AttemptId) {
        table.attach(id);
        self.followers.push(id);
    }

    fn nth_running(&self, nth: usize) -> Option<AttemptId> {
        self.running.keys().nth(nth % self.running.len().max(1)).copied()
    }

    fn apply(&mut self, table: &mut AttemptTable, step: &Step) {
        match *step {
            Step::Run { serial, number } => self.run(table, attempt(serial, number)),
            Step::Resume { serial, number } => {
                let id = attempt(serial, number);
                match table.resume(self.now, id) {
                    ResumeDecision::Attach => self.follow(table, id),
                    ResumeDecision::Refuse(_) => self.report_not_run(id),
                    ResumeDecision::Uncertain => {}
                }
            }
            Step::Cancel { serial, number } => {
                let id = attempt(serial, number);
                if table.cancel(self.now, id) == CancelDecision::Withdraw {
                    assert!(self.waiting.remove(&id));
                    self.report_not_run(id);
                }
            }
            Step::Start { nth } => {
                let Some(&id) = self.waiting.iter().nth(nth) else { return };
                table.start(id);
                self.waiting.remove(&id);
                self.running.insert(id, false);
                assert!(self.started.insert(id), "{id} started twice");
                assert!(!self.reported_not_run.contains(&id), "{id} started after it was refused");
            }
            Step::Begin { nth } => {
                let Some(id) = self.nth_running(nth) else { return };
                table.mark_may_have_run(id);
                self.running.insert(id, true);
                self.begun.insert(id);
            }
            Step::End { nth } => {
                let Some(id) = self.nth_running(nth) else { return };
                table.end(self.now, id);
                self.running.remove(&id);
                // The reply may report that the attempt ran, so it counts as begun.
                self.begun.insert(id);
            }
            Step::Refuse { nth } => {
                let Some(id) = self.nth_running(nth).filter(|id| !self.running[id]) else {
                    return;
                };
                table.refuse(self.now, id, NotRunReason::EngineDown);
                self.running.remove(&id);
                self.report_not_run(id);
            }
            Step::Detach { nth } => {
                if nth < self.followers.len() {
                    let id = self.followers.remove(nth);
                    table.detach(self.now, id);
                }
            }
            Step::Sleep { ms } => self.now = self.now.plus_ms(ms),
        }
    }

    fn run(&mut self, table: &mut AttemptTable, id: AttemptId) {
        match table.run(self.now, id, FencingNumber(u64::from(id.number))) {
            RunDecision::Start => {
                assert!(!self.started.contains(&id), "{id} starts again");
                assert!(!self.reported_not_run.contains(&id), "{id} starts after it was refused");
                self.waiting.insert(id);
                self.follow(table, id);
            }
            RunDecision::Attach => self.follow(table, id),
            RunDecision::Refuse(_) => self.report_not_run(id),
            RunDecision::Uncertain | RunDecision::Full => {}
        }
    }

    fn tick(&mut self, table: &mut AttemptTable) {
        for due in table.tick(self.now) {
            let Due::Abandon(id) = due else { continue };
            assert!(!self.followers.contains(&id), "{id} was abandoned while followed");
            if table.cancel(self.now, id) == CancelDecision::Withdraw {
                assert!(self.waiting.remove(&id));
                self.report_not_run(id);
            }
        }
    }
}

proptest! {
    #![proptest_config(proptest_config())]

    #[test]
    fn no_attempt_starts_twice_or_is_reported_as_not_run_after_it_began(
        steps in prop::collection::vec(step(), 1..400),
        max_records in 12..40_usize,
    ) {
        let config = AttemptConfig::default()
            .max_records(max_records)
            .grace_ms(300)
            .keep_ms(200)
            .forget_ms(1_000);
        let mut table = AttemptTable::new(config);
        let mut model = Model::default();

        for step in &steps {
            model.apply(&mut table, step);
            model.tick(&mut table);
        }

        prop_assert!(table.len() <= max_records);
        prop_assert!(model.reported_not_run.is_disjoint(&model.begun));
    }
}
