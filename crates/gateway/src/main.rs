//! The `samphirespread-gateway` program: the entry router.

use std::{path::PathBuf, process::ExitCode, time::Duration};

use clap::Parser;
use samphirespread_adapter::SETTINGS_VARIABLE;
use samphirespread_daemon::{
    CommonArguments, SettingsFile, Start, cant_start, hang_ups, shutdown_on_signal, start,
};
use samphirespread_gateway::{Gateway, SettingsHandle};
use samphirespread_settings::GatewaySettings;
use tokio::signal::unix::Signal;

/// Exit code after a drain that cut requests.
const EXIT_REQUESTS_CUT: u8 = 1;
/// Interval at which the settings file is checked for changes.
const SETTINGS_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Takes requests and forwards them to backend servers.
///
/// Exit codes: 0 after a drain that cut no request; 1 when it cut some; 2 for settings that can't
/// be used; 3 when a port can't be opened.
#[derive(Debug, Parser)]
#[command(name = "samphirespread-gateway", version)]
struct Arguments {
    #[command(flatten)]
    common: CommonArguments,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let fallback = std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from);
    match start(&arguments.common, fallback) {
        Start::Serve(settings, file) => serve(settings, file).await,
        Start::Done(code) => code,
    }
}

async fn serve(settings: GatewaySettings, file: SettingsFile) -> ExitCode {
    let log = samphirespread_logging::root_with_writer(&settings.log, std::io::stdout());
    let hang_ups = match hang_ups() {
        Ok(hang_ups) => hang_ups,
        Err(failure) => return cant_start(&log, "gateway", &failure),
    };
    let gateway = match Gateway::bind(settings, log.clone()).await {
        Ok(gateway) => gateway,
        Err(failure) => return cant_start(&log, "gateway", &failure),
    };
    let shutdown = match shutdown_on_signal() {
        Ok(shutdown) => shutdown,
        Err(failure) => return cant_start(&log, "gateway", &failure),
    };
    tokio::spawn(reload_on_change(file, hang_ups, gateway.settings_handle()));
    if gateway.run(shutdown).await { ExitCode::SUCCESS } else { ExitCode::from(EXIT_REQUESTS_CUT) }
}

/// Reloads the settings on SIGHUP, and when the file has changed without a signal.
async fn reload_on_change(file: SettingsFile, mut hang_ups: Signal, handle: SettingsHandle) {
    let SettingsFile { path, text } = file;
    let mut known = Some(text);
    loop {
        let was_asked = tokio::select! {
            _ = hang_ups.recv() => true,
            () = tokio::time::sleep(SETTINGS_CHECK_INTERVAL) => false,
        };
        let text = std::fs::read_to_string(&path).ok();
        if let Some(text) = text.as_deref().filter(|_| was_asked || text != known) {
            handle.reload(text);
        }
        known = text;
    }
}
