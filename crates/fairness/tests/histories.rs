//! Random histories: nothing is lost or runs twice, and shares of service are fair.

use std::collections::{BTreeMap, BTreeSet};

use proptest::{prelude::*, test_runner::RngSeed};
use samphirespread_core::prelude::*;
use samphirespread_fairness::{Admission, Config, Queue, Ticket};

const CONCURRENCY: usize = 3;
const MAX_LEN: usize = 12;
const MAX_BYTES: u64 = 8_000;
const MAX_WAIT_MS: u64 = 200;
const AGEING_MS: u64 = 20;

#[derive(Clone, Debug)]
enum Step {
    Push { team: usize, weight: u64, cost: u64, priority: u8, size: u64 },
    Pop,
    Complete { nth: usize, percent: u64 },
    Cancel { nth: usize },
    Sleep { ms: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..5_usize, 1..50_u64, 1..5_000_u64, 0..4_u8, 0..MAX_BYTES / 4).prop_map(
            |(team, weight, cost, priority, size)| Step::Push { team, weight, cost, priority, size },
        ),
        3 => Just(Step::Pop),
        2 => (0..CONCURRENCY, 0..200_u64).prop_map(|(nth, percent)| Step::Complete { nth, percent }),
        1 => (0..MAX_LEN).prop_map(|nth| Step::Cancel { nth }),
        1 => (0..100_u64).prop_map(|ms| Step::Sleep { ms }),
    ]
}

fn proptest_config() -> ProptestConfig {
    let number = |name: &str, default| {
        std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
    };
    ProptestConfig {
        cases: number("SAMPHIRESPREAD_CASES", 256) as u32,
        rng_seed: RngSeed::Fixed(number("SAMPHIRESPREAD_SEED", 7)),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// What a history has done so far, kept in the plainest way.
#[derive(Default)]
struct Ledger {
    now: MonoTime,
    next: u64,
    /// Rank, deadline and team of waiting entries, by number.
    waiting: BTreeMap<u64, (u64, MonoTime, usize)>,
    running: Vec<(Ticket, u64)>,
    tickets: BTreeMap<u64, Ticket>,
    ended: BTreeSet<u64>,
}

impl Ledger {
    fn end(&mut self, number: u64) {
        assert!(self.ended.insert(number), "entry {number} ended twice");
    }

    fn drop_entries(&mut self, queue: &mut Queue<u64>) {
        for dropped in queue.expire(self.now) {
            assert!(self.waiting.remove(&dropped.item).is_some(), "only waiting entries drop");
            assert!(dropped.retry_after_ms > 0);
            self.end(dropped.item);
        }
    }

    fn apply(&mut self, queue: &mut Queue<u64>, teams: &[TeamName], step: &Step) {
        match *step {
            Step::Push { team, weight, cost, priority, size } => {
                let admission = Admission::new(&teams[team], weight)
                    .cost_tokens(cost)
                    .priority(priority)
                    .size_bytes(size);
                let number = self.next;
                self.next += 1;
                if let Ok(ticket) = queue.push(self.now, &admission, number) {
                    let rank = self.now.as_us() + u64::from(priority) * AGEING_MS * 1_000;
                    let deadline = self.now.plus_ms(MAX_WAIT_MS);
                    self.waiting.insert(number, (rank, deadline, team));
                    self.tickets.insert(number, ticket);
                } else {
                    self.end(number);
                }
            }
            Step::Pop => self.pop(queue),
            Step::Complete { nth, percent } => {
                if self.running.is_empty() {
                    return;
                }
                let (ticket, number) = self.running.remove(nth % self.running.len());
                queue.complete(self.now, ticket, percent * 20);
                self.end(number);
            }
            Step::Cancel { nth } => {
                let Some(&number) = self.waiting.keys().nth(nth) else {
                    return;
                };
                let cancelled = queue.cancel(self.now, self.tickets[&number]);
                if cancelled.is_some() {
                    self.waiting.remove(&number);
                    self.end(number);
                }
            }
            Step::Sleep { ms } => self.now = self.now.plus_ms(ms),
        }
    }

    fn pop(&mut self, queue: &mut Queue<u64>) {
        let Some(popped) = queue.pop(self.now) else {
            return;
        };
        let (rank, deadline, team) = self.waiting.remove(&popped.item).expect("it waited");
        assert!(deadline > self.now, "an expired entry ran");
        let first = self
            .waiting
            .iter()
            .filter(|(_, entry)| entry.2 == team && entry.1 > self.now)
            .map(|(&number, entry)| (entry.0, number))
            .min();
        assert!(first.is_none_or(|first| (rank, popped.item) < first), "order within the team");
        self.running.push((popped.ticket, popped.item));
        assert!(self.running.len() <= CONCURRENCY);
    }
}

proptest! {
    #![proptest_config(proptest_config())]

    #[test]
    fn every_entry_ends_exactly_once(steps in prop::collection::vec(step(), 1..300)) {
        let teams: Vec<TeamName> = (0..5).map(|n| TeamName::new(format!("team-{n}"))).collect();
        let config = Config::new(CONCURRENCY)
            .reserved_slots(1)
            .max_len(MAX_LEN)
            .max_bytes(MAX_BYTES)
            .max_wait_ms(MAX_WAIT_MS)
            .ageing_ms(AGEING_MS)
            .forget_ms(50);
        let mut queue = Queue::new(config);
        let mut ledger = Ledger::default();

        for step in &steps {
            ledger.apply(&mut queue, &teams, step);
            ledger.drop_entries(&mut queue);
            prop_assert_eq!(queue.len(), ledger.waiting.len());
            prop_assert_eq!(queue.running(), ledger.running.len());
            prop_assert!(queue.len() <= MAX_LEN);
        }
        ledger.now = ledger.now.plus_ms(MAX_WAIT_MS);
        ledger.drop_entries(&mut queue);

        prop_assert_eq!(ledger.ended.len() + ledger.running.len(), ledger.next as usize);
    }

    #[test]
    fn weighted_service_of_waiting_teams_stays_close(
        weights in prop::collection::vec(1..100_u64, 2..6),
        costs in prop::collection::vec((1..5_000_u64, 1..5_000_u64), 200),
    ) {
        let max_cost = 5_000.0;
        let teams: Vec<TeamName> =
            (0..weights.len()).map(|n| TeamName::new(format!("team-{n}"))).collect();
        let config = Config::new(1).max_len(100_000).max_wait_ms(u64::MAX).idle_credit_tokens(0);
        let mut queue = Queue::new(config);
        for &(estimate, actual) in &costs {
            for (team, &weight) in teams.iter().zip(&weights) {
                let admission = Admission::new(team, weight).cost_tokens(estimate);
                queue.push(MonoTime::ZERO, &admission, (team.clone(), actual)).unwrap();
            }
        }
        let mut served: BTreeMap<TeamName, f64> = BTreeMap::new();

        for _ in 0..costs.len() {
            let popped = queue.pop(MonoTime::ZERO).expect("every team waits");
            let (team, actual) = popped.item;
            queue.complete(MonoTime::ZERO, popped.ticket, actual);
            *served.entry(team).or_default() += actual as f64;
            let shares = teams
                .iter()
                .zip(&weights)
                .map(|(team, &weight)| (served.get(team).copied().unwrap_or(0.0), weight as f64));
            let normalized: Vec<f64> = shares.map(|(tokens, weight)| tokens / weight).collect();
            for (i, a) in normalized.iter().enumerate() {
                for (j, b) in normalized.iter().enumerate() {
                    // A team runs ahead by one entry at most.
                    let bound = max_cost / weights[i].min(weights[j]) as f64 + 1e-6;
                    prop_assert!((a - b).abs() <= bound, "teams {i} and {j}: {a} against {b}");
                }
            }
        }
    }
}
