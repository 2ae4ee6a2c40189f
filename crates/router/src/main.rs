//! The `samphirespread-router` command, which runs a router as a process.

use std::process::ExitCode;

use clap::Parser;
use samphirespread_daemon::{CommonArguments, Start, cant_start, print, shutdown_on_signal, start};
use samphirespread_router::Router;
use samphirespread_settings::RouterSettings;
use slog::Logger;

const EXIT_DRAIN_TIMEOUT: u8 = 1;

/// Routes language-model traffic.
///
/// Exit codes: 0 after a drain that cut no request; 1 when the drain timeout cut some; 2 for settings
/// that can't be used; 3 when a port can't be opened.
#[derive(Debug, Parser)]
#[command(name = "samphirespread-router", version)]
struct Arguments {
    #[command(flatten)]
    common: CommonArguments,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments = Arguments::parse();
    match start::<RouterSettings>(&arguments.common, None) {
        Start::Serve(settings, _) => {
            let log = samphirespread_logging::root(&settings.log);
            run(settings, log).await
        }
        Start::Done(code) => code,
    }
}

async fn run(settings: RouterSettings, log: Logger) -> ExitCode {
    let router = match Router::bind(settings, log.clone()).await {
        Ok(router) => router,
        Err(failure) => return cant_start(&log, "router", &failure),
    };
    let shutdown = match shutdown_on_signal() {
        Ok(shutdown) => shutdown,
        Err(failure) => return cant_start(&log, "router", &failure),
    };
    let at = router.addresses();
    print(&format!("ready peers={} admin={} callers={}\n", at.peers, at.admin, at.callers));
    if router.run(shutdown).await { ExitCode::SUCCESS } else { ExitCode::from(EXIT_DRAIN_TIMEOUT) }
}
