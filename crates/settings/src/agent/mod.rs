//! Settings of an agent.

use std::{net::SocketAddr, sync::Arc};

use crate::{
    check::Values,
    common::{
        self, DAY_MS, DrainSettings, InstanceSettings, LogSettings, SecuritySettings, address_key,
        ms_key, name_key, number_key, remote_key,
    },
    file::settings_file,
    schema::{KeySpec, Kind, Preset, Schema, SectionSpec},
};

/// Settings of an agent.
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
    /// Who and where this process is.
    pub instance: InstanceSettings,
    /// Where the process takes connections.
    pub listen: AgentListen,
    /// The backend server beside the agent.
    pub backend: BackendSettings,
    /// How processes prove themselves.
    pub security: SecuritySettings,
    /// Logging.
    pub log: LogSettings,
    /// The queue before the backend server.
    pub queue: QueueSettings,
    /// Connections from other processes.
    pub peers: AgentPeers,
    /// Leaving.
    pub drain: DrainSettings,
}

/// Where an agent takes connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgentListen {
    /// For the system's other processes.
    pub peers: SocketAddr,
    /// For operators, HTTP.
    pub admin: SocketAddr,
}

/// The backend server beside an agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendSettings {
    /// What runs there.
    pub kind: BackendKind,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// The set that it belongs to.
    pub set: Arc<str>,
}

/// What runs on a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendKind {
    /// A model engine.
    Model,
    /// A plain service.
    Service,
}

/// The queue before a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueSettings {
    /// A request that waited this long is refused, not run.
    pub max_wait_ms: u64,
    /// Requests that may wait.
    pub max_requests: usize,
    /// Requests that may run at once.
    pub concurrency: usize,
}

/// An agent's connections from other processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgentPeers {
    /// A connection silent for longer is dropped.
    pub silence_timeout_ms: u64,
    /// Requests of a router whose configuration lags for longer are refused, not run.
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
            kind: Kind::Choice(&["model", "service"]),
            preset: Preset::Required("model"),
            doc: "What runs there.",
        },
        remote_key("address", "127.0.0.1:8000", "Where it takes requests."),
        name_key("set", "drafting", "The set that it belongs to, as in the configuration."),
    ],
};

const QUEUE: SectionSpec = SectionSpec {
    name: "queue",
    optional: false,
    doc: "The queue before the backend server.",
    keys: &[
        ms_key("max_wait_ms", (1, DAY_MS), "5000", "After this wait the request is not run."),
        number_key("max_requests", (1, 1_000_000), "requests", "1024", "Requests that may wait."),
        number_key("concurrency", (1, 100_000), "requests", "64", "Requests that run at once."),
    ],
};
