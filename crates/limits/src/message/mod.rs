//! Messages between the limiters of routers.

use std::fmt;

use samphirespread_core::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{LimitsError, amount::Amount};

/// A place that may hold a share: an instance at an address, over all its runs there.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Holder {
    /// The instance's name.
    pub name: InstanceName,
    /// Where its router takes connections of other routers.
    pub address: String,
}

impl fmt::Display for Holder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}@{}", self.name, self.address)
    }
}

/// Names a lump over all lenders and their runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LumpId {
    /// The lender's run.
    pub lender: Incarnation,
    /// Counts the lumps of that run.
    pub serial: u64,
}

/// Names a grant of a share. Terms of one object only rise.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Term(pub u64);

/// The end of a lump, told by the borrower.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settlement {
    /// The lump.
    pub id: LumpId,
    /// What was not spent and never will be.
    pub remaining: Amount,
}

/// One message of a router's limiter to another's.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerMessage {
    /// Who speaks.
    pub from: Holder,
    /// The speaker's run.
    pub incarnation: Incarnation,
    /// Whether the speaker is about to end and takes no shares.
    pub leaving: bool,
    /// What is asked or told.
    pub body: PeerRequest,
}

/// What is asked or told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Asks for a lump.
    Borrow {
        /// The team.
        team: TeamName,
        /// What is wanted.
        amount: Amount,
        /// Counts the borrower's requests, so that a doubled one is counted once.
        serial: u64,
    },
    /// Ends lumps before their lifetime is over.
    Settle {
        /// The team.
        team: TeamName,
        /// The lumps.
        lumps: Vec<Settlement>,
    },
    /// Gives back tokens of a settled lump that a request did not use.
    Refund {
        /// The team.
        team: TeamName,
        /// The lump.
        id: LumpId,
        /// Counts the refunds of the lump, so that a doubled one is counted once.
        number: u32,
        /// What was not used.
        amount: Amount,
    },
    /// Asks a witness whether it still acknowledges the asker's shares.
    Acknowledge {
        /// The asker's shares.
        shares: Vec<ShareTerm>,
    },
    /// Asks a witness to acknowledge a holder's share no more.
    Promise {
        /// The holder whose share is being revoked.
        holder: Holder,
        /// The share.
        share: ShareTerm,
    },
}

/// One share for one term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ShareTerm {
    /// The slot.
    pub slot: u32,
    /// The term.
    pub term: Term,
}

/// The answer to a [`PeerMessage`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerReply {
    /// The speaker's run.
    pub incarnation: Incarnation,
    /// Whether the speaker is about to end and takes no shares.
    pub leaving: bool,
    /// The answer.
    pub body: PeerAnswer,
}

/// The answer to a [`PeerRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerAnswer {
    /// A lump. The lender has already deducted it.
    Lent {
        /// The lump.
        id: LumpId,
        /// What it holds.
        amount: Amount,
        /// How long it may be spent, counted from before the request was sent.
        lifetime_ms: u64,
    },
    /// There is nothing to lend.
    Dry {
        /// When it may be worth asking again.
        retry_after_ms: u64,
    },
    /// The asked router holds no share of the team.
    NotHolder {
        /// Who holds shares, as far as it knows.
        holders: Vec<Holder>,
    },
    /// The shares that are acknowledged.
    Acknowledged {
        /// Those of the shares asked about.
        shares: Vec<ShareTerm>,
    },
    /// Whether the promise was given.
    Promised(bool),
    /// Taken note of.
    Done,
}

impl PeerMessage {
    /// The message as bytes.
    ///
    /// # Errors
    ///
    /// Fails when the message cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, LimitsError> {
        encode(self)
    }

    /// Reads a message.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are no message.
    pub fn decode(bytes: &[u8]) -> Result<Self, LimitsError> {
        decode(bytes)
    }
}

impl PeerReply {
    /// The reply as bytes.
    ///
    /// # Errors
    ///
    /// Fails when the reply cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, LimitsError> {
        encode(self)
    }

    /// Reads a reply.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are no reply.
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
