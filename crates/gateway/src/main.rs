//! `samphirespread-gateway`: the entry router.

use std::{path::PathBuf, process::ExitCode, time::Duration};

use clap::Parser;
use samphirespread_adapter::SETTINGS_VARIABLE;
use samphirespread_gateway::{Gateway, SettingsHandle};
use samphirespread_settings::GatewaySettings;
use slog::error;
use tokio::signal::unix::{SignalKind, signal};
use tokio_util::sync::CancellationToken;

const EXIT_CUT: u8 = 1;
const EXIT_SETTINGS: u8 = 2;
const EXIT_START: u8 = 3;
/// Time between two looks whether the settings file has changed.
const SETTINGS_LOOK: Duration = Duration::from_secs(2);

/// Takes requests and forwards them to backend servers.
///
/// Exit codes: 0 after a drain that cut no request; 1 when it cut some; 2 for settings that can't be used; 3 when a port can't be
/// opened.
#[derive(Debug, Parser)]
#[command(name = "samphirespread-gateway", version)]
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
        print(&GatewaySettings::example());
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
    let gateway = match Gateway::bind(settings, log.clone()).await {
        Ok(gateway) => gateway,
        Err(failure) => {
            error!(log, "gateway can't start"; "error" => %failure);
            return ExitCode::from(EXIT_START);
        }
    };
    let shutdown = CancellationToken::new();
    tokio::spawn(cancel_on_signal(shutdown.clone()));
    tokio::spawn(reload_on_change(path, gateway.settings_handle()));
    if gateway.run(shutdown).await { ExitCode::SUCCESS } else { ExitCode::from(EXIT_CUT) }
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

/// Reads the settings again on SIGHUP, and when the file has changed without one.
async fn reload_on_change(path: PathBuf, handle: SettingsHandle) {
    let Ok(mut hang_up) = signal(SignalKind::hangup()) else { return };
    let mut known = std::fs::read_to_string(&path).ok();
    loop {
        let was_asked = tokio::select! {
            _ = hang_up.recv() => true,
            () = tokio::time::sleep(SETTINGS_LOOK) => false,
        };
        let text = std::fs::read_to_string(&path).ok();
        if let Some(text) = text.as_deref().filter(|_| was_asked || text != known) {
            handle.reload(text);
        }
        known = text;
    }
}

fn read_settings(path: &std::path::Path) -> Result<GatewaySettings, String> {
    let text =
        std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    GatewaySettings::parse(&text).map_err(|errors| format!("{}:\n{errors}", path.display()))
}

#[expect(clippy::print_stdout, reason = "the command's result")]
fn print(text: &str) {
    print!("{text}");
}

#[expect(clippy::print_stderr, reason = "the log is not set up yet")]
fn complain(message: &str) {
    eprintln!("{message}");
}
