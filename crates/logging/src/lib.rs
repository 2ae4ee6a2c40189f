//! The root logger of a daemon.
//!
//! ```
//! use samphirespread_logging::{key, root};
//! use samphirespread_settings::{LogFormat, LogLevel, LogSettings};
//! use slog::{info, o};
//!
//! let log = root(&LogSettings { format: LogFormat::Json, level: LogLevel::Info });
//! let log = log.new(o!(key::REQUEST => "0000000000000001-2a", key::TEAM => "desk"));
//!
//! info!(log, "request accepted"; key::ATTEMPT => 0);
//! ```
//!
//! Lines go to standard error; standard output stays free for the line that tells the ports.
//! A thread of its own writes them. When it can't keep up, lines are dropped and the number
//! dropped is logged, so that a slow terminal never delays a request. The last lines are
//! written when the last clone of the logger is dropped.
//!
//! Each event has a budget of lines, so that a flood of one hides no other; what is over it is
//! counted and told in a line of its own.

mod budget;
pub mod event;

use std::{io, sync::Mutex};

use samphirespread_settings::{LogFormat, LogLevel, LogSettings};
use slog::{Drain, Level, Logger, o};

use crate::budget::Budget;

/// Names of the fields that several crates log.
pub mod key {
    /// The text form of a request's id.
    pub const REQUEST: &str = "request";
    /// The name of a team.
    pub const TEAM: &str = "team";
    /// The number of an attempt within its request.
    pub const ATTEMPT: &str = "attempt";
}

/// Log lines that may wait for the writing thread.
const QUEUE_LINES: usize = 4_096;

/// A logger that writes to standard error.
pub fn root(settings: &LogSettings) -> Logger {
    to(settings, io::stderr())
}

/// A logger that writes elsewhere.
pub fn to(settings: &LogSettings, writer: impl io::Write + Send + 'static) -> Logger {
    let level = level(settings.level);
    match settings.format {
        LogFormat::Json => {
            let drain = slog_json::Json::default(writer);
            threaded(Mutex::new(drain).fuse(), level)
        }
        LogFormat::Terminal => {
            let decorator = slog_term::PlainSyncDecorator::new(writer);
            threaded(slog_term::FullFormat::new(decorator).build().fuse(), level)
        }
    }
}

fn threaded<D>(drain: D, level: Level) -> Logger
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    let drain = slog_async::Async::new(drain).chan_size(QUEUE_LINES).build();
    let drain = Budget::new(drain.fuse());
    Logger::root(drain.filter_level(level).fuse(), o!())
}

fn level(level: LogLevel) -> Level {
    match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warning => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    }
}
