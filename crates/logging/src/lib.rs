//! Creates the root logger of a daemon.
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
//! [`root`] logs to standard error, which leaves standard output free for the line that states the
//! ports; [`root_with_writer`] logs to any writer. A separate thread writes the lines. When it
//! can't keep up, lines are dropped and their number is logged, so that a slow terminal never
//! delays a request. Dropping the last clone of the logger writes the lines that are still queued.
//!
//! Each event has its own budget of lines, so that frequent lines of one event can't crowd out
//! those of another. Lines over the budget are dropped, and a separate line logs their number.

mod budget;
pub mod event;

use std::{io, sync::Mutex};

use samphirespread_settings::{LogFormat, LogLevel, LogSettings};
use slog::{Drain, Level, Logger, o};

use crate::budget::BudgetDrain;

/// Names of log fields that several crates use.
pub mod key {
    /// The field with the text form of a request's id.
    pub const REQUEST: &str = "request";
    /// The field with the name of a team.
    pub const TEAM: &str = "team";
    /// The field with the number of an attempt within its request.
    pub const ATTEMPT: &str = "attempt";
}

/// Maximum number of log lines that wait for the writing thread.
const MAX_QUEUED_LINES: usize = 4_096;

/// Creates a logger that writes to standard error.
pub fn root(settings: &LogSettings) -> Logger {
    root_with_writer(settings, io::stderr())
}

/// Creates a logger that writes to `writer`.
pub fn root_with_writer(settings: &LogSettings, writer: impl io::Write + Send + 'static) -> Logger {
    let level = slog_level(settings.level);
    match settings.format {
        LogFormat::Json => {
            let drain = slog_json::Json::default(writer);
            threaded_logger(Mutex::new(drain).fuse(), level)
        }
        LogFormat::Terminal => {
            let decorator = slog_term::PlainSyncDecorator::new(writer);
            threaded_logger(slog_term::FullFormat::new(decorator).build().fuse(), level)
        }
    }
}

fn threaded_logger<D>(drain: D, level: Level) -> Logger
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    let drain = slog_async::Async::new(drain).chan_size(MAX_QUEUED_LINES).build();
    let drain = BudgetDrain::new(drain.fuse());
    Logger::root(drain.filter_level(level).fuse(), o!())
}

fn slog_level(level: LogLevel) -> Level {
    match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warning => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    }
}
