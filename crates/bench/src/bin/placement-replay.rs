//! Replays the recorded trace of each deployment through all placements.

#![expect(clippy::print_stdout, reason = "the table is the output of this command")]

use std::{fs, path::PathBuf};

use clap::Parser;
use samphirespread_bench::replay::{
    DEPLOYMENTS, Deployment, ReplayError, Row, Scenario, draw, run_all, table, trace,
};

/// Scenarios that are worth a plot.
const PLOTTED: [Scenario; 3] = [Scenario::Calm, Scenario::EngineCrash, Scenario::HotPrefixShift];

/// Compares placements on recorded traces, in virtual time.
#[derive(Debug, Parser)]
struct Arguments {
    /// Folder of the traces.
    #[arg(long, default_value = "crates/bench/traces")]
    traces: PathBuf,
    /// Writes the traces from their seeds first.
    #[arg(long)]
    generate: bool,
    /// Writes the rows as JSON to this file.
    #[arg(long)]
    json: Option<PathBuf>,
    /// Writes plots as SVG into this folder.
    #[arg(long)]
    plots: Option<PathBuf>,
}

fn main() -> Result<(), ReplayError> {
    let arguments = Arguments::parse();
    let mut rows = Vec::new();
    for deployment in &DEPLOYMENTS {
        let deployment_rows = compare(deployment, &arguments)?;
        println!("\n{}\n{}", deployment.name, table(&deployment_rows));
        rows.extend(deployment_rows);
    }
    if let Some(path) = &arguments.json {
        let text = serde_json::to_string_pretty(&rows).unwrap_or_default();
        fs::write(path, text + "\n").map_err(|_| ReplayError::Write(path.clone()))?;
    }
    Ok(())
}

fn compare(deployment: &Deployment, arguments: &Arguments) -> Result<Vec<Row>, ReplayError> {
    let path = arguments.traces.join(format!("{}.jsonl", deployment.name));
    if arguments.generate {
        trace::write(&path, &trace::generate(&deployment.traffic))?;
    }
    let records = trace::read(&path)?;
    let runs = run_all(deployment, &records);
    if let Some(folder) = &arguments.plots {
        for scenario in PLOTTED {
            let title = format!("{}: {}", deployment.name, scenario.name().replace('_', " "));
            let file = format!("placement-{}-{}.svg", deployment.name, scenario.name());
            draw(&folder.join(file), &title, &runs, scenario)?;
        }
    }
    Ok(runs.iter().map(|run| run.row(deployment)).collect())
}
