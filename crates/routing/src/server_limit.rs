//! The limits that backend servers in need set on the requests of all routers together.

use std::collections::HashMap;

use samphirespread_core::prelude::*;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// The highest rate that is kept apart from higher ones. It is far above the load of any fleet.
const MAX_PER_S: f64 = 1e6;

/// A limit is forgotten if no answer has confirmed it for this long.
const LIMIT_LIFETIME_MS: u64 = 30_000;

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
}

/// A change of what is known of a server's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    /// The server limits requests to that rate, which was not known.
    Limited(RequestRate),
    /// The server limits requests no longer.
    Unlimited,
}

/// What one router knows of the limits of backend servers.
#[derive(Clone, Debug, Default)]
pub struct ServerLimits {
    known: HashMap<ServerRun, KnownLimit>,
}

#[derive(Clone, Copy, Debug)]
struct KnownLimit {
    rate: RequestRate,
    /// The server was limited at this time.
    as_of: MonoTime,
}

impl ServerLimits {
    /// Records what an answer says of its server's limit. The request was sent at `sent`, and the
    /// answer was received at `now`. Returns what has changed.
    ///
    /// Answers overtake each other. An answer that names no limit counts only if its request was
    /// sent after the last answer that named one was received.
    pub fn observe(
        &mut self,
        server: ServerRun,
        named: Option<RequestRate>,
        sent: MonoTime,
        now: MonoTime,
    ) -> Option<LimitChange> {
        let known = self.known.get(&server).copied();
        match (named, known) {
            (Some(rate), _) => {
                self.known.insert(server, KnownLimit { rate, as_of: now });
                let is_new = known.is_none_or(|known| known.rate != rate);
                is_new.then_some(LimitChange::Limited(rate))
            }
            (None, Some(known)) if sent > known.as_of => {
                self.known.remove(&server);
                Some(LimitChange::Unlimited)
            }
            (None, _) => None,
        }
    }

    /// The rate to which a server limits the requests of all routers, if it does.
    pub fn rate(&self, server: ServerRun) -> Option<RequestRate> {
        self.known.get(&server).map(|known| known.rate)
    }

    /// Forgets limits that no answer has confirmed for long, also those of servers that are gone.
    pub fn expire(&mut self, now: MonoTime) {
        self.known.retain(|_, known| now.ms_since(known.as_of) < LIMIT_LIFETIME_MS);
    }

    /// The number of servers that limit requests.
    pub fn count(&self) -> usize {
        self.known.len()
    }
}
