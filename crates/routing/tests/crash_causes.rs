//! Which crashes count against what was in the requests.

use samphirespread_core::prelude::*;
use samphirespread_routing::{
    crash_causes::{CauseKey, Crash, CrashCauses, Host, MAX_CAUSES},
    server_limit::ServerRun,
};

fn at(ms: u64) -> MonoTime {
    MonoTime::from_ms(ms)
}

fn causes() -> CrashCauses {
    CrashCauses::new(InstanceName::new("r0"))
}

/// The crash of the server with that number.
fn crash(server: u8, ms: u64) -> Crash {
    Crash {
        run: ServerRun::of(&format!("i-{server}-{ms}"), None),
        host: Host::of(([10, 0, 0, server], 80).into()),
        at: at(ms),
    }
}

#[test]
fn one_crash_counts_once_however_many_runs_it_broke() {
    let mut causes = causes();
    let part = CauseKey::of_part("a");

    let first = causes.record_crash(part, crash(1, 100), at(110));
    let again = causes.record_crash(part, crash(1, 100), at(120));

    assert_eq!((first, again), (Some(1), None));
}

#[test]
fn crashes_count_until_a_run_survives_them() {
    let mut causes = causes();
    let part = CauseKey::of_part("a");
    causes.record_crash(part, crash(1, 100), at(110));
    causes.record_crash(part, crash(2, 200), at(210));

    assert!(causes.record_survival(part, at(150)));

    assert_eq!(causes.crashes(part), 1, "the second crash came later");
    assert_eq!(causes.record_crash(part, crash(3, 140), at(300)), None, "it was survived");
}

#[test]
fn a_survival_of_a_part_without_crashes_leaves_no_trace() {
    let mut causes = causes();

    assert!(!causes.record_survival(CauseKey::of_part("a"), at(100)));

    assert!(causes.is_empty());
}

#[test]
fn the_cause_with_the_fewest_crashes_makes_room() {
    let mut causes = causes();
    let guilty = CauseKey::of_part("guilty");
    causes.record_crash(guilty, crash(1, 0), at(0));
    causes.record_crash(guilty, crash(2, 10), at(10));

    for number in 0..2 * MAX_CAUSES {
        causes.record_crash(CauseKey::of_part(&format!("p{number}")), crash(3, 20), at(20));
    }

    assert_eq!(causes.crashes(guilty), 2);
}

#[test]
fn keys_are_written_and_read_as_hexadecimal_digits() {
    let key = CauseKey::of_part("a");

    assert_eq!(CauseKey::from_hex(&key.to_string()), Some(key));
    assert_eq!(CauseKey::from_hex("12"), None);
    assert_eq!(CauseKey::from_hex(&"é".repeat(16)), None);
}
