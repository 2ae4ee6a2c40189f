//! Identifiers. Names share their text, so that clones are cheap; numbers are `Copy`.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates a name from text.
            pub fn new(text: impl AsRef<str>) -> Self {
                Self(Arc::from(text.as_ref()))
            }

            /// Returns the text of the name.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    )*};
}

names! {
    /// Name of a process of the system or of a backend server, unique in the fleet.
    InstanceName;
    /// Name of a team, a customer with its own keys, rate and cache.
    TeamName;
    /// Name of a model that callers may request.
    ModelName;
    /// Name of a version of a model's weights.
    WeightsVersion;
    /// Name of a set of backend servers that run the same model and version.
    SetName;
}

macro_rules! numbers {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    )*};
}

numbers! {
    /// Number of the configuration's head. It never decreases.
    Generation;
    /// Number of one run of a process at its address. A later run has a higher number.
    Incarnation;
    /// Number that fences off outdated orders. Once a receiver has seen a higher number, it refuses
    /// orders with a lower one.
    FencingNumber;
    /// Salted chain hash of the prefix that ends with this block.
    BlockKey;
}

/// Identifies a caller's request, unique in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestId {
    /// Incarnation of the router that received the request.
    pub origin: u64,
    /// Number of the request within that incarnation.
    pub serial: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{:x}", self.origin, self.serial)
    }
}

/// Identifies one attempt to run a request on one backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt within the request, from zero.
    pub number: u32,
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.request, self.number)
    }
}
