//! Implements `samphirespread`, the command-line tool for operators.
//!
//! ```text
//! samphirespread dev
//! samphirespread check fleet.json
//! samphirespread check-platform main.json --store 10.0.0.10:7000
//! samphirespread apply --platform 10.0.0.10:7000 fleet.json
//! samphirespread status --platform 10.0.0.10:7000
//! samphirespread dump --admin 10.0.1.1:9300
//! samphirespread rollouts --admin 10.0.1.1:9300
//! samphirespread key new --id desk-2 --team desk
//! ```
//!
//! Results go to standard output, everything else to standard error. See [`Exit`] for the exit
//! codes.
//!
//! Other programs may use [`submit()`], which writes a
//! [`Submission`](samphirespread_config::Submission) to the platform, and [`load`], which reads
//! documents from files.

mod args;
mod check_platform;
mod commands;
mod dev;
mod documents;
mod exit;
mod http;
mod rollouts;
mod status;
mod submit;

use std::{ffi::OsString, process::ExitCode};

use clap::Parser;

pub use crate::{
    dev::{DevError, DevFleet},
    documents::{LoadError, load},
    exit::Exit,
    http::AdminError,
    status::{Count, InstanceStatus, StatusError, count, instances},
    submit::{RetryPolicy, SubmitError, read_snapshot, submit},
};

/// Runs the command with these arguments. The first one is the name of the program.
///
/// # Panics
///
/// Panics if the operating system provides no threads or timers for the runtime.
pub fn run(arguments: impl IntoIterator<Item = impl Into<OsString> + Clone>) -> ExitCode {
    let arguments = match args::Arguments::try_parse_from(arguments) {
        Ok(arguments) => arguments,
        Err(error) => {
            // If printing fails, there is no other way to report the error.
            let _ = error.print();
            return if error.use_stderr() { Exit::Usage.into() } else { Exit::Done.into() };
        }
    };
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let runtime = runtime.expect("the runtime starts");
    runtime.block_on(commands::run(arguments.command)).into()
}
