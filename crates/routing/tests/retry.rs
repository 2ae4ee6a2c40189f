//! The retry budget, and the avoidance of failed servers.

use rand::{Rng, SeedableRng, rngs::SmallRng};
use samphirespread_core::prelude::*;
use samphirespread_routing::{
    backoff::FailureBackoff,
    retry::{RetryBudget, RetryLimits, share_of_slack},
};

const LIMITS: RetryLimits = RetryLimits { ratio: 0.2, window_ms: 10_000, slack: 5 };

fn at(ms: u64) -> MonoTime {
    MonoTime::from_ms(ms)
}

/// Every request to the service fails.
#[test]
fn limits_repeats_by_ratio_and_slack_in_every_window() {
    let mut budget = RetryBudget::default();
    let mut repeats = Vec::new();
    for ms in (0..60_000).step_by(20) {
        budget.count_request(LIMITS.window_ms, at(ms));
        if budget.try_spend(&LIMITS, at(ms)) {
            repeats.push(ms);
        }
    }

    for start in (0..50_000).step_by(100) {
        let count = repeats.iter().filter(|ms| (start..start + 10_000).contains(*ms)).count();
        // Each window has 500 requests; the counters have a resolution of a tenth of a window.
        assert!(count <= 120, "{count} repeats from {start} ms on");
    }
    assert!(repeats.len() > 500);
}

#[test]
fn allows_only_the_slack_without_requests() {
    let mut budget = RetryBudget::default();

    let spent = (0..20).filter(|_| budget.try_spend(&LIMITS, at(1))).count();

    assert_eq!(spent, 5);
}

fn fleet(routers: usize) -> Vec<InstanceName> {
    (0..routers).map(|number| InstanceName::new(format!("front-a-{number}"))).collect()
}

fn shares(slack: f64, fleet: &[InstanceName]) -> Vec<u64> {
    let others = |own| fleet.iter().filter(move |other| *other != own);
    fleet.iter().map(|own| share_of_slack(slack, own, others(own))).collect()
}

/// Covers more routers than repeats, as many, and fewer, and a slack that is not an integer.
#[test]
fn shares_of_all_routers_add_up_to_the_slack() {
    for (slack, whole) in [(0.0, 0), (0.9, 0), (18.085, 18), (123.0, 123), (28.0, 28)] {
        for routers in [1, 2, 5, 28, 103, 510] {
            let shares = shares(slack, &fleet(routers));

            assert_eq!(shares.iter().sum::<u64>(), whole, "{slack} over {routers}");
            assert!(shares.iter().max().unwrap() - shares.iter().min().unwrap() <= 1);
        }
    }
}

/// All requests of all routers fail, and some routers restart once per window and lose count of the
/// repeats that they have spent.
#[test]
fn fleet_stays_within_the_budget_despite_restarts() {
    const RATIO: f64 = 0.2;
    const SLACK: f64 = 36.17;
    for seed in 0..20 {
        let mut random = SmallRng::seed_from_u64(seed);
        let routers = fleet(random.random_range(1..60));
        let limits: Vec<RetryLimits> = shares(SLACK / 2.0, &routers)
            .into_iter()
            .map(|slack| RetryLimits { ratio: RATIO, window_ms: 10_000, slack })
            .collect();
        let mut budgets = vec![RetryBudget::default(); routers.len()];
        let (mut requests, mut repeats) = (Vec::new(), Vec::new());

        for ms in (0..30_000).step_by(10) {
            let router = random.random_range(0..routers.len());
            if ms % 10_000 == 5_000 {
                budgets[router] = RetryBudget::default();
            }
            if random.random_bool(0.3) {
                budgets[router].count_request(limits[router].window_ms, at(ms));
                requests.push(ms);
            }
            if budgets[router].try_spend(&limits[router], at(ms)) {
                repeats.push(ms);
            }
        }

        for start in (0..20_000).step_by(250) {
            let within =
                |all: &[u64]| all.iter().filter(|ms| (start..start + 10_000).contains(*ms)).count();
            let allowed = RATIO * within(&requests) as f64 + SLACK;
            // Requests count a little longer because of the counters' resolution of a tenth of a
            // window.
            let rounding = RATIO * 0.3 * 100.0;
            assert!(
                within(&repeats) as f64 <= allowed + rounding,
                "seed {seed}, from {start} ms on"
            );
        }
    }
}

#[test]
fn avoids_a_server_after_two_interrupted_exchanges_in_a_row() {
    let mut backoff = FailureBackoff::default();

    backoff.record_interruption(at(0));
    assert!(!backoff.is_avoided(at(0)));
    backoff.record_interruption(at(0));
    assert!(backoff.is_avoided(at(0)));

    assert!(backoff.record_success());
    assert!(!backoff.is_avoided(at(0)));
}

#[test]
fn pauses_for_an_unreachable_server_grow_up_to_a_maximum() {
    let mut backoff = FailureBackoff::default();

    let pauses: Vec<u64> = (0..5).map(|_| backoff.record_unreachable(at(0))).collect();

    assert_eq!(pauses, [250, 500, 1_000, 2_000, 2_000]);
}

/// Repeats older than ten seconds were forgotten when a request was counted, so that a longer
/// window of the settings did not bind.
#[test]
fn repeats_count_for_the_whole_window_of_the_settings() {
    let limits = RetryLimits { ratio: 0.0, window_ms: 30_000, slack: 2 };
    let mut budget = RetryBudget::default();
    let first = (0..3).filter(|_| budget.try_spend(&limits, at(0))).count();
    assert_eq!(first, 2);

    for ms in (0..29_000).step_by(500) {
        budget.count_request(limits.window_ms, at(ms));
        assert!(!budget.try_spend(&limits, at(ms)), "a third repeat within the window, at {ms} ms");
    }
    assert!(budget.try_spend(&limits, at(33_000)));
}
