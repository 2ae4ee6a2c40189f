//! Faults of documents.

use std::{error::Error, fmt};

use displaydoc::Display;

/// One fault of a document.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[non_exhaustive]
pub enum ConfigError {
    /// {origin}: document {number}: {message}
    Syntax {
        /// Where the text comes from.
        origin: String,
        /// The document, counted from one.
        number: usize,
        /// What the parser expected.
        message: String,
    },
    /// {object}: {field} is missing; allowed is {allowed}
    Missing {
        /// The object.
        object: String,
        /// The field.
        field: String,
        /// The allowed values.
        allowed: String,
    },
    /// {object}: there is no field {field}; allowed are {allowed}
    UnknownField {
        /// The object.
        object: String,
        /// The field.
        field: String,
        /// The fields that there are.
        allowed: String,
    },
    /// {object}: {field} = {value}: allowed is {allowed}
    Invalid {
        /// The object.
        object: String,
        /// The field.
        field: String,
        /// The value, or a placeholder where it might be a secret.
        value: String,
        /// The allowed values.
        allowed: String,
    },
    /// {object} is there more than once; allowed is one document for each object
    Repeated {
        /// The object.
        object: String,
    },
}

impl Error for ConfigError {}

/// Every fault that was found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigErrors {
    errors: Vec<ConfigError>,
}

impl ConfigErrors {
    /// The faults.
    pub fn iter(&self) -> impl Iterator<Item = &ConfigError> {
        self.errors.iter()
    }

    /// `Ok` when nothing was found.
    pub(crate) fn check(errors: Vec<ConfigError>) -> Result<(), Self> {
        if errors.is_empty() { Ok(()) } else { Err(Self { errors }) }
    }
}

impl fmt::Display for ConfigErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, error) in self.errors.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            error.fmt(f)?;
        }
        Ok(())
    }
}

impl Error for ConfigErrors {}
