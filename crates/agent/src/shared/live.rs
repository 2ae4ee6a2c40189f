//! One attempt that waits, runs or whose answer is kept.

use std::sync::{Mutex, MutexGuard, PoisonError};

use samphirespread_core::prelude::*;
use samphirespread_wire::message::Reply;
use tokio::sync::{Notify, watch};
use tokio_util::sync::CancellationToken;

use crate::journal::{Journal, Line, Read};

/// Bytes of an answer that are kept for resuming.
const MAX_JOURNAL_BYTES: usize = 1024 * 1024;

/// What the task of an attempt and its followers share.
#[derive(Debug)]
pub(crate) struct Live {
    pub(crate) id: AttemptId,
    pub(crate) team: TeamName,
    /// Cancelled when nobody wants the answer any more.
    pub(crate) cancel: CancellationToken,
    journal: Mutex<Journal>,
    changed: watch::Sender<()>,
    drained: Notify,
}

impl Live {
    pub(crate) fn new(id: AttemptId, team: TeamName) -> Self {
        Self {
            id,
            team,
            cancel: CancellationToken::new(),
            journal: Mutex::new(Journal::new(MAX_JOURNAL_BYTES)),
            changed: watch::Sender::new(()),
            drained: Notify::new(),
        }
    }

    /// Wakes followers whenever the answer grows.
    pub(crate) fn subscribe(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    /// Adds a line, once there is room for it.
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

    pub(crate) fn has_ended(&self) -> bool {
        self.journal().has_ended()
    }

    fn journal(&self) -> MutexGuard<'_, Journal> {
        self.journal.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
