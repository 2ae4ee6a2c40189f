//! Parses and checks the INI settings files of the system's processes.
//!
//! ```
//! use samphirespread_settings::RouterSettings;
//!
//! let text = "
//! [instance]
//! name = r1
//! region = khomas
//! failure_domain = khomas-1
//!
//! [platform]
//! address = 127.0.0.1:7000
//!
//! [security]
//! peer_secret = an-example-of-a-secret
//! ";
//!
//! let settings = RouterSettings::parse(text).unwrap();
//!
//! assert_eq!(settings.instance.name.as_ref(), "r1");
//! assert_eq!(settings.peers.heartbeat_ms, 500);
//! ```
//!
//! Every key has a type, a unit, an allowed range and, unless it is required, a default.
//! [`RouterSettings::example`] and [`AgentSettings::example`] print all of them as a file that
//! parses. An unknown section or key is refused, and so is a repeated key, so that a misspelt
//! key is reported instead of silently leaving the default in place.
//!
//! # Errors
//!
//! Parsing reports all errors in the text at once, with two exceptions: syntax errors are reported
//! alone, and conflicts between keys only if each key is valid by itself. Each error names the
//! line, the section and the key, as far as they apply, and the allowed values:
//!
//! ```
//! use samphirespread_settings::RouterSettings;
//!
//! let text = "[peers]\nheartbeat_ms = fast\nhartbeat_ms = 5\n";
//!
//! let errors = RouterSettings::parse(text).unwrap_err().to_string();
//!
//! assert!(errors.contains("line 2: [peers] heartbeat_ms"));
//! assert!(errors.contains("line 3: [peers] has no key hartbeat_ms"));
//! assert!(errors.contains("[instance] name is missing"));
//! ```
//!
//! # Limits
//!
//! Values are single lines. Quotes and backslashes have no special meaning. A comment takes
//! a line of its own and begins with `;` or `#`. Addresses are `IP:port`; names are not resolved.

mod agent;
mod check;
mod common;
mod decisions;
mod error;
mod example;
mod file;
mod gateway;
mod router;
mod schema;
mod sidecar;

pub use crate::{
    agent::AgentPeers,
    agent::{AgentListen, AgentSettings, BackendKind, BackendSettings, QueueSettings},
    common::{
        DrainSettings, InstanceSettings, LogFormat, LogLevel, LogSettings, Secret,
        SecuritySettings, TlsSettings,
    },
    decisions::{DecisionSettings, Mechanism},
    error::{SettingsError, SettingsErrors},
    file::Settings,
    gateway::{
        BoundsSettings, CapacitySettings, ClockSettings, GatewayListen, GatewaySettings,
        StoreSettings, TrafficSettings,
    },
    router::{
        LimitsSettings, PlatformSettings, RequestSettings, RouterListen, RouterPeers,
        RouterSettings,
    },
    sidecar::{EngineSettings, SidecarListen, SidecarSettings},
};
