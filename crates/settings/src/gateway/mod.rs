//! The settings file of a gateway: its keys, their checks and the parsed values.

use std::net::SocketAddr;

use crate::{
    check::Values,
    common::{
        self, DAY_MS, InstanceSettings, LogSettings, address_key, ms_key, remote_address_key,
    },
    decisions::{DECISIONS, DecisionSettings, decisions},
    file::settings_file,
    schema::{KeySpec, Preset, Schema, SectionSpec, ValueKind},
};

/// The parsed settings file of a gateway.
///
/// # Examples
///
/// ```
/// use samphirespread_settings::GatewaySettings;
///
/// let settings = GatewaySettings::parse(&GatewaySettings::example()).unwrap();
///
/// assert_eq!(settings.bounds.key_withdrawal_ms, 5_000);
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// The name and location of this process.
    pub instance: InstanceSettings,
    /// The processor capacity of the process.
    pub capacity: CapacitySettings,
    /// The addresses that the process listens on.
    pub listen: GatewayListen,
    /// How to reach the store of configuration and registrations.
    pub store: StoreSettings,
    /// The limits that the system promises to its operators.
    pub bounds: BoundsSettings,
    /// What traffic between failure domains is worth.
    pub traffic: TrafficSettings,
    /// The offset that is added to the machine's wall clock.
    pub clock: ClockSettings,
    /// The optional mechanisms that are switched off.
    pub decisions: DecisionSettings,
    /// The format and level of the log.
    pub log: LogSettings,
}

/// The processor and memory of a gateway.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacitySettings {
    /// The processor cores available to the process, which may be a fraction of one. Routers with
    /// more of them do more work for the others.
    pub processor_share: f64,
    /// The memory that the process may use, in megabytes. A part of it bounds what the process holds
    /// for others.
    pub memory_mb: f64,
}

/// The addresses that a gateway listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GatewayListen {
    /// The address for requests of callers.
    pub callers: SocketAddr,
    /// The address for the load balancer's readiness checks.
    pub readiness: SocketAddr,
    /// The address for datagrams of the system's other processes.
    pub peers: SocketAddr,
    /// The address for operators, with metrics and a dump of the state.
    pub admin: SocketAddr,
}

/// How a gateway reaches the store of configuration and registrations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreSettings {
    /// The address of the store.
    pub address: SocketAddr,
    /// A call fails if no answer arrives within this time.
    pub timeout_ms: u64,
    /// The time between two reads of data that may change.
    pub poll_ms: u64,
}

/// The limits that the system promises to its operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BoundsSettings {
    /// A withdrawn key is refused after this time at the latest.
    pub key_withdrawal_ms: u64,
    /// A new configuration is in force after this time.
    pub configuration_ms: u64,
    /// A backend server that is shutting down gets no new requests after this time.
    pub server_drain_ms: u64,
    /// A process is terminated this long after it was asked to shut down.
    pub grace_ms: u64,
    /// After a rollout began, no request starts on older weights once this time has passed.
    pub rollout_ms: u64,
    /// Control of an engine doesn't alternate between two processes within this time.
    pub order_lease_ms: u64,
    /// The number of retries allowed for each request, over all routers.
    pub retry_ratio: f64,
    /// The length of the window in which retries are counted.
    pub retry_window_ms: u64,
    /// The number of retries allowed in each window in addition to `retry_ratio`, over all routers.
    pub retry_slack: f64,
    /// The tokens that teams may use beyond their quota in a window, over all routers.
    pub quota_slack: f64,
    /// The share of a service's requests that a new version of its software may get before it is
    /// released. Zero if versions are not compared, and all servers are used.
    pub exposure_share: f64,
}

/// What traffic between failure domains is worth.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TrafficSettings {
    /// The extra wait, in milliseconds, that is accepted to keep one megabyte within the failure domain.
    /// Without it, leaving the domain has a fixed cost.
    pub ms_per_mb: Option<f64>,
}

/// The offset that is added to the machine's wall clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClockSettings {
    /// The time added to the machine's clock, to test the behaviour with a wrong clock.
    pub ahead_ms: i64,
}

settings_file!(GatewaySettings, SCHEMA);

impl GatewaySettings {
    fn build(values: &Values) -> Self {
        Self {
            instance: common::instance(values),
            capacity: CapacitySettings {
                processor_share: values.get("capacity", "processor_share"),
                memory_mb: values.get("capacity", "memory_mb"),
            },
            listen: GatewayListen {
                callers: values.get("listen", "callers"),
                readiness: values.get("listen", "readiness"),
                peers: values.get("listen", "peers"),
                admin: values.get("listen", "admin"),
            },
            store: StoreSettings {
                address: values.get("store", "address"),
                timeout_ms: values.get("store", "timeout_ms"),
                poll_ms: values.get("store", "poll_ms"),
            },
            bounds: bounds(values),
            traffic: traffic(values),
            clock: clock(values),
            decisions: decisions(values),
            log: common::log(values),
        }
    }
}

fn bounds(values: &Values) -> BoundsSettings {
    BoundsSettings {
        key_withdrawal_ms: floor_ms(values.get("bounds", "key_withdrawal_ms")),
        configuration_ms: floor_ms(values.get("bounds", "configuration_ms")),
        server_drain_ms: floor_ms(values.get("bounds", "server_drain_ms")),
        grace_ms: seconds_to_ms(values.get("bounds", "grace_s")),
        rollout_ms: floor_ms(values.get("bounds", "rollout_ms")),
        order_lease_ms: floor_ms(values.get("bounds", "order_lease_ms")),
        retry_ratio: values.get("bounds", "retry_ratio"),
        retry_window_ms: seconds_to_ms(values.get("bounds", "retry_window_s")),
        retry_slack: values.get("bounds", "retry_slack"),
        quota_slack: values.get("bounds", "quota_slack"),
        exposure_share: values.get("bounds", "exposure_share"),
    }
}

fn traffic(values: &Values) -> TrafficSettings {
    let is_present = values.has_section("traffic");
    TrafficSettings { ms_per_mb: is_present.then(|| values.get("traffic", "ms_per_mb")) }
}

#[expect(clippy::cast_possible_truncation, reason = "the schema bounds the number")]
fn clock(values: &Values) -> ClockSettings {
    let ahead_ms: f64 = values.get("clock", "ahead_ms");
    ClockSettings { ahead_ms: ahead_ms as i64 }
}

/// Rounds a time limit down to whole milliseconds, so that the promised limit isn't exceeded.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the schema bounds the number"
)]
fn floor_ms(ms: f64) -> u64 {
    ms as u64
}

fn seconds_to_ms(seconds: f64) -> u64 {
    floor_ms(seconds * 1_000.0)
}

/// Describes a time limit in milliseconds, which may have a fraction.
const fn bound_ms_key(name: &'static str, default: &'static str, doc: &'static str) -> KeySpec {
    decimal_key(name, (0.0, DAY_MS as f64), "milliseconds", default, doc)
}

/// Describes a time limit in seconds, which may have a fraction.
const fn bound_s_key(name: &'static str, default: &'static str, doc: &'static str) -> KeySpec {
    decimal_key(name, (0.0, 86_400.0), "seconds", default, doc)
}

const fn decimal_key(
    name: &'static str,
    (min, max): (f64, f64),
    unit: &'static str,
    default: &'static str,
    doc: &'static str,
) -> KeySpec {
    KeySpec {
        name,
        kind: ValueKind::Decimal { min, max, unit },
        preset: Preset::Default(default),
        doc,
    }
}

const SCHEMA: Schema = &[
    common::INSTANCE,
    SectionSpec {
        name: "capacity",
        optional: false,
        doc: "What the process runs on.",
        keys: &[
            decimal_key(
                "processor_share",
                (0.0, 1e4),
                "cores",
                "1",
                "The processor's share of a core. Routers with more do more for the others.",
            ),
            decimal_key(
                "memory_mb",
                (32.0, 1e6),
                "megabytes",
                "88",
                "The memory that the process may use. A part of it bounds what is held for others.",
            ),
        ],
    },
    SectionSpec {
        name: "listen",
        optional: false,
        doc: "Where the process takes connections. Port 0 lets the kernel choose.",
        keys: &[
            address_key("callers", "0.0.0.0:8080", "For callers."),
            address_key("readiness", "0.0.0.0:8081", "For the balancer's readiness checks."),
            address_key("peers", "0.0.0.0:7600", "For datagrams of the system's processes."),
            address_key("admin", "127.0.0.1:7615", "For operators: metrics and dump."),
        ],
    },
    SectionSpec {
        name: "store",
        optional: false,
        doc: "The store of configuration and registrations.",
        keys: &[
            remote_address_key("address", "127.0.0.1:8601", "Where it answers."),
            ms_key("timeout_ms", (10, 60_000), "800", "A call without an answer fails after this."),
            ms_key("poll_ms", (50, 60_000), "900", "Time between two reads of what may change."),
        ],
    },
    BOUNDS,
    SectionSpec {
        name: "traffic",
        optional: true,
        doc: "Traffic between failure domains, which is limited by its price.",
        keys: &[KeySpec {
            name: "ms_per_mb",
            kind: ValueKind::Decimal { min: 0.0, max: 10_000.0, unit: "milliseconds per megabyte" },
            preset: Preset::Required("500"),
            doc: "The extra wait that is accepted to keep one megabyte within the failure domain. 0: \
                  requests go where they start earliest. Without the section, leaving the domain has a fixed \
                  cost.",
        }],
    },
    SectionSpec {
        name: "clock",
        optional: false,
        doc: "The wall clock.",
        keys: &[decimal_key(
            "ahead_ms",
            (-1e12, 1e12),
            "milliseconds",
            "0",
            "Added to what the machine's clock shows, to try out wrong clocks.",
        )],
    },
    DECISIONS,
    common::LOG,
];

const BOUNDS: SectionSpec = SectionSpec {
    name: "bounds",
    optional: false,
    doc: "What operators are promised.",
    keys: &[
        bound_ms_key(
            "key_withdrawal_ms",
            "5000",
            "A withdrawn key stops working within this time.",
        ),
        bound_ms_key(
            "configuration_ms",
            "2000",
            "A new configuration is in force within this time. A router that can't have it by then \
             refuses requests.",
        ),
        bound_ms_key(
            "server_drain_ms",
            "2000",
            "A leaving backend server gets no new work after this time.",
        ),
        bound_s_key("grace_s", "8", "The process is ended this long after it was asked to leave."),
        bound_ms_key("rollout_ms", "12000", "No request begins on older weights after this time."),
        bound_ms_key(
            "order_lease_ms",
            "3000",
            "Two processes that order the same engine don't take turns within this time.",
        ),
        decimal_key(
            "retry_ratio",
            (0.0, 100.0),
            "repeats",
            "0.2",
            "Repeated sends for each request, over all routers.",
        ),
        bound_s_key("retry_window_s", "10", "The window over which repeats are counted."),
        decimal_key(
            "retry_slack",
            (0.0, 1e6),
            "repeats",
            "56",
            "Repeats on top in each window, over all routers.",
        ),
        decimal_key(
            "quota_slack",
            (0.0, 1e12),
            "tokens",
            "0",
            "What teams may use beyond their quota in a window, over all routers.",
        ),
        decimal_key(
            "exposure_share",
            (0.0, 1.0),
            "a share of the requests",
            "0",
            "What a new version of a service's software may get before it is released. 0: versions \
             are not compared, and all servers are used.",
        ),
    ],
};
