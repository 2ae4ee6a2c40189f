//! Detects that the process did not run for a while, for example because the machine was frozen.

use std::sync::atomic::{AtomicU64, Ordering};

use samphirespread_core::prelude::*;

/// If the time between two beats is longer than this, the process did not run in between.
const MAX_BEAT_GAP_MS: u64 = 400;
/// Everything that waited during a freeze has been handled this long after it.
const AFTER_FREEZE_MS: u64 = 150;

/// Tracks when the process last ran, to detect freezes.
#[derive(Debug, Default)]
pub(crate) struct FreezeDetector {
    last_beat_ms: AtomicU64,
    after_freeze_until_ms: AtomicU64,
}

impl FreezeDetector {
    /// Records that the process runs. Has to be called about ten times a second.
    pub(crate) fn record_beat(&self, now: MonoTime) {
        let last_beat_ms = self.last_beat_ms.swap(now.as_ms(), Ordering::Relaxed);
        if last_beat_ms != 0 && now.as_ms().saturating_sub(last_beat_ms) > MAX_BEAT_GAP_MS {
            self.after_freeze_until_ms.store(now.as_ms() + AFTER_FREEZE_MS, Ordering::Relaxed);
        }
    }

    /// Whether something that arrives now may have waited since before a freeze.
    pub(crate) fn is_after_freeze(&self, now: MonoTime) -> bool {
        let last_beat_ms = self.last_beat_ms.load(Ordering::Relaxed);
        let is_overdue =
            last_beat_ms != 0 && now.as_ms().saturating_sub(last_beat_ms) > MAX_BEAT_GAP_MS;
        is_overdue || now.as_ms() < self.after_freeze_until_ms.load(Ordering::Relaxed)
    }
}
