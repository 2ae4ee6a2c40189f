//! The settings file of a router: its keys, their checks and the parsed values.

use std::{net::SocketAddr, path::PathBuf};

use crate::{
    check::{Conflicts, Values},
    common::{
        self, DAY_MS, DrainSettings, InstanceSettings, LogSettings, SecuritySettings, TlsSettings,
        address_key, integer_key, ms_key, remote_address_key,
    },
    error::SettingsErrors,
    file::settings_file,
    schema::{KeySpec, Preset, Schema, SectionSpec, ValueKind},
};

/// The parsed settings file of a router.
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
    /// The name and location of this process.
    pub instance: InstanceSettings,
    /// The addresses that the process listens on.
    pub listen: RouterListen,
    /// How to reach the platform's API.
    pub platform: PlatformSettings,
    /// The certificate and key for TLS with callers, if TLS is used.
    pub tls: Option<TlsSettings>,
    /// The secret by which processes authenticate each other.
    pub security: SecuritySettings,
    /// The format and level of the log.
    pub log: LogSettings,
    /// The limits of a single request.
    pub request: RequestSettings,
    /// How routers share the teams' rate limits.
    pub limits: LimitsSettings,
    /// How connections to other processes are kept.
    pub peers: RouterPeers,
    /// The shutdown on SIGTERM.
    pub drain: DrainSettings,
}

/// The addresses that a router listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouterListen {
    /// The address for HTTP requests of callers.
    pub callers: SocketAddr,
    /// The address for the system's other processes.
    pub peers: SocketAddr,
    /// The address for HTTP requests of operators.
    pub admin: SocketAddr,
}

/// How a router reaches the platform's API.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlatformSettings {
    /// The address of the API.
    pub address: SocketAddr,
    /// A call fails if no answer arrives within this time.
    pub timeout_ms: u64,
    /// The time between two reads of the live list, and the longest duration of a watch.
    pub poll_ms: u64,
}

/// The limits of a single request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestSettings {
    /// The maximum size of a request body.
    pub max_body_bytes: usize,
    /// The maximum size of the request headers.
    pub max_header_bytes: usize,
    /// The maximum length of a prompt.
    pub max_prompt_tokens: u64,
    /// A request is refused if its headers take longer than this to arrive.
    pub header_timeout_ms: u64,
    /// The maximum time that a request waits in an agent's queue.
    pub queue_limit_ms: u32,
    /// The maximum number of consecutive attempts that produce no output.
    pub max_attempts: u32,
    /// The maximum time from the request to the end of its answer.
    pub deadline_ms: u64,
}

/// How routers share the teams' rate limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitsSettings {
    /// How long a borrowed part of a rate limit can be spent.
    pub lump_lifetime_ms: u64,
    /// The time between the promises of the co-holders and the reassignment of the share of a
    /// holder that no longer answers.
    pub revoke_wait_ms: u64,
    /// A holder that lost contact stops admitting requests this long before `revoke_wait_ms` ends.
    pub clock_margin_ms: u64,
}

/// How a router keeps connections to other processes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouterPeers {
    /// The routers to contact before the live list is known, so that a router can start during an
    /// outage of the platform.
    pub seeds: Vec<SocketAddr>,
    /// The time between two heartbeats on a connection.
    pub heartbeat_ms: u64,
    /// A connection is dropped if nothing arrives on it for longer than this.
    pub silence_timeout_ms: u64,
    /// The configuration counts as possibly stale if no update on it arrives for longer than this.
    pub stale_config_ms: u64,
}

settings_file!(RouterSettings, SCHEMA, RouterSettings::check_conflicts);

impl RouterSettings {
    /// Checks the rules that involve more than one key.
    fn check_conflicts(values: &Values) -> Result<(), SettingsErrors> {
        Conflicts::new(values)
            .require_greater(("limits", "revoke_wait_ms"), ("limits", "lump_lifetime_ms"))
            .require_greater(("limits", "revoke_wait_ms"), ("limits", "clock_margin_ms"))
            .require_greater(("peers", "silence_timeout_ms"), ("peers", "heartbeat_ms"))
            .finish()
    }

    fn build(values: &Values) -> Self {
        Self {
            instance: common::instance(values),
            listen: listen(values),
            platform: platform(values),
            tls: values.has_section("tls").then(|| tls(values)),
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
        remote_address_key("address", "10.0.0.10:7000", "Where the API is."),
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
        integer_key("max_body_bytes", (1_024, 1 << 30), "bytes", "8388608", "Larger is refused."),
        integer_key("max_header_bytes", (1_024, 1 << 20), "bytes", "16384", "Larger is refused."),
        integer_key("max_prompt_tokens", (1, 1 << 30), "tokens", "262144", "Longer is refused."),
        ms_key("header_timeout_ms", (10, DAY_MS), "10000", "Slower headers are refused."),
        ms_key("queue_limit_ms", (1, DAY_MS), "5000", "Time at most in an agent's queue."),
        integer_key("max_attempts", (1, 100), "attempts", "12", "Attempts without output at most."),
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
            kind: ValueKind::RemoteAddresses,
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
    KeySpec { name, kind: ValueKind::Path, preset: Preset::Required(example), doc }
}
