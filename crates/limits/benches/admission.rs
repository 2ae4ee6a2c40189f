//! Measures the cost of one admission and its refund.

#![allow(missing_docs, reason = "criterion makes public items without docs")]

use criterion::{Criterion, criterion_group, criterion_main};
use samphirespread_core::prelude::*;
use samphirespread_limits::{
    Action, Event, Holder, Limiter, LimitsConfig, ObjectState, RouterInfo, TeamLimit, WriteOutcome,
};

const TEAMS: usize = 720;

/// Creates the limiter of a single router, which holds all shares.
fn holder() -> (Limiter, MonoTime) {
    let me = Holder { name: InstanceName::new("r0"), address: "10.0.0.1:7000".to_owned() };
    let mut now = MonoTime::from_ms(1);
    let mut limiter = Limiter::new(LimitsConfig::new(), me.clone(), Incarnation(1), now);
    let limits = (0..TEAMS).map(|team| TeamLimit {
        team: TeamName::new(format!("team-{team}")),
        rate_tokens_per_s: 1_000_000_000,
        burst_tokens: 1_000_000_000_000,
    });
    let mut actions = limiter.handle(now, Event::Limits(limits.collect()));
    let router = RouterInfo { holder: me, failure_domain: "d".to_owned(), leaving: false };
    actions.extend(limiter.handle(now, Event::LiveList(vec![router])));
    let mut version = 0;
    while let Some(action) = actions.pop() {
        now = now.plus_ms(1);
        let event = match action {
            Action::Read { call, .. } => Event::Read { call, state: ObjectState::Absent },
            Action::Write { call, .. } => {
                version += 1;
                Event::Written { call, outcome: WriteOutcome::Done { version } }
            }
            _ => continue,
        };
        actions.extend(limiter.handle(now, event));
    }
    (limiter, now)
}

fn admit_and_refund(c: &mut Criterion) {
    let (mut limiter, mut now) = holder();
    let team = TeamName::new("team-7");
    let mut ticket = 0;
    c.bench_function("admit and refund", |b| {
        b.iter(|| {
            ticket += 1;
            now = now.plus_us(10);
            let actions =
                limiter.handle(now, Event::Admit { ticket, team: team.clone(), tokens: 1_000 });
            assert_eq!(actions, [Action::Grant { ticket }]);
            limiter.handle(now, Event::Refund { ticket, unused_tokens: 500 })
        });
    });
}

criterion_group!(benches, admit_and_refund);
criterion_main!(benches);
