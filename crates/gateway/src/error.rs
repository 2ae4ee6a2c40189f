//! Errors of starting.

use std::{error::Error, net::SocketAddr};

use displaydoc::Display;

/// A port that can't be opened.
#[derive(Debug, Display)]
#[non_exhaustive]
pub enum BindError {
    /// {address}: {message}
    Port {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        message: String,
    },
}

impl Error for BindError {}
