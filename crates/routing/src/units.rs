//! Conversions of numbers for computing with rates.

/// A number of routers.
#[expect(clippy::cast_precision_loss, reason = "there are few routers")]
pub(crate) fn count(routers: usize) -> f64 {
    routers as f64
}

/// Converts microseconds to seconds.
#[expect(clippy::cast_precision_loss, reason = "spans are short")]
pub(crate) fn seconds(us: u64) -> f64 {
    us as f64 / 1e6
}

/// Rounds up to whole milliseconds, an hour at most.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "bounded to an hour and above zero"
)]
pub(crate) fn whole_ms(ms: f64) -> u64 {
    ms.clamp(0.0, 3_600_000.0).ceil() as u64
}
