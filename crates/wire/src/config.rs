//! Settings of connections.

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
    /// Takes the bytes of the secret.
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
    /// Default limits with this secret.
    pub fn new(secret: Secret) -> Self {
        Self {
            secret,
            max_frame_bytes: DEFAULT_MAX_FRAME_BYTES,
            connect_timeout_ms: DEFAULT_CONNECT_TIMEOUT_MS,
            heartbeat_interval_ms: DEFAULT_HEARTBEAT_INTERVAL_MS,
            silence_timeout_ms: DEFAULT_SILENCE_TIMEOUT_MS,
        }
    }

    /// Longest frame that is sent or taken.
    #[must_use]
    pub fn max_frame_bytes(mut self, bytes: usize) -> Self {
        self.max_frame_bytes = bytes;
        self
    }

    /// Longest time to connect and prove the secret.
    #[must_use]
    pub fn connect_timeout_ms(mut self, ms: u64) -> Self {
        self.connect_timeout_ms = ms;
        self
    }

    /// Time without an arrival after which a busy connection sends a heartbeat.
    #[must_use]
    pub fn heartbeat_interval_ms(mut self, ms: u64) -> Self {
        self.heartbeat_interval_ms = ms;
        self
    }

    /// Time without an arrival after which a busy connection is closed.
    #[must_use]
    pub fn silence_timeout_ms(mut self, ms: u64) -> Self {
        self.silence_timeout_ms = ms;
        self
    }
}

/// What a process says of itself on heartbeats, and where it learns what others say.
pub trait HelloSource: Clone + Send + Sync + 'static {
    /// What to say now.
    fn hello(&self) -> Hello;

    /// Takes in what a peer said.
    fn heard(&self, peer: &Hello);
}
