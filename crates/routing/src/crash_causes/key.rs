//! Keys that identify what may crash backend servers.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// The length of a key. No caller can find two causes with one key of this length.
const KEY_BYTES: usize = 16;

/// Identifies something in a request that may crash the backend servers that run it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CauseKey([u8; KEY_BYTES]);

/// A short form of a key, which is told with each crash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CauseTag(u32);

impl CauseKey {
    /// Returns the key of a part of a prompt, for all teams and models.
    ///
    /// The id of a part depends on the text of all parts before it.
    pub fn of_part(part_id: &str) -> Self {
        Self::of(&[b"part", part_id.as_bytes()])
    }

    /// Returns the key of a whole request, which is the same when it comes again under another id.
    /// Other teams' requests have other keys.
    pub fn of_request(team: &str, method: &str, path_and_query: &str, body: &[u8]) -> Self {
        let text = [team, method, path_and_query].map(str::as_bytes);
        Self::of(&[b"request", text[0], text[1], text[2], body])
    }

    /// Hashes the fields, each with its length, so that no two lists of fields look the same.
    fn of(fields: &[&[u8]]) -> Self {
        let mut digest = Sha256::new();
        for field in fields {
            digest.update((field.len() as u64).to_le_bytes());
            digest.update(field);
        }
        let digest = digest.finalize();
        let mut key = [0; KEY_BYTES];
        key.copy_from_slice(&digest[..KEY_BYTES]);
        Self(key)
    }

    /// The short form of the key.
    pub fn tag(&self) -> CauseTag {
        let [a, b, c, d, ..] = self.0;
        CauseTag(u32::from_le_bytes([a, b, c, d]))
    }

    /// The bytes of the key.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }

    /// Returns the key that [`Display`](fmt::Display) wrote as hexadecimal digits, if it is one.
    pub fn from_hex(text: &str) -> Option<Self> {
        if text.len() != 2 * KEY_BYTES || !text.is_ascii() {
            return None;
        }
        let mut key = [0; KEY_BYTES];
        for (byte, digits) in key.iter_mut().zip(text.as_bytes().chunks_exact(2)) {
            *byte = u8::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()?;
        }
        Some(Self(key))
    }
}

impl fmt::Display for CauseKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
