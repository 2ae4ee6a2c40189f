//! A handle to one attempt that is waiting or running, or whose answer is kept.

use std::sync::{
    Mutex, MutexGuard, PoisonError,
    atomic::{AtomicBool, Ordering},
};

use samphirespread_core::prelude::*;
use samphirespread_wire::message::Reply;
use tokio::sync::{Notify, watch};
use tokio_util::sync::CancellationToken;

use crate::journal::{Journal, Line, Read};

/// Size of the part of one answer that is kept for resuming.
const MAX_JOURNAL_BYTES: usize = 1024 * 1024;

/// The data that the task of an attempt shares with its followers.
#[derive(Debug)]
pub(crate) struct AttemptHandle {
    pub(crate) id: AttemptId,
    pub(crate) team: TeamName,
    /// Cancelled when nobody wants the answer any more.
    pub(crate) cancel: CancellationToken,
    journal: Mutex<Journal>,
    changed: watch::Sender<()>,
    drained: Notify,
    end_sent: AtomicBool,
}

impl AttemptHandle {
    pub(crate) fn new(id: AttemptId, team: TeamName) -> Self {
        Self {
            id,
            team,
            cancel: CancellationToken::new(),
            journal: Mutex::new(Journal::new(MAX_JOURNAL_BYTES)),
            changed: watch::Sender::new(()),
            drained: Notify::new(),
            end_sent: AtomicBool::new(false),
        }
    }

    /// Returns a receiver that is notified whenever the answer grows or ends.
    pub(crate) fn subscribe(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    /// Adds a line, after waiting until the journal has room for it.
    pub(crate) async fn push(&self, line: Line) {
        while self.journal().is_full() {
            self.drained.notified().await;
        }
        self.journal().push(line);
        self.changed.send_replace(());
    }

    /// Ends the answer.
    pub(crate) fn end(&self, reply: Reply) {
        self.journal().end(reply);
        self.changed.send_replace(());
    }

    pub(crate) fn read(&self, from_seq: u64) -> Read {
        let read = self.journal().read(from_seq);
        self.drained.notify_one();
        read
    }

    pub(crate) fn next_seq(&self) -> u64 {
        self.journal().next_seq()
    }

    pub(crate) fn bytes(&self) -> usize {
        self.journal().bytes()
    }

    /// Records that a follower was sent the end of the answer.
    pub(crate) fn mark_end_sent(&self) {
        self.end_sent.store(true, Ordering::Relaxed);
    }

    /// Returns whether somebody wants the answer and has not been sent its end.
    pub(crate) fn is_owed(&self) -> bool {
        !self.end_sent.load(Ordering::Relaxed) && !self.cancel.is_cancelled()
    }

    pub(crate) fn has_ended(&self) -> bool {
        self.journal().has_ended()
    }

    fn journal(&self) -> MutexGuard<'_, Journal> {
        self.journal.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
