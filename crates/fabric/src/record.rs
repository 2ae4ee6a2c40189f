//! What a process publishes of itself.

use samphirespread_core::prelude::*;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Keeps the origins of routers and of engines apart.
const ROUTER_SEED: u64 = 1;
const ENGINE_SEED: u64 = 2;

/// Who published a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Origin(u64);

impl Origin {
    /// A router, by its name.
    pub fn of_router(name: &InstanceName) -> Self {
        Self(xxh3_64_with_seed(name.as_str().as_bytes(), ROUTER_SEED))
    }

    /// The process that tells of the engine at an address.
    pub fn of_engine(address: &str) -> Self {
        Self(xxh3_64_with_seed(address.as_bytes(), ENGINE_SEED))
    }
}

/// What a process told of itself last, on its way.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Who published it.
    pub origin: Origin,
    /// The publisher's run.
    pub incarnation: Incarnation,
    /// Rises with each record of a run.
    pub sequence: u64,
    /// Time since it was published, in milliseconds.
    pub age_ms: u64,
    /// Whether the sender has it from its own failure domain.
    pub is_near: bool,
    /// The publisher's words.
    pub payload: Vec<u8>,
}
