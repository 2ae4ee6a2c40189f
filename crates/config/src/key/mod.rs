//! Secret texts and digests of callers' keys.

use std::fmt;

use rand::CryptoRng;
use sha2::{Digest, Sha256};

/// Number of random bytes in a new key.
const KEY_BYTES: usize = 32;

/// Prefix by which scanners for leaked secrets recognise a key of this system.
const KEY_PREFIX: &str = "ssk-";

/// The secret text of a key, as callers present it. It is never stored, and `Debug` hides it.
pub struct KeyText(String);

impl KeyText {
    /// Generates a key with 256 random bits.
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

    /// Returns the secret text, to be shown once.
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Returns the digest that the configuration stores.
    pub fn digest(&self) -> String {
        key_digest(&self.0)
    }
}

impl fmt::Debug for KeyText {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyText((hidden))")
    }
}

/// Returns the SHA-256 of a key's text in hex.
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
