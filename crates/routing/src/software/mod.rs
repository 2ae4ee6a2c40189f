//! Decides at which version of its servers' software a stream may go on.
//!
//! Servers of several versions of a service's software may be in use side by side. What two versions
//! write doesn't fit together, so a stream that has begun goes on at the version that began it. Its
//! caller may take it up at any router, so a router has to know the version of a stream that began
//! elsewhere:
//!
//! * [`StreamVersions`] remembers the versions of streams that began here, or of which another router
//!   has told.
//! * [`StreamSegment`]s in the store have the same for routers that start after all were killed.
//! * [`SoftwareHistory`] knows which versions a service has had for as long as a stream may last. If it
//!   was one all the time, all streams began at that one. A router that has just started relies on the
//!   [`SoftwareRecord`] of those before it.
//!
//! Where neither tells the version, the stream must not go on: lost memory costs a stream, but never
//! joins the text of two versions.
//!
//! ```
//! use samphirespread_core::prelude::*;
//! use samphirespread_routing::software::{SoftwareHistory, SoftwareTag};
//!
//! let version = SoftwareTag::of("v1");
//! let mut history = SoftwareHistory::default();
//! history.observe([("desk".into(), version)], 15_000, MonoTime::ZERO);
//!
//! let list_age_ms = 300;
//! assert_eq!(history.sole_version("desk", list_age_ms, MonoTime::from_ms(14_000)), None);
//! assert_eq!(history.sole_version("desk", list_age_ms, MonoTime::from_ms(16_000)), Some(version));
//! ```
//!
//! # Costs
//!
//! A remembered stream takes some 40 bytes for as long as it may last, and 16 bytes of a datagram to
//! each router that is told of it. Routers tell each other only while a service has, or may have had,
//! more than one version.
//!
//! # Limits
//!
//! A caller is assumed to take a stream up within the time limit that its route sets for a request.

mod history;
mod segments;
mod streams;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{Xxh3, xxh3_64};

pub use self::{
    history::{SETTLING_MS, SoftwareHistory, SoftwareRecord},
    segments::StreamSegment,
    streams::{KnownStream, StreamVersions},
};

/// A version of the software of a service's servers, as a hash of its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct SoftwareTag(u64);

impl SoftwareTag {
    /// Returns the tag of the version with this name.
    pub fn of(version: &str) -> Self {
        Self(xxh3_64(version.as_bytes()))
    }
}

/// Identifies a stream: a hash of its service and of the id of the request that brought its first
/// event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StreamKey(u64);

impl StreamKey {
    /// Returns the key of the stream of a service that began with this request.
    pub fn new(service: &str, request_id: &str) -> Self {
        let mut hasher = Xxh3::new();
        hasher.update(service.as_bytes());
        // The length keeps names apart that would join to the same bytes.
        hasher.update(&service.len().to_le_bytes());
        hasher.update(request_id.as_bytes());
        Self(hasher.digest())
    }

    /// The bytes of the key, from which the routers that remember the stream follow.
    pub fn to_bytes(self) -> [u8; 8] {
        self.0.to_le_bytes()
    }
}
