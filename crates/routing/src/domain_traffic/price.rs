//! The price of sending a request to another failure domain, in milliseconds.

use super::share::ramp;
use crate::choice::CROSS_DOMAIN_MS;

/// The bytes that a token of a prompt or response takes on the network, as text.
pub const BYTES_PER_TOKEN: u64 = 4;
/// The length that is assumed for the response of a plain server, which states none beforehand.
pub const ASSUMED_RESPONSE_BYTES: u64 = 4_096;
/// Bytes in a megabyte.
const BYTES_PER_MB: f64 = 1e6;

/// The terms on which one request may leave the router's failure domain.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TrafficTerms {
    /// The extra wait, in milliseconds, that is accepted to keep one megabyte within the domain.
    pub ms_per_mb: f64,
    /// The bytes of the request and its response.
    pub bytes: u64,
    /// The share of the service's requests that may leave, see [`LeaveShare`](super::LeaveShare).
    pub share: f64,
    /// The request's draw, which is evenly distributed between 0 and 1 over all requests.
    pub point: f64,
}

impl TrafficTerms {
    /// Returns the price of sending the request to another domain, where the server fetches
    /// `fetched_bytes` across domains.
    pub(super) fn price_ms(&self, fetched_bytes: u64) -> f64 {
        let bytes = number(self.bytes.saturating_add(fetched_bytes));
        CROSS_DOMAIN_MS + bytes / BYTES_PER_MB * self.ms_per_mb
    }

    /// Whether the request may leave although a local server can take it, at its own ratio of gain
    /// to price. Free traffic is not limited to a share.
    ///
    /// The share follows the mean ratio with a delay, and alone it oscillates around the limit of
    /// the domain's capacity. The ratio of the request itself has no delay and dampens that.
    pub(super) fn may_leave(&self, ratio: f64) -> bool {
        self.ms_per_mb <= 0.0 || self.point < self.share * ramp(ratio)
    }
}

#[expect(clippy::cast_precision_loss, reason = "byte counts are far below 2^52")]
fn number(bytes: u64) -> f64 {
    bytes as f64
}
