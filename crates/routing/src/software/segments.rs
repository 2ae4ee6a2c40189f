//! Streams that began lately, as routers write them to the store for the routers after them.

use std::collections::BTreeMap;

use base64::{Engine as _, engine::general_purpose::STANDARD_NO_PAD};
use serde::{Deserialize, Serialize};

use super::{KnownStream, SoftwareTag, StreamKey};

/// Bytes of a stream's key.
const KEY_BYTES: usize = 8;

/// Some streams that began at about the same time, and their versions.
///
/// ```
/// use samphirespread_routing::software::{KnownStream, SoftwareTag, StreamKey, StreamSegment};
///
/// let stream = StreamKey::new("engines", "q1");
/// let known = KnownStream { stream, version: SoftwareTag::of("v1") };
///
/// let segment = StreamSegment::new(7, &[known]);
///
/// assert_eq!(segment.streams(), [known]);
/// ```
///
/// A stream takes 11 bytes of text.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamSegment {
    /// Rises with each segment of a router, so that the oldest is known.
    pub sequence: u64,
    versions: Vec<VersionStreams>,
}

/// The streams of one version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct VersionStreams {
    /// The version, in hexadecimal digits: not every reader of JSON keeps a number of 64 bits.
    version: String,
    /// The keys, one after the other, in Base64.
    keys: String,
}

impl StreamSegment {
    /// Creates a segment.
    pub fn new(sequence: u64, streams: &[KnownStream]) -> Self {
        let mut keys: BTreeMap<SoftwareTag, Vec<u8>> = BTreeMap::new();
        for known in streams {
            keys.entry(known.version).or_default().extend(known.stream.to_bytes());
        }
        let versions = keys.into_iter().map(|(version, keys)| VersionStreams {
            version: format!("{:016x}", version.0),
            keys: STANDARD_NO_PAD.encode(keys),
        });
        Self { sequence, versions: versions.collect() }
    }

    /// Returns the streams. What can't be decoded is left out: such a stream is one that nobody knows.
    pub fn streams(&self) -> Vec<KnownStream> {
        let mut streams = Vec::new();
        for of_version in &self.versions {
            let Ok(version) = u64::from_str_radix(&of_version.version, 16) else { continue };
            let Ok(keys) = STANDARD_NO_PAD.decode(&of_version.keys) else { continue };
            let (keys, _) = keys.as_chunks::<KEY_BYTES>();
            let version = SoftwareTag(version);
            let known = keys.iter().map(|key| StreamKey(u64::from_le_bytes(*key)));
            streams.extend(known.map(|stream| KnownStream { stream, version }));
        }
        streams
    }
}
