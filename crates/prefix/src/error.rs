//! The errors of this crate.

use displaydoc::Display;

/// An invalid setting of a type of this crate.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[non_exhaustive]
pub enum PrefixError {
    /// a cache block must hold at least one byte
    EmptyBlock,
}

impl std::error::Error for PrefixError {}
