//! Records, in which processes publish their state.

use samphirespread_core::prelude::*;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The hash seeds differ so that a router and an engine never share an origin by having the same
/// text.
const ROUTER_SEED: u64 = 1;
const ENGINE_SEED: u64 = 2;

/// Identifies the publisher of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Origin(u64);

impl Origin {
    /// Returns the origin of a router by its name.
    pub fn of_router(name: &InstanceName) -> Self {
        Self(xxh3_64_with_seed(name.as_str().as_bytes(), ROUTER_SEED))
    }

    /// Returns the origin of the process that reports the state of the engine at an address.
    pub fn of_engine(address: &str) -> Self {
        Self(xxh3_64_with_seed(address.as_bytes(), ENGINE_SEED))
    }
}

/// A process's latest published state, as sent between routers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Identifies the publisher.
    pub origin: Origin,
    /// Incarnation of the publisher.
    pub incarnation: Incarnation,
    /// Rises with each record of an incarnation.
    pub sequence: u64,
    /// Time since publication, in milliseconds.
    pub age_ms: u64,
    /// Whether the sender received the record from its own failure domain.
    pub is_from_sender_domain: bool,
    /// Data from the publisher, which this crate doesn't interpret.
    pub payload: Vec<u8>,
}
