//! The trait that the settings of all daemons implement, and a macro that implements it.

use crate::error::SettingsErrors;

/// Settings of a daemon, which can be parsed from a settings file.
pub trait Settings: Sized {
    /// Parses the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns all errors in the text, each with its line, section, key and allowed values.
    fn parse(text: &str) -> Result<Self, SettingsErrors>;

    /// Returns a settings file that shows every key with its default.
    fn example() -> String;
}

/// Implements `parse`, `example` and [`Settings`](crate::Settings) for a settings type.
///
/// The type must have a function `build` that takes the checked values. The optional last
/// argument is a function that checks the rules that involve more than one key.
macro_rules! settings_file {
    ($name:ident, $schema:ident) => {
        settings_file!($name, $schema, |_| Ok(()));
    };
    ($name:ident, $schema:ident, $check_conflicts:expr) => {
        impl $name {
            /// Parses the text of a settings file.
            ///
            /// # Errors
            ///
            /// Returns all errors in the text, each with its line, section, key and allowed values.
            pub fn parse(text: &str) -> Result<Self, crate::error::SettingsErrors> {
                let values = crate::check::check($schema, text)?;
                let check_conflicts: fn(&Values) -> Result<(), crate::error::SettingsErrors> =
                    $check_conflicts;
                check_conflicts(&values)?;
                Ok(Self::build(&values))
            }

            /// Returns a settings file that shows every key with its default.
            pub fn example() -> String {
                crate::example::example($schema)
            }
        }

        impl crate::Settings for $name {
            fn parse(text: &str) -> Result<Self, crate::error::SettingsErrors> {
                Self::parse(text)
            }

            fn example() -> String {
                Self::example()
            }
        }
    };
}

pub(crate) use settings_file;
