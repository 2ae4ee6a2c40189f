//! The errors that end an agent.

use std::{error, io, net::SocketAddr};

use displaydoc::Display;

/// An error that prevents an agent from running or from stopping cleanly.
#[derive(Debug, Display)]
#[non_exhaustive]
pub enum AgentError {
    /// can't listen on {address}: {source}
    Listen {
        /// The address from the settings.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// the administration port failed: {0}
    Admin(io::Error),
    /// requests were still running at the drain timeout of {timeout_ms} ms
    DrainTimeout {
        /// The timeout from the settings.
        timeout_ms: u64,
    },
}

impl error::Error for AgentError {}
