//! What the `main` functions of the daemons share: arguments, settings files, signals.
//!
//! ```
//! use samphirespread_daemon::{CommonArguments, Start, start};
//! use samphirespread_settings::GatewaySettings;
//!
//! let arguments = CommonArguments { example: true, ..CommonArguments::default() };
//!
//! assert!(matches!(start::<GatewaySettings>(&arguments, None), Start::Done(_)));
//! ```

pub mod metrics;

use std::{
    error::Error,
    io,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::ExitCode,
};

use clap::Args;
use displaydoc::Display;
use samphirespread_settings::Settings;
use slog::{Logger, error};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio_util::sync::CancellationToken;

/// The exit code for settings that can't be used.
pub const EXIT_SETTINGS: u8 = 2;
/// The exit code when a port can't be opened.
pub const EXIT_START: u8 = 3;

/// Arguments of every daemon.
#[derive(Args, Clone, Debug, Default)]
pub struct CommonArguments {
    /// The settings file, in INI form.
    #[arg(long, value_name = "FILE")]
    pub settings: Option<PathBuf>,
    /// Only check the settings file.
    #[arg(long)]
    pub check: bool,
    /// Print a settings file that shows every key with its default.
    #[arg(long)]
    pub example: bool,
}

/// A settings file as it was read.
#[derive(Clone, Debug)]
pub struct SettingsFile {
    /// Where it is.
    pub path: PathBuf,
    /// What stood there. A later text that differs is a change, however early it came.
    pub text: String,
}

/// What a daemon is to do after its arguments were read.
#[derive(Debug)]
pub enum Start<S> {
    /// Serve with these settings, which came from that file.
    Serve(S, SettingsFile),
    /// End with this exit code; what there was to say has been printed.
    Done(ExitCode),
}

/// Reads the settings that the arguments name, or the file at `fallback`.
pub fn start<S: Settings>(arguments: &CommonArguments, fallback: Option<PathBuf>) -> Start<S> {
    if arguments.example {
        print(&S::example());
        return Start::Done(ExitCode::SUCCESS);
    }
    let Some(path) = arguments.settings.clone().or(fallback) else {
        complain("--settings FILE is missing; --example prints such a file");
        return Start::Done(ExitCode::from(EXIT_SETTINGS));
    };
    match read_file(&path) {
        Ok(_) if arguments.check => {
            print("the settings are valid\n");
            Start::Done(ExitCode::SUCCESS)
        }
        Ok((settings, text)) => Start::Serve(settings, SettingsFile { path, text }),
        Err(message) => {
            complain(&message);
            Start::Done(ExitCode::from(EXIT_SETTINGS))
        }
    }
}

/// Reads a settings file.
///
/// # Errors
///
/// The file's path with what is wrong with it.
pub fn read_settings<S: Settings>(path: &Path) -> Result<S, String> {
    read_file(path).map(|(settings, _)| settings)
}

fn read_file<S: Settings>(path: &Path) -> Result<(S, String), String> {
    let text =
        std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    let settings = S::parse(&text).map_err(|errors| format!("{}:\n{errors}", path.display()))?;
    Ok((settings, text))
}

/// A token that SIGTERM and SIGINT cancel.
///
/// # Errors
///
/// When the signals can't be listened to.
pub fn shutdown_on_signal() -> io::Result<CancellationToken> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let shutdown = CancellationToken::new();
    let token = shutdown.clone();
    tokio::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        token.cancel();
    });
    Ok(shutdown)
}

/// Listens to SIGHUP from now on. Until then the signal ends the process.
///
/// # Errors
///
/// When the signal can't be listened to.
pub fn hang_ups() -> io::Result<Signal> {
    signal(SignalKind::hangup())
}

/// A port that can't be opened.
#[derive(Debug, Display)]
#[non_exhaustive]
pub enum BindError {
    /// {address}: {message}
    Port {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        message: String,
    },
}

impl Error for BindError {}

impl BindError {
    /// What the system said of a port at that address.
    pub fn at(address: SocketAddr, error: &io::Error) -> Self {
        Self::Port { address, message: error.to_string() }
    }
}

/// Logs why a daemon can't start. Returns its exit code.
pub fn cant_start(log: &Logger, daemon: &str, failure: &dyn Error) -> ExitCode {
    error!(log, "{} can't start", daemon; "error" => %failure);
    ExitCode::from(EXIT_START)
}

/// Prints a result.
#[expect(clippy::print_stdout, reason = "the command's result")]
pub fn print(text: &str) {
    print!("{text}");
}

/// Prints what is wrong, before there is a log.
#[expect(clippy::print_stderr, reason = "the log is not set up yet")]
pub fn complain(message: &str) {
    eprintln!("{message}");
}
