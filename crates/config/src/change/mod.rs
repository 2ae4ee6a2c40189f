//! Changes to single objects that can also be applied to a later configuration.

use std::collections::BTreeMap;

use crate::{
    document::{Document, ObjectName},
    model::Config,
};

/// The change to one object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The object before, or `None` if it is new.
    pub before: Option<Document>,
    /// The object after, or `None` if it is removed.
    pub after: Option<Document>,
}

/// A set of changes by object. Each of them alters its object.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    changes: BTreeMap<ObjectName, Change>,
}

impl Changes {
    /// Computes the changes that add or replace some objects of a configuration and remove others.
    ///
    /// ```
    /// use samphirespread_config::{Changes, Config, ObjectName};
    ///
    /// let unknown = ObjectName::parse("key/old").unwrap();
    ///
    /// let changes = Changes::against(&Config::default(), [], [unknown]);
    ///
    /// assert!(changes.is_empty());
    /// ```
    pub fn against(
        config: &Config,
        puts: impl IntoIterator<Item = Document>,
        removals: impl IntoIterator<Item = ObjectName>,
    ) -> Self {
        let mut before = documents_by_name(config);
        let mut changes = BTreeMap::new();
        for after in puts {
            let name = after.name();
            let before = before.remove(&name);
            if before.as_ref() != Some(&after) {
                changes.insert(name, Change { before, after: Some(after) });
            }
        }
        for name in removals {
            if let Some(before) = before.remove(&name) {
                changes.insert(name, Change { before: Some(before), after: None });
            }
        }
        Self { changes }
    }

    /// Computes the changes that turn one configuration into another.
    pub fn between(before: &Config, after: &Config) -> Self {
        let kept: Vec<ObjectName> = after.documents().iter().map(Document::name).collect();
        let removed =
            documents_by_name(before).into_keys().filter(|name| kept.binary_search(name).is_err());
        Self::against(before, after.documents(), removed)
    }

    /// Returns whether there are no changes.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// Iterates over the changes in the order of the objects.
    pub fn iter(&self) -> impl Iterator<Item = (&ObjectName, &Change)> {
        self.changes.iter()
    }

    /// Applies the changes to a configuration, which may differ from the one they were computed
    /// for.
    ///
    /// # Errors
    ///
    /// Returns the conflicting objects: those whose current state matches neither the state
    /// before nor the state after the change, because somebody else has changed them too.
    pub fn apply_to(&self, config: &Config) -> Result<Config, Vec<ObjectName>> {
        let mut objects = documents_by_name(config);
        let mut conflicts = Vec::new();
        for (name, change) in &self.changes {
            let current = objects.remove(name);
            if current != change.before && current != change.after {
                conflicts.push(name.clone());
                continue;
            }
            if let Some(after) = &change.after {
                objects.insert(name.clone(), after.clone());
            }
        }
        if conflicts.is_empty() {
            Ok(Config::from_documents(objects.into_values()))
        } else {
            Err(conflicts)
        }
    }
}

fn documents_by_name(config: &Config) -> BTreeMap<ObjectName, Document> {
    config.documents().into_iter().map(|document| (document.name(), document)).collect()
}
