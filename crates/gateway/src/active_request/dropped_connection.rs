//! Tells a connection that its server had dropped from a request that its server broke off, and sends the
//! request again where it can't run twice.

use samphirespread_adapter::engine_client;
use samphirespread_core::prelude::*;
use samphirespread_outbound::SendError;

use super::{
    ActiveRequest, in_flight::InFlightGuard, process_check::CHECK_TIMEOUT_MS, send::Sent,
    server_connection::ServerConnection,
};
use crate::{
    crashes::{self, RunStage, RunningServer},
    request_log::Step,
    select::Selected,
};

/// A connection that its server had dropped is reset within about a round trip. The rest is for a process
/// that is slow to read.
const MAX_RESET_MS: u64 = 100;

/// Why a request failed that its server has probably not read.
const DROPPED: &str = "the server had dropped the connection";

/// A send that ended with a reset before an answer, although its server need not have read the request.
#[derive(Debug)]
pub(super) struct Reset {
    pub(super) guard: InFlightGuard,
    pub(super) error: String,
    /// How long the connection was idle before, if the server may have dropped it.
    pub(super) assumed_idle_ms: Option<u64>,
}

/// A request that was sent on a connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct SentRequest {
    pub(super) at: MonoTime,
    /// How long the connection was idle before, if the server may have dropped it.
    pub(super) assumed_idle_ms: Option<u64>,
    pub(super) continues_stopped_run: bool,
    /// Whether it was sent to the server before.
    pub(super) is_resend: bool,
}

impl SentRequest {
    /// Whether the server need not have read the request, as its connection broke with this error now.
    pub(super) fn may_be_unread(self, error: &SendError, now: MonoTime) -> bool {
        let is_reset =
            matches!(error, SendError::Broken(_)) && now.ms_since(self.at) <= MAX_RESET_MS;
        let is_in_doubt = self.assumed_idle_ms.is_some() || self.continues_stopped_run;
        is_reset && is_in_doubt && !self.is_resend
    }
}

impl ActiveRequest {
    /// Records that the server broke the request off.
    pub(super) fn broke_off(
        &mut self,
        selected: &Selected,
        mut guard: InFlightGuard,
        error: String,
    ) -> Sent {
        guard.failed();
        let server = RunningServer::of(selected);
        crashes::run_broke_off(self, &selected.id, server, RunStage::Sent);
        self.server_failed(selected, error)
    }

    /// Asks the server on a new connection after a reset. If its process has not ended, the reset says
    /// nothing of the server, and the request is sent again if it can't run twice.
    pub(super) async fn after_reset(
        &mut self,
        selected: &Selected,
        reset: Reset,
        last_event_id: Option<u64>,
    ) -> Sent {
        let Reset { mut guard, error, assumed_idle_ms } = reset;
        let Some(connection) = self.open_to_same_process(selected).await else {
            return self.broke_off(selected, guard, error);
        };
        let is_sent_again = self.try_begin_resend(selected);
        if let Some(idle_ms) = assumed_idle_ms {
            let outcome = if is_sent_again { "sent_again" } else { "lost" };
            self.record_idle_dropped(selected, idle_ms, outcome);
        }
        if !is_sent_again {
            guard.leave_out();
            return self.dropped(selected);
        }
        let connection = ServerConnection { is_resend: true, ..connection };
        match self.exchange(connection, selected, guard, last_event_id).await {
            // A handle that is used up is refused like one that the server can't use now, so this says
            // nothing of the first send.
            Ok(Sent::NotRun) if selected.stopped_run.is_some() => Sent::Failed(DROPPED),
            Ok(sent) => sent,
            Err(unanswered) => {
                unanswered.into_guard().leave_out();
                self.dropped(selected)
            }
        }
    }

    /// Opens a connection to the process that the request was sent to. Returns `None` if another one
    /// answers, or none.
    async fn open_to_same_process(&mut self, selected: &Selected) -> Option<ServerConnection> {
        let mut opened = self.open(selected).await?;
        let timeout_ms = CHECK_TIMEOUT_MS.min(self.left_ms());
        let connection = &mut opened.connection;
        let asked = engine_client::check_health(connection, selected.address, timeout_ms).await;
        let started_unix_ms = asked.ok()?.started_unix_ms;
        (Some(started_unix_ms) == selected.started_unix_ms).then_some(opened)
    }

    /// Whether the request is sent to the server again, which may have read it. Only one server may
    /// continue a stopped run with a handle, and only once. Such a repeat is owed; any other is charged to
    /// the retry budget, as the server may have received the first one.
    fn try_begin_resend(&mut self, selected: &Selected) -> bool {
        if selected.stopped_run.is_some() {
            self.count_return();
            return true;
        }
        self.attempts.may_send_again() && self.try_spend_repeat()
    }

    fn dropped(&mut self, selected: &Selected) -> Sent {
        let (server, may_repeat) = (selected.id.clone(), self.may_repeat());
        let step = Step::Failed { server, cause: DROPPED.to_owned(), may_repeat };
        self.request_log.step(self.core.now(), step);
        Sent::Failed(DROPPED)
    }
}
