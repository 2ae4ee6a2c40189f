//! Plans follow from their seeds.

use samphirespread_soak::plan::{Fault, ForeignKind, Plan, Quality, Size};

const LENGTH_MS: u64 = 60_000;

fn plan(seed: u64) -> Plan {
    Plan::draw(seed, LENGTH_MS, Size { gateways: 3, engines: 4, desks: 3 })
}

#[test]
fn the_same_seed_gives_the_same_plan_and_another_seed_another_one() {
    assert_eq!(plan(7), plan(7));
    assert_ne!(plan(7).faults, plan(8).faults);
}

#[test]
fn a_plan_survives_its_file() {
    let text = serde_json::to_string(&plan(7)).unwrap();

    assert_eq!(serde_json::from_str::<Plan>(&text).unwrap(), plan(7));
}

#[test]
fn every_fault_ends_well_before_the_run_does() {
    for seed in 0..50 {
        for planned in plan(seed).faults {
            assert!(planned.at_ms + planned.for_ms + 5_000 < LENGTH_MS, "{planned:?}");
        }
    }
}

/// Guards against a draw that leaves out one kind of version.
#[test]
fn plans_have_sound_failing_and_slow_versions() {
    let faults = (0..50).flat_map(|seed| plan(seed).faults);
    let qualities: Vec<Quality> = faults
        .filter_map(|planned| match planned.fault {
            Fault::ServiceRollout { quality, .. } => Some(quality),
            _ => None,
        })
        .collect();

    assert!(qualities.contains(&Quality::Sound));
    assert!(qualities.iter().any(|quality| matches!(quality, Quality::Fails { .. })));
    assert!(qualities.iter().any(|quality| matches!(quality, Quality::Slow { .. })));
}

/// Guards against a draw without servers that drop idle connections, beside other faults and beside planned
/// work alone, or without short and long times until they do.
#[test]
fn plans_have_servers_that_drop_idle_connections() {
    let size = Size { gateways: 3, engines: 4, desks: 3 };
    for draw in [Plan::draw, Plan::draw_work] {
        let faults = (0..50).flat_map(|seed| draw(seed, LENGTH_MS, size).faults);
        let after_ms: Vec<u64> = faults
            .filter_map(|planned| match planned.fault {
                Fault::ServerDropsIdle { after_ms, .. } => Some(after_ms),
                _ => None,
            })
            .collect();

        assert!(after_ms.iter().any(|after_ms| *after_ms < 400));
        assert!(after_ms.iter().any(|after_ms| *after_ms > 1_000));
    }
}

/// Guards against a draw that leaves out one kind of entry of another writer, or entries that stay.
#[test]
fn plans_have_entries_of_another_writer_of_all_kinds() {
    let faults = (0..50).flat_map(|seed| plan(seed).faults);
    let foreign: Vec<_> = faults
        .filter_map(|planned| match planned.fault {
            Fault::ForeignEntry(foreign) => Some(foreign),
            _ => None,
        })
        .collect();

    for kind in [
        ForeignKind::NoServer,
        ForeignKind::WrongType,
        ForeignKind::UnknownState,
        ForeignKind::Unreadable,
        ForeignKind::UnnamedService,
        ForeignKind::OtherPort,
        ForeignKind::LargeValues,
        ForeignKind::LargeText,
    ] {
        assert!(foreign.iter().any(|entry| entry.kind == kind && entry.stays), "{kind:?}");
        assert!(foreign.iter().any(|entry| entry.kind == kind && !entry.stays), "{kind:?}");
    }
}
