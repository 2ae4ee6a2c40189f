//! Sections and kinds of keys that the settings files of several daemons share.

use std::{fmt, path::PathBuf, sync::Arc};

use crate::{
    check::{SECRET_PLACEHOLDER, Values},
    schema::{KeySpec, Preset, SectionSpec, ValueKind},
};

const MAX_NAME_CHARS: usize = 128;
const MIN_SECRET_CHARS: usize = 16;

/// One day in milliseconds, the greatest upper limit of a duration.
pub(crate) const DAY_MS: u64 = 86_400_000;

/// The name and location of a process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceSettings {
    /// The name of the process, unique in the fleet.
    pub name: Arc<str>,
    /// The region of the instance.
    pub region: Arc<str>,
    /// The failure domain of the instance.
    pub failure_domain: Arc<str>,
}

/// How the system's own processes authenticate each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SecuritySettings {
    /// The shared secret, the same in all processes of the fleet.
    pub peer_secret: Secret,
}

/// A text that is kept out of debug output and error messages.
///
/// ```
/// use samphirespread_settings::Secret;
///
/// let secret = Secret::new("an-example-of-a-secret");
///
/// assert_eq!(format!("{secret:?}"), "Secret((hidden))");
/// ```
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(Arc<str>);

impl Secret {
    /// Wraps a text.
    pub fn new(text: &str) -> Self {
        Self(Arc::from(text))
    }

    /// Returns the text. Compare it in constant time only.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Secret({SECRET_PLACEHOLDER})")
    }
}

/// The format and level of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// The format of a line.
    pub format: LogFormat,
    /// Lines below this level are dropped.
    pub level: LogLevel,
}

/// The format of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// One JSON object per line.
    Json,
    /// Plain text for people to read.
    Terminal,
}

/// The severity of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LogLevel {
    /// Faults that need the attention of an operator.
    Error,
    /// Faults that the process handles by itself.
    Warning,
    /// Changes of state.
    Info,
    /// Events of each request.
    Debug,
}

/// The certificate and private key of a TLS server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TlsSettings {
    /// A PEM file with the certificate chain, the server's own first.
    pub certificate: PathBuf,
    /// A PEM file with the private key.
    pub key: PathBuf,
    /// The time between two checks of the files for changes.
    pub reread_ms: u64,
}

/// The shutdown, which waits for running requests to finish.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainSettings {
    /// Requests that still run after this time are aborted.
    pub timeout_ms: u64,
}

pub(crate) const INSTANCE: SectionSpec = SectionSpec {
    name: "instance",
    optional: false,
    doc: "Who and where this process is.",
    keys: &[
        name_key("name", "r1", "Unique in the fleet, as in the platform's live list."),
        name_key("region", "khomas", "The region of the instance."),
        name_key("failure_domain", "khomas-1", "The failure domain of the instance."),
    ],
};

pub(crate) const SECURITY: SectionSpec = SectionSpec {
    name: "security",
    optional: false,
    doc: "How the system's own processes prove themselves to each other.",
    keys: &[KeySpec {
        name: "peer_secret",
        kind: ValueKind::Secret { min_chars: MIN_SECRET_CHARS },
        preset: Preset::Required("replace-this-with-your-own-secret"),
        doc: "The same in all processes of the fleet.",
    }],
};

pub(crate) const LOG: SectionSpec = SectionSpec {
    name: "log",
    optional: false,
    doc: "Logging to standard error.",
    keys: &[
        KeySpec {
            name: "format",
            kind: ValueKind::Choice(&["json", "terminal"]),
            preset: Preset::Default("json"),
            doc: "The form of a line.",
        },
        KeySpec {
            name: "level",
            kind: ValueKind::Choice(&["error", "warning", "info", "debug"]),
            preset: Preset::Default("info"),
            doc: "Lines below this level are dropped.",
        },
    ],
};

pub(crate) const fn name_key(
    name: &'static str,
    example: &'static str,
    doc: &'static str,
) -> KeySpec {
    KeySpec {
        name,
        kind: ValueKind::Name { max_chars: MAX_NAME_CHARS },
        preset: Preset::Required(example),
        doc,
    }
}

pub(crate) const fn address_key(
    name: &'static str,
    default: &'static str,
    doc: &'static str,
) -> KeySpec {
    KeySpec { name, kind: ValueKind::Address, preset: Preset::Default(default), doc }
}

pub(crate) const fn remote_address_key(
    name: &'static str,
    example: &'static str,
    doc: &'static str,
) -> KeySpec {
    KeySpec { name, kind: ValueKind::RemoteAddress, preset: Preset::Required(example), doc }
}

pub(crate) const fn integer_key(
    name: &'static str,
    (min, max): (u64, u64),
    unit: &'static str,
    default: &'static str,
    doc: &'static str,
) -> KeySpec {
    KeySpec {
        name,
        kind: ValueKind::Integer { min, max, unit },
        preset: Preset::Default(default),
        doc,
    }
}

pub(crate) const fn ms_key(
    name: &'static str,
    range_ms: (u64, u64),
    default: &'static str,
    doc: &'static str,
) -> KeySpec {
    integer_key(name, range_ms, "milliseconds", default, doc)
}

pub(crate) fn instance(values: &Values) -> InstanceSettings {
    InstanceSettings {
        name: Arc::from(values.text("instance", "name")),
        region: Arc::from(values.text("instance", "region")),
        failure_domain: Arc::from(values.text("instance", "failure_domain")),
    }
}

pub(crate) fn security(values: &Values) -> SecuritySettings {
    SecuritySettings { peer_secret: Secret::new(values.text("security", "peer_secret")) }
}

pub(crate) fn log(values: &Values) -> LogSettings {
    let format = match values.text("log", "format") {
        "terminal" => LogFormat::Terminal,
        _ => LogFormat::Json,
    };
    let level = match values.text("log", "level") {
        "error" => LogLevel::Error,
        "warning" => LogLevel::Warning,
        "debug" => LogLevel::Debug,
        _ => LogLevel::Info,
    };
    LogSettings { format, level }
}

pub(crate) fn drain(values: &Values) -> DrainSettings {
    DrainSettings { timeout_ms: values.get("drain", "timeout_ms") }
}
