//! Decides when a task reads from the store, and when it copies from another router.

use std::time::Duration;

use samphirespread_core::prelude::*;
use tokio::{sync::Notify, time};

use crate::{
    gateway::Core,
    reads::{self, Reads},
    state::State,
};

/// Pause after a failed call, for the router that retries often.
const RETRY_PAUSE_MS: u64 = 200;
/// Pause after a failed call, for a router that leaves frequent retries to another one.
const SLOW_RETRY_PAUSE_MS: u64 = 900;
/// Copies are read again if they stay unconfirmed for this much longer than the time between two
/// reads.
pub(super) const UNCONFIRMED_GRACE_MS: u64 = 900;
/// Longest time between two checks of whether to read.
const CHECK_INTERVAL_MS: u64 = 100;
/// If the last read on behalf of another router's announcement is more recent than this, the next
/// one is delayed by as much.
const ANNOUNCED_READ_PAUSE_MS: u64 = 150;

/// Why a task is to do something.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Cause {
    /// It is time to read the store.
    ReadIsDue,
    /// Another router has announced a copy that differs.
    Announced,
}

/// When one task reads.
#[derive(Debug)]
pub(super) struct Schedule {
    /// Whether this task's last read of the store succeeded.
    is_up: fn(&Reads) -> bool,
    /// Time since its copies were confirmed.
    age_ms: fn(&Reads, MonoTime) -> u64,
    last_read: Option<MonoTime>,
    last_announced: Option<MonoTime>,
}

impl Schedule {
    pub(super) fn new(is_up: fn(&Reads) -> bool, age_ms: fn(&Reads, MonoTime) -> u64) -> Self {
        Self { is_up, age_ms, last_read: None, last_announced: None }
    }

    /// Waits until the task has something to do, or is to check something else.
    pub(super) async fn next(&mut self, core: &Core, wake: &Notify) -> Option<Cause> {
        let wait_ms = self.wait_ms(core);
        let was_notified = tokio::select! {
            () = time::sleep(Duration::from_millis(wait_ms)) => false,
            () = wake.notified() => true,
        };
        if was_notified {
            self.space_announced(core).await;
        }
        if self.wait_ms(core) == 0 {
            self.last_read = Some(core.now());
            return Some(Cause::ReadIsDue);
        }
        was_notified.then_some(Cause::Announced)
    }

    /// Delays what another router's announcement causes if the last one was only a moment ago.
    async fn space_announced(&mut self, core: &Core) {
        let now = core.now();
        let is_soon = |last: MonoTime| now.ms_since(last) < ANNOUNCED_READ_PAUSE_MS;
        if self.last_announced.is_some_and(is_soon) {
            time::sleep(Duration::from_millis(ANNOUNCED_READ_PAUSE_MS)).await;
        }
        self.last_announced = Some(core.now());
    }

    /// Time until the next check of whether to read. Zero if a read is due.
    fn wait_ms(&self, core: &Core) -> u64 {
        let Some(last) = self.last_read else { return 0 };
        let now = core.now();
        let state = core.state();
        self.due_in_ms(core, &state, now.ms_since(last), now).min(CHECK_INTERVAL_MS)
    }

    fn due_in_ms(&self, core: &Core, state: &State, since_last_ms: u64, now: MonoTime) -> u64 {
        let poll_ms = core.settings.store.poll_ms;
        let is_up = (self.is_up)(&state.reads);
        if reads::reads_for_all(core, state, now) {
            let pause_ms = match is_up {
                true => poll_ms,
                false if reads::probes_store(core, state, now) => RETRY_PAUSE_MS,
                false => SLOW_RETRY_PAUSE_MS,
            };
            return pause_ms.saturating_sub(since_last_ms);
        }
        let confirmed_ms = (self.age_ms)(&state.reads, now).min(since_last_ms);
        let unconfirmed_in_ms = (poll_ms + UNCONFIRMED_GRACE_MS).saturating_sub(confirmed_ms);
        // The store may be back for this router, too, whichever router notices it first.
        let retry_in_ms = SLOW_RETRY_PAUSE_MS.saturating_sub(since_last_ms);
        if is_up { unconfirmed_in_ms } else { unconfirmed_in_ms.min(retry_in_ms) }
    }
}
