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

    /// The router knows of no peer to ask. That keeps a contact alive through an outage of the
    /// platform, but never revives one: a router that was paused may have missed that there are
    /// peers now.
    pub(crate) fn no_peers(&self, now: MonoTime, stale_ms: u64) {
        if self.age_ms(now) < stale_ms {
            self.peers_answered(now);
        }
    }

    /// Time since the later of the two.
    pub(crate) fn age_ms(&self, now: MonoTime) -> u64 {
        let platform = MonoTime::from_us(self.platform_us.load(Ordering::Relaxed));
        let peers = MonoTime::from_us(self.peers_us.load(Ordering::Relaxed));
        now.ms_since(platform.max(peers))
    }
}
