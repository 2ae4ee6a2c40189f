//! Determines where the shared parts of a prompt are cached, and under which keys.

use std::net::SocketAddr;

use samphirespread_core::prelude::*;
use samphirespread_routing::{
    cache_scope::CacheScope,
    model::{CacheStore, Generation, PromptPart},
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    fleet::Server,
    state::{CacheState, State},
};

/// The store that caches the parts of this prompt. All routers choose the same one among those that
/// answer.
pub(super) fn cache_store<'a>(
    state: &'a State,
    generation: &Generation,
) -> Option<(SocketAddr, &'a CacheState)> {
    let subject = subject(generation).as_bytes();
    let up = state.caches.iter().filter(|(_, cache)| cache.is_up);
    up.max_by_key(|(address, _)| rendezvous::score(subject, &address.to_string()))
        .map(|(address, cache)| (*address, cache))
}

/// The id of the part that decides where the prompt's shared parts are cached.
fn subject(generation: &Generation) -> &str {
    let part = generation.shared_parts().last().or(generation.parts.last());
    part.map_or("", |part| &part.id)
}

/// Indices of the servers, in the order in which they are preferred for a prompt's shared parts.
pub(super) fn preferred_order(servers: &[&Server], generation: &Generation) -> Vec<usize> {
    rendezvous::rank(subject(generation).as_bytes(), servers, |server| &server.entry.id)
}

/// Salts and keys of a prompt's shared parts, by version of the weights. A fleet holds few
/// versions, so a list is searched.
pub(super) struct KeysOfVersions<'a> {
    scope: &'a CacheScope,
    generation: &'a Generation,
    known: Vec<KeysOfVersion>,
}

#[derive(Clone)]
pub(super) struct KeysOfVersion {
    version: u64,
    pub(super) salt: String,
    pub(super) parts: Vec<u64>,
}

impl<'a> KeysOfVersions<'a> {
    pub(super) fn new(scope: &'a CacheScope, generation: &'a Generation) -> Self {
        Self { scope, generation, known: Vec::new() }
    }

    pub(super) fn of(&mut self, version: u64) -> &KeysOfVersion {
        let known = self.known.iter().position(|keys| keys.version == version);
        let index = known.unwrap_or_else(|| {
            let salt = self.scope.salt(version);
            let parts = part_keys(&salt, self.generation.shared_parts());
            self.known.push(KeysOfVersion { version, salt, parts });
            self.known.len() - 1
        });
        &self.known[index]
    }
}

/// Keys of the parts; each key depends on the part and all parts before it.
fn part_keys(salt: &str, parts: &[PromptPart]) -> Vec<u64> {
    let mut key = xxh3_64_with_seed(salt.as_bytes(), 0);
    parts
        .iter()
        .map(|part| {
            key = xxh3_64_with_seed(part.id.as_bytes(), key);
            key
        })
        .collect()
}

/// The configuration of a cache store.
pub(super) fn configured_store(state: &State, address: SocketAddr) -> Option<&CacheStore> {
    let services = state.table.iter().flat_map(|table| &table.configuration().services);
    let mut stores = services.filter_map(|service| service.cache_store.as_ref());
    stores.find(|store| store.address == address)
}
