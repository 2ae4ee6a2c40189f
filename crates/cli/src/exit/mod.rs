//! Defines the exit codes of the command.

use std::process::ExitCode;

/// How the command ended. The number is the process's exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// The command succeeded.
    Done = 0,
    /// Documents have faults, or a change was refused. Nothing was changed.
    Refused = 1,
    /// The arguments are wrong. Nothing was changed.
    Usage = 2,
    /// The platform or an instance can't be reached. Nothing was changed.
    Unreachable = 3,
    /// An answer was lost. Apply again with the same `--submission` to find out.
    Unknown = 4,
    /// The change is accepted, but not every instance has it in force yet.
    NotEverywhere = 5,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
