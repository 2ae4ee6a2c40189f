//! Replays recorded traces through placements, in virtual time.
//!
//! Engines are small fakes at the placement interface: a cache of limited blocks with the least
//! recently used evicted first, one prefill at a time, batched decoding, cache events that come late
//! or never, and load reports that lag. Streams, limits and connections are not modelled. The same
//! trace gives the same outcome.

mod cache;
mod control;
mod deployment;
mod engine;
mod flow;
mod outcome;
mod placements;
mod plots;
mod report;
pub mod trace;
mod world;

use std::path::PathBuf;

use displaydoc::Display;

pub use self::{
    deployment::{DEPLOYMENTS, Deployment, FAULT_AT_MS, SCENARIOS, Scenario},
    outcome::{Outcome, WorstTeam},
    placements::{AllKnowing, ReplayPlacement},
    plots::draw,
    report::{Row, Run, run_all, table},
    world::{Dispatch, Replay, replay},
};

/// Why a replay could not be run or written.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[non_exhaustive]
pub enum ReplayError {
    /// can't read {0}
    Read(PathBuf),
    /// can't write {0}
    Write(PathBuf),
    /// line {number} of the trace is no record
    Line {
        /// Counts from one.
        number: usize,
    },
    /// the plot can't be drawn: {0}
    Plot(String),
}

impl std::error::Error for ReplayError {}
