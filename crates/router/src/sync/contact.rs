//! When this router last had word on the configuration.

use std::sync::atomic::{AtomicU64, Ordering};

use samphirespread_core::prelude::*;

/// The latest instants at which a question was *sent* that got its answer.
#[derive(Debug, Default)]
pub(crate) struct Contact {
    platform_us: AtomicU64,
    peers_us: AtomicU64,
}

impl Contact {
    /// The platform has answered a question sent then.
    pub(crate) fn platform_answered(&self, sent: MonoTime) {
        self.platform_us.fetch_max(sent.as_us(), Ordering::Relaxed);
    }

    /// Enough peers have answered questions sent then.
    pub(crate) fn peers_answered(&self, sent: MonoTime) {
        self.peers_us.fetch_max(sent.as_us(), Ordering::Relaxed);
    }

    /// Time since the later of the two.
    pub(crate) fn age_ms(&self, now: MonoTime) -> u64 {
        let platform = MonoTime::from_us(self.platform_us.load(Ordering::Relaxed));
        let peers = MonoTime::from_us(self.peers_us.load(Ordering::Relaxed));
        now.ms_since(platform.max(peers))
    }
}
