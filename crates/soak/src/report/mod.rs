//! What a run came to, in a few lines.

use std::{fmt, path::PathBuf};

use crate::{
    checker::Broken,
    history::{History, Outcome},
};

/// What a run came to.
#[derive(Clone, Debug)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// Faults that were brought about.
    pub faults: usize,
    /// Requests that callers sent.
    pub requests: usize,
    /// Those that got a whole answer.
    pub whole: usize,
    /// Those that were told that they have not run.
    pub not_run: usize,
    /// Those that may have run, by what callers were told or saw.
    pub unknown: usize,
    /// Runs at backend servers.
    pub runs: usize,
    /// The most memory that a gateway had, in bytes.
    pub peak_memory_bytes: u64,
    /// Broken promises, the first one first.
    pub broken: Vec<Broken>,
    /// Programs that ended without having been told to.
    pub ended_by_themselves: Vec<String>,
    /// Where plan, settings and logs lie.
    pub directory: PathBuf,
}

impl Report {
    /// Whether every promise was kept.
    pub fn is_clean(&self) -> bool {
        self.broken.is_empty() && self.ended_by_themselves.is_empty()
    }

    pub(crate) fn new(seed: u64, faults: usize, history: &History, directory: PathBuf) -> Self {
        let count = |matches: fn(&Outcome) -> bool| {
            history.requests.iter().filter(|request| matches(&request.outcome)).count()
        };
        Self {
            seed,
            faults,
            requests: history.requests.len(),
            whole: count(|outcome| matches!(outcome, Outcome::Whole { .. })),
            not_run: count(|outcome| matches!(outcome, Outcome::NotRun { .. })),
            unknown: count(|outcome| {
                matches!(
                    outcome,
                    Outcome::Cut { .. }
                        | Outcome::Unknown { .. }
                        | Outcome::NoAnswer
                        | Outcome::Silent
                )
            }),
            runs: history.runs.len(),
            peak_memory_bytes: history.peak_memory_bytes.values().copied().max().unwrap_or(0),
            broken: Vec::new(),
            ended_by_themselves: Vec::new(),
            directory,
        }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "seed {}: {} faults, {} requests ({} whole, {} not run, {} unknown), {} runs, \
             gateways of {} MB at most: ",
            self.seed,
            self.faults,
            self.requests,
            self.whole,
            self.not_run,
            self.unknown,
            self.runs,
            self.peak_memory_bytes / 1_000_000
        )?;
        if self.is_clean() {
            return f.write_str("all promises kept");
        }
        write!(f, "{} broken promises", self.broken.len())?;
        for name in &self.ended_by_themselves {
            write!(f, "\n  {name} ended without having been told to")?;
        }
        if let Some(first) = self.broken.first() {
            write!(f, "\n  first: {}, at {} ms: {}", first.promise, first.at_ms, first.what)?;
        }
        write!(f, "\n  plan, settings and logs: {}", self.directory.display())
    }
}
