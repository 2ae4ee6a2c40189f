//! `samphirespread-router`: the router as a process.

use std::{path::PathBuf, process::ExitCode};

use clap::Parser;
use samphirespread_router::Router;
use samphirespread_settings::RouterSettings;
use slog::{Logger, error};
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

const EXIT_CUT: u8 = 1;
const EXIT_SETTINGS: u8 = 2;
const EXIT_START: u8 = 3;

/// Routes language-model traffic.
///
/// Exit codes: 0 after a drain that cut no request; 1 when the drain timeout cut some; 2 for settings
/// that can't be used; 3 when a port can't be opened.
#[derive(Debug, Parser)]
#[command(name = "samphirespread-router", version)]
struct Arguments {
    /// The settings file, in INI form.
    #[arg(long, value_name = "FILE", required_unless_present = "example")]
    settings: Option<PathBuf>,
    /// Only check the settings file.
    #[arg(long)]
    check: bool,
    /// Print a settings file that shows every key with its default.
    #[arg(long)]
    example: bool,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = Arguments::parse();
    if arguments.example {
        print(&RouterSettings::example());
        return ExitCode::SUCCESS;
    }
    let path = arguments.settings.unwrap_or_default();
    let settings = match read_settings(&path) {
        Ok(settings) => settings,
        Err(message) => {
            complain(&message);
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if arguments.check {
        print("the settings are valid\n");
        return ExitCode::SUCCESS;
    }
    let log = samphirespread_logging::root(&settings.log);
    run(settings, log).await
}

async fn run(settings: RouterSettings, log: Logger) -> ExitCode {
    let router = match Router::bind(settings, log.clone()).await {
        Ok(router) => router,
        Err(failure) => {
            error!(log, "router can't start"; "error" => %failure);
            return ExitCode::from(EXIT_START);
        }
    };
    let at = router.addresses();
    print(&format!("ready peers={} admin={} callers={}\n", at.peers, at.admin, at.callers));
    let shutdown = CancellationToken::new();
    tokio::spawn(cancel_on_signal(shutdown.clone()));
    if router.run(shutdown).await { ExitCode::SUCCESS } else { ExitCode::from(EXIT_CUT) }
}

async fn cancel_on_signal(shutdown: CancellationToken) {
    let (Ok(mut terminate), Ok(mut interrupt)) =
        (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
    else {
        return;
    };
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    shutdown.cancel();
}

fn read_settings(path: &std::path::Path) -> Result<RouterSettings, String> {
    let text =
        std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    RouterSettings::parse(&text).map_err(|errors| format!("{}:\n{errors}", path.display()))
}

#[expect(clippy::print_stdout, reason = "the command's result")]
fn print(text: &str) {
    print!("{text}");
}

#[expect(clippy::print_stderr, reason = "the log is not set up yet")]
fn complain(message: &str) {
    eprintln!("{message}");
}
