//! Errors of the crate.

use displaydoc::Display;

/// What can go wrong outside the decisions themselves.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[non_exhaustive]
pub enum LimitsError {
    /// the message cannot be encoded
    Encode,
    /// the bytes are no message of limits
    Decode,
    /// the object is no table of shares
    Table,
    /// lump lifetime, slots and holders must be above zero
    Zero,
    /// a team has at most eight holders
    TooManyHolders,
    /// the revoke wait must be longer than the lump lifetime and than the clock margin
    RevokeWaitTooShort,
    /// the poll must come at least twice in a revoke wait
    PollTooRare,
}

impl std::error::Error for LimitsError {}
