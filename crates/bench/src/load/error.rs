//! What can go wrong with a load.

use displaydoc::Display;

/// What can go wrong with a load.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
#[non_exhaustive]
pub enum LoadError {
    /// the trace {path} can't be read: {message}
    Trace {
        /// The file.
        path: String,
        /// What the system or the decoder said.
        message: String,
    },
    /// {argument} must be {expected}
    Argument {
        /// The argument.
        argument: &'static str,
        /// What it must be.
        expected: &'static str,
    },
    /// the load has no requests
    Empty,
}

impl std::error::Error for LoadError {}
