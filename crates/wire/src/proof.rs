//! Mutual proof that both ends know the secret, without sending it.
//!
//! The client sends a fresh number. The server answers with its own and an HMAC-SHA-256 over
//! both. The client checks that and answers with an HMAC under another label. A recorded
//! proof is worthless later, and neither end's proof can be turned round against it.

use hmac::{Hmac, Mac};
use rand::RngCore;
use sha2::Sha256;

use crate::Secret;

/// Bytes of a fresh number.
pub const NONCE_BYTES: usize = 32;

/// Bytes of a proof.
pub const PROOF_BYTES: usize = 32;

/// Whose proof it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The end that connected.
    Client,
    /// The end that was connected to.
    Server,
}

impl Side {
    fn label(self) -> &'static [u8] {
        match self {
            Self::Client => b"samphirespread client proof",
            Self::Server => b"samphirespread server proof",
        }
    }
}

/// The two fresh numbers of one connection.
#[derive(Clone, Copy, Debug)]
pub struct Nonces {
    /// The client's number.
    pub client: [u8; NONCE_BYTES],
    /// The server's number.
    pub server: [u8; NONCE_BYTES],
}

/// A fresh number.
pub fn fresh_nonce() -> [u8; NONCE_BYTES] {
    let mut nonce = [0; NONCE_BYTES];
    rand::rng().fill_bytes(&mut nonce);
    nonce
}

/// The proof of one side.
pub fn prove(secret: &Secret, side: Side, nonces: &Nonces) -> [u8; PROOF_BYTES] {
    keyed(secret, side, nonces).finalize().into_bytes().into()
}

/// Whether a proof is right, in constant time.
pub fn verify(secret: &Secret, side: Side, nonces: &Nonces, proof: &[u8]) -> bool {
    keyed(secret, side, nonces).verify_slice(proof).is_ok()
}

fn keyed(secret: &Secret, side: Side, nonces: &Nonces) -> Hmac<Sha256> {
    let Ok(mut mac) = Hmac::<Sha256>::new_from_slice(secret.bytes()) else {
        unreachable!("HMAC takes keys of any length");
    };
    mac.update(side.label());
    mac.update(&nonces.client);
    mac.update(&nonces.server);
    mac
}
