//! Property tests with random sequences of calls: no entry is lost or runs twice, and waiting teams
//! are served in proportion to their weights.

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
    AdvanceTime { ms: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0..5_usize, 1..50_u64, 1..5_000_u64, 0..4_u8, 0..MAX_BYTES / 4).prop_map(
            |(team, weight, cost, priority, size)| Step::Push { team, weight, cost, priority, size },
        ),
        3 => Just(Step::Pop),
        2 => (0..CONCURRENCY, 0..200_u64).prop_map(|(nth, percent)| Step::Complete { nth, percent }),
        1 => (0..MAX_LEN).prop_map(|nth| Step::Cancel { nth }),
        1 => (0..100_u64).prop_map(|ms| Step::AdvanceTime { ms }),
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

/// A simple reference model of the entries that were pushed so far.
#[derive(Default)]
struct ReferenceModel {
    now: MonoTime,
    next_number: u64,
    /// The rank, deadline and team of each waiting entry, by the entry's number.
    waiting: BTreeMap<u64, (u64, MonoTime, usize)>,
    running: Vec<(Ticket, u64)>,
    tickets: BTreeMap<u64, Ticket>,
    ended: BTreeSet<u64>,
}

impl ReferenceModel {
    fn end(&mut self, number: u64) {
        assert!(self.ended.insert(number), "entry {number} ended twice");
    }

    fn drop_entries(&mut self, queue: &mut Queue<u64>) {
        for dropped in queue.take_dropped(self.now) {
            assert!(
                self.waiting.remove(&dropped.item).is_some(),
                "only waiting entries are dropped"
            );
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
                let number = self.next_number;
                self.next_number += 1;
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
            Step::AdvanceTime { ms } => self.now = self.now.plus_ms(ms),
        }
    }

    fn pop(&mut self, queue: &mut Queue<u64>) {
        let Some(popped) = queue.pop(self.now) else {
            return;
        };
        let (rank, deadline, team) =
            self.waiting.remove(&popped.item).expect("a popped entry was waiting");
        assert!(deadline > self.now, "an expired entry ran");
        let first_of_team = self
            .waiting
            .iter()
            .filter(|(_, entry)| entry.2 == team && entry.1 > self.now)
            .map(|(&number, entry)| (entry.0, number))
            .min();
        assert!(
            first_of_team.is_none_or(|first_of_team| (rank, popped.item) < first_of_team),
            "an entry of the same team should have run earlier"
        );
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
        let mut model = ReferenceModel::default();

        for step in &steps {
            model.apply(&mut queue, &teams, step);
            model.drop_entries(&mut queue);
            prop_assert_eq!(queue.len(), model.waiting.len());
            prop_assert_eq!(queue.running(), model.running.len());
            prop_assert!(queue.len() <= MAX_LEN);
        }
        model.now = model.now.plus_ms(MAX_WAIT_MS);
        model.drop_entries(&mut queue);

        prop_assert_eq!(model.ended.len() + model.running.len(), model.next_number as usize);
    }

    #[test]
    fn waiting_teams_are_served_in_proportion_to_their_weights(
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
            let popped = queue.pop(MonoTime::ZERO).expect("every team has waiting entries");
            let (team, actual) = popped.item;
            queue.complete(MonoTime::ZERO, popped.ticket, actual);
            *served.entry(team).or_default() += actual as f64;
            let shares = teams
                .iter()
                .zip(&weights)
                .map(|(team, &weight)| (served.get(team).copied().unwrap_or(0.0), weight as f64));
            let per_weight: Vec<f64> = shares.map(|(tokens, weight)| tokens / weight).collect();
            for (i, a) in per_weight.iter().enumerate() {
                for (j, b) in per_weight.iter().enumerate() {
                    // A team is ahead of any other team by at most one entry.
                    let bound = max_cost / weights[i].min(weights[j]) as f64 + 1e-6;
                    prop_assert!((a - b).abs() <= bound, "teams {i} and {j}: {a} against {b}");
                }
            }
        }
    }
}
