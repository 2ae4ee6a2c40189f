//! A copy of the store's list of backend servers.
//!
//! The list can have thousands of entries, so it is read as a whole only once. Later reads fetch
//! the changes.
//!
//! Others write to the list too. Of an entry that can't be decoded nothing is kept. Entries of
//! services that the configuration doesn't name are kept up to a bound, so that the next
//! configuration may name them.

use std::{
    collections::BTreeMap,
    hash::{Hash, Hasher},
    sync::Arc,
};

use samphirespread_adapter::{Change, DecodeError, EncodedObject, Object, backend_servers};
use samphirespread_core::prelude::*;
use samphirespread_routing::model::{Availability, BackendServer, ServiceName};
use xxhash_rust::xxh3::Xxh3;

use super::NamedServices;
use crate::admin::Lists;

/// The memory for entries of services that the configuration doesn't name.
const MAX_OTHER_BYTES: usize = 8 * 1024 * 1024;
/// The memory of an entry beside its texts, with its place in the list.
const ENTRY_BYTES: usize = 512;
/// The number of entries that one read reports as unreadable.
const MAX_REPORTED: usize = 20;

/// An entry of the list.
pub(crate) type ListedServer = Object<BackendServer>;

/// The entries of the list.
#[derive(Debug, Default)]
pub(crate) struct ServerList {
    entries: BTreeMap<String, Arc<ListedServer>>,
    /// The era of the store in which the list was read.
    era: u64,
    /// The store's position up to which the list includes all changes. None before the first read.
    as_of: Option<StorePosition>,
    /// Whether the changes since then are not enough, as entries are missing.
    needs_listing: bool,
    /// The services that the configuration in force names. None before there is one.
    services: Option<NamedServices>,
    /// What the entries of other services take.
    other_bytes: usize,
    /// Whether entries of other services were left out.
    is_partial: bool,
}

/// An entry that can't be decoded.
#[derive(Debug)]
pub(crate) struct Unreadable {
    pub(crate) name: String,
    pub(crate) error: DecodeError,
}

/// The entries that a read could not decode.
#[derive(Debug, Default)]
pub(crate) struct UnreadableEntries {
    /// Their number.
    pub(crate) count: u64,
    /// The first of them.
    pub(crate) reported: Vec<Unreadable>,
}

impl UnreadableEntries {
    /// Decodes an entry. Returns none if that fails, which is added to the others.
    pub(crate) fn decode(&mut self, entry: &EncodedObject<'_>) -> Option<ListedServer> {
        match backend_servers::decode(entry.name, entry.spec) {
            Ok(server) => Some(entry.with_spec(server)),
            Err(error) => {
                self.count += 1;
                if self.reported.len() < MAX_REPORTED {
                    self.reported.push(Unreadable { name: entry.name.to_owned(), error });
                }
                None
            }
        }
    }
}

impl ServerList {
    /// Returns an empty list of the services that the configuration names, to be filled by a read of
    /// all entries.
    pub(crate) fn emptied(&self) -> Self {
        Self { services: self.services.clone(), ..Self::default() }
    }

    /// Records the position up to which the entries include all changes.
    pub(crate) fn read_up_to(&mut self, as_of: StorePosition) {
        (self.era, self.as_of) = (as_of.era(), Some(as_of));
    }

    /// Applies the changes up to a position.
    pub(crate) fn apply(&mut self, changes: Vec<Change<ListedServer>>, as_of: StorePosition) {
        self.read_up_to(as_of);
        for change in changes {
            match change {
                Change::Set(entry) => self.set(entry),
                Change::Removed(name) => self.remove(&name),
            }
        }
    }

    /// Applies another router's copy. Drops the entries that are not among its names.
    pub(crate) fn apply_copy(&mut self, copy: &Lists<ListedServer>) {
        (self.era, self.as_of) = (copy.servers_era, copy.servers_position());
        let missing = self.entries.keys().filter(|name| !copy.server_names.contains(*name));
        for name in missing.cloned().collect::<Vec<_>>() {
            self.remove(&name);
        }
        copy.servers.iter().for_each(|entry| self.set(entry.clone()));
        self.is_partial |= copy.is_partial;
        self.needs_listing &= copy.is_partial || !copy.has_whole_servers();
    }

    /// Whether entries of services that the configuration doesn't name were left out.
    pub(crate) fn is_partial(&self) -> bool {
        self.is_partial
    }

    /// Replaces the services that the configuration names. If entries of a service may have been left
    /// out that is named now, the next read fetches the whole list.
    pub(crate) fn set_services(&mut self, services: NamedServices) {
        if self.is_partial && !services.all.iter().all(|service| self.names(service)) {
            self.require_listing();
        }
        self.services = Some(services);
        let other = self.entries.values().filter(|entry| !self.names(&entry.spec.service));
        self.other_bytes = other.map(|entry| size_bytes(entry)).sum();
    }

    /// Makes the reads fetch the whole list, until one has.
    pub(crate) fn require_listing(&mut self) {
        self.needs_listing = true;
    }

    /// Whether entries are missing that only a listing shows.
    pub(crate) fn needs_listing(&self) -> bool {
        self.needs_listing
    }

    /// The store's position from which to ask for changes. None if all has to be read.
    pub(crate) fn as_of(&self) -> Option<StorePosition> {
        self.as_of.filter(|_| !self.needs_listing)
    }

    /// The era of the store in which the list was read.
    pub(crate) fn era(&self) -> u64 {
        self.era
    }

    /// The entries, in the order of their names.
    pub(crate) fn entries(&self) -> impl Iterator<Item = &Arc<ListedServer>> + Clone {
        self.entries.values()
    }

    /// Whether the configuration in force names a service.
    pub(crate) fn names(&self, service: &ServiceName) -> bool {
        self.services.as_ref().is_some_and(|named| named.all.contains(service))
    }

    /// The services that the configuration in force names. None before there is one.
    pub(crate) fn services(&self) -> Option<&NamedServices> {
        self.services.as_ref()
    }

    /// A hash of the list, to tell whether two routers have equal lists. It leaves out the models
    /// that servers hold, which are reported by sidecars, and the entries of other services if some
    /// were left out, as routers may differ in which.
    pub(crate) fn mark(&self) -> u64 {
        let mut hasher = Xxh3::new();
        let servers = self.entries.values().map(|entry| &entry.spec);
        for server in servers.filter(|server| !self.is_partial || self.names(&server.service)) {
            (&*server.id, &*server.service, server.address, &*server.failure_domain)
                .hash(&mut hasher);
            server.software.hash(&mut hasher);
            (server.slots, server.availability == Availability::Ready, server.started_unix_ms)
                .hash(&mut hasher);
        }
        hasher.finish()
    }

    /// Adds or replaces an entry. One of another service is left out if there is no room for it.
    pub(crate) fn set(&mut self, mut entry: ListedServer) {
        self.remove(&entry.name);
        if entry.is_deleting {
            entry.spec.availability = Availability::Draining;
        }
        if !self.names(&entry.spec.service) {
            let other_bytes = self.other_bytes + size_bytes(&entry);
            if other_bytes > MAX_OTHER_BYTES {
                self.is_partial = true;
                return;
            }
            self.other_bytes = other_bytes;
        }
        self.entries.insert(entry.name.clone(), Arc::new(entry));
    }

    fn remove(&mut self, name: &str) {
        let Some(entry) = self.entries.remove(name) else { return };
        if !self.names(&entry.spec.service) {
            self.other_bytes -= size_bytes(&entry);
        }
    }
}

/// The memory that an entry takes, in bytes.
fn size_bytes(entry: &ListedServer) -> usize {
    let server = &entry.spec;
    // An id is also the entry's name and the key in the list.
    let texts = [&server.service, &server.failure_domain, &server.software].map(|text| text.len());
    let models = server.models.iter().map(|held| size_of_val(held) + held.model.as_str().len());
    ENTRY_BYTES + 3 * server.id.len() + texts.iter().sum::<usize>() + models.sum::<usize>()
}
