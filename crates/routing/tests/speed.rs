//! Estimates of the reading speed and of the fetch delay, with queues and slow engines.

use rand::{Rng, SeedableRng, rngs::SmallRng};
use samphirespread_core::prelude::*;
use samphirespread_routing::speed::{FIRST_TOKENS_PER_MS, FetchDelay, ReadingSpeed};

const BASE_MS: f64 = 38.0;

/// Returns the estimated speed after requests to engines of that speed. `waiting` is the fraction
/// of requests that wait in a queue, and `slow` is the fraction that goes to slow engines.
fn estimated(tokens_per_ms: f64, waiting: f64, slow: f64, seed: u64) -> f64 {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut speed = ReadingSpeed::default();
    for _ in 0..4_000 {
        let tokens: u64 = if random.random_bool(0.5) {
            random.random_range(50..400)
        } else {
            random.random_range(2_000..9_000)
        };
        let queue_ms =
            if random.random_bool(waiting) { random.random_range(5.0..300.0) } else { 0.0 };
        let times = if random.random_bool(slow) { 3.5 } else { 1.0 };
        let took_ms = (BASE_MS + tokens as f64 / tokens_per_ms) * times + queue_ms;
        speed.observe(tokens, took_ms as u64);
    }
    speed.tokens_per_ms()
}

#[test]
fn estimates_very_different_speeds() {
    for tokens_per_ms in [20.0, 42.6, 112.0, 157.0, 400.0] {
        let ratio = estimated(tokens_per_ms, 0.0, 0.0, 1) / tokens_per_ms;

        assert!((0.8..1.25).contains(&ratio), "{tokens_per_ms}: {ratio}");
    }
}

#[test]
fn is_not_distorted_by_queues_and_slow_engines() {
    for seed in 0..10 {
        let ratio = estimated(42.6, 0.4, 0.15, seed) / 42.6;

        assert!((0.7..1.25).contains(&ratio), "seed {seed}: {ratio}");
    }
}

/// A router that has just started knows nothing about the speed of its engines.
#[test]
fn adapts_to_slow_engines_after_few_requests() {
    let mut speed = ReadingSpeed::default();

    for _ in 0..10 {
        speed.observe(300, (BASE_MS + 300.0 / 42.6) as u64);
        speed.observe(6_000, (BASE_MS + 6_000.0 / 42.6) as u64);
    }

    let ratio = speed.tokens_per_ms() / 42.6;
    assert!((0.8..1.3).contains(&ratio), "{ratio}");
}

#[test]
fn keeps_the_estimate_within_bounds() {
    let mut speed = ReadingSpeed::default();
    assert!((speed.tokens_per_ms() - FIRST_TOKENS_PER_MS).abs() < 1e-6);

    (0..10_000).for_each(|_| speed.observe(4_000, 0));
    assert!(speed.tokens_per_ms() <= 2_000.0);
    (0..10_000).for_each(|_| speed.observe(2_000, u64::MAX));
    assert!(speed.tokens_per_ms() >= 5.0);
}

/// Fetches wait for each other for a while, and then there are no more fetches.
#[test]
fn detects_slow_fetches_after_some_requests_and_decays_without_observations() {
    let mut delay = FetchDelay::default();
    let at = MonoTime::from_ms;
    for request in 0..20 {
        delay.observe(true, 80.0, 1_080, at(1_000 + 10 * request));
        delay.observe(false, 80.0, 90, at(1_000 + 10 * request));
    }

    assert!(delay.ms(at(1_200)) > 600.0, "{}", delay.ms(at(1_200)));
    assert!(delay.ms(at(9_000)) < 10.0, "{}", delay.ms(at(9_000)));
}

/// All requests take longer than expected, whether they fetch or not, so fetches are not the cause.
#[test]
fn does_not_attribute_a_general_delay_to_fetches() {
    let mut delay = FetchDelay::default();
    for request in 0..200 {
        let now = MonoTime::from_ms(1_000 + 5 * request);
        delay.observe(request % 2 == 0, 80.0, 700, now);
    }

    assert!(delay.ms(MonoTime::from_ms(2_000)) < 60.0);
}
