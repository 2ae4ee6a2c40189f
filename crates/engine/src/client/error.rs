//! What can go wrong with a call to an engine.

use displaydoc::Display;

/// What can go wrong with a call to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
#[non_exhaustive]
pub enum EngineError {
    /// the engine can't be reached: {message}
    Unreachable {
        /// What the connection said.
        message: String,
    },
    /// the connection to the engine was lost: {message}
    Lost {
        /// What the connection said.
        message: String,
    },
    /// The engine said nothing for too long.
    #[displaydoc("the engine said nothing for {silence_ms} ms")]
    Silent {
        /// How long it said nothing.
        silence_ms: u64,
    },
    /// the engine doesn't know the stream
    UnknownStream,
    /// the stream was cancelled before it started
    Cancelled,
    /// the engine has seen a newer order
    Fenced,
    /// the engine serves other weights
    WrongWeights,
    /// the engine takes no more work now
    Busy,
    /// the engine refused the call with status {status}
    Refused {
        /// The HTTP status.
        status: u16,
    },
    /// the engine's answer can't be read: {message}
    Malformed {
        /// What the decoder said.
        message: String,
    },
}

impl EngineError {
    /// Whether the engine may have carried out the call although it failed.
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
