//! The latest live list, and the changes that led to it.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
};

use samphirespread_core::prelude::*;
use samphirespread_platform::api::{LiveInstance, LiveList, ObjectVersion};
use serde::{Deserialize, Serialize};

/// Changes that are kept for peers that lag; one that lags further gets the whole list.
pub const MAX_CHANGES: usize = 64;

/// What changed between two versions of the live list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LiveChange {
    /// The version that the change applies to, or `None` if it holds the whole list.
    pub from: Option<ObjectVersion>,
    /// The version that it leads to.
    pub to: ObjectVersion,
    /// Instances that came or changed.
    pub put: Vec<LiveInstance>,
    /// Instances that went.
    pub removed: Vec<InstanceName>,
}

/// The latest live list that this process has seen. It never goes back to an earlier version.
#[derive(Clone, Debug, Default)]
pub struct LiveView {
    list: Arc<LiveList>,
    changes: VecDeque<LiveChange>,
}

impl LiveView {
    /// The latest list.
    pub fn list(&self) -> &Arc<LiveList> {
        &self.list
    }

    /// The latest version.
    pub fn version(&self) -> ObjectVersion {
        self.list.version
    }

    /// Takes in a whole list if it is later, and says whether it was.
    pub fn adopt(&mut self, list: LiveList) -> bool {
        if list.version <= self.version() {
            return false;
        }
        let change = difference(&self.list, &list);
        self.step(list, change);
        true
    }

    /// Takes in a change if it applies and leads further, and says whether it did.
    pub fn apply(&mut self, change: &LiveChange) -> bool {
        let whole = change.from.is_none();
        if change.to <= self.version() || !(whole || change.from == Some(self.version())) {
            return false;
        }
        let mut instances: HashMap<&InstanceName, &LiveInstance> = HashMap::new();
        if !whole {
            instances.extend(self.list.instances.iter().map(|i| (&i.name, i)));
        }
        for name in &change.removed {
            instances.remove(name);
        }
        instances.extend(change.put.iter().map(|i| (&i.name, i)));
        let mut instances: Vec<LiveInstance> = instances.into_values().cloned().collect();
        instances.sort_by(|a, b| a.name.cmp(&b.name));
        self.adopt(LiveList { version: change.to, instances })
    }

    /// What a peer at this version lacks, or `None` if nothing.
    pub fn since(&self, have: ObjectVersion) -> Option<LiveChange> {
        if have >= self.version() {
            return None;
        }
        let known = self.changes.iter().position(|change| change.from == Some(have));
        let Some(first) = known else { return Some(self.whole()) };
        let merged = merge(have, self.changes.range(first..));
        Some(merged)
    }

    fn whole(&self) -> LiveChange {
        LiveChange {
            from: None,
            to: self.version(),
            put: self.list.instances.clone(),
            removed: Vec::new(),
        }
    }

    fn step(&mut self, list: LiveList, change: LiveChange) {
        assert!(list.version > self.version(), "the live list went back");
        self.list = Arc::new(list);
        self.changes.push_back(change);
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
    }
}

fn difference(before: &LiveList, after: &LiveList) -> LiveChange {
    let old: HashMap<&InstanceName, &LiveInstance> =
        before.instances.iter().map(|instance| (&instance.name, instance)).collect();
    let new: HashMap<&InstanceName, &LiveInstance> =
        after.instances.iter().map(|instance| (&instance.name, instance)).collect();
    let changed =
        |instance: &&LiveInstance| old.get(&instance.name).is_none_or(|old| old != instance);
    let gone = |instance: &&LiveInstance| !new.contains_key(&instance.name);
    LiveChange {
        from: Some(before.version),
        to: after.version,
        put: after.instances.iter().filter(changed).cloned().collect(),
        removed: before.instances.iter().filter(gone).map(|i| i.name.clone()).collect(),
    }
}

/// One change that does what several do in order.
fn merge<'a>(from: ObjectVersion, changes: impl Iterator<Item = &'a LiveChange>) -> LiveChange {
    let mut fates: HashMap<&InstanceName, Option<&LiveInstance>> = HashMap::new();
    let mut to = from;
    for change in changes {
        to = change.to;
        fates.extend(change.removed.iter().map(|name| (name, None)));
        fates.extend(change.put.iter().map(|instance| (&instance.name, Some(instance))));
    }
    let mut put: Vec<LiveInstance> = fates.values().flatten().map(|i| (*i).clone()).collect();
    let mut removed: Vec<InstanceName> = fates
        .into_iter()
        .filter(|(_, fate)| fate.is_none())
        .map(|(name, _)| name.clone())
        .collect();
    put.sort_by(|a, b| a.name.cmp(&b.name));
    removed.sort();
    LiveChange { from: Some(from), to, put, removed }
}
