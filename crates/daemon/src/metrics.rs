//! What the metrics of several daemons have in common.

use prometheus_client::{
    encoding::{EncodeLabelSet, text::encode},
    metrics::{
        counter::Counter,
        family::Family,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

/// The shortest span that histograms tell apart, in seconds.
const SHORTEST_S: f64 = 0.001;

/// The cause of a counted event.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct Cause {
    /// One of a few words.
    pub cause: &'static str,
}

/// Events counted by their cause.
pub type Causes = Family<Cause, Counter>;

/// Counts an event by its cause.
pub fn count(causes: &Causes, cause: &'static str) {
    causes.get_or_create(&Cause { cause }).inc();
}

/// A histogram of spans in seconds. Each bucket is twice as long as the one before it.
pub fn spans(buckets: u16) -> Histogram {
    Histogram::new(exponential_buckets(SHORTEST_S, 2.0, buckets))
}

/// All metrics of a registry as text.
pub fn text(registry: &Registry) -> String {
    let mut text = String::new();
    match encode(&mut text, registry) {
        Ok(()) => text,
        Err(error) => format!("# metrics can't be written: {error}\n"),
    }
}
