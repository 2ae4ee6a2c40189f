//! The sidecar's metrics, and the HTTP routes that serve them to operators.

use std::{sync::Arc, time::Duration};

use axum::{Router, extract::State, routing::get};
use prometheus_client::{
    metrics::{gauge::Gauge, histogram::Histogram},
    registry::Registry,
};
use samphirespread_daemon::metrics::{Causes, count, duration_histogram, encode_registry};

/// Number of buckets of the histogram.
const HISTOGRAM_BUCKETS: u16 = 12;

/// All metrics of a sidecar.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    /// Duration of reads of the engine's report, in seconds.
    report_s: Histogram,
    /// Reads of the engine's report by their outcome.
    reports: Causes,
    /// Orders to the engine by the engine's answer.
    orders: Causes,
    /// Number of routers that want reports.
    pub(crate) routers: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("samphirespread"),
            report_s: duration_histogram(HISTOGRAM_BUCKETS),
            reports: Causes::default(),
            orders: Causes::default(),
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
    pub(crate) fn record_report_read(&self, outcome: &'static str, took: Duration) {
        self.report_s.observe(took.as_secs_f64());
        count(&self.reports, outcome);
    }

    /// Counts an order by the engine's answer.
    pub(crate) fn record_order(&self, answer: &'static str) {
        count(&self.orders, answer);
    }

    fn text(&self) -> String {
        encode_registry(&self.registry)
    }
}

/// A source of what operators can read.
pub(crate) trait Inspect: Send + Sync + 'static {
    /// Returns the metrics.
    fn metrics(&self) -> &Metrics;

    /// Returns the state as one line of JSON.
    fn dump(&self) -> String;
}

/// Creates the routes that serve `/metrics` and `/dump`.
pub(crate) fn routes<T: Inspect>(source: Arc<T>) -> Router {
    Router::new()
        .route("/metrics", get(async |State(source): State<Arc<T>>| source.metrics().text()))
        .route("/dump", get(async |State(source): State<Arc<T>>| source.dump()))
        .with_state(source)
}
