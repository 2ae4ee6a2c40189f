//! All replays of one trace, as rows of a table.

use std::fmt::Write;

use samphirespread_prefix::{
    FirstBlock, LeastLoad, PrefixAffinity, PrefixAffinityConfig, RoundRobin, TransferCost,
};
use serde::Serialize;

use super::{
    AllKnowing, Deployment, Dispatch, FAULT_AT_MS, Outcome, Replay, ReplayPlacement, SCENARIOS,
    Scenario, replay, trace::Record,
};

/// Blocks of 2,048 tokens with 160 KiB of keys and values each, over a link of 10 GB a second.
const STORE: TransferCost =
    TransferCost { setup_us: 5_000, block_bytes: 2_048 * 163_840, bytes_per_s: 10_000_000_000 };

/// Routers that each see too little traffic to count shares by themselves.
const MANY_ROUTERS: usize = 60;

/// One replay and its outcome.
#[derive(Clone, Debug)]
pub struct Run {
    /// How prompts were placed.
    pub placement: &'static str,
    /// What failed.
    pub scenario: Scenario,
    /// What was measured.
    pub outcome: Outcome,
    /// Seconds until it was as in the calm run again.
    pub recovery_s: Option<usize>,
}

/// One row of the table.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    /// The deployment.
    pub deployment: &'static str,
    /// What failed.
    pub scenario: &'static str,
    /// How prompts were placed.
    pub placement: &'static str,
    /// Requests counted.
    pub requests: usize,
    /// Cached tokens by prompt tokens.
    pub hit_rate: f64,
    /// Tokens computed although some engine had computed them before.
    pub recomputed_tokens: u64,
    /// Tokens fetched from the kept-cache store.
    pub fetched_tokens: u64,
    /// Median time to the first token.
    pub p50_ms: f64,
    /// 95th percentile of the time to the first token.
    pub p95_ms: f64,
    /// 99th percentile of the time to the first token.
    pub p99_ms: f64,
    /// The worst-served team.
    pub worst_team: usize,
    /// Its 99th percentile.
    pub worst_team_p99_ms: f64,
    /// Lookups for each request.
    pub lookups_per_request: f64,
    /// Refusals for each request.
    pub refusals_per_request: f64,
    /// Bytes of lookups and refusals for each request.
    pub control_bytes_per_request: f64,
    /// Seconds until it was as in the calm run again.
    pub recovery_s: Option<usize>,
}

impl Run {
    /// The row of this run.
    pub fn row(&self, deployment: &Deployment) -> Row {
        let worst = self.outcome.worst_team();
        Row {
            deployment: deployment.name,
            scenario: self.scenario.name(),
            placement: self.placement,
            requests: self.outcome.requests(),
            hit_rate: self.outcome.hit_rate(),
            recomputed_tokens: self.outcome.recomputed_tokens(),
            fetched_tokens: self.outcome.fetched_tokens(),
            p50_ms: self.outcome.first_token_ms(0.50),
            p95_ms: self.outcome.first_token_ms(0.95),
            p99_ms: self.outcome.first_token_ms(0.99),
            worst_team: worst.team,
            worst_team_p99_ms: worst.p99_ms,
            lookups_per_request: self.outcome.lookups_per_request(),
            refusals_per_request: self.outcome.refusals_per_request(),
            control_bytes_per_request: self.outcome.control_bytes_per_request(),
            recovery_s: self.recovery_s,
        }
    }
}

/// Replays a trace through all placements and scenarios.
pub fn run_all(deployment: &Deployment, records: &[Record]) -> Vec<Run> {
    let all = Runner { deployment, records };
    let home =
        |candidates| PrefixAffinity::new(PrefixAffinityConfig::default().candidates(candidates));
    let mut runs = Vec::new();
    runs.extend(all.scenarios("round robin", Dispatch::Direct, None, &RoundRobin::default()));
    runs.extend(all.scenarios("least load", Dispatch::Direct, None, &LeastLoad));
    runs.extend(all.scenarios("first block", Dispatch::Direct, None, &FirstBlock));
    runs.extend(all.scenarios("homes, lookup of 3", Dispatch::Lookup, None, &home(3)));
    runs.extend(all.scenarios("all-knowing", Dispatch::Direct, None, &AllKnowing::default()));
    let greedy = AllKnowing::greedy();
    runs.extend(all.scenarios("all-knowing, greedy", Dispatch::Direct, None, &greedy));
    runs.extend(all.scenarios("homes, lookup of 2", Dispatch::Lookup, None, &home(2)));
    runs.extend(all.scenarios("homes, one bounce", Dispatch::Bounce, None, &home(3)));
    runs.extend(all.scenarios("homes, lookup if busy", Dispatch::LookupWhenBusy, None, &home(3)));
    runs.extend(all.scenarios("lookup of 3, store", Dispatch::Lookup, Some(STORE), &home(3)));
    let many = Deployment { routers: MANY_ROUTERS, ..*deployment };
    let all = Runner { deployment: &many, records };
    runs.extend(all.scenarios("lookup of 3, 60 routers", Dispatch::Lookup, None, &home(3)));
    runs
}

struct Runner<'a> {
    deployment: &'a Deployment,
    records: &'a [Record],
}

impl Runner<'_> {
    fn scenarios<P: ReplayPlacement + Clone>(
        &self,
        name: &'static str,
        dispatch: Dispatch,
        store: Option<TransferCost>,
        placement: &P,
    ) -> Vec<Run> {
        let mut runs: Vec<Run> = Vec::new();
        for scenario in SCENARIOS {
            let input = Replay {
                deployment: self.deployment,
                scenario,
                dispatch,
                store,
                records: self.records,
            };
            let outcome = replay(input, placement);
            let calm = runs.first().map(|run| &run.outcome);
            let recovery_s = calm.and_then(|calm| outcome.recovery_s(calm, FAULT_AT_MS));
            runs.push(Run { placement: name, scenario, outcome, recovery_s });
        }
        runs
    }
}

/// The rows as a Markdown table, one for each scenario.
pub fn table(rows: &[Row]) -> String {
    let mut text = String::new();
    for scenario in SCENARIOS {
        let _ = writeln!(text, "\n{}:\n", scenario.name().replace('_', " "));
        text.push_str(
            "| placement | hit rate | recomputed Mtokens | p50 ms | p95 ms | p99 ms | worst team p99 ms | \
             lookups, refusals, control bytes a request | back after s |\n\
             | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
        );
        for row in rows.iter().filter(|row| row.scenario == scenario.name()) {
            write_row(&mut text, row);
        }
    }
    text
}

fn write_row(text: &mut String, row: &Row) {
    let recovery = match (row.scenario, row.recovery_s) {
        ("calm", _) => "-".to_owned(),
        (_, Some(seconds)) => seconds.to_string(),
        (_, None) => "not".to_owned(),
    };
    let _ = writeln!(
        text,
        "| {} | {:.3} | {:.2} | {:.0} | {:.0} | {:.0} | {:.0} (team {}) | {:.2}, {:.2}, {:.0} | {} |",
        row.placement,
        row.hit_rate,
        row.recomputed_tokens as f64 / 1e6,
        row.p50_ms,
        row.p95_ms,
        row.p99_ms,
        row.worst_team_p99_ms,
        row.worst_team,
        row.lookups_per_request,
        row.refusals_per_request,
        row.control_bytes_per_request,
        recovery,
    );
}
