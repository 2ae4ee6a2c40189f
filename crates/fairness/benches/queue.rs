//! Measures the time of one push, pop and completion with 720 teams.

use criterion::Criterion;
use samphirespread_core::prelude::*;
use samphirespread_fairness::{Admission, Config, Queue};

const TEAMS: usize = 720;
const ENTRIES_PER_TEAM: usize = 4;

fn bench_push_pop(c: &mut Criterion) {
    let teams: Vec<TeamName> = (0..TEAMS).map(|n| TeamName::new(format!("team-{n}"))).collect();
    let config = Config::new(64).max_len(2 * TEAMS * ENTRIES_PER_TEAM).max_wait_ms(u64::MAX);
    let mut queue = Queue::new(config);
    for number in 0..TEAMS * ENTRIES_PER_TEAM {
        let admission = Admission::new(&teams[number % TEAMS], 100).cost_tokens(2_000);
        queue.push(MonoTime::ZERO, &admission, number).expect("the queue has room");
    }
    let mut number = 0;
    c.bench_function("push, pop and complete, 720 teams", |b| {
        b.iter(|| {
            number += 1;
            let now = MonoTime::from_us(number as u64);
            let admission = Admission::new(&teams[number * 7 % TEAMS], 100).cost_tokens(2_000);
            queue.push(now, &admission, number).expect("the queue has room");
            let popped = queue.pop(now).expect("a slot is free");
            queue.complete(now, popped.ticket, 1_500);
        });
    });
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    bench_push_pop(&mut criterion);
    criterion.final_summary();
}
