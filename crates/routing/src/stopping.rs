//! Decides whether a run may be stopped to be moved to another engine, and when its stream is resumed
//! if no engine continues it.
//!
//! The router that stops a run owes the caller the rest of its stream. The destination may still
//! refuse the run, and the source refuses it as long as it loads weights or leaves. So a run is
//! stopped only if its stream may then be resumed by a new run, with a repeat of the retry budget
//! set aside for it and a third server that may take it. A run that can't be resumed stays, unless
//! its engine leaves, which ends the run in any case, and no newer weights are named, so that the
//! destination is not told to load. No run is stopped if this process stops before the stream may end.
//!
//! ```
//! use samphirespread_routing::stopping::{Stay, StopFacts, may_stop};
//!
//! let facts = StopFacts {
//!     destination_takes_runs: true,
//!     newer_weights_named: true,
//!     source_leaves: false,
//!     may_resume: true,
//!     has_repeat: true,
//!     has_third_server: true,
//!     has_time: true,
//! };
//! assert_eq!(may_stop(&facts), Ok(()));
//!
//! let facts = StopFacts { may_resume: false, ..facts };
//! assert_eq!(may_stop(&facts), Err(Stay::NoNewRun));
//! ```
//!
//! Running time and memory: constant.

/// Pause between two tries to resume the stream of a stopped run.
const TRY_INTERVAL_MS: u64 = 100;

/// What is known of a run that is to be moved, right before it is stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[expect(clippy::struct_excessive_bools, reason = "each is a separate fact")]
pub struct StopFacts {
    /// Whether the destination takes runs and is not about to load.
    pub destination_takes_runs: bool,
    /// Whether newer weights than the run's are named, so that engines that hold its weights may be
    /// told to load at any time.
    pub newer_weights_named: bool,
    /// Whether the source leaves, so that it ends the run in any case.
    pub source_leaves: bool,
    /// Whether the stream may be resumed by a new run.
    pub may_resume: bool,
    /// Whether a repeat of the retry budget is set aside for a new run.
    pub has_repeat: bool,
    /// Whether a server other than source and destination takes new requests.
    pub has_third_server: bool,
    /// Whether the stream may go on until the deadline of its request. It may not if this process
    /// stops before, which could end the stream while no server works on it.
    pub has_time: bool,
}

/// Why a run is not stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stay {
    /// The destination does not take runs, or loads soon.
    NoDestination,
    /// The stream may not be resumed by a new run.
    NoNewRun,
    /// The retry budget allows no new run.
    NoRepeat,
    /// No third server takes new requests.
    NoThirdServer,
    /// This process stops before the deadline of the request.
    NoTime,
}

impl Stay {
    /// Its name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoDestination => "no_host",
            Self::NoNewRun => "no_new_run",
            Self::NoRepeat => "no_repeat",
            Self::NoThirdServer => "no_third_server",
            Self::NoTime => "no_time",
        }
    }
}

/// Decides whether a run may be stopped.
///
/// # Errors
///
/// Why the run has to stay.
pub fn may_stop(facts: &StopFacts) -> Result<(), Stay> {
    if !facts.destination_takes_runs {
        return Err(Stay::NoDestination);
    }
    if !facts.has_time {
        return Err(Stay::NoTime);
    }
    if facts.source_leaves && !facts.newer_weights_named {
        return Ok(());
    }
    match facts {
        StopFacts { may_resume: false, .. } => Err(Stay::NoNewRun),
        StopFacts { has_repeat: false, .. } => Err(Stay::NoRepeat),
        StopFacts { has_third_server: false, .. } => Err(Stay::NoThirdServer),
        _ => Ok(()),
    }
}

/// The result of a try to resume the stream of a stopped run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Try {
    /// No new run has begun for want of something that may come back: a server, or the budget.
    NotYet,
    /// No new run may begin any more.
    Never,
}

/// Returns how long to wait before the next try to resume the stream of a stopped run, or `None` if
/// there is no other try. `left_ms` is the time until the answer is due.
pub fn pause_after_ms(result: Try, left_ms: u64) -> Option<u64> {
    let may_try_again = result == Try::NotYet && left_ms > TRY_INTERVAL_MS;
    may_try_again.then_some(TRY_INTERVAL_MS)
}
