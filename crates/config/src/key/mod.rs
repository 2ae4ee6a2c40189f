//! Texts and digests of callers' keys.

use std::fmt;

use rand::CryptoRng;
use sha2::{Digest, Sha256};

/// Random bytes in a new key.
const KEY_BYTES: usize = 32;

/// Marks the text as a key of this system, for scanners that look for leaked secrets.
const KEY_PREFIX: &str = "ssk-";

/// The text of a key, as callers show it. It is never stored nor printed by `Debug`.
pub struct KeyText(String);

impl KeyText {
    /// Makes a key with 256 random bits.
    ///
    /// ```
    /// use samphirespread_config::{KeyText, key_digest};
    ///
    /// let key = KeyText::generate(&mut rand::rng());
    ///
    /// assert_eq!(key.digest(), key_digest(key.expose()));
    /// ```
    pub fn generate(rng: &mut impl CryptoRng) -> Self {
        let mut bytes = [0; KEY_BYTES];
        rng.fill_bytes(&mut bytes);
        Self(format!("{KEY_PREFIX}{}", hex(&bytes)))
    }

    /// The text, to be shown once.
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// What the configuration stores.
    pub fn digest(&self) -> String {
        key_digest(&self.0)
    }
}

impl fmt::Debug for KeyText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyText((hidden))")
    }
}

/// The SHA-256 of a key's text in hex.
pub fn key_digest(text: &str) -> String {
    hex(&Sha256::digest(text.as_bytes()))
}

pub(crate) fn hex(bytes: &[u8]) -> String {
    use std::fmt::Write;
    let mut text = String::with_capacity(2 * bytes.len());
    for byte in bytes {
        let _ = write!(text, "{byte:02x}");
    }
    text
}
