//! Detects that the process did not run for a while, for example because the machine was frozen.

use std::sync::atomic::{AtomicU64, Ordering};

use samphirespread_core::prelude::*;

/// If the time between two beats is longer than this, the process did not run in between.
const MISSED_AFTER_MS: u64 = 400;
/// Everything that waited during a freeze has been handled this long after it.
const AFTERMATH_MS: u64 = 150;

/// Tracks when the process last ran, to detect freezes.
#[derive(Debug, Default)]
pub(crate) struct Pulse {
    last_ms: AtomicU64,
    aftermath_until_ms: AtomicU64,
}

impl Pulse {
    /// Records that the process runs. Has to be called about ten times a second.
    pub(crate) fn beat(&self, now: MonoTime) {
        let last_ms = self.last_ms.swap(now.as_ms(), Ordering::Relaxed);
        if last_ms != 0 && now.as_ms().saturating_sub(last_ms) > MISSED_AFTER_MS {
            self.aftermath_until_ms.store(now.as_ms() + AFTERMATH_MS, Ordering::Relaxed);
        }
    }

    /// Whether something that arrives now may have waited since before a freeze.
    pub(crate) fn is_aftermath(&self, now: MonoTime) -> bool {
        let last_ms = self.last_ms.load(Ordering::Relaxed);
        let has_missed = last_ms != 0 && now.as_ms().saturating_sub(last_ms) > MISSED_AFTER_MS;
        has_missed || now.as_ms() < self.aftermath_until_ms.load(Ordering::Relaxed)
    }
}
