//! The crate's error.

use displaydoc::Display;

/// What can go wrong between two processes.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[non_exhaustive]
pub enum WireError {
    /// could not connect to {address}: {message}
    Connect {
        /// The address dialled.
        address: String,
        /// The system's words.
        message: String,
    },
    /// the peer at {address} did not prove that it knows the secret
    Unproven {
        /// The peer's address.
        address: String,
    },
    /// nothing arrived for {silence_ms} ms
    Silent {
        /// The timeout that passed.
        silence_ms: u64,
    },
    /// the peer takes no more exchanges on this connection
    GoneAway,
    /// frame of {bytes} bytes is longer than the {max_bytes} allowed
    FrameTooLong {
        /// The length found.
        bytes: usize,
        /// The length allowed.
        max_bytes: usize,
    },
    /// frame {got} arrived where frame {expected} belongs
    OutOfOrder {
        /// The sequence number found.
        got: u64,
        /// The sequence number due.
        expected: u64,
    },
    /// frame can't be decoded: {message}
    Malformed {
        /// The codec's words.
        message: String,
    },
    /// the stream ended within a frame or before a reply
    Truncated,
    /// connection failed: {message}
    Http {
        /// The library's words.
        message: String,
    },
}

impl WireError {
    /// Whether it is certain that the peer did not get the request that failed to open.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect { .. } | Self::Unproven { .. } | Self::GoneAway)
    }
}

impl std::error::Error for WireError {}

impl From<h2::Error> for WireError {
    fn from(error: h2::Error) -> Self {
        Self::Http { message: error.to_string() }
    }
}
