//! Counters and histograms.

use prometheus_client::{
    metrics::{
        counter::Counter,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};
pub(crate) use samphirespread_daemon::metrics::count;
use samphirespread_daemon::metrics::{Causes, spans, text};

/// Buckets of the histograms of spans.
const BUCKETS: u16 = 15;
/// Buckets for requests that wait, from one on.
const QUEUE_BUCKETS: u16 = 9;

/// All metrics of a gateway.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    /// Requests by how they ended.
    pub(crate) ended: Causes,
    /// Refusals by their reason.
    pub(crate) not_run: Causes,
    /// Sends beyond the first of a request, by what led to them.
    pub(crate) repeats: Causes,
    /// Moves of runs, by their outcome.
    pub(crate) moves: Causes,
    /// Answers that were lost in their bodies, by what was wrong with them.
    pub(crate) lost_answers: Causes,
    /// Calls to the store that failed, by the kind of failure.
    pub(crate) store_failures: Causes,
    /// Connections opened to backend servers.
    pub(crate) connections: Counter,
    /// Bytes of datagrams from other processes of the system.
    pub(crate) received_bytes: Counter,
    /// Bytes of datagrams to other processes of the system.
    pub(crate) sent_bytes: Counter,
    /// Requests that run.
    pub(crate) in_flight: Gauge,
    /// Seconds from a request to the first event of its answer.
    pub(crate) first_event_s: Histogram,
    /// Seconds that a call to the store took.
    pub(crate) store_call_s: Histogram,
    /// Seconds between two events of a stream.
    pub(crate) event_gap_s: Histogram,
    /// Seconds since the configuration was last confirmed, at each request.
    pub(crate) contact_age_s: Histogram,
    /// Seconds since the list of servers was last confirmed, at each choice.
    pub(crate) list_age_s: Histogram,
    /// Seconds since the chosen engine's sidecar was last heard.
    pub(crate) report_age_s: Histogram,
    /// Seconds since another router's use of quotas was last told, at each report.
    pub(crate) usage_gap_s: Histogram,
    /// Requests that wait at the engine that was chosen.
    pub(crate) queued_at_engine: Histogram,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("samphirespread"),
            ended: Causes::default(),
            not_run: Causes::default(),
            repeats: Causes::default(),
            moves: Causes::default(),
            lost_answers: Causes::default(),
            store_failures: Causes::default(),
            connections: Counter::default(),
            received_bytes: Counter::default(),
            sent_bytes: Counter::default(),
            in_flight: Gauge::default(),
            first_event_s: spans(BUCKETS),
            store_call_s: spans(BUCKETS),
            event_gap_s: spans(BUCKETS),
            contact_age_s: spans(BUCKETS),
            list_age_s: spans(BUCKETS),
            report_age_s: spans(BUCKETS),
            usage_gap_s: spans(BUCKETS),
            queued_at_engine: Histogram::new(exponential_buckets(1.0, 2.0, QUEUE_BUCKETS)),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register("requests", "Requests by how they ended", self.ended.clone());
        registry.register("not_run", "Refusals by reason", self.not_run.clone());
        registry.register("repeats", "Sends beyond the first", self.repeats.clone());
        registry.register("run_moves", "Moves of runs by outcome", self.moves.clone());
        registry.register("lost_answers", "Lost in their bodies", self.lost_answers.clone());
        registry.register("store_failures", "Failed store calls", self.store_failures.clone());
        registry.register("server_connections", "Connections opened", self.connections.clone());
        registry.register("datagrams_in_bytes", "From processes", self.received_bytes.clone());
        registry.register("datagrams_out_bytes", "To processes", self.sent_bytes.clone());
        registry.register("in_flight", "Requests that run", self.in_flight.clone());
        registry.register("first_event_seconds", "To first event", self.first_event_s.clone());
        registry.register("store_call_seconds", "Calls to the store", self.store_call_s.clone());
        registry.register("event_gap_seconds", "Between two events", self.event_gap_s.clone());
        registry.register("contact_age_seconds", "Age of contact", self.contact_age_s.clone());
        registry.register("list_age_seconds", "Age of the server list", self.list_age_s.clone());
        registry.register("report_age_seconds", "Age of reports", self.report_age_s.clone());
        registry.register("usage_gap_seconds", "Between two reports", self.usage_gap_s.clone());
        registry.register("engine_queue", "Waiting at the engine", self.queued_at_engine.clone());
    }

    /// The metrics as text.
    pub(crate) fn text(&self) -> String {
        text(&self.registry)
    }
}

/// Milliseconds in the unit of histograms.
#[expect(clippy::cast_precision_loss, reason = "spans are short")]
pub(crate) fn seconds(ms: u64) -> f64 {
    ms as f64 / 1_000.0
}
