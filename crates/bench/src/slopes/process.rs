//! What the system tells a process about itself.

use std::fs;

use super::SlopeError;

const PAGE_BYTES: u64 = 4_096;

/// The processor time of a thread advances in steps of a few milliseconds.
const MEASURED_NS: u64 = 400_000_000;

/// Bytes of the process that are in memory.
pub(super) fn resident_bytes() -> Result<u64, SlopeError> {
    let pages = number("/proc/self/statm", 1)?;
    Ok(pages * PAGE_BYTES)
}

/// Processor time that the main thread has used.
pub(super) fn processor_ns() -> Result<u64, SlopeError> {
    number("/proc/self/schedstat", 0)
}

fn number(path: &str, field: usize) -> Result<u64, SlopeError> {
    let text = fs::read_to_string(path).map_err(SlopeError::Process)?;
    let number = text.split_whitespace().nth(field).and_then(|field| field.parse().ok());
    number.ok_or_else(|| SlopeError::Process(std::io::Error::other(path.to_owned())))
}

/// Repeats `work` for a while and returns its mean processor time in microseconds.
pub(super) fn mean_us(mut work: impl FnMut()) -> Result<f64, SlopeError> {
    let before = processor_ns()?;
    let mut used_ns = 0;
    let mut times = 0_u32;
    while used_ns < MEASURED_NS {
        work();
        times += 1;
        used_ns = processor_ns()? - before;
    }
    Ok(used_ns as f64 / 1_000.0 / f64::from(times))
}

/// Builds `copies` values and returns the mean growth of the resident set.
///
/// The values are kept for good, so that no later measurement finds their memory free.
pub(super) fn mean_bytes<T>(copies: usize, build: impl Fn() -> T) -> Result<f64, SlopeError> {
    let before = resident_bytes()?;
    let kept: Vec<T> = (0..copies).map(|_| build()).collect();
    let after = resident_bytes()?;
    std::mem::forget(kept);
    Ok(after.saturating_sub(before) as f64 / copies as f64)
}
