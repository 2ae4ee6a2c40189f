//! Objects with versions, and the live list with its lag.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use samphirespread_core::prelude::*;
use samphirespread_platform::api::{
    Listing, LiveInstance, LiveList, LiveState, Object, ObjectVersion,
};

/// What a write expects to find.
#[derive(Clone, Copy, Debug)]
pub(super) enum Expected {
    /// No object.
    Absent,
    /// This version of it.
    Version(ObjectVersion),
}

/// Objects with versions. A deleted object leaves its last version behind for watches.
#[derive(Debug, Default)]
pub(super) struct Objects {
    version: ObjectVersion,
    objects: BTreeMap<String, Object>,
}

impl Objects {
    pub(super) fn get(&self, key: &str) -> Option<&Object> {
        self.objects.get(key).filter(|object| object.value.is_some())
    }

    /// Writes or, without value, deletes. `None` when the expectation fails.
    pub(super) fn write(
        &mut self,
        key: &str,
        expected: Expected,
        value: Option<String>,
    ) -> Option<ObjectVersion> {
        let found = self.get(key).map(|object| object.version);
        let met = match expected {
            Expected::Absent => found.is_none(),
            Expected::Version(version) => found == Some(version),
        };
        if !met {
            return None;
        }

        self.version = ObjectVersion(self.version.0 + 1);
        let object = Object { key: key.to_owned(), version: self.version, value };
        self.objects.insert(key.to_owned(), object);
        Some(self.version)
    }

    pub(super) fn list(&self, prefix: &str) -> Listing {
        let objects = self.below(prefix).filter(|object| object.value.is_some()).cloned();
        Listing { version: self.version, objects: objects.collect() }
    }

    pub(super) fn changes(&self, prefix: &str, after: ObjectVersion) -> Listing {
        let objects = self.below(prefix).filter(|object| object.version > after).cloned();
        Listing { version: self.version, objects: objects.collect() }
    }

    fn below<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a Object> {
        self.objects
            .range(prefix.to_owned()..)
            .take_while(move |(key, _)| key.starts_with(prefix))
            .map(|(_, object)| object)
    }
}

/// The live list. Changes show after a lag, and not at all while it is frozen.
#[derive(Debug, Default)]
pub(super) struct Instances {
    version: ObjectVersion,
    actual: BTreeMap<InstanceName, LiveInstance>,
    shown: LiveList,
    /// States of the list that will be shown, with the time from which on they may be.
    coming: Vec<(Instant, LiveList)>,
    lag: Duration,
    frozen: bool,
}

impl Instances {
    pub(super) fn put(&mut self, instance: LiveInstance) {
        self.actual.insert(instance.name.clone(), instance);
        self.changed();
    }

    pub(super) fn remove(&mut self, name: &InstanceName) {
        self.actual.remove(name);
        self.changed();
    }

    pub(super) fn set_state(&mut self, name: &InstanceName, state: LiveState) {
        if let Some(instance) = self.actual.get_mut(name) {
            instance.state = state;
            self.changed();
        }
    }

    pub(super) fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    pub(super) fn set_frozen(&mut self, frozen: bool) {
        self.advance();
        self.frozen = frozen;
    }

    pub(super) fn show(&mut self) -> &LiveList {
        self.advance();
        &self.shown
    }

    fn changed(&mut self) {
        self.version = ObjectVersion(self.version.0 + 1);
        let list =
            LiveList { version: self.version, instances: self.actual.values().cloned().collect() };
        self.coming.push((Instant::now() + self.lag, list));
    }

    fn advance(&mut self) {
        if self.frozen {
            return;
        }

        let now = Instant::now();
        while self.coming.first().is_some_and(|(from, _)| *from <= now) {
            self.shown = self.coming.remove(0).1;
        }
    }
}
