//! What the settings files of all daemons have in common.

use crate::error::SettingsErrors;

/// The settings of a daemon.
pub trait Settings: Sized {
    /// Parses the text of a settings file.
    ///
    /// # Errors
    ///
    /// All faults of the text, each with line, section, key and what is allowed.
    fn parse(text: &str) -> Result<Self, SettingsErrors>;

    /// A file that shows every key with its default.
    fn example() -> String;
}

/// Gives settings that are built from checked values their parser and their example.
///
/// The last argument checks what no single key shows.
macro_rules! settings_file {
    ($name:ident, $schema:ident) => {
        settings_file!($name, $schema, |_| Ok(()));
    };
    ($name:ident, $schema:ident, $check_together:expr) => {
        impl $name {
            /// Parses the text of a settings file.
            ///
            /// # Errors
            ///
            /// All faults of the text, each with line, section, key and what is allowed.
            pub fn parse(text: &str) -> Result<Self, crate::error::SettingsErrors> {
                let values = crate::check::check($schema, text)?;
                let check_together: fn(&Values) -> Result<(), crate::error::SettingsErrors> =
                    $check_together;
                check_together(&values)?;
                Ok(Self::build(&values))
            }

            /// A file that shows every key with its default.
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
