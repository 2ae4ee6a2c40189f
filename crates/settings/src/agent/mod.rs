//! The settings file of an agent: its keys, their checks and the parsed values.

use std::{net::SocketAddr, sync::Arc};

use crate::{
    check::Values,
    common::{
        self, DAY_MS, DrainSettings, InstanceSettings, LogSettings, SecuritySettings, address_key,
        integer_key, ms_key, name_key, remote_address_key,
    },
    file::settings_file,
    schema::{KeySpec, Preset, Schema, SectionSpec, ValueKind},
};

/// The parsed settings file of an agent.
///
/// # Examples
///
/// ```
/// use samphirespread_settings::{AgentSettings, BackendKind};
///
/// let settings = AgentSettings::parse(&AgentSettings::example()).unwrap();
///
/// assert_eq!(settings.backend.kind, BackendKind::Model);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AgentSettings {
    /// The name and location of this process.
    pub instance: InstanceSettings,
    /// The addresses that the process listens on.
    pub listen: AgentListen,
    /// The backend server that the agent serves.
    pub backend: BackendSettings,
    /// The secret by which processes authenticate each other.
    pub security: SecuritySettings,
    /// The format and level of the log.
    pub log: LogSettings,
    /// The queue of requests for the backend server.
    pub queue: QueueSettings,
    /// How connections from other processes are treated.
    pub peers: AgentPeers,
    /// The shutdown on SIGTERM.
    pub drain: DrainSettings,
}

/// The addresses that an agent listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgentListen {
    /// The address for the system's other processes.
    pub peers: SocketAddr,
    /// The address for HTTP requests of operators.
    pub admin: SocketAddr,
}

/// The backend server that an agent serves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendSettings {
    /// The kind of process on the backend server.
    pub kind: BackendKind,
    /// The address to which requests are sent.
    pub address: SocketAddr,
    /// The set that the backend server belongs to.
    pub set: Arc<str>,
}

/// The kind of process on a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendKind {
    /// A model engine.
    Model,
    /// A plain service.
    Service,
}

/// The queue of requests for a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueSettings {
    /// A request is refused, not run, once it has waited this long.
    pub max_wait_ms: u64,
    /// The maximum number of waiting requests.
    pub max_requests: usize,
    /// The maximum number of requests that run at the same time.
    pub concurrency: usize,
}

/// How an agent treats connections from other processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgentPeers {
    /// A connection is dropped if nothing arrives on it for longer than this.
    pub silence_timeout_ms: u64,
    /// Requests of a router are refused, not run, if its configuration lags by more than this.
    pub stale_config_ms: u64,
}

settings_file!(AgentSettings, SCHEMA);

impl AgentSettings {
    fn build(values: &Values) -> Self {
        Self {
            instance: common::instance(values),
            listen: AgentListen {
                peers: values.get("listen", "peers"),
                admin: values.get("listen", "admin"),
            },
            backend: backend(values),
            security: common::security(values),
            log: common::log(values),
            queue: queue(values),
            peers: AgentPeers {
                silence_timeout_ms: values.get("peers", "silence_timeout_ms"),
                stale_config_ms: values.get("peers", "stale_config_ms"),
            },
            drain: common::drain(values),
        }
    }
}

fn backend(values: &Values) -> BackendSettings {
    let kind = match values.text("backend", "kind") {
        "service" => BackendKind::Service,
        _ => BackendKind::Model,
    };
    BackendSettings {
        kind,
        address: values.get("backend", "address"),
        set: Arc::from(values.text("backend", "set")),
    }
}

fn queue(values: &Values) -> QueueSettings {
    QueueSettings {
        max_wait_ms: values.get("queue", "max_wait_ms"),
        max_requests: values.get("queue", "max_requests"),
        concurrency: values.get("queue", "concurrency"),
    }
}

const SCHEMA: Schema = &[
    common::INSTANCE,
    SectionSpec {
        name: "listen",
        optional: false,
        doc: "Where the process takes connections. Port 0 lets the kernel choose.",
        keys: &[
            address_key("peers", "0.0.0.0:7400", "For the system's other processes."),
            address_key("admin", "127.0.0.1:9400", "For operators: health, metrics, dump."),
        ],
    },
    BACKEND,
    common::SECURITY,
    common::LOG,
    QUEUE,
    SectionSpec {
        name: "peers",
        optional: false,
        doc: "Connections from other processes.",
        keys: &[
            ms_key(
                "silence_timeout_ms",
                (20, 600_000),
                "2000",
                "A connection silent for longer is dropped.",
            ),
            ms_key(
                "stale_config_ms",
                (100, 600_000),
                "3000",
                "Requests of a router whose configuration lags for longer are refused.",
            ),
        ],
    },
    SectionSpec {
        name: "drain",
        optional: false,
        doc: "Leaving on SIGTERM.",
        keys: &[ms_key(
            "timeout_ms",
            (0, DAY_MS),
            "660000",
            "Requests that still run after this are cut.",
        )],
    },
];

const BACKEND: SectionSpec = SectionSpec {
    name: "backend",
    optional: false,
    doc: "The backend server beside the agent.",
    keys: &[
        KeySpec {
            name: "kind",
            kind: ValueKind::Choice(&["model", "service"]),
            preset: Preset::Required("model"),
            doc: "What runs there.",
        },
        remote_address_key("address", "127.0.0.1:8000", "Where it takes requests."),
        name_key("set", "drafting", "The set that it belongs to, as in the configuration."),
    ],
};

const QUEUE: SectionSpec = SectionSpec {
    name: "queue",
    optional: false,
    doc: "The queue before the backend server.",
    keys: &[
        ms_key("max_wait_ms", (1, DAY_MS), "5000", "After this wait the request is not run."),
        integer_key("max_requests", (1, 1_000_000), "requests", "1024", "Requests that may wait."),
        integer_key("concurrency", (1, 100_000), "requests", "64", "Requests that run at once."),
    ],
};
