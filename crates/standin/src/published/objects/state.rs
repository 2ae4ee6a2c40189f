//! The objects, with the history of their changes.

use std::{collections::BTreeMap, ops::Bound};

use serde_json::{Value, json};

/// Objects by kind and name, and what has changed.
#[derive(Clone, Debug)]
pub(super) struct Objects {
    revision: u64,
    kinds: BTreeMap<String, BTreeMap<String, Value>>,
    history: Vec<Event>,
    history_from: u64,
}

#[derive(Clone, Debug)]
struct Event {
    revision: u64,
    kind: String,
    body: Value,
}

impl Default for Objects {
    fn default() -> Self {
        Self { revision: 1, kinds: BTreeMap::new(), history: Vec::new(), history_from: 0 }
    }
}

impl Objects {
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    pub(super) fn get(&self, kind: &str, name: &str) -> Option<&Value> {
        self.kinds.get(kind)?.get(name)
    }

    pub(super) fn of_kind(&self, kind: &str) -> impl Iterator<Item = (&String, &Value)> {
        self.kinds.get(kind).into_iter().flatten()
    }

    /// The objects of a kind whose names come after this one.
    pub(super) fn of_kind_after(
        &self,
        kind: &str,
        after: &str,
    ) -> impl Iterator<Item = (&String, &Value)> {
        let names = (Bound::Excluded(after), Bound::Unbounded);
        self.kinds.get(kind).into_iter().flat_map(move |objects| objects.range::<str, _>(names))
    }

    /// Creates or replaces an object. The same spec again changes nothing.
    pub(super) fn put(&mut self, kind: &str, name: &str, spec: &Value) -> Value {
        let known = self.get(kind, name);
        if let Some(object) = known.filter(|object| object["spec"] == *spec) {
            return object.clone();
        }
        let status = known.map_or(Value::Null, |object| object["status"].clone());
        let created = known.map_or(self.revision + 1, |object| {
            object["metadata"]["createRevision"].as_u64().unwrap_or_default()
        });
        self.revision += 1;
        let object = json!({
            "metadata": { "name": name, "modRevision": self.revision, "createRevision": created,
                          "finalizers": [], "deleting": false },
            "spec": spec,
            "status": status,
        });
        self.kinds.entry(kind.to_owned()).or_default().insert(name.to_owned(), object.clone());
        self.note(kind, false, &object);
        object
    }

    /// Replaces the status of an object, if there is one. The same status again changes nothing.
    pub(super) fn put_status(&mut self, kind: &str, name: &str, status: &Value) -> Option<Value> {
        let object = self.kinds.get_mut(kind)?.get_mut(name)?;
        if object["status"] != *status {
            self.revision += 1;
            object["status"] = status.clone();
            object["metadata"]["modRevision"] = json!(self.revision);
            let object = object.clone();
            self.note(kind, false, &object);
        }
        self.get(kind, name).cloned()
    }

    pub(super) fn remove(&mut self, kind: &str, name: &str) -> Option<Value> {
        let object = self.kinds.get_mut(kind)?.remove(name)?;
        self.revision += 1;
        self.note(kind, true, &object);
        Some(object)
    }

    pub(super) fn forget(&mut self, kind: &str, name: &str) {
        if let Some(objects) = self.kinds.get_mut(kind) {
            objects.remove(name);
        }
    }

    pub(super) fn change_nameless(&mut self, kind: &str) {
        self.revision += 1;
        self.note(kind, false, &json!({ "metadata": 7 }));
    }

    pub(super) fn forget_history(&mut self) {
        self.history.clear();
        self.history_from = self.revision;
    }

    /// Changes of a kind after a revision. None when some of them are forgotten, or when there is no
    /// such revision yet.
    pub(super) fn changes(&self, kind: &str, after: u64) -> Option<Vec<&Value>> {
        if after < self.history_from || after > self.revision {
            return None;
        }
        let changed = self.history.iter().filter(|event| event.revision > after);
        Some(changed.filter(|event| event.kind == kind).map(|event| &event.body).collect())
    }

    fn note(&mut self, kind: &str, deleted: bool, object: &Value) {
        let body = json!({ "deleted": deleted, "object": object });
        self.history.push(Event { revision: self.revision, kind: kind.to_owned(), body });
    }
}

pub(super) fn revision_of(object: &Value) -> u64 {
    object["metadata"]["modRevision"].as_u64().unwrap_or_default()
}
