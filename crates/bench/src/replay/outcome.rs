//! What a replay measured.

use super::control::ControlBytes;

/// Requests that arrive before this are not counted: the caches are still cold.
const WARM_UP_MS: u64 = 20_000;

const BUCKET_MS: u64 = 1_000;
const TEAMS: usize = 5;

/// The first token of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Served {
    pub(crate) at_ms: u64,
    pub(crate) team: u8,
    pub(crate) first_token_us: u64,
}

/// The prefill of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Prefilled {
    pub(crate) prompt_tokens: u64,
    pub(crate) cached_tokens: u64,
    pub(crate) fetched_tokens: u64,
    pub(crate) recomputed_tokens: u64,
}

impl Prefilled {
    fn add(&mut self, other: Self) {
        self.prompt_tokens += other.prompt_tokens;
        self.cached_tokens += other.cached_tokens;
        self.fetched_tokens += other.fetched_tokens;
        self.recomputed_tokens += other.recomputed_tokens;
    }

    fn hit_rate(&self) -> f64 {
        self.cached_tokens as f64 / (self.prompt_tokens as f64).max(1.0)
    }
}

/// Requests that arrived within one second.
#[derive(Clone, Debug, Default, PartialEq)]
struct Bucket {
    first_token_us: Vec<u64>,
    prefilled: Prefilled,
}

/// All that one replay measured.
#[derive(Clone, Debug, PartialEq)]
pub struct Outcome {
    buckets: Vec<Bucket>,
    first_token_us: Vec<u64>,
    team_first_token_us: [Vec<u64>; TEAMS],
    prefilled: Prefilled,
    pub(crate) control: ControlBytes,
}

impl Outcome {
    pub(crate) fn new(length_ms: u64) -> Self {
        Self {
            buckets: vec![Bucket::default(); length_ms.div_ceil(BUCKET_MS) as usize],
            first_token_us: Vec::new(),
            team_first_token_us: Default::default(),
            prefilled: Prefilled::default(),
            control: ControlBytes::default(),
        }
    }

    pub(crate) fn served(&mut self, served: Served) {
        let bucket = &mut self.buckets[(served.at_ms / BUCKET_MS) as usize];
        bucket.first_token_us.push(served.first_token_us);
        if served.at_ms >= WARM_UP_MS {
            self.first_token_us.push(served.first_token_us);
            self.team_first_token_us[usize::from(served.team)].push(served.first_token_us);
        }
    }

    pub(crate) fn prefilled(&mut self, at_ms: u64, prefilled: Prefilled) {
        self.buckets[(at_ms / BUCKET_MS) as usize].prefilled.add(prefilled);
        if at_ms >= WARM_UP_MS {
            self.prefilled.add(prefilled);
        }
    }

    /// Requests whose first token came.
    pub fn requests(&self) -> usize {
        self.first_token_us.len()
    }

    /// Cached tokens by prompt tokens.
    pub fn hit_rate(&self) -> f64 {
        self.prefilled.hit_rate()
    }

    /// Tokens computed although some engine had computed them before.
    pub fn recomputed_tokens(&self) -> u64 {
        self.prefilled.recomputed_tokens
    }

    /// Tokens fetched from the kept-cache store.
    pub fn fetched_tokens(&self) -> u64 {
        self.prefilled.fetched_tokens
    }

    /// A quantile of the time to the first token.
    pub fn first_token_ms(&self, quantile: f64) -> f64 {
        quantile_ms(&self.first_token_us, quantile)
    }

    /// The number of the team with the longest 99th percentile, and that percentile.
    pub fn worst_team(&self) -> WorstTeam {
        let of_team = |(team, values): (usize, &Vec<u64>)| WorstTeam {
            team,
            p99_ms: quantile_ms(values, 0.99),
        };
        let teams = self.team_first_token_us.iter().enumerate().map(of_team);
        teams.max_by(|a, b| a.p99_ms.total_cmp(&b.p99_ms)).unwrap_or_default()
    }

    /// Mean time to the first token of the requests of each second.
    pub fn mean_by_second_ms(&self) -> Vec<f64> {
        self.buckets.iter().map(|bucket| mean_ms(&bucket.first_token_us)).collect()
    }

    /// Lookups for each request.
    pub fn lookups_per_request(&self) -> f64 {
        self.control.lookups as f64 / self.all_requests()
    }

    /// Refusals for each request.
    pub fn refusals_per_request(&self) -> f64 {
        self.control.refusals as f64 / self.all_requests()
    }

    /// Bytes of lookups and refusals for each request.
    pub fn control_bytes_per_request(&self) -> f64 {
        self.control.bytes as f64 / self.all_requests()
    }

    /// Seconds after the fault until three seconds in a row are as in the calm run again: mean
    /// time to the first token and hit rate.
    pub fn recovery_s(&self, calm: &Self, fault_at_ms: u64) -> Option<usize> {
        const IN_A_ROW: usize = 3;
        const FACTOR: f64 = 1.2;
        const SLACK_MS: f64 = 50.0;
        const HIT_RATE_SLACK: f64 = 0.05;
        let start = (fault_at_ms / BUCKET_MS) as usize;
        (start..self.buckets.len().saturating_sub(IN_A_ROW))
            .find(|first| {
                let span = *first..*first + IN_A_ROW;
                let (now, before) = (self.span(span.clone()), calm.span(span));
                now.0 <= before.0 * FACTOR + SLACK_MS && now.1 >= before.1 - HIT_RATE_SLACK
            })
            .map(|first| first - start)
    }

    fn span(&self, span: std::ops::Range<usize>) -> (f64, f64) {
        let mut first_token_us = Vec::new();
        let mut prefilled = Prefilled::default();
        for bucket in &self.buckets[span] {
            first_token_us.extend(&bucket.first_token_us);
            prefilled.add(bucket.prefilled);
        }
        (mean_ms(&first_token_us), prefilled.hit_rate())
    }

    fn all_requests(&self) -> f64 {
        let requests: usize = self.buckets.iter().map(|bucket| bucket.first_token_us.len()).sum();
        (requests as f64).max(1.0)
    }
}

/// The team that waited longest.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorstTeam {
    /// The team's number.
    pub team: usize,
    /// The 99th percentile of its time to the first token.
    pub p99_ms: f64,
}

fn quantile_ms(values: &[u64], quantile: f64) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    let mut sorted = values.to_vec();
    sorted.sort_unstable();
    let rank = (quantile * sorted.len() as f64).ceil() as usize;
    sorted[rank.clamp(1, sorted.len()) - 1] as f64 / 1_000.0
}

fn mean_ms(values: &[u64]) -> f64 {
    values.iter().sum::<u64>() as f64 / (values.len() as f64).max(1.0) / 1_000.0
}
