//! Counters, a histogram, and the address where operators read them.

use std::{sync::Arc, time::Duration};

use axum::{Router, extract::State, routing::get};
use prometheus_client::{
    metrics::{gauge::Gauge, histogram::Histogram},
    registry::Registry,
};
use samphirespread_daemon::metrics::{Causes, count, spans, text};

/// Buckets of the histogram.
const BUCKETS: u16 = 12;

/// All metrics of a sidecar.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    /// Seconds that a read of the engine's report took.
    report_s: Histogram,
    /// Reads of the engine's report by their outcome.
    reports: Causes,
    /// Orders to the engine by its answer.
    orders: Causes,
    /// Routers that want reports.
    pub(crate) routers: Gauge,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("samphirespread"),
            report_s: spans(BUCKETS),
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
    pub(crate) fn report_read(&self, outcome: &'static str, took: Duration) {
        self.report_s.observe(took.as_secs_f64());
        count(&self.reports, outcome);
    }

    /// Counts an order by the engine's answer.
    pub(crate) fn ordered(&self, answer: &'static str) {
        count(&self.orders, answer);
    }

    fn text(&self) -> String {
        text(&self.registry)
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
