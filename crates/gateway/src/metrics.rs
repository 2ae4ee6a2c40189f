//! The metrics of a gateway: counters, a gauge and histograms.

use std::sync::atomic::AtomicU64;

use prometheus_client::{
    encoding::EncodeLabelSet,
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};
pub(crate) use samphirespread_daemon::metrics::count;
use samphirespread_daemon::metrics::{Causes, duration_histogram, encode_registry};

use crate::{select::TrafficMetrics, server_speed::PACE_BUCKETS};

/// Number of buckets of the histograms of durations and ages.
const BUCKETS: u16 = 15;
/// Number of buckets of the histogram of waiting requests; the first bound is one request.
const QUEUE_BUCKETS: u16 = 9;

/// What a part of a datagram holds, and where the datagram goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct DatagramLabels {
    /// `router_records`, `engine_records`, `link_status_and_headers`, `directives` or `streams`.
    pub(crate) content: &'static str,
    /// `near` if the receiver is in this router's failure domain, `far` if not; `any` for `streams`, which
    /// are few.
    pub(crate) reach: &'static str,
}

/// All metrics of a gateway.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    /// Requests by outcome.
    pub(crate) ended: Causes,
    /// Requests that were refused without having run, by reason.
    pub(crate) not_run: Causes,
    /// Requests that were refused as engines can't begin them in time, by cause.
    pub(crate) admission_refusals: Causes,
    /// Sends of a request after its first, by cause.
    pub(crate) repeats: Causes,
    /// Traffic within and between failure domains.
    pub(crate) domain_traffic: TrafficMetrics,
    /// Streams that callers take up, by whether they may go on.
    pub(crate) streams_taken_up: Causes,
    /// Servers that were asked for their process before a stream went on there, by what was found.
    pub(crate) process_checks: Causes,
    /// Moves of runs between engines, by outcome.
    pub(crate) moves: Causes,
    /// Streams that were cut after this router had stopped their run, by cause.
    pub(crate) stopped_runs_lost: Causes,
    /// Sends to servers that limit the requests of all routers, by kind of send.
    pub(crate) limited_sends: Causes,
    /// Servers that limit the requests of all routers.
    pub(crate) limited_servers: Gauge,
    /// The era of the store; it rises each time that the store is restored from a copy.
    pub(crate) store_era: Gauge,
    /// Backend servers that crashed during a request.
    pub(crate) server_crashes: Counter,
    /// Parts of prompts that are refused, as they have crashed servers.
    pub(crate) crash_causes: Gauge,
    /// Phases that roll-outs of services entered, by name.
    pub(crate) rollout_phases: Causes,
    /// Answers whose body could not be read, by cause.
    pub(crate) lost_answers: Causes,
    /// Connections of callers that this router closed, by cause.
    pub(crate) closed_callers: Causes,
    /// Failed calls to the store, by kind of failure.
    pub(crate) store_failures: Causes,
    /// Entries of the list of servers that could not be decoded, each time that they were read.
    pub(crate) unreadable_servers: Counter,
    /// Answers to readiness checks.
    pub(crate) readiness_checks: Causes,
    /// Connections opened to backend servers.
    pub(crate) connections: Counter,
    /// Connections to backend servers that broke after a request was sent and before an answer, by whether
    /// they had carried another request before.
    pub(crate) broken_connections: Causes,
    /// Idle connections of which it was in doubt whether their server had dropped them, by what was found.
    pub(crate) idle_connections: Causes,
    /// Bytes of datagrams from other processes of the system.
    pub(crate) received_bytes: Counter,
    /// Bytes of datagrams to other processes of the system, by content and receiver, without questions and
    /// answers about streams.
    pub(crate) sent_bytes: Family<DatagramLabels, Counter>,
    /// Requests that are being handled.
    pub(crate) in_flight: Gauge,
    /// Requests that arrived while this process drained.
    pub(crate) drain_arrivals: Counter,
    /// Connections of callers that the drain closed, by whether a request was under way.
    pub(crate) drain_closed: Causes,
    /// Seconds since this process was told to stop.
    drain_age_s: Gauge<f64, AtomicU64>,
    /// Seconds from a request to the first event of its answer.
    pub(crate) first_event_s: Histogram,
    /// Duration of a call to the store, in seconds.
    pub(crate) store_call_s: Histogram,
    /// Seconds between two events of a stream.
    pub(crate) event_gap_s: Histogram,
    /// Seconds by which the timer of this router's records was late.
    pub(crate) timer_lag_s: Histogram,
    /// Seconds since the store last confirmed the configuration, observed at each request.
    pub(crate) contact_age_s: Histogram,
    /// Seconds since the store last confirmed the list of servers, observed at each choice of a
    /// server.
    pub(crate) list_age_s: Histogram,
    /// Seconds since the last report about the chosen engine.
    pub(crate) report_age_s: Histogram,
    /// Seconds between two reports of another router's use of quotas.
    pub(crate) usage_gap_s: Histogram,
    /// Requests waiting at the chosen engine, as last reported.
    pub(crate) queued_at_engine: Histogram,
    /// The paces that servers state in their answers; 1 is normal.
    pub(crate) server_pace: Histogram,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("samphirespread"),
            ended: Causes::default(),
            not_run: Causes::default(),
            admission_refusals: Causes::default(),
            repeats: Causes::default(),
            domain_traffic: TrafficMetrics::default(),
            streams_taken_up: Causes::default(),
            process_checks: Causes::default(),
            moves: Causes::default(),
            stopped_runs_lost: Causes::default(),
            limited_sends: Causes::default(),
            limited_servers: Gauge::default(),
            store_era: Gauge::default(),
            server_crashes: Counter::default(),
            crash_causes: Gauge::default(),
            rollout_phases: Causes::default(),
            lost_answers: Causes::default(),
            closed_callers: Causes::default(),
            store_failures: Causes::default(),
            unreadable_servers: Counter::default(),
            readiness_checks: Causes::default(),
            connections: Counter::default(),
            broken_connections: Causes::default(),
            idle_connections: Causes::default(),
            received_bytes: Counter::default(),
            sent_bytes: Family::default(),
            in_flight: Gauge::default(),
            drain_arrivals: Counter::default(),
            drain_closed: Causes::default(),
            drain_age_s: Gauge::default(),
            first_event_s: duration_histogram(BUCKETS),
            store_call_s: duration_histogram(BUCKETS),
            event_gap_s: duration_histogram(BUCKETS),
            timer_lag_s: duration_histogram(BUCKETS),
            contact_age_s: duration_histogram(BUCKETS),
            list_age_s: duration_histogram(BUCKETS),
            report_age_s: duration_histogram(BUCKETS),
            usage_gap_s: duration_histogram(BUCKETS),
            queued_at_engine: Histogram::new(exponential_buckets(1.0, 2.0, QUEUE_BUCKETS)),
            server_pace: Histogram::new(PACE_BUCKETS),
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
        let refused = "Refusals by admission control";
        registry.register("admission_refusals", refused, self.admission_refusals.clone());
        registry.register("repeats", "Sends beyond the first", self.repeats.clone());
        self.domain_traffic.register(registry);
        let taken_up = "Streams that callers take up";
        registry.register("streams_taken_up", taken_up, self.streams_taken_up.clone());
        let asked = "Servers asked for their process";
        registry.register("process_checks", asked, self.process_checks.clone());
        registry.register("run_moves", "Moves of runs by outcome", self.moves.clone());
        registry.register("stopped_runs_lost", "Cut by moves", self.stopped_runs_lost.clone());
        registry.register("limited_sends", "Sends under a limit", self.limited_sends.clone());
        registry.register("limited_servers", "Servers with limits", self.limited_servers.clone());
        registry.register("store_era", "Era of the store", self.store_era.clone());
        registry.register("server_crashes", "Crashed servers", self.server_crashes.clone());
        registry.register("crash_causes", "Refused causes", self.crash_causes.clone());
        registry.register("rollout_phases", "Phases entered", self.rollout_phases.clone());
        registry.register("lost_answers", "Lost in their bodies", self.lost_answers.clone());
        let closed = "Connections of callers closed here";
        registry.register("caller_connections_closed", closed, self.closed_callers.clone());
        registry.register("store_failures", "Failed store calls", self.store_failures.clone());
        registry.register(
            "unreadable_servers",
            "Entries of the list of servers that could not be decoded, each time that they were read",
            self.unreadable_servers.clone(),
        );
        let answers = "Answers to readiness checks";
        registry.register("readiness_checks", answers, self.readiness_checks.clone());
        registry.register("server_connections", "Connections opened", self.connections.clone());
        let broken = "Broken before an answer";
        registry.register("server_connections_broken", broken, self.broken_connections.clone());
        let checked = "Idle connections in doubt";
        registry.register("idle_connections", checked, self.idle_connections.clone());
        registry.register("datagrams_in_bytes", "From processes", self.received_bytes.clone());
        registry.register("datagrams_out_bytes", "To processes", self.sent_bytes.clone());
        registry.register("in_flight", "Requests that run", self.in_flight.clone());
        registry.register("drain_arrivals", "Arrived in the drain", self.drain_arrivals.clone());
        registry.register("drain_closed", "Closed by the drain", self.drain_closed.clone());
        registry.register("drain_age_seconds", "Since the signal", self.drain_age_s.clone());
        registry.register("first_event_seconds", "To first event", self.first_event_s.clone());
        registry.register("store_call_seconds", "Calls to the store", self.store_call_s.clone());
        registry.register("event_gap_seconds", "Between two events", self.event_gap_s.clone());
        registry.register("timer_lag_seconds", "Lateness of timers", self.timer_lag_s.clone());
        registry.register("contact_age_seconds", "Age of contact", self.contact_age_s.clone());
        registry.register("list_age_seconds", "Age of the server list", self.list_age_s.clone());
        registry.register("report_age_seconds", "Age of reports", self.report_age_s.clone());
        registry.register("usage_gap_seconds", "Between two reports", self.usage_gap_s.clone());
        registry.register("engine_queue", "Waiting at the engine", self.queued_at_engine.clone());
        registry.register("server_pace", "Paces that servers state", self.server_pace.clone());
    }

    /// Counts bytes that are sent in a datagram.
    pub(crate) fn count_sent(&self, content: &'static str, reach: &'static str, bytes: usize) {
        self.sent_bytes.get_or_create(&DatagramLabels { content, reach }).inc_by(bytes as u64);
    }

    /// All metrics in the Prometheus text format.
    pub(crate) fn text(&self, drain_age_ms: u64) -> String {
        self.drain_age_s.set(seconds(drain_age_ms));
        encode_registry(&self.registry)
    }
}

/// Converts milliseconds to seconds, the unit of the histograms.
#[expect(clippy::cast_precision_loss, reason = "spans are short")]
pub(crate) fn seconds(ms: u64) -> f64 {
    ms as f64 / 1_000.0
}
