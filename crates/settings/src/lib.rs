//! Checked INI process settings.
