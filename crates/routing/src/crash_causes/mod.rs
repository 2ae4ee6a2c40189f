//! Finds what in requests crashes backend servers.
//!
//! A server crashes for many reasons, and all of its runs end with it. A part of a prompt is a
//! possible cause if it was in a run whose answer had begun but had no event yet. The crash counts
//! against the part, together with the crashes before it, until a run with the part survives: one
//! that has its first event, at any server and for any team. Thus parts that many requests share
//! are cleared within moments, and a part that crashes every server keeps all of its crashes.
//!
//! ```
//! use samphirespread_core::prelude::*;
//! use samphirespread_routing::{
//!     crash_causes::{CauseKey, Crash, CrashCauses, Host},
//!     server_limit::ServerRun,
//! };
//!
//! let mut causes = CrashCauses::default();
//! let part = CauseKey::of_part("5c1e07a2");
//! let crash = Crash {
//!     run: ServerRun::of("i-1", None),
//!     host: Host::of("10.0.0.1:80".parse().unwrap()),
//!     at: MonoTime::from_ms(1_000),
//! };
//! causes.record_crash(part, crash, MonoTime::from_ms(1_100));
//! assert_eq!(causes.crashes(part), 1);
//!
//! causes.record_survival(part, MonoTime::from_ms(1_200));
//! assert_eq!(causes.crashes(part), 0);
//! ```
//!
//! Memory: about 400 bytes for each of up to [`MAX_CAUSES`] causes.

mod evidence;
mod key;

use std::collections::HashMap;

use samphirespread_core::prelude::*;

use self::evidence::Evidence;
pub use self::{
    evidence::{Crash, Host},
    key::CauseKey,
};

/// The maximum number of possible causes of which evidence is kept. Beyond it, those with the fewest
/// crashes are forgotten.
pub const MAX_CAUSES: usize = 1_024;
/// Evidence is forgotten this long after the last request or crash with the cause.
const EVIDENCE_LIFETIME_MS: u64 = 3_600_000;

/// The possible causes of crashes that are known to a router.
#[derive(Clone, Debug, Default)]
pub struct CrashCauses {
    known: HashMap<CauseKey, Cause>,
}

#[derive(Clone, Debug)]
struct Cause {
    evidence: Evidence,
    /// When a request or a crash with the cause last came.
    last_seen: MonoTime,
}

impl CrashCauses {
    /// Records that a server crashed during a run that may be the cause. Returns the number of
    /// crashes since such a run last survived, or `None` if this one was known.
    pub fn record_crash(&mut self, key: CauseKey, crash: Crash, now: MonoTime) -> Option<usize> {
        self.make_room(key);
        let cause = self.known.entry(key).or_insert_with(|| Cause::new(now));
        cause.last_seen = now;
        cause.evidence.add_crash(crash).then(|| cause.evidence.crashes().len())
    }

    /// Records that a run with the cause survived. Returns whether crashes had counted against it.
    pub fn record_survival(&mut self, key: CauseKey, at: MonoTime) -> bool {
        self.known.get_mut(&key).is_some_and(|cause| cause.evidence.add_survival(at))
    }

    /// Whether nothing is known of any cause, so that nothing has to be looked up.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// The number of crashes since a run with the cause last survived.
    pub fn crashes(&self, key: CauseKey) -> usize {
        self.known.get(&key).map_or(0, |cause| cause.evidence.crashes().len())
    }

    /// Forgets the causes that have not been seen for long.
    pub fn expire(&mut self, now: MonoTime) {
        self.known.retain(|_, cause| now.ms_since(cause.last_seen) < EVIDENCE_LIFETIME_MS);
    }

    /// Forgets the cause with the least evidence if there is no room for another one.
    fn make_room(&mut self, key: CauseKey) {
        if self.known.len() < MAX_CAUSES || self.known.contains_key(&key) {
            return;
        }
        let weight = |cause: &Cause| (cause.evidence.crashes().len(), cause.last_seen);
        let least = self.known.iter().min_by_key(|(key, cause)| (weight(cause), **key));
        if let Some(least) = least.map(|(key, _)| *key) {
            self.known.remove(&least);
        }
    }
}

impl Cause {
    fn new(now: MonoTime) -> Self {
        Self { evidence: Evidence::default(), last_seen: now }
    }
}
