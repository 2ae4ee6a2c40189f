//! Why a certificate can't be used.

use displaydoc::Display;

/// Why a certificate can't be used.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[non_exhaustive]
pub enum TlsError {
    /// {file}: {message}
    Read {
        /// The file.
        file: String,
        /// What the operating system said.
        message: String,
    },
    /// {file}: no certificate in PEM form: {message}
    Certificate {
        /// The file.
        file: String,
        /// What the parser said.
        message: String,
    },
    /// {file}: no private key in PEM form: {message}
    Key {
        /// The file.
        file: String,
        /// What the parser said.
        message: String,
    },
    /// {key} is not the key of the first certificate in {certificate}
    Mismatch {
        /// The file with the certificate.
        certificate: String,
        /// The file with the key.
        key: String,
    },
}

impl std::error::Error for TlsError {}
