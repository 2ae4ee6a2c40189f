//! A copy of the store's list of backend servers.
//!
//! The list can have thousands of entries, so it is read as a whole only once. Later reads fetch
//! the changes.

use std::{
    collections::{BTreeMap, HashSet},
    hash::{Hash, Hasher},
    sync::Arc,
};

use samphirespread_adapter::{Change, DecodeError, Object, backend_servers};
use samphirespread_core::prelude::*;
use samphirespread_routing::model::{Availability, BackendServer};
use xxhash_rust::xxh3::Xxh3;

/// The entries of the list.
#[derive(Debug, Default)]
pub(crate) struct ServerList {
    entries: BTreeMap<String, Entry>,
    /// The era of the store in which the list was read.
    era: u64,
    /// The store's position up to which the list includes all changes. None if all has to be read
    /// again.
    as_of: Option<StorePosition>,
}

#[derive(Debug)]
struct Entry {
    object: Arc<Object>,
    /// None if the entry can't be decoded.
    server: Option<BackendServer>,
}

/// An entry that can't be decoded.
#[derive(Debug)]
pub(crate) struct Unreadable {
    pub(crate) name: String,
    pub(crate) error: DecodeError,
}

impl ServerList {
    /// Creates a list from all objects, and the position up to which they include all changes.
    pub(crate) fn new(
        objects: impl IntoIterator<Item = Arc<Object>>,
        as_of: StorePosition,
    ) -> (Self, Vec<Unreadable>) {
        let mut list = Self { entries: BTreeMap::new(), era: as_of.era(), as_of: Some(as_of) };
        let unreadable = objects.into_iter().filter_map(|object| list.set(object)).collect();
        (list, unreadable)
    }

    /// Applies the changes up to a position.
    pub(crate) fn apply(&mut self, changes: Vec<Change>, as_of: StorePosition) -> Vec<Unreadable> {
        (self.era, self.as_of) = (as_of.era(), Some(as_of));
        let mut unreadable = Vec::new();
        for change in changes {
            match change {
                Change::Set(object) => unreadable.extend(self.set(Arc::new(object))),
                Change::Removed(name) => {
                    self.entries.remove(&name);
                }
            }
        }
        unreadable
    }

    /// Applies another router's copy: the entries that have changed since this list's position, and
    /// the names of all entries. Drops the entries that are not among the names.
    pub(crate) fn apply_copy(
        &mut self,
        changed: impl IntoIterator<Item = Arc<Object>>,
        names: &HashSet<String>,
        era: u64,
        as_of: Option<StorePosition>,
    ) -> Vec<Unreadable> {
        (self.era, self.as_of) = (era, as_of);
        self.entries.retain(|name, _| names.contains(name));
        changed.into_iter().filter_map(|object| self.set(object)).collect()
    }

    /// Makes the next read fetch the whole list.
    pub(crate) fn forget_position(&mut self) {
        self.as_of = None;
    }

    /// The store's position from which to ask for changes.
    pub(crate) fn as_of(&self) -> Option<StorePosition> {
        self.as_of
    }

    /// The era of the store in which the list was read.
    pub(crate) fn era(&self) -> u64 {
        self.era
    }

    /// The servers whose entries could be decoded.
    pub(crate) fn servers(&self) -> Vec<BackendServer> {
        self.entries.values().filter_map(|entry| entry.server.clone()).collect()
    }

    /// The entries as the store gave them.
    pub(crate) fn objects(&self) -> Arc<Vec<Arc<Object>>> {
        Arc::new(self.entries.values().map(|entry| Arc::clone(&entry.object)).collect())
    }

    /// A hash of the list, to tell whether two routers have equal lists. It leaves out the models
    /// that servers hold, which are reported by sidecars.
    pub(crate) fn mark(&self) -> u64 {
        let mut hasher = Xxh3::new();
        for server in self.entries.values().filter_map(|entry| entry.server.as_ref()) {
            (&*server.id, &*server.service, server.address, &*server.failure_domain)
                .hash(&mut hasher);
            server.software.hash(&mut hasher);
            (server.slots, server.availability == Availability::Ready, server.started_unix_ms)
                .hash(&mut hasher);
        }
        hasher.finish()
    }

    fn set(&mut self, object: Arc<Object>) -> Option<Unreadable> {
        let name = object.name.clone();
        let decoded = match &object.spec_error {
            Some(error) => Err(DecodeError::Shape { what: "an entry", message: error.clone() }),
            None => backend_servers::decode(&name, &object.spec),
        };
        let (server, unreadable) = match decoded {
            Ok(mut server) => {
                if object.is_deleting {
                    server.availability = Availability::Draining;
                }
                (Some(server), None)
            }
            Err(error) => (None, Some(Unreadable { name: name.clone(), error })),
        };
        self.entries.insert(name, Entry { object, server });
        unreadable
    }
}
