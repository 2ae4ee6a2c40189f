//! Messages between the limiters of different routers.

use std::fmt;

use samphirespread_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{LimitsError, amount::Amount};

/// A router that may hold shares: an instance at an address, across all its runs there.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Holder {
    /// The instance's name.
    pub name: InstanceName,
    /// The address where it accepts connections from other routers.
    pub address: String,
}

impl fmt::Display for Holder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.name, self.address)
    }
}

/// Identifies a lump among all lenders and their runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LumpId {
    /// The incarnation of the lender.
    pub lender: Incarnation,
    /// The number of the lump within that run.
    pub serial: u64,
}

/// Identifies a grant of a share. The terms in one object only increase.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Term(pub u64);

/// A borrower's report that it will spend no more of a lump.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settlement {
    /// The lump.
    pub id: LumpId,
    /// The tokens that were not spent and never will be.
    pub remaining: Amount,
}

/// A message from one router's limiter to another's.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerMessage {
    /// The sender.
    pub from: Holder,
    /// The incarnation of the sender.
    pub incarnation: Incarnation,
    /// Whether the sender is shutting down and takes no more shares.
    pub leaving: bool,
    /// The request or notification.
    pub body: PeerRequest,
}

/// A request to, or notification of, another router's limiter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Asks to borrow a lump.
    Borrow {
        /// The team.
        team: TeamName,
        /// The amount to borrow.
        amount: Amount,
        /// The number of the borrower's request, so that a duplicate is recognized.
        serial: u64,
    },
    /// Returns lumps before their lifetime is over.
    Settle {
        /// The team.
        team: TeamName,
        /// The lumps, with their unspent tokens.
        lumps: Vec<Settlement>,
    },
    /// Gives back tokens of a settled lump that a request did not use.
    Refund {
        /// The team.
        team: TeamName,
        /// The lump.
        id: LumpId,
        /// The number of the refund, so that a duplicate is recognized.
        number: u32,
        /// The tokens that were not used.
        amount: Amount,
    },
    /// Asks a witness whether it still acknowledges the asker's shares.
    Acknowledge {
        /// The asker's shares.
        shares: Vec<ShareTerm>,
    },
    /// Asks a witness to promise not to acknowledge a holder's share any more.
    Promise {
        /// The holder whose share is being revoked.
        holder: Holder,
        /// The share.
        share: ShareTerm,
    },
}

/// Identifies a share by its slot and term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ShareTerm {
    /// The slot.
    pub slot: u32,
    /// The term.
    pub term: Term,
}

/// The reply to a [`PeerMessage`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerReply {
    /// The incarnation of the replying router.
    pub incarnation: Incarnation,
    /// Whether the replying router is shutting down and takes no more shares.
    pub leaving: bool,
    /// The answer.
    pub body: PeerAnswer,
}

/// The answer to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerAnswer {
    /// A lump is lent. The lender has already deducted it.
    Lent {
        /// The lump.
        id: LumpId,
        /// The tokens that it holds.
        amount: Amount,
        /// How long the lump can be spent, counted from when the request was sent.
        lifetime_ms: u64,
    },
    /// The lender has nothing to lend now.
    NothingToLend {
        /// The time after which the borrower may ask again.
        retry_after_ms: u64,
    },
    /// The asked router holds no share of the team.
    NotHolder {
        /// The holders of shares that it knows of.
        holders: Vec<Holder>,
    },
    /// The answer to [`PeerRequest::Acknowledge`].
    Acknowledged {
        /// Those of the given shares that are acknowledged.
        shares: Vec<ShareTerm>,
    },
    /// Whether the promise was given.
    Promised(bool),
    /// The notification was processed.
    Done,
}

impl PeerMessage {
    /// Encodes the message.
    ///
    /// # Errors
    ///
    /// Fails if the message cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, LimitsError> {
        encode(self)
    }

    /// Decodes a message.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a valid message.
    pub fn decode(bytes: &[u8]) -> Result<Self, LimitsError> {
        decode(bytes)
    }
}

impl PeerReply {
    /// Encodes the reply.
    ///
    /// # Errors
    ///
    /// Fails if the reply cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, LimitsError> {
        encode(self)
    }

    /// Decodes a reply.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a valid reply.
    pub fn decode(bytes: &[u8]) -> Result<Self, LimitsError> {
        decode(bytes)
    }
}

fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, LimitsError> {
    bincode::serde::encode_to_vec(value, bincode::config::standard())
        .map_err(|_| LimitsError::Encode)
}

fn decode<T: for<'de> Deserialize<'de>>(bytes: &[u8]) -> Result<T, LimitsError> {
    let (value, used) = bincode::serde::decode_from_slice(bytes, bincode::config::standard())
        .map_err(|_| LimitsError::Decode)?;
    if used != bytes.len() {
        return Err(LimitsError::Decode);
    }
    Ok(value)
}
