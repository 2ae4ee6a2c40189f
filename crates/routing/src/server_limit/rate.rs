//! Rates of requests, and the servers that name them.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// The highest rate that is kept apart from higher ones. It is far above the load of any fleet.
const MAX_PER_S: f64 = 1e6;

/// The least rate of requests to a server, whatever it names. The answers show when the limit ends;
/// a server that takes none says that the request has not run, and it goes elsewhere.
const MIN_PER_S: f64 = 0.2;

/// A number of requests per second, to a thousandth.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RequestRate {
    per_1000_s: u64,
}

impl RequestRate {
    /// Returns a rate, rounded down. Returns `None` if the number is negative or not a number.
    ///
    /// Infinite rates, and those that no fleet reaches, become the same high rate.
    pub fn from_per_s(per_s: f64) -> Option<Self> {
        if per_s.is_nan() || per_s < 0.0 {
            return None;
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the number is bounded and not negative"
        )]
        let per_1000_s = (per_s.min(MAX_PER_S) * 1_000.0).floor() as u64;
        Some(Self { per_1000_s })
    }

    /// The rate at which routers may send, in requests per second. It is never zero.
    pub(super) fn allowed_per_s(self) -> f64 {
        self.per_s().max(MIN_PER_S)
    }

    /// Requests per second.
    #[expect(clippy::cast_precision_loss, reason = "the number is far below 2^52")]
    pub fn per_s(self) -> f64 {
        self.per_1000_s as f64 / 1_000.0
    }
}

/// Identifies one run of a backend server by a hash of its id and its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ServerRun(u64);

impl ServerRun {
    /// Returns the run of the server with that id which started at that Unix time, if known.
    pub fn of(id: &str, started_unix_ms: Option<u64>) -> Self {
        Self(xxh3_64(format!("{id}/{started_unix_ms:?}").as_bytes()))
    }

    /// The run as hexadecimal digits.
    pub(crate) fn to_hex(self) -> String {
        format!("{:016x}", self.0)
    }

    /// Returns the run that [`to_hex`](Self::to_hex) wrote, if it is one.
    pub(crate) fn from_hex(text: &str) -> Option<Self> {
        u64::from_str_radix(text, 16).ok().map(Self)
    }

    pub(super) fn to_le_bytes(self) -> [u8; 8] {
        self.0.to_le_bytes()
    }
}
