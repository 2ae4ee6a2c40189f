//! Short runs with fixed seeds, and every seed that ever failed.

use std::path::PathBuf;

use samphirespread_soak::{
    Options,
    plan::{Plan, Size},
    run,
};

/// Long enough for a handful of faults and the calm after them.
const LENGTH_MS: u64 = 14_000;

/// The programs are built into the directory above that of test executables.
fn programs() -> PathBuf {
    let own = std::env::current_exe().unwrap();
    own.ancestors().nth(2).unwrap().to_owned()
}

/// Promises that are bounded in time are left to runs by hand, so that the verdict does not depend
/// on how busy the machine is.
async fn soak(seed: u64) {
    let plan = Plan::draw(seed, LENGTH_MS, Size { gateways: 3, engines: 3, desks: 2 });
    let directory =
        std::env::temp_dir().join(format!("samphirespread-soak-{}", std::process::id()));
    let options = Options::new(programs(), &directory).timed(false);

    let report = run(&plan, &options).await.unwrap();

    assert!(report.is_clean(), "{report}");
    assert!(report.runs > 0);
    std::fs::remove_dir_all(&directory).unwrap();
}

#[tokio::test]
async fn all_promises_are_kept_under_random_faults() {
    soak(1).await;
}
