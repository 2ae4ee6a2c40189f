//! Descriptions of sections and keys. The checks and the example files are derived from them.

use std::{fmt, net::SocketAddr};

/// The sections of one daemon's file.
pub(crate) type Schema = &'static [SectionSpec];

/// The description of a section.
#[derive(Debug)]
pub(crate) struct SectionSpec {
    pub(crate) name: &'static str,
    /// Whether the whole section may be left out.
    pub(crate) optional: bool,
    pub(crate) doc: &'static str,
    pub(crate) keys: &'static [KeySpec],
}

impl SectionSpec {
    pub(crate) fn key(&self, name: &str) -> Option<&'static KeySpec> {
        self.keys.iter().find(|key| key.name == name)
    }
}

/// The description of a key.
#[derive(Debug)]
pub(crate) struct KeySpec {
    pub(crate) name: &'static str,
    pub(crate) kind: ValueKind,
    pub(crate) preset: Preset,
    pub(crate) doc: &'static str,
}

/// What happens when the file leaves a key out.
#[derive(Debug)]
pub(crate) enum Preset {
    /// The key takes this value.
    Default(&'static str),
    /// The file is refused. The example file shows this value.
    Required(&'static str),
}

impl Preset {
    pub(crate) fn text(&self) -> &'static str {
        match self {
            Self::Default(text) | Self::Required(text) => text,
        }
    }
}

/// The values that a key allows.
#[derive(Debug)]
pub(crate) enum ValueKind {
    /// A name of up to `max_chars` characters.
    Name { max_chars: usize },
    /// `IP:port`. A port of zero lets the kernel choose.
    Address,
    /// `IP:port` of another process. A port of zero is refused.
    RemoteAddress,
    /// Any number of `IP:port`, separated by commas.
    RemoteAddresses,
    /// A whole number.
    Integer { min: u64, max: u64, unit: &'static str },
    /// A number with or without a fraction.
    Decimal { min: f64, max: f64, unit: &'static str },
    /// One of these words.
    Choice(&'static [&'static str]),
    /// Any number of these words, separated by commas.
    Choices(&'static [&'static str]),
    /// Any number of names of up to `max_chars` characters, separated by commas.
    Names { max_chars: usize },
    /// The path of a file.
    Path,
    /// A text that is never printed, of at least `min_chars` characters.
    Secret { min_chars: usize },
}

impl ValueKind {
    pub(crate) fn allows(&self, value: &str) -> bool {
        match self {
            Self::Name { max_chars } => is_name(value, *max_chars),
            Self::Address => value.parse::<SocketAddr>().is_ok(),
            Self::RemoteAddress => is_remote_address(value),
            Self::RemoteAddresses => list_items(value).all(is_remote_address),
            Self::Integer { min, max, .. } => is_integer(value, *min, *max),
            Self::Decimal { min, max, .. } => {
                value.parse::<f64>().is_ok_and(|number| (*min..=*max).contains(&number))
            }
            Self::Choice(words) => words.contains(&value),
            Self::Choices(words) => list_items(value).all(|item| words.contains(&item)),
            Self::Names { max_chars } => list_items(value).all(|item| is_name(item, *max_chars)),
            Self::Path => !value.is_empty(),
            Self::Secret { min_chars } => value.chars().count() >= *min_chars,
        }
    }

    pub(crate) fn is_secret(&self) -> bool {
        matches!(self, Self::Secret { .. })
    }
}

impl fmt::Display for ValueKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Name { max_chars } => {
                write!(f, "1 to {max_chars} letters, digits, dots, underscores or hyphens")
            }
            Self::Address => f.write_str("an address as IP:port"),
            Self::RemoteAddress => f.write_str("an address as IP:port, the port not 0"),
            Self::RemoteAddresses => f.write_str("addresses as IP:port, separated by commas"),
            Self::Integer { min, max, unit } => {
                write!(f, "a whole number of {unit} from {min} to {max}")
            }
            Self::Decimal { min, max, unit } => {
                write!(f, "a number of {unit} from {min} to {max}")
            }
            Self::Choice(words) => write!(f, "one of {}", words.join(", ")),
            Self::Choices(words) => write!(f, "any of {}, separated by commas", words.join(", ")),
            Self::Names { max_chars } => {
                write!(
                    f,
                    "names of 1 to {max_chars} letters, digits, dots, underscores or hyphens, \
                     separated by commas"
                )
            }
            Self::Path => f.write_str("the path of a file"),
            Self::Secret { min_chars } => write!(f, "at least {min_chars} characters"),
        }
    }
}

/// Splits a list at its commas, trims the items and skips empty ones.
pub(crate) fn list_items(value: &str) -> impl Iterator<Item = &str> {
    value.split(',').map(str::trim).filter(|item| !item.is_empty())
}

fn is_remote_address(value: &str) -> bool {
    value.parse::<SocketAddr>().is_ok_and(|address| address.port() != 0)
}

fn is_name(value: &str, max_chars: usize) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"._-".contains(&byte);
    !value.is_empty() && value.len() <= max_chars && value.bytes().all(allowed)
}

fn is_integer(value: &str, min: u64, max: u64) -> bool {
    value.bytes().all(|byte| byte.is_ascii_digit())
        && value.parse::<u64>().is_ok_and(|number| (min..=max).contains(&number))
}
