//! Tests that views which exchange changes end up with the same list, even if changes are skipped
//! or repeated.

use proptest::{prelude::*, test_runner::Config};
use samphirespread_core::prelude::*;
use samphirespread_membership::{LiveView, MAX_CHANGES};
use samphirespread_platform::api::{LiveInstance, LiveList, LiveState, ObjectVersion, Role};

const SEED: u64 = 21;

fn fixed_seed() -> Config {
    Config {
        rng_seed: proptest::test_runner::RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..Config::default()
    }
}

fn instance(number: u8, port: u8) -> LiveInstance {
    LiveInstance {
        name: InstanceName::new(format!("r{number:03}")),
        role: Role::Router,
        address: format!("127.0.0.1:{port}"),
        admin: None,
        region: "north".to_owned(),
        failure_domain: format!("north-{}", number % 3),
        set: None,
        state: LiveState::Live,
    }
}

/// Creates a list from numbers of instances and their ports; of several entries for a number, the
/// first counts.
fn list(version: u64, members: &[(u8, u8)]) -> LiveList {
    let mut instances: Vec<LiveInstance> =
        members.iter().map(|(number, port)| instance(*number, *port)).collect();
    instances.sort_by(|a, b| a.name.cmp(&b.name));
    instances.dedup_by(|a, b| a.name == b.name);
    LiveList { version: ObjectVersion(version), instances }
}

fn members() -> impl Strategy<Value = Vec<(u8, u8)>> {
    proptest::collection::vec((0_u8..12, 1_u8..4), 0..12)
}

proptest! {
    #![proptest_config(fixed_seed())]

    #[test]
    fn a_view_catches_up_by_changes(
        lists in proptest::collection::vec((members(), any::<bool>()), 1..20),
    ) {
        let mut ahead = LiveView::default();
        let mut behind = LiveView::default();

        for (index, (members, asks)) in lists.iter().enumerate() {
            ahead.adopt(list(index as u64 + 1, members));
            if *asks && let Some(change) = ahead.since(behind.version()) {
                prop_assert!(behind.apply(&change));
                prop_assert!(!behind.apply(&change), "a repeated change was applied");
                prop_assert_eq!(behind.list(), ahead.list());
            }
        }

        if let Some(change) = ahead.since(behind.version()) {
            behind.apply(&change);
        }
        prop_assert_eq!(behind.list(), ahead.list());
    }
}

#[test]
fn does_not_adopt_an_earlier_list() {
    let mut view = LiveView::default();
    view.adopt(list(5, &[(1, 1)]));

    let adopted = view.adopt(list(4, &[(2, 1)]));

    assert!(!adopted);
    assert_eq!(view.version(), ObjectVersion(5));
}

#[test]
fn does_not_apply_a_change_for_another_version() {
    let mut ahead = LiveView::default();
    ahead.adopt(list(1, &[(1, 1)]));
    ahead.adopt(list(2, &[(1, 1), (2, 1)]));
    let change = ahead.since(ObjectVersion(1)).unwrap();
    let mut other = LiveView::default();

    let applied = other.apply(&change);

    assert!(!applied);
}

#[test]
fn a_view_older_than_the_kept_changes_gets_the_whole_list() {
    let mut ahead = LiveView::default();
    for version in 1..=MAX_CHANGES as u64 + 10 {
        ahead.adopt(list(version, &[(1, (version % 4) as u8)]));
    }

    let for_old_version = ahead.since(ObjectVersion(2)).unwrap();
    let for_recent_version = ahead.since(ObjectVersion(MAX_CHANGES as u64 + 9)).unwrap();

    assert_eq!(for_old_version.from, None);
    assert_eq!(for_recent_version.put.len(), 1);
}
