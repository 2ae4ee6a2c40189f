//! The agent's daemon. It exits with 0 after a drain, 1 after a fault and 2 for invalid settings.

#![allow(clippy::print_stdout, clippy::print_stderr)]

use std::{path::PathBuf, process::ExitCode, time::Duration};

use clap::Parser;
use samphirespread_agent::{Agent, AgentError};
use samphirespread_daemon::{EXIT_SETTINGS, read_settings, shutdown_on_signal};
use samphirespread_settings::AgentSettings;
use tokio_util::sync::CancellationToken;

const EXIT_FAULT: u8 = 1;
const SHUTDOWN_TIMEOUT_MS: u64 = 1_000;

/// The agent of one backend server.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    /// The settings file.
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,

    /// Checks the settings and exits.
    #[arg(long)]
    check: bool,
}

fn main() -> ExitCode {
    let args = Args::parse();
    let settings = match read_settings(&args.settings) {
        Ok(settings) => settings,
        Err(message) => {
            eprintln!("{message}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if args.check {
        println!("{}: settings hold", args.settings.display());
        return ExitCode::SUCCESS;
    }
    match serve(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("{message}");
            ExitCode::from(EXIT_FAULT)
        }
    }
}

fn serve(settings: AgentSettings) -> Result<(), String> {
    let runtime = tokio::runtime::Runtime::new().map_err(|error| error.to_string())?;
    let log = samphirespread_logging::root(&settings.log);
    let result = runtime.block_on(async {
        let shutdown = shutdown_on_signal().map_err(|error| error.to_string())?;
        run(settings, log, shutdown).await.map_err(|error| error.to_string())
    });
    // The tasks that are left hold the logger, which writes its last lines when it is dropped.
    runtime.shutdown_timeout(Duration::from_millis(SHUTDOWN_TIMEOUT_MS));
    result
}

async fn run(
    settings: AgentSettings,
    log: slog::Logger,
    shutdown: CancellationToken,
) -> Result<(), AgentError> {
    let agent = Agent::bind(settings, log).await?;
    println!("ready peers={} admin={}", agent.peers_address(), agent.admin_address());
    agent.run(shutdown).await
}
