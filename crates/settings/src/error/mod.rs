//! Errors in a settings file.

use std::{error::Error, fmt};

use displaydoc::Display;

/// A single error in a settings file.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[non_exhaustive]
pub enum SettingsError {
    /// line {line}: {message}
    Syntax {
        /// The number of the line, counted from one.
        line: usize,
        /// What the parser expected.
        message: String,
    },
    /// line {line}: there is no section [{section}]; allowed are {allowed}
    UnknownSection {
        /// The number of the line, counted from one.
        line: usize,
        /// The name of the section.
        section: String,
        /// The sections that the file may have.
        allowed: String,
    },
    /// line {line}: [{section}] has no key {key}; allowed are {allowed}
    UnknownKey {
        /// The number of the line, counted from one.
        line: usize,
        /// The name of the section.
        section: String,
        /// The name of the key.
        key: String,
        /// The keys that the section may have.
        allowed: String,
    },
    /// line {line}: [{section}] {key} was set before on line {first}; allowed is one value
    Repeated {
        /// The number of the line, counted from one.
        line: usize,
        /// The number of the line that set the key first.
        first: usize,
        /// The name of the section.
        section: String,
        /// The name of the key.
        key: String,
    },
    /// [{section}] {key} is missing; allowed is {allowed}
    Missing {
        /// The name of the section.
        section: String,
        /// The name of the key.
        key: String,
        /// The allowed values.
        allowed: String,
    },
    /// line {line}: [{section}] {key} = {value}: allowed is {allowed}
    Invalid {
        /// The number of the line, counted from one.
        line: usize,
        /// The name of the section.
        section: String,
        /// The name of the key.
        key: String,
        /// The value, or a placeholder in place of a secret.
        value: String,
        /// The allowed values.
        allowed: String,
    },
    /// [{section}] {key} = {value}: allowed is {allowed}
    Conflict {
        /// The name of the section.
        section: String,
        /// The name of the key.
        key: String,
        /// The value.
        value: String,
        /// The values that another key leaves allowed.
        allowed: String,
    },
}

/// All errors in a settings file, in the order of its lines. Errors without a line come last.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsErrors {
    errors: Vec<SettingsError>,
}

impl SettingsErrors {
    pub(crate) fn new(errors: Vec<SettingsError>) -> Self {
        assert!(!errors.is_empty(), "an error needs a fault");
        Self { errors }
    }

    /// Returns the errors.
    pub fn iter(&self) -> impl Iterator<Item = &SettingsError> {
        self.errors.iter()
    }
}

impl fmt::Display for SettingsErrors {
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

impl Error for SettingsError {}

impl Error for SettingsErrors {}
