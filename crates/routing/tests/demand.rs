//! The read demand, and the share of the requests that goes to engines with the newest weights.

use samphirespread_core::prelude::*;
use samphirespread_routing::demand::{ReadDemand, share_within_capacity};

#[test]
fn demand_follows_the_counted_tokens() {
    let mut demand = ReadDemand::default();
    for ms in 0..10_000 {
        demand.count(100, MonoTime::from_ms(ms));
    }

    let now = demand.tokens_per_ms(MonoTime::from_ms(10_000));
    let later = demand.tokens_per_ms(MonoTime::from_ms(20_000));

    assert!((90.0..110.0).contains(&now), "{now}");
    assert!(later < 1.0, "{later}");
}

/// A rollout has just begun, and few engines hold the newest weights.
#[test]
fn share_is_proportional_to_capacity_up_to_all_requests() {
    let one = share_within_capacity(1, 100.0, 500.0);
    let three = share_within_capacity(3, 100.0, 500.0);
    let twelve = share_within_capacity(12, 100.0, 500.0);

    assert!(one > 0.0 && one < 0.2);
    assert!((three - 3.0 * one).abs() < 1e-9);
    assert!((twelve - 1.0).abs() < 1e-9);
}
