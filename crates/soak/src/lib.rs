//! Runs the real programs under random faults and checks what callers and backend servers saw.
//!
//! ```no_run
//! use samphirespread_soak::{Options, plan::{Plan, Size}, run};
//!
//! # async fn example() -> std::io::Result<()> {
//! let size = Size { gateways: 3, engines: 4, desks: 3 };
//! let plan = Plan::draw(7, 60_000, size);
//! let options = Options::new("target/debug", "soak-7");
//! let report = run(&plan, &options).await?;
//! assert!(report.is_clean(), "{report}");
//! # Ok(())
//! # }
//! ```
//!
//! Gateways and sidecars run as processes of their own; store, backend servers and callers are
//! stand-ins in this process, and every connection between them passes a proxy. A plan follows from
//! its seed alone. What the programs make of it depends on the scheduler as well, so a seed that
//! failed is kept with its plan and logs.
//!
//! # Costs and limits
//!
//! A run takes its length, about 10 MB for each gateway and 2 MB for each sidecar. Datagrams between
//! processes can't be disturbed singly, only by freezing or killing an end.

mod caller;
pub mod checker;
pub mod history;
pub mod plan;
mod report;
mod site;

use std::{
    io::{self, Write},
    path::PathBuf,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use tokio::{task::JoinSet, time};
use tokio_util::sync::CancellationToken;

pub use self::report::Report;
use self::{
    caller::Load,
    checker::{Bounds, Broken, Promise},
    history::{Caller, History, RunMs},
    plan::Plan,
    site::Site,
};

/// Time between two looks at what is due.
const TICK_MS: u64 = 10;
/// Time between two lines of progress.
const PROGRESS_MS: u64 = 1_000;
/// Time between two looks at the memory of programs.
const MEMORY_INTERVAL_MS: u64 = 250;
/// How long engines may take to get the newest weights once callers have stopped.
const ROLLOUT_PATIENCE_MS: u64 = 10_000;
/// The share of a service's requests that a new version may get before its release, in runs with one.
const EXPOSURE_SHARE: f64 = 0.3;
/// Further callers in such runs, without whom the new version would get too few requests for a verdict.
const ROLLOUT_CALLERS: u64 = 48;
/// Callers of each kind whose keys are known.
const CALLERS: [(Caller, u64); 3] =
    [(Caller::Steady, 12), (Caller::Limited, 6), (Caller::Changing, 4)];

/// Where a run finds its programs, and what it judges.
#[derive(Clone, Debug)]
pub struct Options {
    binaries: PathBuf,
    directory: PathBuf,
    timed: bool,
    shows_progress: bool,
}

impl Options {
    /// A run of the programs in one directory that leaves plan, settings and logs in another.
    pub fn new(binaries: impl Into<PathBuf>, directory: impl Into<PathBuf>) -> Self {
        Self {
            binaries: binaries.into(),
            directory: directory.into(),
            timed: true,
            shows_progress: false,
        }
    }

    /// Whether promises that are bounded in time are judged. They are unless told otherwise.
    #[must_use]
    pub fn timed(mut self, timed: bool) -> Self {
        self.timed = timed;
        self
    }

    /// Whether progress is told on standard error.
    #[must_use]
    pub fn shows_progress(mut self, shows_progress: bool) -> Self {
        self.shows_progress = shows_progress;
        self
    }
}

/// The bounds that settings, configuration and checker share.
pub fn bounds() -> Bounds {
    Bounds {
        key_withdrawal_ms: 3_000,
        server_drain_ms: 2_000,
        contact_ms: 4_000,
        rate_per_s: 100.0,
        burst: 100.0,
        quota_window_ms: 8_000,
        quota_slack: 1_000.0,
        plain_tokens: 10.0,
        stream_tokens: 40,
        deadline_ms: 3_000,
        stream_deadline_ms: 7_000,
        config_apply_ms: 2_000,
        loss_slack_ms: 200,
        answer_slack_ms: 1_500,
        retry_ratio: 0.2,
        retry_window_ms: 10_000,
        retry_slack: 56,
        rollout_ms: 5_000,
        gateway_memory_mb: 88,
        exposure_share: 0.0,
        exposure_slack: 50,
        rollback_ms: 5_000,
        timed: true,
    }
}

/// Carries out a plan and judges what was seen.
///
/// # Errors
///
/// When files can't be written, ports not be had, or programs not be started.
///
/// # Panics
///
/// When a plan can't be written as JSON, which no plan causes.
pub async fn run(plan: &Plan, options: &Options) -> io::Result<Report> {
    std::fs::create_dir_all(&options.directory)?;
    let text = serde_json::to_string_pretty(plan).expect("a plan is plain data");
    std::fs::write(options.directory.join("plan.json"), text)?;
    let exposure_share = if plan.has_rollout() { EXPOSURE_SHARE } else { 0.0 };
    let bounds = Bounds { timed: options.timed, exposure_share, ..bounds() };
    let mut site = Site::start(plan, bounds, &options.binaries, &options.directory).await?;
    let load = Arc::new(Load {
        began: site.began(),
        gateways: site.callers(),
        own_addresses: site.own_addresses(),
        bounds,
        stream_tokens: u64::from(bounds.stream_tokens),
        stop: CancellationToken::new(),
        requests: Mutex::default(),
    });
    let mut callers = start_callers(&load, plan);
    let calm_from_ms = bring_about(&mut site, plan, &load, options).await?;
    load.stop.cancel();
    while callers.join_next().await.is_some() {}
    for _ in 0..ROLLOUT_PATIENCE_MS / TICK_MS {
        if site.is_rolled_out() {
            break;
        }
        time::sleep(Duration::from_millis(TICK_MS)).await;
    }

    let mut history = site.history(calm_from_ms);
    history.uses_admission = plan.admission;
    history.requests =
        std::mem::take(&mut *load.requests.lock().unwrap_or_else(PoisonError::into_inner));
    let mut report = Report::new(plan.seed, plan.faults.len(), &history, options.directory.clone());
    report.broken = checker::check(&history, &bounds);
    report.ended_by_themselves = std::mem::take(&mut site.ended_by_themselves);
    write_broken(&report)?;
    write_requests(&report, &history)?;
    Ok(report)
}

fn start_callers(load: &Arc<Load>, plan: &Plan) -> JoinSet<()> {
    let mut callers = JoinSet::new();
    let mut number = 0;
    let unknown = (Caller::Unknown, plan.unknown_callers);
    let further = (Caller::Steady, if plan.has_rollout() { ROLLOUT_CALLERS } else { 0 });
    for (caller, count) in CALLERS.into_iter().chain([unknown, further]) {
        for _ in 0..count {
            callers.spawn(caller::call(Arc::clone(load), caller, number, plan.seed));
            number += 1;
        }
    }
    callers
}

/// Begins and ends faults at their times. Returns when the last one was over.
async fn bring_about(
    site: &mut Site,
    plan: &Plan,
    load: &Load,
    options: &Options,
) -> io::Result<RunMs> {
    let mut to_begin = plan.faults.iter().peekable();
    let mut to_end: Vec<(RunMs, &plan::Planned)> = Vec::new();
    let mut calm_from_ms = 0;
    let (mut told_ms, mut looked_ms) = (0, 0);
    while site.now_ms() < plan.length_ms {
        time::sleep(Duration::from_millis(TICK_MS)).await;
        let now_ms = site.now_ms();
        while let Some(planned) = to_begin.next_if(|planned| planned.at_ms <= now_ms) {
            site.begin(planned)?;
            to_end.push((now_ms + planned.for_ms, planned));
            calm_from_ms = now_ms;
        }
        let (over, rest) = to_end.into_iter().partition(|(end_ms, _)| *end_ms <= now_ms);
        to_end = rest;
        let over: Vec<(RunMs, &plan::Planned)> = over;
        for (_, planned) in over {
            site.end(planned).await?;
            calm_from_ms = now_ms;
        }
        if now_ms >= looked_ms + MEMORY_INTERVAL_MS {
            looked_ms = now_ms;
            site.look_at_memory();
        }
        site.look_after_programs()?;
        site.apply_rollout_state();
        if options.shows_progress && now_ms >= told_ms + PROGRESS_MS {
            told_ms = now_ms;
            let requests = load.requests.lock().unwrap_or_else(PoisonError::into_inner).len();
            let begun = plan.faults.len() - to_begin.len();
            tell(&format!(
                "{} of {} s, {begun} of {} faults, {requests} requests",
                now_ms / 1_000,
                plan.length_ms / 1_000,
                plan.faults.len()
            ));
        }
    }
    Ok(calm_from_ms)
}

fn write_broken(report: &Report) -> io::Result<()> {
    let line =
        |broken: &Broken| format!("{} ms: {}: {}\n", broken.at_ms, broken.promise, broken.what);
    let text: String = report.broken.iter().map(line).collect();
    std::fs::write(report.directory.join("broken.txt"), text)
}

/// Lists all requests and runs, for those who trace one.
fn write_requests(report: &Report, history: &History) -> io::Result<()> {
    let mut text = String::new();
    for request in &history.requests {
        text += &format!("{request:?}\n");
    }
    for run in &history.runs {
        text += &format!("{run:?}\n");
    }
    std::fs::write(report.directory.join("requests.txt"), text)
}

/// Tells something on standard error.
pub fn tell(text: &str) {
    // Nothing can be told about a standard error that takes nothing.
    let _ = writeln!(io::stderr(), "{text}");
}

/// All promises, for those who list them.
pub const PROMISES: [Promise; 29] = [
    Promise::Memory,
    Promise::Repeats,
    Promise::OldWeights,
    Promise::Exposure,
    Promise::Verdict,
    Promise::Release,
    Promise::Version,
    Promise::TakenUp,
    Promise::AtMostOnce,
    Promise::TrulyNotRun,
    Promise::RetryAfter,
    Promise::OwnAnswer,
    Promise::Order,
    Promise::Route,
    Promise::Team,
    Promise::UnknownKey,
    Promise::WithdrawnKey,
    Promise::NotDenied,
    Promise::Quota,
    Promise::Drain,
    Promise::Limit,
    Promise::Cache,
    Promise::OneOrderer,
    Promise::Answered,
    Promise::Lost,
    Promise::Unread,
    Promise::Recovery,
    Promise::Starved,
    Promise::OverloadEnds,
];
