//! Sections that several daemons share.

use std::{fmt, path::PathBuf, sync::Arc};

use crate::{
    check::{HIDDEN, Values},
    schema::{KeySpec, Kind, Preset, SectionSpec},
};

const MAX_NAME_CHARS: usize = 128;
const MIN_SECRET_CHARS: usize = 16;

/// Milliseconds of one day, the most that any time may be.
pub(crate) const DAY_MS: u64 = 86_400_000;

/// Who and where this process is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceSettings {
    /// Unique in the fleet.
    pub name: Arc<str>,
    /// The region of the instance.
    pub region: Arc<str>,
    /// The failure domain of the instance.
    pub failure_domain: Arc<str>,
}

/// How the system's own processes prove themselves to each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SecuritySettings {
    /// The same in all processes of the fleet.
    pub peer_secret: Secret,
}

/// Text that is never printed.
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
    /// Hides a text.
    pub fn new(text: &str) -> Self {
        Self(Arc::from(text))
    }

    /// The text. Compare it in constant time only.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Secret({HIDDEN})")
    }
}

/// Logging.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogSettings {
    /// The form of a line.
    pub format: LogFormat,
    /// Lines below this level are dropped.
    pub level: LogLevel,
}

/// The form of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// One JSON object a line.
    Json,
    /// Text for people.
    Terminal,
}

/// How much is logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LogLevel {
    /// Faults that need an operator.
    Error,
    /// Faults that the process copes with.
    Warning,
    /// Changes of state.
    Info,
    /// Each request.
    Debug,
}

/// Certificate and key of a TLS server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TlsSettings {
    /// A PEM file with the certificate chain, the server's own first.
    pub certificate: PathBuf,
    /// A PEM file with the private key.
    pub key: PathBuf,
    /// Time between two looks at the files.
    pub reread_ms: u64,
}

/// Leaving without cutting requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainSettings {
    /// Requests that still run after this are cut.
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
        kind: Kind::Secret { min_chars: MIN_SECRET_CHARS },
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
            kind: Kind::Choice(&["json", "terminal"]),
            preset: Preset::Default("json"),
            doc: "The form of a line.",
        },
        KeySpec {
            name: "level",
            kind: Kind::Choice(&["error", "warning", "info", "debug"]),
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
        kind: Kind::Name { max_chars: MAX_NAME_CHARS },
        preset: Preset::Required(example),
        doc,
    }
}

pub(crate) const fn address_key(
    name: &'static str,
    default: &'static str,
    doc: &'static str,
) -> KeySpec {
    KeySpec { name, kind: Kind::Address, preset: Preset::Default(default), doc }
}

pub(crate) const fn remote_key(
    name: &'static str,
    example: &'static str,
    doc: &'static str,
) -> KeySpec {
    KeySpec { name, kind: Kind::RemoteAddress, preset: Preset::Required(example), doc }
}

pub(crate) const fn number_key(
    name: &'static str,
    (min, max): (u64, u64),
    unit: &'static str,
    default: &'static str,
    doc: &'static str,
) -> KeySpec {
    KeySpec { name, kind: Kind::Integer { min, max, unit }, preset: Preset::Default(default), doc }
}

pub(crate) const fn ms_key(
    name: &'static str,
    range_ms: (u64, u64),
    default: &'static str,
    doc: &'static str,
) -> KeySpec {
    number_key(name, range_ms, "milliseconds", default, doc)
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
