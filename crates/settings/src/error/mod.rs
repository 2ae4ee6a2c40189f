//! Faults of a settings file.

use std::{error::Error, fmt};

use displaydoc::Display;

/// One fault of a settings file.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[non_exhaustive]
pub enum SettingsError {
    /// line {line}: {message}
    Syntax {
        /// The line, counted from one.
        line: usize,
        /// What the parser expected.
        message: String,
    },
    /// line {line}: there is no section [{section}]; allowed are {allowed}
    UnknownSection {
        /// The line, counted from one.
        line: usize,
        /// The section.
        section: String,
        /// The sections that there are.
        allowed: String,
    },
    /// line {line}: [{section}] has no key {key}; allowed are {allowed}
    UnknownKey {
        /// The line, counted from one.
        line: usize,
        /// The section.
        section: String,
        /// The key.
        key: String,
        /// The keys that there are.
        allowed: String,
    },
    /// line {line}: [{section}] {key} was set before on line {first}; allowed is one value
    Repeated {
        /// The line, counted from one.
        line: usize,
        /// The line that set the key first.
        first: usize,
        /// The section.
        section: String,
        /// The key.
        key: String,
    },
    /// [{section}] {key} is missing; allowed is {allowed}
    Missing {
        /// The section.
        section: String,
        /// The key.
        key: String,
        /// The allowed values.
        allowed: String,
    },
    /// line {line}: [{section}] {key} = {value}: allowed is {allowed}
    Invalid {
        /// The line, counted from one.
        line: usize,
        /// The section.
        section: String,
        /// The key.
        key: String,
        /// The value, or a placeholder in place of a secret.
        value: String,
        /// The allowed values.
        allowed: String,
    },
    /// [{section}] {key} = {value}: allowed is {allowed}
    Conflict {
        /// The section.
        section: String,
        /// The key.
        key: String,
        /// The value.
        value: String,
        /// What another key demands of it.
        allowed: String,
    },
}

/// Every fault of a settings file, in the order of its lines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsErrors {
    errors: Vec<SettingsError>,
}

impl SettingsErrors {
    pub(crate) fn new(errors: Vec<SettingsError>) -> Self {
        assert!(!errors.is_empty(), "an error needs a fault");
        Self { errors }
    }

    /// The faults.
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
