//! The error type of this crate.

use displaydoc::Display;

/// An error of a connection between two processes, or of the frames on it.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[non_exhaustive]
pub enum WireError {
    /// could not connect to {address}: {message}
    Connect {
        /// The peer's address.
        address: String,
        /// The reason, such as the text of the operating system's error.
        message: String,
    },
    /// the peer at {address} has not proved that it knows the secret, or has rejected our proof
    Unproven {
        /// The peer's address.
        address: String,
    },
    /// received nothing from the peer for {silence_ms} ms
    Silent {
        /// The silence timeout.
        silence_ms: u64,
    },
    /// the peer accepts no new exchanges on this connection
    GoneAway,
    /// frame of {bytes} bytes is longer than the {max_bytes} allowed
    FrameTooLong {
        /// The actual length.
        bytes: usize,
        /// The maximum length.
        max_bytes: usize,
    },
    /// received frame {got} but expected frame {expected}
    OutOfOrder {
        /// The sequence number received.
        got: u64,
        /// The sequence number expected.
        expected: u64,
    },
    /// frame can't be decoded: {message}
    Malformed {
        /// The reason.
        message: String,
    },
    /// the stream ended within a frame or before a reply
    Truncated,
    /// connection failed: {message}
    Http {
        /// The reason, such as the text of the HTTP library's error.
        message: String,
    },
}

impl WireError {
    /// Returns true if the peer certainly did not receive the request whose sending failed.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect { .. } | Self::Unproven { .. } | Self::GoneAway)
    }
}

impl std::error::Error for WireError {}

impl From<h2::Error> for WireError {
    fn from(error: h2::Error) -> Self {
        let is_turned_away = error.reason() == Some(h2::Reason::NO_ERROR) && error.is_go_away();
        if is_turned_away && error.is_remote() {
            // The peer names the last exchange that it takes, and this is a later one.
            return Self::GoneAway;
        }
        Self::Http { message: error.to_string() }
    }
}
