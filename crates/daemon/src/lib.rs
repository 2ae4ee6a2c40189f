//! Code that the `main` functions of the daemons share: arguments, settings files and signals.
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

/// The exit code for missing or invalid settings.
pub const EXIT_SETTINGS: u8 = 2;
/// The exit code when a daemon can't start, for example because it can't open a port.
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

/// A settings file and the text that was read from it.
#[derive(Clone, Debug)]
pub struct SettingsFile {
    /// The path of the file.
    pub path: PathBuf,
    /// The text that was read. Comparing a later text with it detects every change, also one made
    /// right after the first read.
    pub text: String,
}

/// What a daemon does next, after [`start`] has evaluated its arguments.
#[derive(Debug)]
pub enum Start<S> {
    /// The daemon serves with these settings, which were read from this file.
    Serve(S, SettingsFile),
    /// The daemon exits with this code. Its output has been printed already.
    Done(ExitCode),
}

/// Evaluates the arguments and reads the settings file that they name, or else the one at
/// `fallback`.
pub fn start<S: Settings>(arguments: &CommonArguments, fallback: Option<PathBuf>) -> Start<S> {
    if arguments.example {
        print(&S::example());
        return Start::Done(ExitCode::SUCCESS);
    }
    let Some(path) = arguments.settings.clone().or(fallback) else {
        print_error("--settings FILE is missing; --example prints such a file");
        return Start::Done(ExitCode::from(EXIT_SETTINGS));
    };
    match read_with_text(&path) {
        Ok(_) if arguments.check => {
            print("the settings are valid\n");
            Start::Done(ExitCode::SUCCESS)
        }
        Ok((settings, text)) => Start::Serve(settings, SettingsFile { path, text }),
        Err(message) => {
            print_error(&message);
            Start::Done(ExitCode::from(EXIT_SETTINGS))
        }
    }
}

/// Reads a settings file.
///
/// # Errors
///
/// Returns the path of the file and a description of the fault.
pub fn read_settings<S: Settings>(path: &Path) -> Result<S, String> {
    read_with_text(path).map(|(settings, _)| settings)
}

fn read_with_text<S: Settings>(path: &Path) -> Result<(S, String), String> {
    let text =
        std::fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))?;
    let settings = S::parse(&text).map_err(|errors| format!("{}:\n{errors}", path.display()))?;
    Ok((settings, text))
}

/// Returns a token that is cancelled on SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails if the signal handlers can't be installed.
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

/// Returns a stream of SIGHUP signals. Before this call, the signal ends the process.
///
/// # Errors
///
/// Fails if the signal handler can't be installed.
pub fn hang_ups() -> io::Result<Signal> {
    signal(SignalKind::hangup())
}

/// The error of a port that can't be opened.
#[derive(Debug, Display)]
#[non_exhaustive]
pub enum BindError {
    /// {address}: {message}
    Port {
        /// The address with the port.
        address: SocketAddr,
        /// The message of the operating system.
        message: String,
    },
}

impl Error for BindError {}

impl BindError {
    /// Creates the error for a port at `address` from the error of the operating system.
    pub fn at(address: SocketAddr, error: &io::Error) -> Self {
        Self::Port { address, message: error.to_string() }
    }
}

/// Logs why a daemon can't start and returns its exit code.
pub fn cant_start(log: &Logger, daemon: &str, failure: &dyn Error) -> ExitCode {
    error!(log, "{} can't start", daemon; "error" => %failure);
    ExitCode::from(EXIT_START)
}

/// Prints the result of a command to standard output.
#[expect(clippy::print_stdout, reason = "the command's result")]
pub fn print(text: &str) {
    print!("{text}");
}

/// Prints an error to standard error. It is meant for the time before the log is set up.
#[expect(clippy::print_stderr, reason = "the log is not set up yet")]
pub fn print_error(message: &str) {
    eprintln!("{message}");
}
