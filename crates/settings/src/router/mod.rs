//! Settings of a router.

use std::{net::SocketAddr, path::PathBuf};

use crate::{
    check::{Conflicts, Values},
    common::{
        self, DAY_MS, DrainSettings, InstanceSettings, LogSettings, SecuritySettings, TlsSettings,
        address_key, ms_key, number_key, remote_key,
    },
    error::SettingsErrors,
    file::settings_file,
    schema::{KeySpec, Kind, Preset, Schema, SectionSpec},
};

/// Settings of a router.
///
/// # Examples
///
/// ```
/// use samphirespread_settings::RouterSettings;
///
/// let settings = RouterSettings::parse(&RouterSettings::example()).unwrap();
///
/// assert_eq!(settings.request.max_attempts, 12);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouterSettings {
    /// Who and where this process is.
    pub instance: InstanceSettings,
    /// Where the process takes connections.
    pub listen: RouterListen,
    /// The platform's API.
    pub platform: PlatformSettings,
    /// TLS towards callers, if any.
    pub tls: Option<TlsSettings>,
    /// How processes prove themselves.
    pub security: SecuritySettings,
    /// Logging.
    pub log: LogSettings,
    /// Bounds of one request.
    pub request: RequestSettings,
    /// Shares of the teams' rates.
    pub limits: LimitsSettings,
    /// Connections to other processes.
    pub peers: RouterPeers,
    /// Leaving.
    pub drain: DrainSettings,
}

/// Where a router takes connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouterListen {
    /// For callers, HTTP.
    pub callers: SocketAddr,
    /// For the system's other processes.
    pub peers: SocketAddr,
    /// For operators, HTTP.
    pub admin: SocketAddr,
}

/// The platform's API.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlatformSettings {
    /// Where the API is.
    pub address: SocketAddr,
    /// A call without an answer fails after this.
    pub timeout_ms: u64,
    /// Time between two reads of the live list, and the longest watch.
    pub poll_ms: u64,
}

/// Bounds of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestSettings {
    /// Bytes of body at most.
    pub max_body_bytes: usize,
    /// Bytes of headers at most.
    pub max_header_bytes: usize,
    /// Tokens of prompt at most.
    pub max_prompt_tokens: u64,
    /// Headers that take longer are refused.
    pub header_timeout_ms: u64,
    /// Time at most in an agent's queue.
    pub queue_limit_ms: u32,
    /// Attempts at most without output between them.
    pub max_attempts: u32,
    /// Time at most from the request to the end of its answer.
    pub deadline_ms: u64,
}

/// Shares of the teams' rates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitsSettings {
    /// A borrowed lump can be spent this long.
    pub lump_lifetime_ms: u64,
    /// Wait between the promises of co-holders and the handing on of a silent holder's share.
    pub revoke_wait_ms: u64,
    /// How much earlier than the wait a holder without contact stops admitting.
    pub clock_margin_ms: u64,
}

/// A router's connections to other processes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouterPeers {
    /// Routers to ask before the live list is known, for a start during an outage of the platform.
    pub seeds: Vec<SocketAddr>,
    /// Time between two heartbeats on a connection.
    pub heartbeat_ms: u64,
    /// A connection silent for longer is dropped.
    pub silence_timeout_ms: u64,
    /// Without word on the configuration for longer, it counts as possibly stale.
    pub stale_config_ms: u64,
}

settings_file!(RouterSettings, SCHEMA, RouterSettings::check_together);

impl RouterSettings {
    /// Checks what no single key shows.
    fn check_together(values: &Values) -> Result<(), SettingsErrors> {
        Conflicts::new(values)
            .greater(("limits", "revoke_wait_ms"), ("limits", "lump_lifetime_ms"))
            .greater(("limits", "revoke_wait_ms"), ("limits", "clock_margin_ms"))
            .greater(("peers", "silence_timeout_ms"), ("peers", "heartbeat_ms"))
            .finish()
    }

    fn build(values: &Values) -> Self {
        Self {
            instance: common::instance(values),
            listen: listen(values),
            platform: platform(values),
            tls: values.has("tls").then(|| tls(values)),
            security: common::security(values),
            log: common::log(values),
            request: request(values),
            limits: limits(values),
            peers: peers(values),
            drain: common::drain(values),
        }
    }
}

fn listen(values: &Values) -> RouterListen {
    RouterListen {
        callers: values.get("listen", "callers"),
        peers: values.get("listen", "peers"),
        admin: values.get("listen", "admin"),
    }
}

fn platform(values: &Values) -> PlatformSettings {
    PlatformSettings {
        address: values.get("platform", "address"),
        timeout_ms: values.get("platform", "timeout_ms"),
        poll_ms: values.get("platform", "poll_ms"),
    }
}

fn tls(values: &Values) -> TlsSettings {
    TlsSettings {
        certificate: PathBuf::from(values.text("tls", "certificate")),
        key: PathBuf::from(values.text("tls", "key")),
        reread_ms: values.get("tls", "reread_ms"),
    }
}

fn request(values: &Values) -> RequestSettings {
    RequestSettings {
        max_body_bytes: values.get("request", "max_body_bytes"),
        max_header_bytes: values.get("request", "max_header_bytes"),
        max_prompt_tokens: values.get("request", "max_prompt_tokens"),
        header_timeout_ms: values.get("request", "header_timeout_ms"),
        queue_limit_ms: values.get("request", "queue_limit_ms"),
        max_attempts: values.get("request", "max_attempts"),
        deadline_ms: values.get("request", "deadline_ms"),
    }
}

fn limits(values: &Values) -> LimitsSettings {
    LimitsSettings {
        lump_lifetime_ms: values.get("limits", "lump_lifetime_ms"),
        revoke_wait_ms: values.get("limits", "revoke_wait_ms"),
        clock_margin_ms: values.get("limits", "clock_margin_ms"),
    }
}

fn peers(values: &Values) -> RouterPeers {
    RouterPeers {
        seeds: values.list("peers", "seeds"),
        heartbeat_ms: values.get("peers", "heartbeat_ms"),
        silence_timeout_ms: values.get("peers", "silence_timeout_ms"),
        stale_config_ms: values.get("peers", "stale_config_ms"),
    }
}

const SCHEMA: Schema = &[
    common::INSTANCE,
    LISTEN,
    PLATFORM,
    TLS,
    common::SECURITY,
    common::LOG,
    REQUEST,
    LIMITS,
    PEERS,
    DRAIN,
];

const LISTEN: SectionSpec = SectionSpec {
    name: "listen",
    optional: false,
    doc: "Where the process takes connections. Port 0 lets the kernel choose.",
    keys: &[
        address_key("callers", "0.0.0.0:8080", "For callers, HTTP."),
        address_key("peers", "0.0.0.0:7300", "For the system's other processes."),
        address_key("admin", "127.0.0.1:9300", "For operators: health, metrics, dump."),
    ],
};

const PLATFORM: SectionSpec = SectionSpec {
    name: "platform",
    optional: false,
    doc: "The platform's object API and live list.",
    keys: &[
        remote_key("address", "10.0.0.10:7000", "Where the API is."),
        ms_key("timeout_ms", (10, 60_000), "2000", "A call without an answer fails after this."),
        ms_key("poll_ms", (50, 60_000), "1000", "Time between two reads of the live list."),
    ],
};

const TLS: SectionSpec = SectionSpec {
    name: "tls",
    optional: true,
    doc: "TLS towards callers.",
    keys: &[
        path_key("certificate", "callers.pem", "PEM file of the chain, the server's own first."),
        path_key("key", "callers.key", "PEM file of the private key."),
        ms_key("reread_ms", (100, DAY_MS), "5000", "Time between two looks at the files."),
    ],
};

const REQUEST: SectionSpec = SectionSpec {
    name: "request",
    optional: false,
    doc: "Bounds of one request.",
    keys: &[
        number_key("max_body_bytes", (1_024, 1 << 30), "bytes", "8388608", "Larger is refused."),
        number_key("max_header_bytes", (1_024, 1 << 20), "bytes", "16384", "Larger is refused."),
        number_key("max_prompt_tokens", (1, 1 << 30), "tokens", "262144", "Longer is refused."),
        ms_key("header_timeout_ms", (10, DAY_MS), "10000", "Slower headers are refused."),
        ms_key("queue_limit_ms", (1, DAY_MS), "5000", "Time at most in an agent's queue."),
        number_key("max_attempts", (1, 100), "attempts", "12", "Attempts without output at most."),
        ms_key("deadline_ms", (100, DAY_MS), "600000", "Time at most to the end of the answer."),
    ],
};

const LIMITS: SectionSpec = SectionSpec {
    name: "limits",
    optional: false,
    doc: "Shares of the teams' rates. The same in all routers.",
    keys: &[
        ms_key("lump_lifetime_ms", (100, 60_000), "2000", "A borrowed lump can be spent so long."),
        ms_key(
            "revoke_wait_ms",
            (200, 600_000),
            "5000",
            "Wait before a silent holder's share is handed on; more than lump_lifetime_ms.",
        ),
        ms_key(
            "clock_margin_ms",
            (1, 60_000),
            "250",
            "How much before that wait a holder without contact stops admitting.",
        ),
    ],
};

const PEERS: SectionSpec = SectionSpec {
    name: "peers",
    optional: false,
    doc: "Connections to other processes.",
    keys: &[
        KeySpec {
            name: "seeds",
            kind: Kind::RemoteAddresses,
            preset: Preset::Default(""),
            doc: "Routers to ask before the live list is known.",
        },
        ms_key("heartbeat_ms", (10, 60_000), "500", "Time between two heartbeats."),
        ms_key(
            "silence_timeout_ms",
            (20, 600_000),
            "2000",
            "A connection silent for longer is dropped; more than heartbeat_ms.",
        ),
        ms_key(
            "stale_config_ms",
            (100, 600_000),
            "3000",
            "Without word on the configuration for longer, it may be stale.",
        ),
    ],
};

const DRAIN: SectionSpec = SectionSpec {
    name: "drain",
    optional: false,
    doc: "Leaving on SIGTERM.",
    keys: &[ms_key(
        "timeout_ms",
        (0, DAY_MS),
        "660000",
        "Requests that still run after this are cut; no less than deadline_ms cuts none.",
    )],
};

const fn path_key(name: &'static str, example: &'static str, doc: &'static str) -> KeySpec {
    KeySpec { name, kind: Kind::Path, preset: Preset::Required(example), doc }
}
