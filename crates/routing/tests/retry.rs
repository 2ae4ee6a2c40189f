//! The budget for repeats, and trust in servers.

use samphirespread_core::prelude::*;
use samphirespread_routing::{
    retry::{RetryBudget, RetryLimits},
    suspicion::Suspicion,
};

const LIMITS: RetryLimits = RetryLimits { ratio: 0.2, window_ms: 10_000, slack: 5 };

fn at(ms: u64) -> MonoTime {
    MonoTime::from_ms(ms)
}

/// A service that fails every request.
#[test]
fn repeats_stay_below_ratio_and_slack_in_every_window() {
    let mut budget = RetryBudget::default();
    let mut repeats = Vec::new();
    for ms in (0..60_000).step_by(20) {
        budget.count_request(at(ms));
        if budget.try_spend(&LIMITS, at(ms)) {
            repeats.push(ms);
        }
    }

    for start in (0..50_000).step_by(100) {
        let count = repeats.iter().filter(|ms| (start..start + 10_000).contains(*ms)).count();
        // 500 requests in each window, with the counters' grain of a tenth of a window.
        assert!(count <= 120, "{count} repeats from {start} ms on");
    }
    assert!(repeats.len() > 500);
}

#[test]
fn an_idle_service_has_its_slack_only() {
    let mut budget = RetryBudget::default();

    let spent = (0..20).filter(|_| budget.try_spend(&LIMITS, at(1))).count();

    assert_eq!(spent, 5);
}

#[test]
fn one_broken_exchange_is_forgiven_and_the_next_is_not() {
    let mut suspicion = Suspicion::default();

    suspicion.broke_off(at(0));
    assert!(!suspicion.is_avoided(at(0)));
    suspicion.broke_off(at(0));
    assert!(suspicion.is_avoided(at(0)));

    assert!(suspicion.succeeded());
    assert!(!suspicion.is_avoided(at(0)));
}

#[test]
fn a_server_that_stays_away_is_asked_less_and_less_often() {
    let mut suspicion = Suspicion::default();

    let pauses: Vec<u64> = (0..5).map(|_| suspicion.unreachable(at(0))).collect();

    assert_eq!(pauses, [250, 500, 1_000, 2_000, 2_000]);
}
