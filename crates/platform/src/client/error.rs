//! Errors of calls to the platform.

use displaydoc::Display;

/// Error of a call to the platform.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
#[non_exhaustive]
pub enum PlatformError {
    /// the object has another version
    Conflict,
    /// the platform refused the call because of its rate limit
    RateLimited,
    /// the platform is unavailable: {message}
    Unavailable {
        /// Error of the connection or the platform.
        message: String,
    },
    /// the platform did not answer in time, or its answer was lost: {message}
    Lost {
        /// Error of the connection.
        message: String,
    },
    /// the platform refused the call with status {status}
    Refused {
        /// The HTTP status.
        status: u16,
    },
    /// the platform's answer can't be read: {message}
    Malformed {
        /// Error of the decoder.
        message: String,
    },
}

impl PlatformError {
    /// Whether the failed write may have taken effect.
    ///
    /// ```
    /// use samphirespread_platform::PlatformError;
    ///
    /// assert!(!PlatformError::Conflict.effect_unknown());
    /// assert!(PlatformError::Lost { message: "timeout".to_owned() }.effect_unknown());
    /// ```
    pub fn effect_unknown(&self) -> bool {
        matches!(self, Self::Lost { .. } | Self::Malformed { .. })
    }
}

impl std::error::Error for PlatformError {}
