//! Datagrams between routers and the sidecars of engines.
//!
//! ```
//! use samphirespread_peer::{Datagram, Directive, decode, encode};
//! use samphirespread_core::prelude::*;
//!
//! let directive = Directive {
//!     from: InstanceName::new("router-1"),
//!     server_id: "i-1".to_owned(),
//!     wants_reports: true,
//!     load: None,
//! };
//! let bytes = encode(&Datagram::Directive(directive.clone()));
//!
//! assert_eq!(decode(&bytes).unwrap(), Datagram::Directive(directive));
//! ```
//!
//! A sidecar tells the relays of its failure domain the whole state of its engine; routers tell each other
//! what they want, how current their copies are, and the records that `samphirespread-fabric` spreads. A
//! lost datagram costs the time until the next, and a connection that went silent can't hold anything up.
//!
//! # Costs
//!
//! A hop between two routers takes about 60 bytes; a record of a router about 40 and 17 for each team that
//! it tells of, one of an engine about 70.
//!
//! # Limits
//!
//! A router's record is one datagram's worth: it tells of up to 70 teams at a time in
//! [`MAX_DATAGRAM_BYTES`], and is sent in fragments beyond.

use std::{
    error::Error,
    fmt,
    net::{IpAddr, SocketAddr},
};

use bincode::config::{Configuration, standard};
use samphirespread_core::prelude::*;
use samphirespread_fabric::{Origin, Record, RecordRequest};
use samphirespread_routing::{
    freshness::{Echo, FreshnessReport},
    model::EngineState,
    read_parts::ReadPart,
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// Records fill a datagram up to this size, in bytes: what fits one packet of common links.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// A buffer that holds any datagram.
pub const RECEIVE_BUFFER_BYTES: usize = 64 * 1024;
/// What a record takes beside its payload, at the most.
const RECORD_HEAD_BYTES: usize = 36;
/// What a hop and the sender's name take, at the most.
const HOP_BYTES: usize = 160;

/// The format's version, which leads each datagram. Others are dropped.
const FORMAT: u8 = 5;

/// A message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// A router to another router.
    Router(RouterPacket),
    /// A router to a sidecar.
    Directive(Directive),
    /// A sidecar to a router.
    Engine(EngineReport),
}

/// What a router sends to another one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouterPacket {
    /// The sender.
    pub from: InstanceName,
    /// What concerns these two routers only; not in every packet.
    pub hop: Option<Hop>,
    /// What is spread to all.
    pub records: Vec<Record>,
}

/// What concerns two routers only.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Hop {
    /// The sender's run.
    pub incarnation: Incarnation,
    /// The sender's clock as it sent this.
    pub sent: MonoTime,
    /// The last hop that the sender had from the receiver.
    pub echo: Option<Echo>,
    /// What the sender wants of the receiver.
    pub asks: RecordRequest,
    /// What the sender knows of the configuration; its mark is the generation.
    pub configuration: FreshnessReport,
    /// What the sender knows of the backend servers; its mark is a hash of the list.
    pub servers: FreshnessReport,
    /// What the sender knows of the routers; its mark is a hash of the list.
    pub routers: FreshnessReport,
}

/// The payload of a record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Published {
    /// A router tells of itself.
    Router(RouterState),
    /// A process tells of an engine.
    Engine {
        /// Which engine, and who tells.
        engine: EngineKey,
        /// The engine's state; none while it does not answer.
        state: Option<EngineState>,
    },
}

/// An engine, as the process that tells of it knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EngineKey {
    /// The process beside it tells, at the same IP address.
    Beside(IpAddr),
    /// The router that holds the lease on orders tells of the engine that answers there.
    At(SocketAddr),
}

impl EngineKey {
    /// Whether the process beside the engine tells.
    pub fn is_of_sidecar(self) -> bool {
        matches!(self, Self::Beside(_))
    }

    /// The publisher of records of this engine.
    pub fn origin(self) -> Origin {
        match self {
            Self::Beside(address) => Origin::of_engine(&address.to_string()),
            Self::At(address) => Origin::of_engine(&address.to_string()),
        }
    }
}

/// What a router tells all others.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RouterState {
    /// Whether its last own read of the store succeeded.
    pub reads_store: bool,
    /// Whether it hears of most engines and may conduct a rollout.
    pub can_conduct: bool,
    /// Whether it holds the lease on orders.
    pub holds_orders: bool,
    /// The latest epoch of that lease that it knows of.
    pub orders_epoch: Option<u64>,
    /// The weights that it knows to have been named.
    pub weights: Vec<NamedWeights>,
    /// What it has admitted in this run.
    pub usage: Vec<TeamUsage>,
    /// Whether `usage` tells of all teams with a limit; else of those whose use has changed lately.
    pub usage_is_full: bool,
    /// Backend servers that told it that they drain.
    pub departures: Vec<DepartingServer>,
    /// Parts of prompts that engines have read for it lately.
    pub read_parts: Vec<ReadPart>,
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

/// What a router tells a sidecar.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Directive {
    /// The sender.
    pub from: InstanceName,
    /// The engine that the sender knows at the sidecar's address.
    pub server_id: String,
    /// Whether the sender wants to hear of the engine.
    pub wants_reports: bool,
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
    /// The latest epoch of the lease on orders, which the fencing token has to be above.
    pub epoch: u64,
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
    bytes.extend(encode_payload(datagram));
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
    decode_payload(body)
}

/// The bytes of what a record tells.
///
/// # Panics
///
/// Never: all fields can be encoded.
pub fn encode_payload(payload: &impl Serialize) -> Vec<u8> {
    bincode::serde::encode_to_vec(payload, codec()).expect("every field encodes")
}

/// What a record tells.
///
/// # Errors
///
/// When the bytes don't hold it.
pub fn decode_payload<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    bincode::serde::decode_from_slice(bytes, codec())
        .map(|(payload, _)| payload)
        .map_err(|error| DecodeError::Malformed(error.to_string()))
}

/// The datagrams that carry a hop and records to one router, none where there is neither.
pub fn router_packets(from: &InstanceName, hop: Option<Hop>, records: Vec<Record>) -> Vec<Vec<u8>> {
    let packet = |hop: Option<Hop>, records: Vec<Record>| {
        encode(&Datagram::Router(RouterPacket { from: from.clone(), hop, records }))
    };
    let (mut packets, mut batch, mut bytes) = (Vec::new(), Vec::new(), HOP_BYTES);
    let mut hop = hop;
    for record in records {
        let record_bytes = RECORD_HEAD_BYTES + record.payload.len();
        if bytes + record_bytes > MAX_DATAGRAM_BYTES && !batch.is_empty() {
            packets.push(packet(hop.take(), std::mem::take(&mut batch)));
            bytes = HOP_BYTES;
        }
        bytes += record_bytes;
        batch.push(record);
    }
    if hop.is_some() || !batch.is_empty() {
        packets.push(packet(hop, batch));
    }
    packets
}

fn codec() -> Configuration {
    standard()
}
