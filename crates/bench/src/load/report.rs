//! What came of a load, as text and JSON.

use std::{
    collections::BTreeMap,
    fmt::{self, Write},
};

use hdrhistogram::Histogram;
use serde::Serialize;

use super::collect::{Sums, TargetSums, TeamSums};

const US_PER_MS: f64 = 1_000.0;

/// Percentiles in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Percentiles {
    /// Values counted.
    pub count: u64,
    /// The median.
    pub p50_ms: f64,
    /// 95 in 100 are at most this.
    pub p95_ms: f64,
    /// 99 in 100 are at most this.
    pub p99_ms: f64,
}

/// What came of the requests to one target.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TargetReport {
    /// The target's name.
    pub name: String,
    /// Requests sent.
    pub sent: u64,
    /// Requests with a whole answer.
    pub complete: u64,
    /// Whole answers a second.
    pub complete_per_s: f64,
    /// Pieces of text a second, those of incomplete answers included.
    pub tokens_per_s: f64,
    /// Time from sending to the first token.
    pub first_token: Percentiles,
    /// Time between tokens.
    pub between_tokens: Percentiles,
    /// Part of the prompt tokens that came from caches.
    pub prefix_hit_rate: f64,
    /// Prompt tokens that were computed.
    pub recomputed_tokens: u64,
    /// How late the load tool sent.
    pub sent_late: Percentiles,
    /// How often each ending other than a whole answer occurred.
    pub endings: BTreeMap<String, u64>,
}

/// What came of the requests of one team.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TeamReport {
    /// The team.
    pub name: String,
    /// Requests sent.
    pub sent: u64,
    /// Requests with a whole answer.
    pub complete: u64,
    /// Requests refused for the team's rate.
    pub refused: u64,
    /// Of these, refused although the rate had room; only when the team's rate was given.
    pub wrongly_refused: Option<u64>,
    /// Prompt and output tokens of whole answers.
    pub served_tokens: u64,
    /// Time from sending to the first token.
    pub first_token: Percentiles,
}

/// What came of a load.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LoadReport {
    /// From the first request to the last end.
    pub elapsed_s: f64,
    /// Requests that were not sent because the time was up.
    pub not_sent: u64,
    /// By target.
    pub targets: Vec<TargetReport>,
    /// By team.
    pub teams: Vec<TeamReport>,
}

impl LoadReport {
    pub(crate) fn new(sums: &Sums, names: &[String], elapsed_s: f64, not_sent: u64) -> Self {
        let targets = sums.targets.iter().zip(names);
        Self {
            elapsed_s,
            not_sent,
            targets: targets.map(|(sums, name)| target(sums, name, elapsed_s)).collect(),
            teams: sums.teams.iter().map(|(name, sums)| team(sums, name)).collect(),
        }
    }

    /// The report as JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).unwrap_or_default()
    }
}

fn target(sums: &TargetSums, name: &str, elapsed_s: f64) -> TargetReport {
    TargetReport {
        name: name.to_owned(),
        sent: sums.sent,
        complete: sums.complete,
        complete_per_s: sums.complete as f64 / elapsed_s,
        tokens_per_s: sums.pieces as f64 / elapsed_s,
        first_token: percentiles(&sums.first_token_us),
        between_tokens: percentiles(&sums.gap_us),
        prefix_hit_rate: sums.cached_tokens as f64 / sums.prompt_tokens.max(1) as f64,
        recomputed_tokens: sums.prompt_tokens.saturating_sub(sums.cached_tokens),
        sent_late: percentiles(&sums.late_us),
        endings: sums.endings.clone(),
    }
}

fn team(sums: &TeamSums, name: &str) -> TeamReport {
    TeamReport {
        name: name.to_owned(),
        sent: sums.sent,
        complete: sums.complete,
        refused: sums.refused,
        wrongly_refused: sums.wrongly_refused,
        served_tokens: sums.served_tokens,
        first_token: percentiles(&sums.first_token_us),
    }
}

fn percentiles(histogram: &Histogram<u64>) -> Percentiles {
    let at = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / US_PER_MS;
    Percentiles { count: histogram.len(), p50_ms: at(0.50), p95_ms: at(0.95), p99_ms: at(0.99) }
}

impl fmt::Display for Percentiles {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.2} / {:.2} / {:.2} ms", self.p50_ms, self.p95_ms, self.p99_ms)
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{:.1} s, {} not sent; p50 / p95 / p99", self.elapsed_s, self.not_sent)?;
        for target in &self.targets {
            write!(f, "{target}")?;
        }
        for team in &self.teams {
            writeln!(f, "{team}")?;
        }
        Ok(())
    }
}

impl fmt::Display for TargetReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{}: {} of {} complete, {:.0} requests/s, {:.0} tokens/s",
            self.name, self.complete, self.sent, self.complete_per_s, self.tokens_per_s
        )?;
        writeln!(f, "  first token    {}", self.first_token)?;
        writeln!(f, "  between tokens {}", self.between_tokens)?;
        writeln!(
            f,
            "  prefix hit rate {:.3}, {} prompt tokens recomputed",
            self.prefix_hit_rate, self.recomputed_tokens
        )?;
        writeln!(f, "  sent late      {}", self.sent_late)?;
        for (ending, count) in &self.endings {
            writeln!(f, "  {count} x {ending}")?;
        }
        Ok(())
    }
}

impl fmt::Display for TeamReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut refusals = format!("{} refused", self.refused);
        if let Some(wrongly) = self.wrongly_refused {
            write!(refusals, ", {wrongly} of them wrongly")?;
        }
        write!(
            f,
            "team {}: {} of {} complete, {} tokens, {refusals}, first token {}",
            self.name, self.complete, self.sent, self.served_tokens, self.first_token
        )
    }
}
