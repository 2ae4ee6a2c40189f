//! Samples of a load and their sums.

use std::{
    collections::{BTreeMap, HashMap},
    time::Instant,
};

use hdrhistogram::Histogram;
use samphirespread_engine::api::Usage;

use super::TraceRecord;

/// Longer latencies count as this.
const MAX_LATENCY_US: u64 = 3_600_000_000;

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// With its whole answer.
    Complete,
    /// With a refusal or an early end that the system told.
    Refused {
        /// The system's code.
        code: String,
        /// Whether the system said that the request did not run.
        not_run: bool,
    },
    /// With a broken connection, or without an end.
    Failed {
        /// What broke.
        code: String,
    },
}

/// What became of one request.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Which target it was sent to.
    pub target: usize,
    /// The team.
    pub team: String,
    /// Prompt and output tokens asked for.
    pub asked_tokens: u64,
    /// When it was sent.
    pub sent_at: Instant,
    /// How much later than its time it was sent.
    pub late_us: u64,
    /// From sending to the first piece of text.
    pub first_token_us: Option<u64>,
    /// Between pieces of text.
    pub gaps_us: Vec<u64>,
    /// Pieces of text.
    pub pieces: u64,
    /// Tokens used, as the system told.
    pub usage: Usage,
    /// How it ended.
    pub ending: Ending,
}

impl Sample {
    pub(crate) fn new(target: usize, record: &TraceRecord) -> Self {
        Self {
            target,
            team: record.team.clone(),
            asked_tokens: record.prompt_tokens + u64::from(record.max_output_tokens),
            sent_at: Instant::now(),
            late_us: 0,
            first_token_us: None,
            gaps_us: Vec::new(),
            pieces: 0,
            usage: Usage::default(),
            ending: Ending::Failed { code: "no end".to_owned() },
        }
    }
}

/// A team's rate, for judging refusals.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamRate {
    /// The team.
    pub team: String,
    /// Tokens a second.
    pub rate_tokens_per_s: f64,
    /// Tokens at once.
    pub burst_tokens: f64,
}

/// A bucket that charges what was admitted. A refusal while it still had the tokens is wrongful.
#[derive(Debug)]
struct Bucket {
    rate: TeamRate,
    level: f64,
    filled_at: Option<Instant>,
}

impl Bucket {
    fn new(rate: TeamRate) -> Self {
        Self { level: rate.burst_tokens, rate, filled_at: None }
    }

    fn fill(&mut self, now: Instant) {
        if let Some(filled_at) = self.filled_at {
            let seconds = now.saturating_duration_since(filled_at).as_secs_f64();
            let filled = self.level + seconds * self.rate.rate_tokens_per_s;
            self.level = filled.min(self.rate.burst_tokens);
        }
        self.filled_at = Some(now);
    }
}

/// Sums of one target.
#[derive(Debug)]
pub(crate) struct TargetSums {
    pub(crate) sent: u64,
    pub(crate) complete: u64,
    pub(crate) output_tokens: u64,
    pub(crate) prompt_tokens: u64,
    pub(crate) cached_tokens: u64,
    pub(crate) pieces: u64,
    pub(crate) endings: BTreeMap<String, u64>,
    pub(crate) first_token_us: Histogram<u64>,
    pub(crate) gap_us: Histogram<u64>,
    pub(crate) late_us: Histogram<u64>,
}

/// Sums of one team.
#[derive(Debug)]
pub(crate) struct TeamSums {
    pub(crate) sent: u64,
    pub(crate) complete: u64,
    pub(crate) refused: u64,
    pub(crate) wrongly_refused: Option<u64>,
    pub(crate) served_tokens: u64,
    pub(crate) first_token_us: Histogram<u64>,
}

/// All sums of a load.
#[derive(Debug, Default)]
pub(crate) struct Sums {
    pub(crate) targets: Vec<TargetSums>,
    pub(crate) teams: BTreeMap<String, TeamSums>,
}

impl Sums {
    /// Sums up samples. Wrongful refusals are counted for teams whose rate is known.
    pub(crate) fn of(samples: &[Sample], targets: usize, rates: &[TeamRate]) -> Self {
        let mut sums = Self::default();
        sums.targets.resize_with(targets, TargetSums::new);
        let mut buckets: HashMap<String, Bucket> =
            rates.iter().map(|rate| (rate.team.clone(), Bucket::new(rate.clone()))).collect();
        let mut by_time: Vec<&Sample> = samples.iter().collect();
        by_time.sort_by_key(|sample| sample.sent_at);
        for sample in by_time {
            sums.targets[sample.target].add(sample);
            let team = sums.teams.entry(sample.team.clone()).or_insert_with(TeamSums::new);
            team.add(sample, buckets.get_mut(&sample.team));
        }
        sums
    }
}

impl TargetSums {
    fn new() -> Self {
        Self {
            sent: 0,
            complete: 0,
            output_tokens: 0,
            prompt_tokens: 0,
            cached_tokens: 0,
            pieces: 0,
            endings: BTreeMap::new(),
            first_token_us: histogram(),
            gap_us: histogram(),
            late_us: histogram(),
        }
    }

    fn add(&mut self, sample: &Sample) {
        self.sent += 1;
        self.pieces += sample.pieces;
        self.late_us.saturating_record(sample.late_us);
        if let Some(first_token_us) = sample.first_token_us {
            self.first_token_us.saturating_record(first_token_us);
        }
        for gap_us in &sample.gaps_us {
            self.gap_us.saturating_record(*gap_us);
        }
        let ending = match &sample.ending {
            Ending::Complete => {
                self.complete += 1;
                self.output_tokens += sample.usage.output_tokens;
                self.prompt_tokens += sample.usage.prompt_tokens;
                self.cached_tokens += sample.usage.cached_tokens;
                return;
            }
            Ending::Refused { code, not_run: true } => format!("{code} (not run)"),
            Ending::Refused { code, not_run: false } => code.clone(),
            Ending::Failed { code } => format!("failed: {code}"),
        };
        *self.endings.entry(ending).or_default() += 1;
    }
}

impl TeamSums {
    fn new() -> Self {
        Self {
            sent: 0,
            complete: 0,
            refused: 0,
            wrongly_refused: None,
            served_tokens: 0,
            first_token_us: histogram(),
        }
    }

    fn add(&mut self, sample: &Sample, bucket: Option<&mut Bucket>) {
        self.sent += 1;
        let refused =
            matches!(&sample.ending, Ending::Refused { code, .. } if code == "rate_limited");
        self.refused += u64::from(refused);
        if sample.ending == Ending::Complete {
            self.complete += 1;
            self.served_tokens += sample.usage.prompt_tokens + sample.usage.output_tokens;
        }
        if let Some(first_token_us) = sample.first_token_us {
            self.first_token_us.saturating_record(first_token_us);
        }
        if let Some(bucket) = bucket {
            self.judge(sample, refused, bucket);
        }
    }

    fn judge(&mut self, sample: &Sample, refused: bool, bucket: &mut Bucket) {
        let asked = sample.asked_tokens as f64;
        bucket.fill(sample.sent_at);
        let wrongly_refused = self.wrongly_refused.get_or_insert(0);
        if refused {
            *wrongly_refused += u64::from(bucket.level >= asked);
            return;
        }
        bucket.level -= asked;
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("the bounds are in order")
}
