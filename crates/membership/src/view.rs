//! Holds the latest live list and the changes that led to it.

use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
};

use samphirespread_core::prelude::*;
use samphirespread_platform::api::{LiveInstance, LiveList, ObjectVersion};
use serde::{Deserialize, Serialize};

/// Maximum number of changes that are kept for peers with an older list. Peers with a still older
/// list receive the whole list.
pub const MAX_CHANGES: usize = 64;

/// The difference between two versions of the live list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LiveChange {
    /// The version to which the change applies, or `None` if the change holds the whole list.
    pub from: Option<ObjectVersion>,
    /// The version after the change.
    pub to: ObjectVersion,
    /// Instances that were added or changed.
    pub put: Vec<LiveInstance>,
    /// Names of the instances that were removed.
    pub removed: Vec<InstanceName>,
}

/// The latest live list that this process has seen. It never returns to an earlier version.
#[derive(Clone, Debug, Default)]
pub struct LiveView {
    list: Arc<LiveList>,
    changes: VecDeque<LiveChange>,
}

impl LiveView {
    /// Returns the latest list.
    pub fn list(&self) -> &Arc<LiveList> {
        &self.list
    }

    /// Returns the latest version.
    pub fn version(&self) -> ObjectVersion {
        self.list.version
    }

    /// Replaces the list if `list` has a later version. Returns whether it had.
    pub fn adopt(&mut self, list: LiveList) -> bool {
        if list.version <= self.version() {
            return false;
        }
        let change = diff(&self.list, &list);
        self.replace(list, change);
        true
    }

    /// Applies a change if it fits the current version and leads to a later one. Returns whether it
    /// did.
    pub fn apply(&mut self, change: &LiveChange) -> bool {
        let is_whole_list = change.from.is_none();
        if change.to <= self.version() || !(is_whole_list || change.from == Some(self.version())) {
            return false;
        }
        let mut instances: HashMap<&InstanceName, &LiveInstance> = HashMap::new();
        if !is_whole_list {
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

    /// Returns the change that a peer at version `have` needs, or `None` if it needs none.
    pub fn since(&self, have: ObjectVersion) -> Option<LiveChange> {
        if have >= self.version() {
            return None;
        }
        let first = self.changes.iter().position(|change| change.from == Some(have));
        let Some(first) = first else { return Some(self.whole_list()) };
        let merged = merge(have, self.changes.range(first..));
        Some(merged)
    }

    fn whole_list(&self) -> LiveChange {
        LiveChange {
            from: None,
            to: self.version(),
            put: self.list.instances.clone(),
            removed: Vec::new(),
        }
    }

    fn replace(&mut self, list: LiveList, change: LiveChange) {
        assert!(
            list.version > self.version(),
            "the live list must not return to an earlier version"
        );
        self.list = Arc::new(list);
        self.changes.push_back(change);
        if self.changes.len() > MAX_CHANGES {
            self.changes.pop_front();
        }
    }
}

fn diff(before: &LiveList, after: &LiveList) -> LiveChange {
    let old: HashMap<&InstanceName, &LiveInstance> =
        before.instances.iter().map(|instance| (&instance.name, instance)).collect();
    let new: HashMap<&InstanceName, &LiveInstance> =
        after.instances.iter().map(|instance| (&instance.name, instance)).collect();
    let is_changed =
        |instance: &&LiveInstance| old.get(&instance.name).is_none_or(|old| old != instance);
    let is_removed = |instance: &&LiveInstance| !new.contains_key(&instance.name);
    LiveChange {
        from: Some(before.version),
        to: after.version,
        put: after.instances.iter().filter(is_changed).cloned().collect(),
        removed: before.instances.iter().filter(is_removed).map(|i| i.name.clone()).collect(),
    }
}

/// Merges consecutive changes into one.
fn merge<'a>(from: ObjectVersion, changes: impl Iterator<Item = &'a LiveChange>) -> LiveChange {
    let mut latest: HashMap<&InstanceName, Option<&LiveInstance>> = HashMap::new();
    let mut to = from;
    for change in changes {
        to = change.to;
        latest.extend(change.removed.iter().map(|name| (name, None)));
        latest.extend(change.put.iter().map(|instance| (&instance.name, Some(instance))));
    }
    let mut put: Vec<LiveInstance> = latest.values().flatten().map(|i| (*i).clone()).collect();
    let mut removed: Vec<InstanceName> =
        latest.into_iter().filter(|(_, put)| put.is_none()).map(|(name, _)| name.clone()).collect();
    put.sort_by(|a, b| a.name.cmp(&b.name));
    removed.sort();
    LiveChange { from: Some(from), to, put, removed }
}
