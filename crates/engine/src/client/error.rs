//! Errors of calls to an engine.

use displaydoc::Display;

/// Error of a call to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
#[non_exhaustive]
pub enum EngineError {
    /// the engine can't be reached: {message}
    Unreachable {
        /// Error of the connection.
        message: String,
    },
    /// the connection to the engine was lost: {message}
    Lost {
        /// Error of the connection.
        message: String,
    },
    /// The engine sent nothing for too long.
    #[displaydoc("the engine sent nothing for {silence_ms} ms")]
    Silent {
        /// Time without data from the engine, in milliseconds.
        silence_ms: u64,
    },
    /// the engine doesn't know the stream
    UnknownStream,
    /// the stream was cancelled before it started
    Cancelled,
    /// the engine has received an order with a higher fencing number
    Fenced,
    /// the engine serves other weights
    WrongWeights,
    /// the engine accepts no more work at present
    Busy,
    /// the engine refused the call with status {status}
    Refused {
        /// The HTTP status.
        status: u16,
    },
    /// the engine's answer can't be read: {message}
    Malformed {
        /// Error of the decoder.
        message: String,
    },
}

impl EngineError {
    /// Whether the engine may have executed the failed call.
    ///
    /// ```
    /// use samphirespread_engine::EngineError;
    ///
    /// assert!(!EngineError::WrongWeights.may_have_run());
    /// assert!(EngineError::Silent { silence_ms: 500 }.may_have_run());
    /// ```
    pub fn may_have_run(&self) -> bool {
        matches!(self, Self::Lost { .. } | Self::Silent { .. } | Self::Malformed { .. })
    }
}

impl std::error::Error for EngineError {}
