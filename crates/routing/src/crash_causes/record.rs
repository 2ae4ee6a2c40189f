//! What is kept of verdicts while no router runs.

use std::cmp::Reverse;

use samphirespread_core::prelude::*;
use serde::{Deserialize, Serialize};

use super::{
    Cause, CauseKey, CauseNews, CauseTag, CrashCauses, CrashNews, NewsEffect, evidence::Host,
    verdict::BLOCKING_CRASHES,
};
use crate::server_limit::ServerRun;

/// The maximum number of verdicts in a record: those of the most crashes.
const MAX_VERDICTS: usize = 64;

/// The causes that are refused, for routers to come. Times are wall-clock times.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VerdictRecord {
    /// In the order of their keys.
    verdicts: Vec<StoredVerdict>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct StoredVerdict {
    cause: String,
    crashes: Vec<StoredCrash>,
    tried_unix_ms: Option<u64>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct StoredCrash {
    /// A number with more digits than every store keeps.
    server: String,
    host: Host,
    at_unix_ms: u64,
    more_specific: Option<CauseTag>,
}

impl VerdictRecord {
    /// Whether both are about the same causes and crashes. Times differ with the router that writes.
    pub fn is_alike(&self, other: &Self) -> bool {
        let is_alike = |(one, other): (&StoredVerdict, &StoredVerdict)| {
            one.cause == other.cause && one.servers().eq(other.servers())
        };
        self.verdicts.len() == other.verdicts.len()
            && self.verdicts.iter().zip(&other.verdicts).all(is_alike)
    }

    /// The number of verdicts.
    pub fn len(&self) -> usize {
        self.verdicts.len()
    }

    /// Whether nothing is refused.
    pub fn is_empty(&self) -> bool {
        self.verdicts.is_empty()
    }
}

impl StoredVerdict {
    fn of(key: CauseKey, cause: &Cause, now: MonoTime, unix_ms: u64) -> Self {
        let unix_ms_of = |at: MonoTime| unix_ms.saturating_sub(now.ms_since(at));
        let mut crashes: Vec<StoredCrash> = cause
            .evidence
            .crashes()
            .iter()
            .map(|crash| StoredCrash {
                server: crash.run.to_hex(),
                host: crash.host,
                at_unix_ms: unix_ms_of(crash.at),
                more_specific: crash.more_specific,
            })
            .collect();
        crashes.sort_by(|one, other| one.server.cmp(&other.server));
        let tried_unix_ms = cause.evidence.tried.map(unix_ms_of);
        Self { cause: key.to_string(), crashes, tried_unix_ms }
    }

    fn servers(&self) -> impl Iterator<Item = &str> {
        self.crashes.iter().map(|crash| crash.server.as_str())
    }

    /// The verdict as news that is published now; `None` if another writer has put something else.
    fn news(&self, unix_ms: u64) -> Option<CauseNews> {
        let age_ms = |at_unix_ms: u64| unix_ms.saturating_sub(at_unix_ms);
        let crash = |crash: &StoredCrash| {
            Some(CrashNews {
                run: ServerRun::from_hex(&crash.server)?,
                host: crash.host,
                age_ms: age_ms(crash.at_unix_ms),
                more_specific: crash.more_specific,
            })
        };
        Some(CauseNews {
            key: CauseKey::from_hex(&self.cause)?,
            crashes: self.crashes.iter().map(crash).collect::<Option<_>>()?,
            survived_age_ms: None,
            tried_age_ms: self.tried_unix_ms.map(age_ms),
            seen_age_ms: 0,
        })
    }
}

impl CrashCauses {
    /// Returns the record for routers to come. `unix_ms` is the wall-clock time.
    pub fn record(&self, now: MonoTime, unix_ms: u64) -> VerdictRecord {
        let is_kept = |cause: &Cause| cause.evidence.crashes().len() >= BLOCKING_CRASHES;
        let mut kept: Vec<(&CauseKey, &Cause)> =
            self.known.iter().filter(|(_, cause)| is_kept(cause)).collect();
        kept.sort_unstable_by_key(|(key, cause)| (Reverse(cause.evidence.crashes().len()), **key));
        kept.truncate(MAX_VERDICTS);
        kept.sort_unstable_by_key(|(key, _)| **key);
        let verdicts = kept.into_iter();
        let verdicts = verdicts.map(|(key, cause)| StoredVerdict::of(*key, cause, now, unix_ms));
        VerdictRecord { verdicts: verdicts.collect() }
    }

    /// Applies a record of routers before this one, as news that came just now. What has survived since
    /// stays cleared.
    pub fn apply_record(
        &mut self,
        record: &VerdictRecord,
        now: MonoTime,
        unix_ms: u64,
    ) -> Vec<(CauseKey, NewsEffect)> {
        let news = record.verdicts.iter().take(MAX_VERDICTS);
        let news: Vec<CauseNews> = news.filter_map(|verdict| verdict.news(unix_ms)).collect();
        news.into_iter().map(|news| (news.key, self.apply_news(&news, now, now))).collect()
    }
}
