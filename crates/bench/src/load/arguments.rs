//! Arguments of `samphirespread bench`.

use std::{path::PathBuf, time::Duration};

use clap::Args;

use super::{
    EngineTarget, LoadError, LoadReport, LoadRun, Pacing, RouterTarget, Target, TeamRate,
    TeamTraffic, TraceRecord, Traffic, read_trace, write_trace,
};

/// Sends load to a router and reports what came of it.
#[derive(Clone, Debug, Args)]
pub struct LoadArguments {
    /// The router that the load goes to, `IP:port`.
    #[arg(long)]
    pub router: String,

    /// An engine that every second request goes straight to, `IP:port`.
    #[arg(long)]
    pub direct: Option<String>,

    /// A team: `name=key`, or `name=key:weight`, or `name=key:weight:rate:burst` with its tokens a
    /// second and at once, by which refusals are judged.
    #[arg(long = "team", required = true)]
    pub teams: Vec<String>,

    /// The model.
    #[arg(long, default_value = "ledger")]
    pub model: String,

    /// The weights version, for requests that go straight to an engine.
    #[arg(long, default_value = "v1")]
    pub version: String,

    /// A recorded trace to send instead of generated load.
    #[arg(long)]
    pub trace: Option<PathBuf>,

    /// Writes the load to this file as a trace.
    #[arg(long)]
    pub record: Option<PathBuf>,

    /// The seed of generated load.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,

    /// Requests at most.
    #[arg(long, default_value_t = 1_000)]
    pub requests: usize,

    /// Requests a second.
    #[arg(long, default_value_t = 50.0)]
    pub rate: f64,

    /// Sends as fast as this many requests at once allow, and not by time.
    #[arg(long)]
    pub concurrency: Option<usize>,

    /// Output tokens of each generated request.
    #[arg(long, default_value_t = 32)]
    pub output_tokens: u32,

    /// Tokens of each generated prompt that no other prompt has.
    #[arg(long, default_value_t = 256)]
    pub rest_tokens: u64,

    /// Blocks of a shared document.
    #[arg(long, default_value_t = 4)]
    pub document_blocks: usize,

    /// Blocks of a shared section of a document.
    #[arg(long, default_value_t = 2)]
    pub section_blocks: usize,

    /// Seconds after which the load is given up.
    #[arg(long, default_value_t = 120)]
    pub max_time_s: u64,

    /// Reports as JSON.
    #[arg(long)]
    pub json: bool,
}

#[derive(Debug)]
struct TeamArgument {
    name: String,
    key: String,
    weight: f64,
    rate: Option<TeamRate>,
}

impl LoadArguments {
    /// Sends the load. The progress function gets a line each second.
    ///
    /// # Errors
    ///
    /// When an argument or the trace can't be used.
    pub async fn run(&self, progress: impl FnMut(&str)) -> Result<LoadReport, LoadError> {
        let teams =
            self.teams.iter().map(|text| parse_team(text)).collect::<Result<Vec<_>, _>>()?;
        let records = self.records(&teams)?;
        if let Some(path) = &self.record {
            write_trace(path, &records)?;
        }

        let mut router = RouterTarget::new(&self.router);
        for team in &teams {
            router = router.key(&team.name, &team.key);
        }
        let mut run = LoadRun::new(records)
            .target("router", Target::Router(Box::new(router)))
            .max_time(Duration::from_secs(self.max_time_s));
        if let Some(engine) = &self.direct {
            run = run.target("direct", Target::Engine(EngineTarget::new(engine, &self.version)));
        }
        if let Some(concurrency) = self.concurrency {
            run = run.pacing(Pacing::Closed { concurrency });
        }
        for rate in teams.into_iter().filter_map(|team| team.rate) {
            run = run.rate(rate);
        }
        run.run(progress).await
    }

    fn records(&self, teams: &[TeamArgument]) -> Result<Vec<TraceRecord>, LoadError> {
        if let Some(path) = &self.trace {
            let mut records = read_trace(path)?;
            records.truncate(self.requests);
            return Ok(records);
        }
        if !self.rate.is_finite() || self.rate <= 0.0 {
            let expected = "a positive number of requests a second";
            return Err(LoadError::Argument { argument: "--rate", expected });
        }

        let mut traffic = Traffic::new(&self.model)
            .seed(self.seed)
            .requests(self.requests)
            .requests_per_s(self.rate)
            .prefix_blocks(self.document_blocks, self.section_blocks)
            .rest_tokens(self.rest_tokens)
            .output_tokens(self.output_tokens);
        for team in teams {
            traffic = traffic.team(TeamTraffic::new(&team.name, team.weight));
        }
        Ok(traffic.generate())
    }
}

fn parse_team(text: &str) -> Result<TeamArgument, LoadError> {
    let expected = "name=key, name=key:weight or name=key:weight:rate:burst";
    let wrong = || LoadError::Argument { argument: "--team", expected };
    let (name, rest) = text.split_once('=').ok_or_else(wrong)?;
    let mut fields = rest.split(':');
    let key = fields.next().unwrap_or_default();
    let numbers =
        fields.map(str::parse::<f64>).collect::<Result<Vec<f64>, _>>().map_err(|_| wrong())?;
    let (weight, rate) = match numbers[..] {
        [] => (1.0, None),
        [weight] => (weight, None),
        [weight, rate_tokens_per_s, burst_tokens] => {
            let team = name.to_owned();
            (weight, Some(TeamRate { team, rate_tokens_per_s, burst_tokens }))
        }
        _ => return Err(wrong()),
    };
    Ok(TeamArgument { name: name.to_owned(), key: key.to_owned(), weight, rate })
}
