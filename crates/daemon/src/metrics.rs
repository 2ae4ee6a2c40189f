//! Helpers for metrics that several daemons use.

use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{
        counter::Counter,
        family::Family,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

/// The upper bound of the first bucket of a histogram, in seconds.
const FIRST_BUCKET_BOUND_S: f64 = 0.001;

/// The label with the cause of a counted event.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Cause {
    /// The name of the cause. The number of different names is small.
    pub cause: &'static str,
}

/// Counters of events, one for each cause.
pub type Causes = Family<Cause, Counter>;

/// Increments the counter of a cause.
pub fn count(causes: &Causes, cause: &'static str) {
    causes.get_or_create(&Cause { cause }).inc();
}

/// Creates a histogram of durations in seconds. The upper bound of each bucket is twice that of the
/// bucket before it.
pub fn duration_histogram(buckets: u16) -> Histogram {
    Histogram::new(exponential_buckets(FIRST_BUCKET_BOUND_S, 2.0, buckets))
}

/// Returns all metrics of a registry in text form.
pub fn encode_registry(registry: &Registry) -> String {
    let mut text = String::new();
    match encode(&mut text, registry) {
        Ok(()) => text,
        Err(error) => format!("# metrics can't be written: {error}\n"),
    }
}
