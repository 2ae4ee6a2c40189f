//! The state that a router keeps of one other router.

use samphirespread_core::prelude::*;
use serde::{Deserialize, Serialize};

/// A router that was asked and has not answered for this long counts as silent; the next one is
/// asked instead.
pub(crate) const LINK_SILENT_MS: u64 = 300;
/// Time after the first answer during which a router may have just started and may lack most
/// records.
const SETTLING_MS: u64 = 400;
/// Time for which a request is served after it was last repeated.
const REQUEST_LIFETIME_MS: u64 = 1_000;

/// The records that one router requests from another one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum RecordRequest {
    /// No records.
    #[default]
    None,
    /// No records; the request only shows whether the other router answers, so that it can become
    /// the relay at once.
    Presence,
    /// The records of the other router's failure domain.
    SenderDomain,
    /// All records.
    All,
}

/// The state of the link to one other router.
#[derive(Clone, Debug, Default)]
pub(crate) struct Link {
    /// When the last message arrived that showed that the other router receives this one's
    /// messages.
    last_answer: Option<MonoTime>,
    /// Since when the other router has answered without a break.
    answers_since: MonoTime,
    /// Since when this router has requested something from it without a break.
    asked_since: Option<MonoTime>,
    /// Its latest request to this router.
    request: RecordRequest,
    /// When the latest request arrived.
    requested_at: MonoTime,
    /// Records up to this revision were sent to it.
    pub(crate) sent_revision: u64,
}

impl Link {
    /// Handles a request of the other router; `hears_this` says whether it receives this router's
    /// messages.
    pub(crate) fn handle_request(
        &mut self,
        request: RecordRequest,
        hears_this: bool,
        now: MonoTime,
    ) {
        if self.current_request(now) != request {
            // The records sent for an earlier request may not include those requested now.
            self.sent_revision = 0;
        }
        if hears_this {
            if !self.answers(now) {
                self.answers_since = now;
            }
            self.last_answer = Some(now);
        }
        self.request = request;
        self.requested_at = now;
    }

    /// Returns the other router's request, if it is recent.
    pub(crate) fn current_request(&self, now: MonoTime) -> RecordRequest {
        let is_recent = now.ms_since(self.requested_at) <= REQUEST_LIFETIME_MS;
        if is_recent { self.request } else { RecordRequest::None }
    }

    /// Records whether this router requests something from the other one.
    pub(crate) fn set_asked(&mut self, is_asked: bool, now: MonoTime) {
        self.asked_since = if is_asked { self.asked_since.or(Some(now)) } else { None };
    }

    /// Returns whether the other router has answered for long enough to have received the
    /// records of all others.
    pub(crate) fn is_settled(&self, now: MonoTime) -> bool {
        self.answers(now) && now.ms_since(self.answers_since) >= SETTLING_MS
    }

    /// Returns whether this router requests something from the other one.
    pub(crate) fn is_asked(&self) -> bool {
        self.asked_since.is_some()
    }

    /// Returns whether the other router has answered recently.
    pub(crate) fn answers(&self, now: MonoTime) -> bool {
        self.last_answer.is_some_and(|last_answer| now.ms_since(last_answer) <= LINK_SILENT_MS)
    }

    /// Returns whether the other router has not answered although it was asked.
    pub(crate) fn is_silent(&self, now: MonoTime) -> bool {
        let Some(asked_since) = self.asked_since else { return false };
        let since = self.last_answer.unwrap_or(asked_since).max(asked_since);
        now.ms_since(since) > LINK_SILENT_MS
    }
}
