//! Mutual authentication: each end proves that it knows the secret, without sending it.
//!
//! The client sends a nonce. The server answers with its own nonce and an HMAC-SHA-256 over both.
//! The client verifies the HMAC and answers with one of its own, which is computed with another
//! label. Because of the nonces a recorded proof can't be replayed, and because of the labels
//! neither end's proof can be reflected to it.

use hmac::{Hmac, Mac};
use rand::RngCore;
use sha2::Sha256;

use crate::Secret;

/// Size of a nonce in bytes.
pub const NONCE_BYTES: usize = 32;

/// Size of a proof in bytes.
pub const PROOF_BYTES: usize = 32;

/// The end of a connection that computes a proof.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The end that connected.
    Client,
    /// The end that accepted the connection.
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

/// The two nonces of one connection.
#[derive(Clone, Copy, Debug)]
pub struct Nonces {
    /// The client's nonce.
    pub client: [u8; NONCE_BYTES],
    /// The server's nonce.
    pub server: [u8; NONCE_BYTES],
}

/// Returns a random nonce.
pub fn fresh_nonce() -> [u8; NONCE_BYTES] {
    let mut nonce = [0; NONCE_BYTES];
    rand::rng().fill_bytes(&mut nonce);
    nonce
}

/// Computes the proof of one side.
pub fn prove(secret: &Secret, side: Side, nonces: &Nonces) -> [u8; PROOF_BYTES] {
    proof_mac(secret, side, nonces).finalize().into_bytes().into()
}

/// Returns true if a proof is correct. The comparison takes constant time.
pub fn verify(secret: &Secret, side: Side, nonces: &Nonces, proof: &[u8]) -> bool {
    proof_mac(secret, side, nonces).verify_slice(proof).is_ok()
}

fn proof_mac(secret: &Secret, side: Side, nonces: &Nonces) -> Hmac<Sha256> {
    let Ok(mut mac) = Hmac::<Sha256>::new_from_slice(secret.bytes()) else {
        unreachable!("HMAC takes keys of any length");
    };
    mac.update(side.label());
    mac.update(&nonces.client);
    mac.update(&nonces.server);
    mac
}
