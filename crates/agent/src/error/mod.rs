//! What can go wrong with an agent as a whole.

use std::{error, io, net::SocketAddr};

use displaydoc::Display;

/// Why an agent could not run.
#[derive(Debug, Display)]
#[non_exhaustive]
pub enum AgentError {
    /// can't listen on {address}: {source}
    Listen {
        /// The address from the settings.
        address: SocketAddr,
        /// The system's words.
        source: io::Error,
    },
    /// the administration port failed: {0}
    Admin(io::Error),
    /// requests still ran when the drain timeout of {timeout_ms} ms passed
    DrainTimeout {
        /// The timeout from the settings.
        timeout_ms: u64,
    },
}

impl error::Error for AgentError {}
