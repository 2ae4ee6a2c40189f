//! Counters, a histogram, and the address where operators read them.

use std::{sync::Arc, time::Duration};

use axum::{Router, extract::State, routing::get};
use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

/// The shortest span that the histogram tells apart, in seconds.
const SHORTEST_S: f64 = 0.001;
/// Buckets, each twice as long as the one before it.
const BUCKETS: u16 = 12;

/// The cause of a counted event.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct Cause {
    cause: &'static str,
}

/// All metrics of a sidecar.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    /// Seconds that a read of the engine's report took.
    report_s: Histogram,
    /// Reads of the engine's report by their outcome.
    reports: Family<Cause, Counter>,
    /// Orders to the engine by its answer.
    orders: Family<Cause, Counter>,
    /// Routers that want reports.
    pub(crate) routers: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let buckets = exponential_buckets(SHORTEST_S, 2.0, BUCKETS);
        let mut metrics = Self {
            registry: Registry::with_prefix("samphirespread"),
            report_s: Histogram::new(buckets),
            reports: Family::default(),
            orders: Family::default(),
            routers: Gauge::default(),
        };
        let registry = &mut metrics.registry;
        registry.register("engine_report_seconds", "Report reads", metrics.report_s.clone());
        registry.register("engine_reports", "Report reads by outcome", metrics.reports.clone());
        registry.register("engine_orders", "Orders by answer", metrics.orders.clone());
        registry.register("routers", "Routers that want reports", metrics.routers.clone());
        metrics
    }
}

impl Metrics {
    /// Counts a read of the engine's report.
    pub(crate) fn report_read(&self, outcome: &'static str, took: Duration) {
        self.report_s.observe(took.as_secs_f64());
        self.reports.get_or_create(&Cause { cause: outcome }).inc();
    }

    /// Counts an order by the engine's answer.
    pub(crate) fn ordered(&self, answer: &'static str) {
        self.orders.get_or_create(&Cause { cause: answer }).inc();
    }

    fn text(&self) -> String {
        let mut text = String::new();
        match encode(&mut text, &self.registry) {
            Ok(()) => text,
            Err(error) => format!("# metrics can't be written: {error}\n"),
        }
    }
}

/// What operators are shown besides the metrics.
pub(crate) trait Dump: Send + Sync + 'static {
    /// The metrics.
    fn metrics(&self) -> &Metrics;

    /// The state as one line of JSON.
    fn dump(&self) -> String;
}

/// Answers `/metrics` and `/dump`.
pub(crate) fn routes<T: Dump>(shown: Arc<T>) -> Router {
    Router::new()
        .route("/metrics", get(async |State(shown): State<Arc<T>>| shown.metrics().text()))
        .route("/dump", get(async |State(shown): State<Arc<T>>| shown.dump()))
        .with_state(shown)
}
