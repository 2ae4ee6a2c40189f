//! Open and closed load against a running system, and what came of it.
//!
//! ```
//! use samphirespread_bench::load::{TeamTraffic, Traffic};
//!
//! let traffic = Traffic::new("ledger").seed(7).requests(100).requests_per_s(50.0);
//! let records = traffic.team(TeamTraffic::new("desk", 3.0)).generate();
//!
//! assert_eq!(records.len(), 100);
//! ```
//!
//! A load is a list of [`TraceRecord`]s, generated from a seed or read from a recorded trace. The
//! text of a prompt is made from its record alone, so that equal block keys give equal text.
//! Requests are sent at their times whether or not earlier ones were answered; how late the load
//! tool itself was is part of the report.

mod arguments;
mod collect;
mod error;
mod prompt;
mod report;
mod run;
mod target;
mod trace;
mod traffic;

pub use self::{
    arguments::LoadArguments,
    collect::{Ending, Sample, TeamRate},
    error::LoadError,
    report::{LoadReport, Percentiles, TargetReport, TeamReport},
    run::{LoadRun, Pacing},
    target::{EngineTarget, RouterTarget, Target},
    trace::{TraceRecord, read_trace, write_trace},
    traffic::{TeamTraffic, Traffic},
};
