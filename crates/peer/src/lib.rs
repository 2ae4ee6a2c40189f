//! Datagrams between routers and the sidecars of engines.
//!
//! ```
//! use samphirespread_peer::{Datagram, Directive, decode, encode};
//! use samphirespread_core::prelude::*;
//!
//! let directive = Directive {
//!     from: InstanceName::new("router-1"),
//!     server_id: "i-1".to_owned(),
//!     load: None,
//! };
//! let bytes = encode(&Datagram::Directive(directive.clone()));
//!
//! assert_eq!(decode(&bytes).unwrap(), Datagram::Directive(directive));
//! ```
//!
//! Every datagram tells a whole state and replaces the one before it, so a lost one costs the time
//! until the next, and a connection that went silent can't hold anything up.
//!
//! # Costs
//!
//! A report of a router takes about 60 bytes and 16 for each team that it tells of, one of an engine
//! about 80.

use std::{error::Error, fmt};

use bincode::config::{Configuration, standard};
use samphirespread_core::prelude::*;
use samphirespread_routing::freshness::{Echo, Word};
use serde::{Deserialize, Serialize};

/// The largest datagram that is sent, in bytes: what fits one packet of common links.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// The format's version, which leads each datagram. Others are dropped.
const FORMAT: u8 = 3;

/// A message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// A router to another router.
    Router(RouterReport),
    /// A router to a sidecar.
    Directive(Directive),
    /// A sidecar to a router.
    Engine(EngineReport),
}

/// What a router tells the others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouterReport {
    /// The sender.
    pub from: InstanceName,
    /// The sender's run.
    pub incarnation: Incarnation,
    /// The sender's clock as it sent this.
    pub sent: MonoTime,
    /// The last report that the sender had from the receiver.
    pub echo: Option<Echo>,
    /// Whether the sender's last own read of the store succeeded.
    pub reads_store: bool,
    /// What the sender knows of the configuration; its mark is the generation.
    pub configuration: Word,
    /// What the sender knows of the backend servers; its mark is a hash of the list.
    pub servers: Word,
    /// What the sender knows of the routers; its mark is a hash of the list.
    pub routers: Word,
    /// The weights that the sender knows to have been named.
    pub weights: Vec<NamedWeights>,
    /// What the sender has admitted in this run.
    pub usage: Vec<TeamUsage>,
    /// Whether `usage` tells of all teams with a limit; else of those whose use has changed lately.
    pub usage_is_full: bool,
    /// Backend servers that said, to the sender, that they drain.
    pub departures: Vec<DepartingServer>,
    /// Whether the sender hears most sidecars and may conduct a rollout.
    pub can_conduct: bool,
}

/// A version of a model's weights that operators have named.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedWeights {
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: u64,
    /// Time since it was named, as far as the sender knows, in milliseconds.
    pub age_ms: u64,
}

/// One run of a backend server that drains.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DepartingServer {
    /// The server.
    pub server_id: String,
    /// The wall clock's milliseconds at its start, as its entry says.
    pub started_unix_ms: Option<u64>,
}

/// What a router has admitted of one team.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct TeamUsage {
    /// Hash of the team's name.
    pub team: u64,
    /// Admitted in all, less refunds.
    pub total: f64,
}

/// What a router tells a sidecar. It also asks for reports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Directive {
    /// The sender.
    pub from: InstanceName,
    /// The engine that the sender knows at the sidecar's address.
    pub server_id: String,
    /// The weights that the engine is to load now.
    pub load: Option<LoadDirective>,
}

/// Weights that an engine is to load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadDirective {
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: u64,
}

/// What a sidecar tells routers of its engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// The sender.
    pub from: InstanceName,
    /// The sender's run.
    pub incarnation: Incarnation,
    /// Rises with each report of a run.
    pub sequence: u64,
    /// The engine's state; none while it does not answer.
    pub state: Option<EngineState>,
}

/// The state of an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// The wall clock's milliseconds at the engine's start, as it says.
    pub started_unix_ms: Option<u64>,
    /// The weights it holds.
    pub models: Vec<HeldWeights>,
    /// Whether it is about to load or loads.
    pub is_loading: bool,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Memory that can't be given up, in tokens.
    pub used_tokens: u64,
    /// All of its memory, in tokens.
    pub memory_tokens: u64,
}

/// Weights that an engine holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldWeights {
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: u64,
}

/// Bytes that are no datagram of ours.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum DecodeError {
    /// Another version of the format.
    Format {
        /// The version in the datagram, if it had a byte at all.
        found: Option<u8>,
    },
    /// The bytes don't hold a message.
    Malformed(String),
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Format { found } => write!(f, "format {found:?}; expected {FORMAT}"),
            Self::Malformed(message) => write!(f, "not a message: {message}"),
        }
    }
}

impl Error for DecodeError {}

/// The bytes of a message.
///
/// # Panics
///
/// Never: all fields can be encoded.
pub fn encode(datagram: &Datagram) -> Vec<u8> {
    let mut bytes = vec![FORMAT];
    let body = bincode::serde::encode_to_vec(datagram, codec()).expect("every field encodes");
    bytes.extend(body);
    bytes
}

/// The message in a datagram.
///
/// # Errors
///
/// When the bytes are of another format or hold no message.
pub fn decode(bytes: &[u8]) -> Result<Datagram, DecodeError> {
    let Some((&FORMAT, body)) = bytes.split_first() else {
        return Err(DecodeError::Format { found: bytes.first().copied() });
    };
    bincode::serde::decode_from_slice(body, codec())
        .map(|(datagram, _)| datagram)
        .map_err(|error| DecodeError::Malformed(error.to_string()))
}

fn codec() -> Configuration {
    standard()
}
