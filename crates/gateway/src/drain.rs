//! The drain of this process: its schedule, what is open in it, and how what is open ends.

use std::{
    sync::{
        OnceLock,
        atomic::{AtomicUsize, Ordering::Relaxed},
    },
    time::Duration,
};

use samphirespread_core::prelude::*;
use samphirespread_routing::drain::DrainSchedule;
use tokio::{sync::Notify, time};
use tokio_util::sync::CancellationToken;

/// The cause in the log lines of requests that are open when the drain ends.
pub(crate) const CUT_BY_DRAIN: &str = "the drain ended";
/// The log lines of all open requests have to be written within this time, and within half of the
/// time that is left.
const LOG_TIMEOUT_MS: u64 = 100;

/// The time for an answer is over.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TimeOver;

/// The drain of this process.
#[derive(Debug, Default)]
pub(crate) struct Drain {
    /// The times of the drain, once this process was told to stop.
    schedule: OnceLock<DrainSchedule>,
    /// Cancelled when all requests have to be answered.
    answers_due: CancellationToken,
    /// Cancelled when the drain has ended.
    ended: CancellationToken,
    /// Requests whose end is not logged yet.
    open_requests: AtomicUsize,
    /// Requests that the drain kept from an answer of a server.
    cut_requests: AtomicUsize,
    all_requests_ended: Notify,
}

impl Drain {
    /// Begins the drain, unless it has begun. Later changes of the grace period have no effect.
    pub(crate) fn begin(&self, now: MonoTime, grace_ms: u64) -> DrainSchedule {
        *self.schedule.get_or_init(|| DrainSchedule::new(now, grace_ms))
    }

    /// The times of the drain, if it has begun.
    pub(crate) fn schedule(&self) -> Option<&DrainSchedule> {
        self.schedule.get()
    }

    /// Time since the signal to stop. Zero before it.
    pub(crate) fn elapsed_ms(&self, now: MonoTime) -> u64 {
        self.schedule().map_or(0, |schedule| now.ms_since(schedule.begun))
    }

    /// Whether this process was told to stop.
    pub(crate) fn has_begun(&self) -> bool {
        self.schedule().is_some()
    }

    /// When an answer with that deadline is due: a drain may end before it.
    pub(crate) fn due(&self, deadline: MonoTime) -> MonoTime {
        self.schedule().map_or(deadline, |schedule| deadline.min(schedule.answer_by))
    }

    /// Whether the drain ended the wait for something that was due at `deadline`.
    pub(crate) fn has_cut(&self, deadline: MonoTime, now: MonoTime) -> bool {
        // Without the token, a timer that is early by less than its resolution would hide the drain.
        let are_due =
            |schedule: &DrainSchedule| self.answers_due.is_cancelled() || now >= schedule.answer_by;
        now < deadline && self.schedule().is_some_and(are_due)
    }

    /// Ends all waits for servers and callers, so that each request gets its final answer.
    pub(crate) fn demand_answers(&self) {
        self.answers_due.cancel();
    }

    /// Waits until all requests have to be answered.
    pub(crate) async fn answers_due(&self) {
        self.answers_due.cancelled().await;
    }

    /// Waits for `future`, but not longer than `left_ms` or until all requests have to be answered.
    ///
    /// # Errors
    ///
    /// Fails if the time is over.
    pub(crate) async fn timeout<T>(
        &self,
        left_ms: u64,
        future: impl Future<Output = T>,
    ) -> Result<T, TimeOver> {
        tokio::select! {
            biased;
            result = future => Ok(result),
            () = self.answers_due() => Err(TimeOver),
            () = time::sleep(Duration::from_millis(left_ms)) => Err(TimeOver),
        }
    }

    /// Counts a request that the drain kept from an answer of a server.
    pub(crate) fn count_cut(&self) {
        self.cut_requests.fetch_add(1, Relaxed);
    }

    /// Whether the drain has kept no request from an answer of a server.
    pub(crate) fn is_clean(&self) -> bool {
        self.cut_requests.load(Relaxed) == 0 && self.open_requests() == 0
    }

    /// Cuts what is still open, and waits until each cut request is logged, up to a bound.
    pub(crate) async fn end(&self, now: MonoTime) {
        let left_ms = self.schedule().map_or(0, |schedule| schedule.kill.ms_since(now));
        let timeout = Duration::from_millis(LOG_TIMEOUT_MS.min(left_ms / 2));
        self.ended.cancel();
        let logged = async {
            while self.open_requests() > 0 {
                self.all_requests_ended.notified().await;
            }
        };
        // Requests that are not logged by then are counted in the line of the drain's end.
        let _ = time::timeout(timeout, logged).await;
    }

    /// Waits for the end of the drain.
    pub(crate) async fn ended(&self) {
        self.ended.cancelled().await;
    }

    /// Whether the drain has ended.
    pub(crate) fn has_ended(&self) -> bool {
        self.ended.is_cancelled()
    }

    /// Counts a request as open until [`Self::close_request`].
    pub(crate) fn open_request(&self) {
        self.open_requests.fetch_add(1, Relaxed);
    }

    /// Counts the end of a request.
    pub(crate) fn close_request(&self) {
        if self.open_requests.fetch_sub(1, Relaxed) == 1 {
            self.all_requests_ended.notify_one();
        }
    }

    /// The number of requests whose end is not logged yet.
    pub(crate) fn open_requests(&self) -> usize {
        self.open_requests.load(Relaxed)
    }
}
