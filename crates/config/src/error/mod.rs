//! Errors found in documents.

use std::{error::Error, fmt};

use displaydoc::Display;

/// One error in a document.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[non_exhaustive]
pub enum ConfigError {
    /// {origin}: document {number}: {message}
    Syntax {
        /// The source of the text, such as a file name.
        origin: String,
        /// The number of the document, counted from one.
        number: usize,
        /// The parser's message.
        message: String,
    },
    /// {object}: {field} is missing; allowed is {allowed}
    Missing {
        /// The object, such as `team/desk`, or the place of a document without a name.
        object: String,
        /// The path of the field in the document.
        field: String,
        /// The allowed values.
        allowed: String,
    },
    /// {object}: there is no field {field}; allowed are {allowed}
    UnknownField {
        /// The object, such as `team/desk`, or the place of a document without a name.
        object: String,
        /// The path of the field in the document.
        field: String,
        /// The known fields.
        allowed: String,
    },
    /// {object}: {field} = {value}: allowed is {allowed}
    Invalid {
        /// The object, such as `team/desk`, or the place of a document without a name.
        object: String,
        /// The path of the field in the document.
        field: String,
        /// The value, or a placeholder if it might be a secret.
        value: String,
        /// The allowed values.
        allowed: String,
    },
    /// {object} is there more than once; allowed is one document for each object
    Repeated {
        /// The object, such as `team/desk`, or the place of a document without a name.
        object: String,
    },
}

impl Error for ConfigError {}

/// All errors found in documents or in a configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigErrors {
    errors: Vec<ConfigError>,
}

impl ConfigErrors {
    /// Iterates over the errors.
    pub fn iter(&self) -> impl Iterator<Item = &ConfigError> {
        self.errors.iter()
    }

    /// Returns `Ok` if the list is empty, otherwise an error with the whole list.
    pub(crate) fn result_from(errors: Vec<ConfigError>) -> Result<(), Self> {
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
