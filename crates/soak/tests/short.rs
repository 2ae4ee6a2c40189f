//! Short runs with fixed seeds, and every seed that ever failed.

use std::path::PathBuf;

use samphirespread_soak::{
    Options,
    plan::{Fault, Plan, Planned, Setting, Size},
    run,
};

/// Long enough for a handful of faults and the calm after them.
const LENGTH_MS: u64 = 14_000;
/// Planned work begins later, so that the start of the processes no longer explains what it loses.
const WORK_LENGTH_MS: u64 = 24_000;
const SIZE: Size = Size { gateways: 3, engines: 3, desks: 2 };

/// The programs are built into the directory above that of test executables.
fn programs() -> PathBuf {
    let own = std::env::current_exe().unwrap();
    own.ancestors().nth(2).unwrap().to_owned()
}

/// Promises that are bounded in time are left to runs by hand, so that the verdict does not depend
/// on how busy the machine is.
async fn soak(plan: &Plan) {
    let name = format!("samphirespread-soak-{}-{}", std::process::id(), plan.seed);
    let directory = std::env::temp_dir().join(name);
    let options = Options::new(programs(), &directory).timed(false);

    let report = run(plan, &options).await.unwrap();

    assert!(report.is_clean(), "{report}");
    assert!(report.runs > 0);
    std::fs::remove_dir_all(&directory).unwrap();
}

#[tokio::test]
async fn all_promises_are_kept_under_random_faults() {
    soak(&Plan::draw(1, LENGTH_MS, SIZE)).await;
}

/// A gateway that was asked to leave cut what was open long before a short grace period ended.
#[tokio::test]
async fn planned_work_with_a_short_grace_period_loses_no_answer() {
    soak(&Plan::draw_work(28, WORK_LENGTH_MS, SIZE)).await;
}

/// A run was stopped to be moved and refused by both engines, as both were about to load.
#[tokio::test]
async fn new_weights_one_after_the_other_lose_no_answer() {
    let step = |number: u64| {
        let at_ms = 6_000 + 1_500 * number;
        let configured = Fault::Configured(Setting::ExtraTeam(number.is_multiple_of(2)));
        [(at_ms, Fault::WeightsNamed), (at_ms + 400, configured)]
    };
    let faults = (0..6).flat_map(step);
    let faults = faults.map(|(at_ms, fault)| Planned { at_ms, for_ms: 0, fault }).collect();
    let plan = Plan { engines: 4, faults, ..Plan::draw_work(20, WORK_LENGTH_MS, SIZE) };

    soak(&plan).await;
}

/// A drain that had ended was remembered, so that its engine was neither used nor loaded. Two
/// software versions, streams that callers take up, and large configurations on narrow paths.
#[tokio::test]
async fn two_software_versions_and_drains_that_end_leave_no_engine_behind() {
    let size = Size { gateways: 3, engines: 4, desks: 3 };
    soak(&Plan::draw(9_000, WORK_LENGTH_MS, size)).await;
}
