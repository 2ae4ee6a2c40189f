//! Notices that the machine was frozen, or the process kept from running.

use std::sync::atomic::{AtomicU64, Ordering};

use samphirespread_core::prelude::*;

/// A beat that is later than this shows that the process did not run.
const MISSED_AFTER_MS: u64 = 400;
/// What has waited since before a freeze is dealt with within this time after it.
const AFTERMATH_MS: u64 = 150;

/// Beats while the process runs.
#[derive(Debug, Default)]
pub(crate) struct Pulse {
    last_ms: AtomicU64,
    aftermath_until_ms: AtomicU64,
}

impl Pulse {
    /// Beats. Called about ten times a second.
    pub(crate) fn beat(&self, now: MonoTime) {
        let last_ms = self.last_ms.swap(now.as_ms(), Ordering::Relaxed);
        if last_ms != 0 && now.as_ms().saturating_sub(last_ms) > MISSED_AFTER_MS {
            self.aftermath_until_ms.store(now.as_ms() + AFTERMATH_MS, Ordering::Relaxed);
        }
    }

    /// Whether what comes in now may have waited since before a freeze.
    pub(crate) fn is_aftermath(&self, now: MonoTime) -> bool {
        let last_ms = self.last_ms.load(Ordering::Relaxed);
        let has_missed = last_ms != 0 && now.as_ms().saturating_sub(last_ms) > MISSED_AFTER_MS;
        has_missed || now.as_ms() < self.aftermath_until_ms.load(Ordering::Relaxed)
    }
}
