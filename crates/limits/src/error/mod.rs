//! The error type of the crate.

use displaydoc::Display;

/// An error in encoding, decoding or configuration.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[non_exhaustive]
pub enum LimitsError {
    /// the message cannot be encoded
    Encode,
    /// the bytes are not a message between limiters
    Decode,
    /// the object is not a valid table of shares
    Table,
    /// the lump lifetime, the slots and the maximum number of holders must be above zero
    Zero,
    /// the maximum number of holders must be at most eight
    TooManyHolders,
    /// the revoke wait must be longer than the lump lifetime and the clock margin
    RevokeWaitTooShort,
    /// the poll period must be at most half of the revoke wait
    PollTooRare,
}

impl std::error::Error for LimitsError {}
