//! Which engine loads newer weights next, and on which versions requests may begin.

use samphirespread_core::prelude::*;
use samphirespread_routing::rollout::{
    Candidate, NamedVersions, Phase, at_once, last_of_version, next,
};

const BOUND_MS: u64 = 12_000;

fn engine(id: &str, failure_domain: &str, version: u64, phase: Phase) -> Candidate {
    let failure_domain = failure_domain.into();
    Candidate { id: id.into(), failure_domain, version, phase, running: 0, waiting: 0 }
}

fn named(versions: &[(u64, u64)]) -> NamedVersions {
    let mut named = NamedVersions::default();
    for (version, at_ms) in versions {
        named.learn(*version, MonoTime::from_ms(*at_ms));
    }
    named
}

/// Versions that come faster than a rollout ends, as operators name them on a busy day.
#[test]
fn each_version_keeps_its_own_bound_when_newer_ones_overtake_it() {
    let versions = named(&[(1, 0), (2, 20_000), (3, 24_800), (4, 29_600)]);

    let before = versions.oldest_allowed(MonoTime::from_ms(31_900), BOUND_MS);
    let after = versions.oldest_allowed(MonoTime::from_ms(32_000), BOUND_MS);

    assert_eq!(before, 1);
    assert_eq!(after, 2);
    assert_eq!(versions.newest(), 4);
}

#[test]
fn an_older_version_is_no_news() {
    let mut versions = named(&[(3, 0)]);

    let is_news = versions.learn(2, MonoTime::from_ms(50));

    assert!(!is_news);
    assert_eq!(versions.newest(), 3);
}

/// A router that restarts hears from another one, or from the store, when versions were named.
#[test]
fn word_of_an_earlier_naming_counts() {
    let mut versions = named(&[(4, 30_000)]);

    versions.learn(4, MonoTime::from_ms(21_000));
    versions.learn(3, MonoTime::from_ms(17_000));

    assert_eq!(versions.newest(), 4);
    assert_eq!(versions.oldest_allowed(MonoTime::from_ms(30_000), BOUND_MS), 3);
    assert_eq!(versions.oldest_allowed(MonoTime::from_ms(33_000), BOUND_MS), 4);
}

#[test]
fn the_oldest_weights_go_first_and_failure_domains_take_turns() {
    let engines = [
        engine("a1", "a", 2, Phase::Serving),
        engine("a2", "a", 1, Phase::Serving),
        engine("a3", "a", 1, Phase::Serving),
        engine("b1", "b", 1, Phase::Serving),
        engine("c1", "c", 1, Phase::Unreachable),
    ];

    let chosen = next(&engines, 3, 4);

    let ids: Vec<&str> = chosen.iter().map(|index| &*engines[*index].id).collect();
    assert_eq!(ids, ["a2", "b1", "a3", "a1"]);
}

/// Long streams keep engines from loading for longer than the loading itself takes.
#[test]
fn others_finish_their_streams_while_some_load() {
    let engines = [
        engine("a1", "a", 1, Phase::Loading),
        engine("a2", "a", 1, Phase::Finishing),
        engine("a3", "a", 1, Phase::Serving),
        engine("b1", "b", 1, Phase::Serving),
        engine("b2", "b", 1, Phase::Serving),
    ];

    let chosen = next(&engines, 2, 2);

    assert_eq!(chosen.len(), 1);
}

/// A quarter of the engines went dark just before new weights were named.
#[test]
fn no_engine_finishes_early_while_the_rest_are_short_of_capacity() {
    let dark = [
        engine("a1", "a", 1, Phase::Loading),
        engine("a2", "a", 1, Phase::Unreachable),
        engine("b1", "b", 1, Phase::Serving),
    ];
    let behind = [
        engine("a1", "a", 1, Phase::Loading),
        Candidate { waiting: 3, ..engine("b1", "b", 1, Phase::Serving) },
        engine("b2", "b", 1, Phase::Serving),
    ];

    assert!(next(&dark, 2, 1).is_empty());
    assert!(next(&behind, 2, 1).is_empty());
}

#[test]
fn the_engine_with_the_least_to_finish_goes_first() {
    let busy = Candidate { running: 9, ..engine("a1", "a", 1, Phase::Serving) };
    let idle = Candidate { running: 1, ..engine("a2", "a", 1, Phase::Serving) };

    let chosen = next(&[busy, idle], 2, 1);

    assert_eq!(chosen[0], 1);
}

#[test]
fn the_number_at_once_grows_with_the_engines() {
    assert_eq!([1, 9, 18, 47, 58].map(at_once), [1, 2, 3, 8, 10]);
}

/// Three versions within seconds: the engines that still hold the oldest one are the next to load, and their runs fit
/// nowhere else.
#[test]
fn runs_of_the_oldest_version_have_engines_to_go_to_while_versions_mix() {
    let mixed = [
        engine("a1", "a", 1, Phase::Finishing),
        engine("a2", "a", 1, Phase::Serving),
        engine("b1", "b", 1, Phase::Serving),
        engine("b2", "b", 2, Phase::Serving),
        engine("c1", "c", 2, Phase::Serving),
        engine("c2", "c", 3, Phase::Serving),
    ];

    let oldest: Vec<&str> =
        last_of_version(&mixed, 1, 3).iter().map(|index| &*mixed[*index].id).collect();

    assert_eq!(oldest.len(), 1);
    assert!(["a2", "b1"].contains(&oldest[0]), "{oldest:?}");
    assert_ne!(next(&mixed, 3, 2), last_of_version(&mixed, 1, 3));
    assert_eq!(last_of_version(&mixed, 3, 3), [0; 0]);
}

#[test]
fn the_time_left_on_a_version_ends_with_the_first_newer_one() {
    let versions = named(&[(2, 1_000), (3, 5_000)]);
    let now = MonoTime::from_ms(6_000);

    let left: Vec<u64> = [1, 2, 3].map(|held| versions.left_ms(held, now, BOUND_MS)).into();

    assert_eq!(left, [BOUND_MS - 5_000, BOUND_MS - 1_000, u64::MAX]);
}
