//! `samphirespread-soak`: random faults on the real programs.

use std::{
    io::{self, Write},
    path::PathBuf,
    process::ExitCode,
};

use clap::{Args, Parser, Subcommand};
use samphirespread_soak::{
    Options,
    plan::{Plan, Size},
    run, tell,
};

const EXIT_BROKEN: u8 = 1;
const EXIT_NOT_RUN: u8 = 3;
const MS_PER_MINUTE: f64 = 60_000.0;

/// Runs gateways and sidecars as processes under random faults, and checks the promises from what
/// callers and backend servers saw.
///
/// Exit codes: 0 when all promises were kept; 1 when one was broken; 3 when a run could not be
/// carried out.
#[derive(Debug, Parser)]
#[command(name = "samphirespread-soak", version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Carries out a plan, drawn from a seed or read from a file.
    Run(RunArguments),
}

#[derive(Debug, Args)]
struct RunArguments {
    /// The seed of faults and load.
    #[arg(long, default_value_t = 1, conflicts_with = "plan")]
    seed: u64,
    /// Runs that many seeds, one after the other.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=10_000))]
    seeds: u64,
    /// How long each run sends, in minutes.
    #[arg(long, default_value_t = 0.5, value_parser = minutes)]
    minutes: f64,
    /// The plan of an earlier run, to be repeated.
    #[arg(long, value_name = "FILE")]
    plan: Option<PathBuf>,
    /// Gateways.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u16).range(1..=200))]
    gateways: u16,
    /// Engines, each with its sidecar.
    #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u16).range(1..=150))]
    engines: u16,
    /// Servers of a plain service.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u16).range(1..=50))]
    desks: u16,
    /// Draws planned work alone: signals, configurations, weights and servers that leave.
    #[arg(long, conflicts_with = "plan")]
    planned: bool,
    /// Draws engines that begin late for a while alone, with admission control.
    #[arg(long, conflicts_with_all = ["plan", "planned"])]
    overload: bool,
    /// Leaves out promises that are bounded in time.
    #[arg(long)]
    untimed: bool,
    /// Where plans, settings and logs are left, in a folder for each seed.
    #[arg(long, value_name = "DIR", default_value = "target/soak")]
    out: PathBuf,
    /// Where the programs are; beside this one if not given.
    #[arg(long, value_name = "DIR")]
    programs: Option<PathBuf>,
}

fn minutes(text: &str) -> Result<f64, String> {
    match text.parse::<f64>() {
        Ok(minutes) if (0.2..=600.0).contains(&minutes) => Ok(minutes),
        _ => Err("allowed: 0.2 to 600".to_owned()),
    }
}

#[tokio::main]
async fn main() -> ExitCode {
    let Arguments { command: Command::Run(arguments) } = Arguments::parse();
    match soak(&arguments).await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_BROKEN),
        Err(error) => {
            tell(&format!("the run could not be carried out: {error}"));
            ExitCode::from(EXIT_NOT_RUN)
        }
    }
}

async fn soak(arguments: &RunArguments) -> io::Result<bool> {
    let programs = match &arguments.programs {
        Some(programs) => programs.clone(),
        None => std::env::current_exe()?.parent().map(PathBuf::from).unwrap_or_default(),
    };
    let mut all_clean = true;
    for plan in plans(arguments)? {
        let directory = arguments.out.join(format!("seed-{}", plan.seed));
        let options =
            Options::new(&programs, directory).timed(!arguments.untimed).shows_progress(true);
        let report = run(&plan, &options).await?;
        writeln!(io::stdout(), "{report}")?;
        all_clean &= report.is_clean();
    }
    Ok(all_clean)
}

fn plans(arguments: &RunArguments) -> io::Result<Vec<Plan>> {
    if let Some(path) = &arguments.plan {
        let text = std::fs::read_to_string(path)?;
        return Ok(vec![serde_json::from_str(&text)?]);
    }
    #[expect(clippy::cast_possible_truncation, clippy::cast_sign_loss, reason = "checked range")]
    let length_ms = (arguments.minutes * MS_PER_MINUTE) as u64;
    let size = Size {
        gateways: usize::from(arguments.gateways),
        engines: usize::from(arguments.engines),
        desks: usize::from(arguments.desks),
    };
    let seeds = arguments.seed..arguments.seed.saturating_add(arguments.seeds);
    let draw = match (arguments.planned, arguments.overload) {
        (true, _) => Plan::draw_work,
        (_, true) => Plan::draw_overload,
        _ => Plan::draw,
    };
    Ok(seeds.map(|seed| draw(seed, length_ms, size)).collect())
}
