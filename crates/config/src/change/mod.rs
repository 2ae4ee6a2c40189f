//! Changes of single objects, which can be carried over to another configuration.

use std::collections::BTreeMap;

use crate::{
    document::{Document, ObjectName},
    model::Config,
};

/// The change of one object.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// The object before, or `None` if it is new.
    pub before: Option<Document>,
    /// The object after, or `None` if it is removed.
    pub after: Option<Document>,
}

/// Changes by object, none of which leaves its object as it was.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    changes: BTreeMap<ObjectName, Change>,
}

impl Changes {
    /// What it takes to put these objects into a configuration and to remove others from it.
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
        let mut before = by_name(config);
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

    /// What it takes to turn one configuration into another.
    pub fn between(before: &Config, after: &Config) -> Self {
        let kept: Vec<ObjectName> = after.documents().iter().map(Document::name).collect();
        let gone = by_name(before).into_keys().filter(|name| kept.binary_search(name).is_err());
        Self::against(before, after.documents(), gone)
    }

    /// Whether there is nothing to change.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// The changes, in the order of the objects.
    pub fn iter(&self) -> impl Iterator<Item = (&ObjectName, &Change)> {
        self.changes.iter()
    }

    /// Makes the changes to a configuration that may differ from the one they were made for.
    ///
    /// # Errors
    ///
    /// The objects that the configuration has neither as before nor as after the change:
    /// somebody else has changed them too.
    pub fn apply_to(&self, config: &Config) -> Result<Config, Vec<ObjectName>> {
        let mut objects = by_name(config);
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

fn by_name(config: &Config) -> BTreeMap<ObjectName, Document> {
    config.documents().into_iter().map(|document| (document.name(), document)).collect()
}
