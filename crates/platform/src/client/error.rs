//! What can go wrong with a call to the platform.

use displaydoc::Display;

/// What can go wrong with a call to the platform.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
#[non_exhaustive]
pub enum PlatformError {
    /// the object has another version
    Conflict,
    /// the platform's rate is used up
    RateLimited,
    /// the platform is out of service: {message}
    Unavailable {
        /// What the connection or the platform said.
        message: String,
    },
    /// the platform did not answer in time, or its answer was lost: {message}
    Lost {
        /// What the connection said.
        message: String,
    },
    /// the platform refused the call with status {status}
    Refused {
        /// The HTTP status.
        status: u16,
    },
    /// the platform's answer can't be read: {message}
    Malformed {
        /// What the decoder said.
        message: String,
    },
}

impl PlatformError {
    /// Whether a write may have taken effect although it failed.
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
