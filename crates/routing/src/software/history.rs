//! The versions that each service has had lately.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use samphirespread_core::prelude::*;
use serde::{Deserialize, Serialize};

use super::SoftwareTag;
use crate::model::ServiceName;

/// A version is new on the list for this long. Until then no router begins streams at it, so that a
/// router with a list that is younger than this knows of each version at which streams have begun.
pub const SETTLING_MS: u64 = 1_500;

/// The versions of each service's software that streams may have begun at.
#[derive(Clone, Debug, Default)]
pub struct SoftwareHistory {
    services: HashMap<ServiceName, HashMap<SoftwareTag, SeenVersion>>,
    /// When the first list was observed.
    since: Option<MonoTime>,
    /// How long a version counts after it has left the list.
    memory_ms: u64,
    /// The versions that routers before this one knew, once that has been read.
    record: Option<SoftwareRecord>,
}

/// The versions of each service's software at which streams may have begun, for routers to come.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SoftwareRecord {
    services: BTreeMap<String, BTreeSet<SoftwareTag>>,
}

#[derive(Clone, Copy, Debug)]
struct SeenVersion {
    since: MonoTime,
    /// When the list was first observed without it.
    gone: Option<MonoTime>,
}

impl SoftwareHistory {
    /// Records the versions of all listed servers. A version that is no longer listed is remembered
    /// for `memory_ms`, the longest time that a stream may last.
    pub fn observe(
        &mut self,
        listed: impl IntoIterator<Item = (ServiceName, SoftwareTag)>,
        memory_ms: u64,
        now: MonoTime,
    ) {
        self.since.get_or_insert(now);
        self.memory_ms = self.memory_ms.max(memory_ms);
        for versions in self.services.values_mut() {
            for seen in versions.values_mut() {
                seen.gone = seen.gone.or(Some(now));
            }
        }
        for (service, version) in listed {
            let versions = self.services.entry(service).or_default();
            let new = SeenVersion { since: now, gone: None };
            versions.entry(version).or_insert(new).gone = None;
        }
        self.expire(now);
    }

    fn expire(&mut self, now: MonoTime) {
        let memory_ms = self.memory_ms;
        let is_remembered =
            |seen: &SeenVersion| seen.gone.is_none_or(|gone| now.ms_since(gone) <= memory_ms);
        for versions in self.services.values_mut() {
            versions.retain(|_, seen| is_remembered(seen));
        }
        self.services.retain(|_, versions| !versions.is_empty());
    }

    /// Returns the version at which each stream of the service began that may still be taken up, if
    /// there is only one such version.
    ///
    /// `list_age_ms` is the time since the store confirmed the list.
    pub fn sole_version(
        &self,
        service: &str,
        list_age_ms: u64,
        now: MonoTime,
    ) -> Option<SoftwareTag> {
        if list_age_ms >= SETTLING_MS {
            return None;
        }
        let mut versions: BTreeSet<SoftwareTag> = self.remembered(service, now).collect();
        if !self.has_watched(now) {
            versions.extend(self.record.as_ref()?.services.get(service)?);
        }
        if versions.len() == 1 { versions.pop_first() } else { None }
    }

    /// Whether this router has followed the list for as long as a version counts.
    fn has_watched(&self, now: MonoTime) -> bool {
        self.since.is_some_and(|since| now.ms_since(since) > self.memory_ms)
    }

    /// Whether the record of routers before this one has been read.
    pub fn has_record(&self) -> bool {
        self.record.is_some()
    }

    /// Sets what routers before this one knew.
    pub fn set_record(&mut self, record: SoftwareRecord) {
        self.record = Some(record);
    }

    /// Returns the record for routers to come: what this router knows, and what those before it knew
    /// until it has followed the list for long enough.
    pub fn record(&self, now: MonoTime) -> SoftwareRecord {
        let mut record = match &self.record {
            Some(record) if !self.has_watched(now) => record.clone(),
            _ => SoftwareRecord::default(),
        };
        for service in self.services.keys() {
            let versions = record.services.entry(service.to_string()).or_default();
            versions.extend(self.remembered(service, now));
        }
        record
    }

    /// Whether streams of any service may have begun at more than one version.
    pub fn has_several(&self, now: MonoTime) -> bool {
        self.services.keys().any(|service| self.remembered(service, now).nth(1).is_some())
    }

    /// Whether this router has just begun to follow the list, and can't tell which of several versions
    /// are new on it.
    pub fn is_settling(&self, now: MonoTime) -> bool {
        let is_new = self.since.is_none_or(|since| now.ms_since(since) < SETTLING_MS);
        is_new && self.has_several(now)
    }

    fn remembered(&self, service: &str, now: MonoTime) -> impl Iterator<Item = SoftwareTag> {
        let memory_ms = self.memory_ms;
        let versions = self.services.get(service).into_iter().flatten();
        versions.filter_map(move |(version, seen)| {
            let is_forgotten = seen.gone.is_some_and(|gone| now.ms_since(gone) > memory_ms);
            (!is_forgotten).then_some(*version)
        })
    }

    /// Whether streams may begin at a version: it has been listed for long enough that all routers
    /// know of it, or the service has no other.
    ///
    /// `list_age_ms` is the time since the store confirmed the list, or zero if the other routers have
    /// no newer one either. With an older list a router may not know that the version has left it, and
    /// the others forget a version some time after that.
    pub fn may_begin(
        &self,
        service: &str,
        version: SoftwareTag,
        list_age_ms: u64,
        now: MonoTime,
    ) -> bool {
        if list_age_ms > SETTLING_MS {
            return false;
        }
        let Some(versions) = self.services.get(service) else { return true };
        let is_settled = |seen: &SeenVersion| now.ms_since(seen.since) >= SETTLING_MS;
        versions.len() == 1 || versions.get(&version).is_none_or(is_settled)
    }
}
