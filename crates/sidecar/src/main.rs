//! `samphirespread-sidecar`, the daemon beside a model engine.

use std::{path::PathBuf, process::ExitCode};

use clap::Parser;
use samphirespread_adapter::SETTINGS_VARIABLE;
use samphirespread_daemon::{
    CommonArguments, Start, cant_start, hang_ups, read_settings, shutdown_on_signal, start,
};
use samphirespread_logging::event;
use samphirespread_settings::SidecarSettings;
use samphirespread_sidecar::Sidecar;
use slog::{Logger, info, warn};
use tokio::signal::unix::Signal;

/// Reports the state of the engine beside it to routers and gives the engine its orders.
///
/// Exit codes: 0 after a signal to leave; 2 for settings that can't be used; 3 when a port can't be
/// opened.
#[derive(Debug, Parser)]
#[command(name = "samphirespread-sidecar", version)]
struct Arguments {
    #[command(flatten)]
    common: CommonArguments,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let fallback = std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from);
    match start(&arguments.common, fallback) {
        Start::Serve(settings, file) => serve(settings, file.path).await,
        Start::Done(code) => code,
    }
}

async fn serve(settings: SidecarSettings, path: PathBuf) -> ExitCode {
    let log = samphirespread_logging::root_with_writer(&settings.log, std::io::stdout());
    let hang_ups = match hang_ups() {
        Ok(hang_ups) => hang_ups,
        Err(failure) => return cant_start(&log, "sidecar", &failure),
    };
    let sidecar = match Sidecar::bind(settings, log.clone()).await {
        Ok(sidecar) => sidecar,
        Err(failure) => return cant_start(&log, "sidecar", &failure),
    };
    let shutdown = match shutdown_on_signal() {
        Ok(shutdown) => shutdown,
        Err(failure) => return cant_start(&log, "sidecar", &failure),
    };
    tokio::spawn(check_on_hang_up(path, hang_ups, log));
    sidecar.run(shutdown).await;
    ExitCode::SUCCESS
}

/// Checks the settings file on SIGHUP. The settings are only addresses, which take effect at the
/// next start.
async fn check_on_hang_up(path: PathBuf, mut hang_ups: Signal, log: Logger) {
    while hang_ups.recv().await.is_some() {
        match read_settings::<SidecarSettings>(&path) {
            Ok(_) => info!(log, "{}", event::SETTINGS_RELOADED; "in_force" => "at the next start"),
            Err(message) => warn!(log, "{}", event::SETTINGS_REFUSED; "error" => message),
        }
    }
}
