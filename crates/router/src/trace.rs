//! Recording of requests as JSON lines, for replay by the load tool.

use serde::Serialize;
use tokio::sync::broadcast;

const FEED_RECORDS: usize = 4_096;

/// One admitted request.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct TraceRecord {
    /// Milliseconds since the router started.
    pub(crate) at_ms: u64,
    /// The team.
    pub(crate) team: String,
    /// The model.
    pub(crate) model: String,
    /// The keys of the prompt's blocks, which tell shared prefixes without telling text.
    pub(crate) blocks: Vec<u64>,
    /// Tokens of the prompt.
    pub(crate) prompt_tokens: u64,
    /// Output tokens asked for at most.
    pub(crate) max_output_tokens: u32,
}

/// Hands records to whoever listens; costs nothing while nobody does.
#[derive(Debug)]
pub(crate) struct TraceFeed {
    records: broadcast::Sender<TraceRecord>,
}

impl Default for TraceFeed {
    fn default() -> Self {
        Self { records: broadcast::Sender::new(FEED_RECORDS) }
    }
}

impl TraceFeed {
    /// Records a request if anyone listens.
    pub(crate) fn record(&self, record: impl FnOnce() -> TraceRecord) {
        if self.records.receiver_count() > 0 {
            // The last listener may have left just now.
            let _ = self.records.send(record());
        }
    }

    /// Listens from now on.
    pub(crate) fn listen(&self) -> broadcast::Receiver<TraceRecord> {
        self.records.subscribe()
    }
}
