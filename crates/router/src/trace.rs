//! Records requests as JSON lines, for replay by the load tool.

use serde::Serialize;
use tokio::sync::broadcast;

const MAX_BUFFERED_RECORDS: usize = 4_096;

/// One request, recorded before admission decides on it.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct TraceRecord {
    /// When the request arrived, in milliseconds since the router started.
    pub(crate) at_ms: u64,
    /// The team that the request is charged to.
    pub(crate) team: String,
    /// The model that the request is for.
    pub(crate) model: String,
    /// The keys of the prompt's blocks, which show shared prefixes without revealing the text.
    pub(crate) blocks: Vec<u64>,
    /// The number of tokens in the prompt.
    pub(crate) prompt_tokens: u64,
    /// The maximum number of output tokens.
    pub(crate) max_output_tokens: u32,
}

/// Broadcasts records to subscribers. Records are built only while there are subscribers.
#[derive(Debug)]
pub(crate) struct TraceFeed {
    records: broadcast::Sender<TraceRecord>,
}

impl Default for TraceFeed {
    fn default() -> Self {
        Self { records: broadcast::Sender::new(MAX_BUFFERED_RECORDS) }
    }
}

impl TraceFeed {
    /// Broadcasts a request's record if there are subscribers.
    pub(crate) fn record(&self, record: impl FnOnce() -> TraceRecord) {
        if self.records.receiver_count() > 0 {
            // Fails only if the last subscriber has just left.
            let _ = self.records.send(record());
        }
    }

    /// Returns a subscription to all records from now on.
    pub(crate) fn subscribe(&self) -> broadcast::Receiver<TraceRecord> {
        self.records.subscribe()
    }
}
