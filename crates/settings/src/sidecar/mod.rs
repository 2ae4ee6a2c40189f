//! The settings file of a sidecar: its keys, their checks and the parsed values.

use std::net::SocketAddr;

use crate::{
    check::Values,
    common::{self, InstanceSettings, LogSettings, address_key, ms_key, remote_address_key},
    file::settings_file,
    schema::{Schema, SectionSpec},
};

/// The parsed settings file of a sidecar.
///
/// # Examples
///
/// ```
/// use samphirespread_settings::SidecarSettings;
///
/// let settings = SidecarSettings::parse(&SidecarSettings::example()).unwrap();
///
/// assert_eq!(settings.engine.report_ms, 100);
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SidecarSettings {
    /// The name and location of this process.
    pub instance: InstanceSettings,
    /// The addresses that the process listens on.
    pub listen: SidecarListen,
    /// How to reach the engine that the sidecar serves.
    pub engine: EngineSettings,
    /// The format and level of the log.
    pub log: LogSettings,
}

/// The addresses that a sidecar listens on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SidecarListen {
    /// The address for datagrams of routers.
    pub peers: SocketAddr,
    /// The address for operators, with metrics.
    pub admin: SocketAddr,
}

/// How a sidecar reaches its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineSettings {
    /// The address of the engine.
    pub address: SocketAddr,
    /// The time between two reads of the engine's report.
    pub report_ms: u64,
    /// A call fails if no answer arrives within this time.
    pub timeout_ms: u64,
}

settings_file!(SidecarSettings, SCHEMA);

impl SidecarSettings {
    fn build(values: &Values) -> Self {
        Self {
            instance: common::instance(values),
            listen: SidecarListen {
                peers: values.get("listen", "peers"),
                admin: values.get("listen", "admin"),
            },
            engine: EngineSettings {
                address: values.get("engine", "address"),
                report_ms: values.get("engine", "report_ms"),
                timeout_ms: values.get("engine", "timeout_ms"),
            },
            log: common::log(values),
        }
    }
}

const SCHEMA: Schema = &[
    common::INSTANCE,
    SectionSpec {
        name: "listen",
        optional: false,
        doc: "Where the process takes connections. Port 0 lets the kernel choose.",
        keys: &[
            address_key("peers", "0.0.0.0:7600", "For datagrams of routers."),
            address_key("admin", "127.0.0.1:7615", "For operators: metrics."),
        ],
    },
    SectionSpec {
        name: "engine",
        optional: false,
        doc: "The engine beside the process.",
        keys: &[
            remote_address_key("address", "127.0.0.1:8602", "Where it answers."),
            ms_key("report_ms", (10, 60_000), "100", "Time between two reads of its report."),
            ms_key("timeout_ms", (10, 60_000), "500", "A call without an answer fails after this."),
        ],
    },
    common::LOG,
];
