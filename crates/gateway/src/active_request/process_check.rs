//! Makes sure that a stream goes on at the very process that the list of servers describes, and that a
//! request meets no connection that its server has dropped.

use samphirespread_adapter::{
    EngineError,
    engine_client::{self, HealthCheck},
};
use samphirespread_routing::server_speed::Pace;

use super::{
    ActiveRequest,
    server_connection::{ServerConnection, Trust},
};
use crate::{
    metrics::count,
    select::{Selected, StreamRole},
    server_speed,
};

/// Timeout for the answer of a server that is asked when it started.
pub(super) const CHECK_TIMEOUT_MS: u64 = 300;

/// Which process answers on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProcessCheck {
    /// The one that the list describes, or it does not matter.
    Listed,
    /// One that has started since, or the list does not say when its process started.
    Other,
    /// Nothing answered.
    NoAnswer,
}

impl ProcessCheck {
    /// Its name in metrics.
    fn name(self) -> &'static str {
        match self {
            Self::Listed => "listed",
            Self::Other => "other",
            Self::NoAnswer => "no_answer",
        }
    }
}

impl ActiveRequest {
    /// Asks the server on a connection when it started, if the request continues a stream or the server may
    /// have dropped the connection.
    ///
    /// A server may start again under its id with other software at any time, and the list shows that
    /// later. The connection ends with the process, so what the process says on it holds for the request
    /// that follows. A stopped run may go to any process: only the one that has its memory continues it.
    pub(super) async fn check_process(
        &self,
        connection: &mut ServerConnection,
        selected: &Selected,
    ) -> ProcessCheck {
        let continues = matches!(self.stream_role(), StreamRole::Continues(_));
        let process_matters = continues && selected.stopped_run.is_none();
        if !process_matters && !connection.must_be_checked() {
            return ProcessCheck::Listed;
        }
        let timeout_ms = CHECK_TIMEOUT_MS.min(self.left_ms());
        let open = &mut connection.connection;
        let asked = engine_client::check_health(open, selected.address, timeout_ms).await;
        self.note_check_of_kept(connection, selected, &asked);
        let check = match &asked {
            Ok(health) if Some(health.started_unix_ms) == selected.started_unix_ms => {
                self.record_pace(selected, health.pace);
                ProcessCheck::Listed
            }
            Ok(_) if process_matters => ProcessCheck::Other,
            Ok(_) => ProcessCheck::Listed,
            // An answer, if it does not say when the process started.
            Err(EngineError::Status(_) | EngineError::Malformed(_)) if !process_matters => {
                ProcessCheck::Listed
            }
            Err(_) => ProcessCheck::NoAnswer,
        };
        if process_matters {
            count(&self.core.metrics.process_checks, check.name());
        }
        if check == ProcessCheck::Other {
            self.core.wake_list_reader.notify_one();
        }
        check
    }

    /// Records what a check shows of a connection that was idle.
    fn note_check_of_kept(
        &self,
        connection: &mut ServerConnection,
        selected: &Selected,
        asked: &Result<HealthCheck, EngineError>,
    ) {
        let Some(kept) = &mut connection.kept else { return };
        kept.trust = Trust::Checked;
        match asked {
            Err(EngineError::CallFailed(_)) => {
                self.record_idle_dropped(selected, kept.idle_ms, "found");
            }
            Err(EngineError::TimedOut { .. }) => {
                count(&self.core.metrics.idle_connections, "silent");
            }
            _ => {
                count(&self.core.metrics.idle_connections, "open");
                self.record_idle_survived(selected, kept.idle_ms);
            }
        }
    }

    fn record_pace(&self, selected: &Selected, pace: Option<Pace>) {
        let now = self.core.now();
        if let Some(server) = self.core.state().fleet.get_mut(&selected.id) {
            server_speed::record_pace(server, pace, &self.core.metrics, now);
        }
    }
}
