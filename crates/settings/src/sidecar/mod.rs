//! Settings of a sidecar.

use std::net::SocketAddr;

use crate::{
    check::Values,
    common::{self, InstanceSettings, LogSettings, address_key, ms_key, remote_key},
    file::settings_file,
    schema::{Schema, SectionSpec},
};

/// Settings of a sidecar.
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
    /// Who and where this process is.
    pub instance: InstanceSettings,
    /// Where the process takes connections.
    pub listen: SidecarListen,
    /// The engine beside it.
    pub engine: EngineSettings,
    /// Logging.
    pub log: LogSettings,
}

/// Where a sidecar takes connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SidecarListen {
    /// For datagrams of routers.
    pub peers: SocketAddr,
    /// For operators: metrics.
    pub admin: SocketAddr,
}

/// The engine beside a sidecar.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineSettings {
    /// Where it answers.
    pub address: SocketAddr,
    /// Time between two reads of its report.
    pub report_ms: u64,
    /// A call without an answer fails after this.
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
            remote_key("address", "127.0.0.1:8602", "Where it answers."),
            ms_key("report_ms", (10, 60_000), "100", "Time between two reads of its report."),
            ms_key("timeout_ms", (10, 60_000), "500", "A call without an answer fails after this."),
        ],
    },
    common::LOG,
];
