//! `samphirespread-sidecar`: the process beside a model engine.

use std::{path::PathBuf, process::ExitCode};

use clap::Parser;
use samphirespread_adapter::SETTINGS_VARIABLE;
use samphirespread_logging::event;
use samphirespread_settings::SidecarSettings;
use samphirespread_sidecar::Sidecar;
use slog::{Logger, error, info, warn};
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

const EXIT_SETTINGS: u8 = 2;
const EXIT_START: u8 = 3;

/// Reports the state of the engine beside it to routers and gives the engine its orders.
///
/// Exit codes: 0 after a signal to leave; 2 for settings that can't be used; 3 when a port can't be
/// opened.
#[derive(Debug, Parser)]
#[command(name = "samphirespread-sidecar", version)]
struct Arguments {
    /// The settings file, in INI form.
    #[arg(long, value_name = "FILE", env = SETTINGS_VARIABLE, required_unless_present = "example")]
    settings: Option<PathBuf>,
    /// Only check the settings file.
    #[arg(long)]
    check: bool,
    /// Print a settings file that shows every key with its default.
    #[arg(long)]
    example: bool,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let arguments = Arguments::parse();
    if arguments.example {
        print(&SidecarSettings::example());
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
    let log = samphirespread_logging::to(&settings.log, std::io::stdout());
    let sidecar = match Sidecar::bind(settings, log.clone()).await {
        Ok(sidecar) => sidecar,
        Err(failure) => {
            error!(log, "sidecar can't start"; "error" => %failure);
            return ExitCode::from(EXIT_START);
        }
    };
    let shutdown = CancellationToken::new();
    tokio::spawn(cancel_on_signal(shutdown.clone()));
    tokio::spawn(check_on_hang_up(path, log));
    sidecar.run(shutdown).await;
    ExitCode::SUCCESS
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

/// Checks the settings on SIGHUP. They name addresses only, which hold until the next start.
async fn check_on_hang_up(path: PathBuf, log: Logger) {
    let Ok(mut hang_up) = signal(SignalKind::hangup()) else { return };
    while hang_up.recv().await.is_some() {
        match read_settings(&path) {
            Ok(_) => info!(log, "{}", event::SETTINGS_RELOADED; "in_force" => "at the next start"),
            Err(message) => warn!(log, "{}", event::SETTINGS_REFUSED; "error" => message),
        }
    }
}

fn read_settings(path: &std::path::Path) -> Result<SidecarSettings, String> {
    let text =
        std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    SidecarSettings::parse(&text).map_err(|errors| format!("{}:\n{errors}", path.display()))
}

#[expect(clippy::print_stdout, reason = "the command's result")]
fn print(text: &str) {
    print!("{text}");
}

#[expect(clippy::print_stderr, reason = "the log is not set up yet")]
fn complain(message: &str) {
    eprintln!("{message}");
}
