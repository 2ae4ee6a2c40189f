//! Descriptions of sections and keys, from which checks and examples are made.

use std::{fmt, net::SocketAddr};

/// The sections of one daemon's file.
pub(crate) type Schema = &'static [SectionSpec];

/// One section.
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

/// One key.
#[derive(Debug)]
pub(crate) struct KeySpec {
    pub(crate) name: &'static str,
    pub(crate) kind: Kind,
    pub(crate) preset: Preset,
    pub(crate) doc: &'static str,
}

/// What a key is when the file leaves it out.
#[derive(Debug)]
pub(crate) enum Preset {
    /// This value is in force.
    Default(&'static str),
    /// The file is refused. Examples show this value.
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
pub(crate) enum Kind {
    /// A name of up to that many characters.
    Name { max_chars: usize },
    /// `IP:port`. A port of zero lets the kernel choose.
    Address,
    /// `IP:port` of another process.
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
    /// The path of a file.
    Path,
    /// Text that is never shown.
    Secret { min_chars: usize },
}

impl Kind {
    pub(crate) fn allows(&self, value: &str) -> bool {
        match self {
            Self::Name { max_chars } => is_name(value, *max_chars),
            Self::Address => value.parse::<SocketAddr>().is_ok(),
            Self::RemoteAddress => is_remote(value),
            Self::RemoteAddresses => items(value).all(is_remote),
            Self::Integer { min, max, .. } => is_integer(value, *min, *max),
            Self::Decimal { min, max, .. } => {
                value.parse::<f64>().is_ok_and(|number| (*min..=*max).contains(&number))
            }
            Self::Choice(words) => words.contains(&value),
            Self::Choices(words) => items(value).all(|item| words.contains(&item)),
            Self::Path => !value.is_empty(),
            Self::Secret { min_chars } => value.chars().count() >= *min_chars,
        }
    }

    pub(crate) fn is_secret(&self) -> bool {
        matches!(self, Self::Secret { .. })
    }
}

impl fmt::Display for Kind {
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
            Self::Path => f.write_str("the path of a file"),
            Self::Secret { min_chars } => write!(f, "at least {min_chars} characters"),
        }
    }
}

/// The items of a list, without the spaces around them. An empty text has none.
pub(crate) fn items(value: &str) -> impl Iterator<Item = &str> {
    value.split(',').map(str::trim).filter(|item| !item.is_empty())
}

fn is_remote(value: &str) -> bool {
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
