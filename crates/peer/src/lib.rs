//! Datagrams that routers exchange with each other and with the sidecars of engines.
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
//! A sidecar sends the whole state of its engine to the relays of its failure domain. Routers send
//! each other requests for records, the freshness of their copies of the store, and the records that
//! `samphirespread-fabric` distributes. A lost datagram only delays its content until the next one.
//! There are no connections, so none can fail silently and block later messages.
//!
//! # Costs
//!
//! A [`LinkStatus`] takes about 60 bytes, and three more if the store names its eras. A router's record takes about 40 bytes, plus 17 for each
//! team that it reports, 16 for each limit of a backend server, and about 30 for each possible cause
//! of crashes with 25 for each of its crashes. An engine's record takes about 70 bytes.
//!
//! # Limits
//!
//! A router's record is never split over datagrams. With up to 70 teams it fits in
//! [`MAX_DATAGRAM_BYTES`]; a datagram with a larger record is sent in fragments.

use std::{
    error::Error,
    fmt,
    net::{IpAddr, SocketAddr},
};

use bincode::config::{Configuration, standard};
use samphirespread_core::prelude::*;
use samphirespread_fabric::{Origin, Record, RecordRequest};
use samphirespread_routing::{
    canary::{Evidence, Phase, RolloutOrder},
    crash_causes::CauseNews,
    freshness::{Echo, FreshnessReport},
    model::EngineState,
    read_parts::ReadPart,
    server_limit::{RequestRate, ServerRun},
    software::{KnownStream, SoftwareTag, StreamKey},
};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// Size in bytes up to which records are put into one datagram, so that it fits in one packet on
/// common links.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Size of a receive buffer that holds any datagram.
pub const RECEIVE_BUFFER_BYTES: usize = 64 * 1024;
/// Maximum encoded size of a record without its payload.
const MAX_RECORD_HEADER_BYTES: usize = 36;
/// Maximum encoded size of a link status and the sender's name.
const MAX_LINK_STATUS_BYTES: usize = 190;

/// Version of the format, which is the first byte of each datagram. Datagrams of other versions are
/// rejected.
const FORMAT_VERSION: u8 = 7;

/// A message in one datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Datagram {
    /// From a router to another router.
    Router(RouterPacket),
    /// From a router to a sidecar.
    Directive(Directive),
    /// From a sidecar to a router.
    Engine(EngineReport),
    /// From a router to another router or to a sidecar.
    StreamsBegun(StreamsBegun),
    /// From a router to another router or to a sidecar.
    StreamQuery(StreamQuery),
    /// From a router or a sidecar, in answer to a query.
    StreamAnswer(StreamAnswer),
}

/// Streams that have begun at the sending router, to be remembered by the receiving process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamsBegun {
    /// How long they are to be remembered, in milliseconds.
    pub lifetime_ms: u64,
    /// The streams.
    pub streams: Vec<KnownStream>,
}

/// Asks at which version of its servers' software a stream may go on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamQuery {
    /// Identifies the question at the sender.
    pub question: u64,
    /// The service of the stream.
    pub service: String,
    /// The stream.
    pub stream: StreamKey,
}

/// The answer to a [`StreamQuery`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamAnswer {
    /// Identifies the question at the router that asked.
    pub question: u64,
    /// The version; `None` if the sender does not know it.
    pub version: Option<SoftwareTag>,
}

/// A message from one router to another one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouterPacket {
    /// The sender.
    pub from: InstanceName,
    /// Data that concerns only these two routers; not every packet has it.
    pub link_status: Option<LinkStatus>,
    /// Records to be distributed to all routers.
    pub records: Vec<Record>,
}

/// Data that concerns only the sending and the receiving router and is not passed on.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LinkStatus {
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// The sender's time when it sent this status.
    pub sent: MonoTime,
    /// Identifies the last link status that the sender received from the receiver.
    pub echo: Option<Echo>,
    /// The records that the sender requests from the receiver.
    pub record_request: RecordRequest,
    /// Freshness of the sender's copy of the configuration; its mark is the generation. Equal
    /// generations of two eras of the store may be different configurations.
    pub configuration: FreshnessReport,
    /// Freshness of the sender's list of backend servers; its mark is a hash of the list.
    pub servers: FreshnessReport,
    /// Freshness of the sender's list of routers; its mark is a hash of the list.
    pub routers: FreshnessReport,
}

/// The payload of a record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Payload {
    /// A router's state, published by that router.
    Router(RouterState),
    /// An engine's state, published by its sidecar or by a router.
    Engine {
        /// Identifies the engine and the kind of publisher.
        engine: EngineKey,
        /// State of the engine; `None` while it does not answer.
        state: Option<EngineState>,
    },
}

/// Identifies an engine by the address that its publisher knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum EngineKey {
    /// The engine's sidecar publishes the state; both have this IP address.
    SidecarIp(IpAddr),
    /// The router that holds the order lease publishes the state of the engine at this address.
    EngineAddress(SocketAddr),
}

impl EngineKey {
    /// Whether the engine's sidecar publishes the state.
    pub fn is_from_sidecar(self) -> bool {
        matches!(self, Self::SidecarIp(_))
    }

    /// Returns the origin of this engine's records.
    pub fn origin(self) -> Origin {
        match self {
            Self::SidecarIp(address) => Origin::of_engine(&address.to_string()),
            Self::EngineAddress(address) => Origin::of_engine(&address.to_string()),
        }
    }
}

/// State that a router publishes to all others.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RouterState {
    /// Whether the router's own last read of the store succeeded.
    pub reads_store: bool,
    /// Whether the router receives reports of most engines and may conduct a rollout.
    pub can_conduct: bool,
    /// Whether the router holds the order lease.
    pub holds_order_lease: bool,
    /// Latest epoch of the order lease that the router knows.
    pub order_lease_epoch: Option<u64>,
    /// Versions of weights that operators have named, as far as the router knows.
    pub weights: Vec<NamedWeights>,
    /// Quota usage that the router has admitted for each team in this incarnation.
    pub usage: Vec<TeamUsage>,
    /// Whether `usage` covers all teams with a limit, not only those whose usage changed recently.
    pub usage_is_full: bool,
    /// Backend servers that reported to the router that they drain.
    pub departures: Vec<DepartingServer>,
    /// Backend servers that the router, which reads the store for all, has on its list as draining.
    pub listed_departures: Vec<DepartingServer>,
    /// Parts of prompts that engines have recently read for this router.
    pub read_parts: Vec<ReadPart>,
    /// Limits that backend servers named, or ceased to name, in answers to the router.
    pub server_limits: Vec<NamedLimit>,
}

/// What a router knows of the orders to move services to new versions of their software.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RolloutNews {
    /// Time since the read that shows all orders began, in milliseconds; `None` before the first one.
    pub read_age_ms: Option<u64>,
    /// The orders that it showed.
    pub rollouts: Vec<KnownRollout>,
}

/// What a router knows of one order, and what it has counted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct KnownRollout {
    /// The order.
    pub order: RolloutOrder,
    /// Time since the order was given, as far as the sender knows, in milliseconds.
    pub order_age_ms: u64,
    /// How far the version is released, as far as the sender knows.
    pub phase: Phase,
    /// The answers that the sender has counted.
    pub evidence: Evidence,
}

/// The content of a record.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordContent {
    /// The state of its publisher.
    pub payload: Payload,
    /// News of possible causes of crashes.
    pub crash_causes: Vec<CauseNews>,
    /// News of orders to move services to new versions; `None` if the publisher doesn't follow them.
    pub rollouts: Option<RolloutNews>,
}

/// A limit that a backend server named in an answer, or its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedLimit {
    /// The server's run.
    pub server: ServerRun,
    /// The requests per second that it takes from all routers together; `None` if it names no limit
    /// any more.
    pub rate: Option<RequestRate>,
    /// Time since the limit was known to hold or to have ended, in milliseconds.
    pub age_ms: u64,
}

/// A version of a model's weights that operators have named.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedWeights {
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: u64,
    /// Time since the version was named, as far as the sender knows, in milliseconds.
    pub age_ms: u64,
}

/// A run of a backend server that drains.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DepartingServer {
    /// ID of the server.
    pub server_id: String,
    /// Start of the run according to the server's registry entry, in Unix milliseconds.
    pub started_unix_ms: Option<u64>,
}

/// Quota usage that a router has admitted for one team.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct TeamUsage {
    /// Hash of the team's name.
    pub team: u64,
    /// Total admitted, less refunds.
    pub total: f64,
}

/// A router's instructions to a sidecar.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Directive {
    /// The sender.
    pub from: InstanceName,
    /// ID of the engine that the sender knows at the sidecar's address.
    pub server_id: String,
    /// Whether the sidecar is to send reports of the engine to the sender.
    pub wants_reports: bool,
    /// Weights that the engine is to load now.
    pub load: Option<LoadDirective>,
}

/// Weights that an engine is to load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadDirective {
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: u64,
    /// Latest epoch of the order lease; the fencing token has to be higher.
    pub epoch: u64,
}

/// State of an engine, sent by its sidecar to routers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// The sender.
    pub from: InstanceName,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Rises with each report of an incarnation.
    pub sequence: u64,
    /// State of the engine; `None` while it does not answer.
    pub state: Option<EngineState>,
}

/// Reason why bytes can't be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum DecodeError {
    /// The bytes have another version of the format.
    Format {
        /// Version in the datagram, or `None` if the datagram is empty.
        found: Option<u8>,
    },
    /// The bytes don't hold a message.
    Malformed(String),
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Format { found } => {
                write!(f, "version {found:?}; expected {FORMAT_VERSION}")
            }
            Self::Malformed(message) => write!(f, "not a message: {message}"),
        }
    }
}

impl Error for DecodeError {}

/// Encodes a message as a datagram.
///
/// # Panics
///
/// Never: all fields can be encoded.
pub fn encode(datagram: &Datagram) -> Vec<u8> {
    let mut bytes = vec![FORMAT_VERSION];
    bytes.extend(encode_payload(datagram));
    if let Datagram::Router(RouterPacket { link_status: Some(status), .. }) = datagram {
        let eras = CopyEras::of(status);
        if eras != CopyEras::default() {
            bytes.extend(encode_payload(&eras));
        }
    }
    bytes
}

/// Decodes the message in a datagram.
///
/// # Errors
///
/// Returns an error if the bytes have another format version or hold no message.
pub fn decode(bytes: &[u8]) -> Result<Datagram, DecodeError> {
    let Some((&FORMAT_VERSION, body)) = bytes.split_first() else {
        return Err(DecodeError::Format { found: bytes.first().copied() });
    };
    let (mut datagram, length) = bincode::serde::decode_from_slice(body, codec())
        .map_err(|error| DecodeError::Malformed(error.to_string()))?;
    if let Datagram::Router(RouterPacket { link_status: Some(status), .. }) = &mut datagram
        && length < body.len()
    {
        decode_payload::<CopyEras>(&body[length..])?.apply_to(status);
    }
    Ok(datagram)
}

/// The eras of the store in which the copies of a link status were confirmed.
///
/// They follow the datagram. Versions that know no eras ignore what follows it, and send nothing
/// there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
struct CopyEras {
    configuration: u64,
    servers: u64,
    routers: u64,
}

impl CopyEras {
    fn of(status: &LinkStatus) -> Self {
        let LinkStatus { configuration, servers, routers, .. } = status;
        Self { configuration: configuration.era, servers: servers.era, routers: routers.era }
    }

    fn apply_to(self, status: &mut LinkStatus) {
        status.configuration.era = self.configuration;
        status.servers.era = self.servers;
        status.routers.era = self.routers;
    }
}

/// Encodes the payload of a record.
///
/// # Panics
///
/// Never: all fields can be encoded.
pub fn encode_payload(payload: &impl Serialize) -> Vec<u8> {
    bincode::serde::encode_to_vec(payload, codec()).expect("every field encodes")
}

/// Decodes the payload of a record.
///
/// # Errors
///
/// Returns an error if the bytes don't hold a `T`.
pub fn decode_payload<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, DecodeError> {
    bincode::serde::decode_from_slice(bytes, codec())
        .map(|(payload, _)| payload)
        .map_err(|error| DecodeError::Malformed(error.to_string()))
}

/// Encodes the payload of a record, followed by news of possible causes of crashes and of roll-outs.
///
/// Versions that know no such news ignore what follows the payload.
///
/// # Panics
///
/// Never: all fields can be encoded.
pub fn encode_record(
    payload: &Payload,
    crash_causes: &[CauseNews],
    rollouts: Option<&RolloutNews>,
) -> Vec<u8> {
    let mut bytes = encode_payload(payload);
    if !crash_causes.is_empty() || rollouts.is_some() {
        bytes.extend(encode_payload(&crash_causes));
    }
    if let Some(rollouts) = rollouts {
        bytes.extend(encode_payload(rollouts));
    }
    bytes
}

/// Decodes what [`encode_record`] returns, or the payload alone.
///
/// # Errors
///
/// Returns an error if the bytes don't hold a payload, or anything but news after it.
pub fn decode_record(bytes: &[u8]) -> Result<RecordContent, DecodeError> {
    let (payload, rest) = decode_first(bytes)?;
    let (crash_causes, rest) =
        if rest.is_empty() { Default::default() } else { decode_first(rest)? };
    let rollouts = if rest.is_empty() { None } else { Some(decode_payload(rest)?) };
    Ok(RecordContent { payload, crash_causes, rollouts })
}

/// Decodes a value, and returns it with the bytes after it.
fn decode_first<T: DeserializeOwned>(bytes: &[u8]) -> Result<(T, &[u8]), DecodeError> {
    bincode::serde::decode_from_slice(bytes, codec())
        .map(|(value, length)| (value, &bytes[length..]))
        .map_err(|error| DecodeError::Malformed(error.to_string()))
}

/// Returns the datagrams that carry a link status and records to one router, or none if there is
/// neither.
pub fn router_packets(
    from: &InstanceName,
    link_status: Option<LinkStatus>,
    records: Vec<Record>,
) -> Vec<Vec<u8>> {
    let packet = |link_status: Option<LinkStatus>, records: Vec<Record>| {
        encode(&Datagram::Router(RouterPacket { from: from.clone(), link_status, records }))
    };
    let (mut packets, mut batch, mut bytes) = (Vec::new(), Vec::new(), MAX_LINK_STATUS_BYTES);
    let mut link_status = link_status;
    for record in records {
        let record_bytes = MAX_RECORD_HEADER_BYTES + record.payload.len();
        if bytes + record_bytes > MAX_DATAGRAM_BYTES && !batch.is_empty() {
            packets.push(packet(link_status.take(), std::mem::take(&mut batch)));
            bytes = MAX_LINK_STATUS_BYTES;
        }
        bytes += record_bytes;
        batch.push(record);
    }
    if link_status.is_some() || !batch.is_empty() {
        packets.push(packet(link_status, batch));
    }
    packets
}

fn codec() -> Configuration {
    standard()
}
