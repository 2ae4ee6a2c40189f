//! The settings of connections, and the trait that supplies what heartbeats carry.

use std::{fmt, sync::Arc};

use crate::message::Hello;

const DEFAULT_MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;
const DEFAULT_CONNECT_TIMEOUT_MS: u64 = 500;
const DEFAULT_HEARTBEAT_INTERVAL_MS: u64 = 250;
const DEFAULT_SILENCE_TIMEOUT_MS: u64 = 1_000;

/// A secret that all processes of one deployment share.
#[derive(Clone)]
pub struct Secret(Arc<[u8]>);

impl Secret {
    /// Creates a secret from its bytes.
    pub fn new(bytes: impl AsRef<[u8]>) -> Self {
        Self(Arc::from(bytes.as_ref()))
    }

    pub(crate) fn bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// Settings of connections, the same on both ends.
#[derive(Clone, Debug)]
pub struct WireConfig {
    pub(crate) secret: Secret,
    pub(crate) max_frame_bytes: usize,
    pub(crate) connect_timeout_ms: u64,
    pub(crate) heartbeat_interval_ms: u64,
    pub(crate) silence_timeout_ms: u64,
}

impl WireConfig {
    /// Creates a configuration with this secret and the default limits.
    pub fn new(secret: Secret) -> Self {
        Self {
            secret,
            max_frame_bytes: DEFAULT_MAX_FRAME_BYTES,
            connect_timeout_ms: DEFAULT_CONNECT_TIMEOUT_MS,
            heartbeat_interval_ms: DEFAULT_HEARTBEAT_INTERVAL_MS,
            silence_timeout_ms: DEFAULT_SILENCE_TIMEOUT_MS,
        }
    }

    /// Sets the maximum size of a frame's body that is sent or accepted.
    #[must_use]
    pub fn max_frame_bytes(mut self, bytes: usize) -> Self {
        self.max_frame_bytes = bytes;
        self
    }

    /// Sets the time limit for connecting and for the proof of the secret.
    #[must_use]
    pub fn connect_timeout_ms(mut self, ms: u64) -> Self {
        self.connect_timeout_ms = ms;
        self
    }

    /// Sets the time after which a heartbeat is sent if exchanges are open and nothing arrives.
    #[must_use]
    pub fn heartbeat_interval_ms(mut self, ms: u64) -> Self {
        self.heartbeat_interval_ms = ms;
        self
    }

    /// Sets the time after which the connection is closed if exchanges are open and nothing
    /// arrives.
    #[must_use]
    pub fn silence_timeout_ms(mut self, ms: u64) -> Self {
        self.silence_timeout_ms = ms;
        self
    }
}

/// Supplies the [`Hello`] that this process sends on heartbeats, and receives those of its peers.
pub trait HelloSource: Clone + Send + Sync + 'static {
    /// Returns the current state of this process.
    fn hello(&self) -> Hello;

    /// Handles a hello that a peer sent.
    fn receive_hello(&self, peer: &Hello);
}
