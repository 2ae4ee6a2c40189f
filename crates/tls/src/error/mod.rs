//! The errors of loading a certificate.

use displaydoc::Display;

/// Why a certificate can't be used.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[non_exhaustive]
pub enum TlsError {
    /// {file}: {message}
    Read {
        /// The file.
        file: String,
        /// The message of the operating system.
        message: String,
    },
    /// {file}: no certificate in PEM form: {message}
    Certificate {
        /// The file.
        file: String,
        /// The message of the parser.
        message: String,
    },
    /// {file}: no private key in PEM form: {message}
    Key {
        /// The file.
        file: String,
        /// The message of the parser.
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
