//! The error type of this crate.

use displaydoc::Display;

/// Why a router could not start or run.
#[derive(Debug, Display)]
#[non_exhaustive]
pub enum RouterError {
    /// can't listen on {address} for {purpose}: {message}
    Listen {
        /// The address in the settings.
        address: std::net::SocketAddr,
        /// Who connects to the port.
        purpose: &'static str,
        /// The error message of the operating system.
        message: String,
    },
    /// the certificate for callers can't be used: {0}
    Tls(samphirespread_tls::TlsError),
}

impl std::error::Error for RouterError {}
