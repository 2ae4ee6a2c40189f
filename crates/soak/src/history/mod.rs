//! What callers, backend servers and operators saw of a run.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt,
};

pub use samphirespread_standin::published::RunEnd;

/// Milliseconds since the run began.
pub type RunMs = u64;

/// Everything that the checker looks at.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Whether gateways used admission control.
    pub uses_admission: bool,
    /// Requests as callers saw them.
    pub requests: Vec<Request>,
    /// Requests as backend servers ran them.
    pub runs: Vec<Run>,
    /// Orders as engines got them, in the order of each engine.
    pub orders: Vec<Order>,
    /// What operators and servers had acknowledged by the store.
    pub changes: Vec<Change>,
    /// What was done to processes, connections and the store.
    pub disturbances: Vec<Disturbance>,
    /// What operators planned.
    pub planned: Vec<Work>,
    /// Requests that reached a backend server, whether it ran them or not.
    pub passed_on: BTreeSet<String>,
    /// The same, each time that one did.
    pub arrivals: Vec<Arrival>,
    /// The version of each engine's weights at the end.
    pub versions_at_end: BTreeMap<String, u64>,
    /// The most memory that each gateway had, in bytes.
    pub peak_memory_bytes: BTreeMap<String, u64>,
    /// Services that were moved to new versions of their software.
    pub rollouts: Vec<ServiceRollout>,
    /// When the last disturbance was over.
    pub calm_from_ms: RunMs,
}

/// A service that an operator ordered to move to a new version of its software.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServiceRollout {
    /// When the order was given.
    pub ordered_ms: RunMs,
    /// When its time is over.
    pub deadline_ms: RunMs,
    /// What is wrong with the version, if something is.
    pub fault: Option<VersionFault>,
    /// The servers of the version before.
    pub baseline: Vec<String>,
    /// The servers of the new version.
    pub new: Vec<String>,
    /// The states of the order in the store, and when each was first seen.
    pub states: Vec<(RunMs, RolloutState)>,
    /// When the servers of the version before stopped, as the order was complete.
    pub stopped_ms: Option<RunMs>,
    /// When servers of the new version gave bad answers, in order.
    pub bad_answers_ms: Vec<RunMs>,
}

/// What is wrong with a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionFault {
    /// Its servers fail requests.
    Fails,
    /// Its servers are slow.
    Slow,
}

/// The state of an order in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RolloutState {
    /// There is no verdict yet.
    Running,
    /// The service has the version.
    Completed,
    /// The version was withdrawn.
    RolledBack,
}

impl RolloutState {
    /// Returns the state with this name in the store.
    pub fn from_name(name: &str) -> Option<Self> {
        match name {
            "running" => Some(Self::Running),
            "completed" => Some(Self::Completed),
            "rolled_back" => Some(Self::RolledBack),
            _ => None,
        }
    }
}

/// A route of the soak's configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Route {
    /// A plain call that may be repeated.
    Lookup,
    /// A plain call that may run once.
    Issue,
    /// A stream that may not be resumed.
    Stream,
    /// A stream that may be resumed.
    Resumable,
}

impl Route {
    /// All routes.
    pub const ALL: [Self; 4] = [Self::Lookup, Self::Issue, Self::Stream, Self::Resumable];

    /// Whether a request may run more than once.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Lookup | Self::Resumable)
    }

    /// Whether engines answer it.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::Resumable)
    }

    /// Servers on which a request may run.
    pub fn max_runs(self) -> usize {
        if self == Self::Stream { 1 } else { 2 }
    }

    /// The first part of its path.
    pub fn path(self) -> &'static str {
        match self {
            Self::Lookup => "lookup",
            Self::Issue => "issue",
            Self::Stream => "stream",
            Self::Resumable => "resumable",
        }
    }
}

/// Whose key a request carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Caller {
    /// A team without a limit, whose key holds all the time.
    Steady,
    /// A team with a limit, which asks for more.
    Limited,
    /// A team whose key is withdrawn and given back; its cache is its own.
    Changing,
    /// A key that no configuration ever held.
    Unknown,
}

impl Caller {
    /// The key.
    pub fn key(self) -> &'static str {
        match self {
            Self::Steady => "key-of-the-steady",
            Self::Limited => "key-of-the-limited",
            Self::Changing => "key-of-the-changing",
            Self::Unknown => "key-of-nobody",
        }
    }

    /// The team's name in the configuration.
    pub fn team(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Limited => "limited",
            Self::Changing => "changing",
            Self::Unknown => "",
        }
    }
}

/// A request as its caller saw it.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its id, which no other request has.
    pub id: String,
    /// Its route.
    pub route: Route,
    /// Who asked.
    pub caller: Caller,
    /// The gateway that was asked.
    pub gateway: usize,
    /// Whether its connection had carried a request before.
    pub is_kept: bool,
    /// How many events its stream has.
    pub events: u64,
    /// Bytes that each event has besides.
    pub padding_bytes: usize,
    /// When it was sent.
    pub sent_ms: RunMs,
    /// When the last byte of it was sent, if all were.
    pub whole_sent_ms: Option<RunMs>,
    /// When its answer ended.
    pub ended_ms: RunMs,
    /// The stream that it takes up, if it does.
    pub takes_up: Option<TakenUp>,
    /// What came of it.
    pub outcome: Outcome,
}

impl Request {
    /// The id of the request that began its stream.
    pub fn first_id(&self) -> &str {
        self.takes_up.as_ref().map_or(&self.id, |taken_up| &taken_up.first)
    }
}

/// A stream that broke off and that its caller takes up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TakenUp {
    /// The request that brought its first event.
    pub first: String,
    /// The last event that its caller has.
    pub after: u64,
}

/// What a caller got.
#[derive(Clone, PartialEq, Eq)]
pub enum Outcome {
    /// A whole answer.
    Whole {
        /// The body.
        body: String,
    },
    /// An answer whose body ended early.
    Cut {
        /// What came of the body.
        body: String,
    },
    /// The word that it has not run.
    NotRun {
        /// The status.
        status: u16,
        /// Whether it was told when to come back.
        has_retry_after: bool,
    },
    /// The word that it may have run.
    Unknown {
        /// The status.
        status: u16,
    },
    /// The word that it is wrong.
    Denied {
        /// The status.
        status: u16,
    },
    /// The connection ended without an answer.
    NoAnswer,
    /// Nothing came for longer than the caller waits.
    Silent,
}

/// Without the text of a body that is long.
impl fmt::Debug for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        /// Bodies that are told whole.
        const SHORT_BYTES: usize = 100;
        let body = |f: &mut fmt::Formatter<'_>, name: &str, body: &str| {
            if body.len() <= SHORT_BYTES {
                return write!(f, "{name} {body:?}");
            }
            write!(f, "{name} body of {} bytes", body.len())
        };
        match self {
            Self::Whole { body: text } => body(f, "whole", text),
            Self::Cut { body: text } => body(f, "cut", text),
            Self::NotRun { status, has_retry_after } => {
                write!(f, "not run, {status}, told when to come back: {has_retry_after}")
            }
            Self::Unknown { status } => write!(f, "may have run, {status}"),
            Self::Denied { status } => write!(f, "denied, {status}"),
            Self::NoAnswer => f.write_str("no answer"),
            Self::Silent => f.write_str("silent"),
        }
    }
}

/// A request as a backend server ran it.
#[derive(Clone, Debug)]
pub struct Run {
    /// The request's id.
    pub request: String,
    /// The server.
    pub server: String,
    /// Whether the server is an engine.
    pub by_engine: bool,
    /// When it came.
    pub at_ms: RunMs,
    /// When an engine made its first event, if it did.
    pub began_ms: Option<RunMs>,
    /// When the server's work on it ended, and how.
    pub ended: Option<(RunMs, RunEnd)>,
    /// Whether it goes on from the memory of a run that was stopped, and so is the same run.
    pub continues: bool,
    /// The last event before it, 0 for a run from the beginning.
    pub after_event: u64,
    /// The version of the server's software.
    pub software: String,
    /// The team that the server was told.
    pub team: String,
    /// What separates its cache entries from others.
    pub salt: String,
    /// The version of the weights that it ran on, 0 at plain servers.
    pub version: u64,
    /// Whether path and body are what the caller sent, and no key came with it.
    pub is_untouched: bool,
}

/// A request that reached a backend server, whether it ran it or not.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// The request's id.
    pub request: String,
    /// The service of the server.
    pub service: &'static str,
    /// When it came.
    pub at_ms: RunMs,
}

/// An order as an engine got it.
#[derive(Clone, Debug)]
pub struct Order {
    /// The engine.
    pub engine: String,
    /// Who claims to give it.
    pub holder: String,
    /// The version to load.
    pub version: u64,
    /// Whether the engine took it.
    pub accepted: bool,
}

/// Something that the store acknowledged.
#[derive(Clone, Debug)]
pub struct Change {
    /// When.
    pub at_ms: RunMs,
    /// What.
    pub what: Changed,
}

/// What the store acknowledged, or what a server says of itself.
#[derive(Clone, Debug, PartialEq)]
pub enum Changed {
    /// The changing team's key does not hold any more.
    KeyWithdrawn,
    /// It holds again.
    KeyGiven,
    /// A server is to get no new work.
    Draining(String),
    /// It may get work again.
    Ready(String),
    /// A server names a limit in its answers from now on, or none any more.
    Limited {
        /// The server.
        server: String,
        /// Requests in a second, of all gateways together.
        per_s: Option<f64>,
    },
    /// A server drops connections that are idle for a time.
    DropsIdle(String),
    /// New weights were named.
    Weights(u64),
    /// Streams end after this many milliseconds.
    StreamTimeout(u64),
}

/// What a disturbance befalls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Victim {
    /// A gateway, or the way to it.
    Gateway(usize),
    /// A gateway that was asked to leave.
    Leaving(usize),
    /// A backend server, or the way to it.
    Server(String),
    /// The store, or the way to it.
    Store,
}

/// Planned work of operators on gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Work {
    /// SIGTERM.
    Stop {
        /// The gateway.
        gateway: usize,
        /// When.
        at_ms: RunMs,
        /// It is killed this much later.
        grace_ms: u64,
    },
    /// SIGHUP.
    HangUp {
        /// The gateway.
        gateway: usize,
        /// When.
        at_ms: RunMs,
    },
    /// A configuration.
    Configuration {
        /// When it was sent to the store.
        sent_ms: RunMs,
        /// When the store acknowledged it.
        confirmed_ms: RunMs,
    },
}

/// A time in which something was disturbed.
#[derive(Clone, Debug)]
pub struct Disturbance {
    /// What was disturbed.
    pub victim: Victim,
    /// From when on.
    pub from_ms: RunMs,
    /// Until when.
    pub until_ms: RunMs,
    /// Whether it follows from planned work alone.
    pub is_planned: bool,
}

impl History {
    /// Whether something was disturbed at some moment of a span.
    pub fn disturbed(&self, victim: &Victim, from_ms: RunMs, until_ms: RunMs) -> bool {
        self.disturbances.iter().any(|disturbance| {
            disturbance.victim == *victim
                && disturbance.from_ms <= until_ms
                && disturbance.until_ms >= from_ms
        })
    }
}
