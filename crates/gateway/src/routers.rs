//! The list of routers in the store: reading it, standing on it, and taking silent ones off it.

use std::{
    hash::{Hash, Hasher},
    net::SocketAddr,
};

use samphirespread_adapter::{Kind, Listing, Object, Written};
use samphirespread_core::prelude::*;
use samphirespread_logging::event;
use serde_json::json;
use slog::info;
use xxhash_rust::xxh3::Xxh3;

use crate::{gateway::Core, state::OtherRouter, sync::log_failed};

/// A router that was not heard for this long is taken off the list.
const ROUTER_REMOVED_AFTER_MS: u64 = 12_000;

/// Takes over the list, puts this router on it, and takes those off it that were long silent.
pub(crate) async fn take(core: &Core, listing: &Listing, began: MonoTime) {
    let own = core.name.as_str();
    let stands = |object: &Object| {
        object.name == own && address_in(object, "address") == Some(core.addresses.peers)
    };
    if !listing.objects.iter().any(stands) {
        register(core, listing).await;
    }
    for silent in set(core, listing, began) {
        remove(core, &silent).await;
    }
}

async fn register(core: &Core, listing: &Listing) {
    let own = core.name.as_str();
    let spec = json!({
        "address": core.addresses.peers.to_string(),
        "admin": core.addresses.admin.to_string(),
    });
    let known = listing.objects.iter().find(|object| object.name == own);
    let written = match known {
        Some(object) => core.store.replace(Kind::Routers, own, object.revision, &spec).await,
        None => core.store.create(Kind::Routers, own, &spec).await,
    };
    match written {
        Ok(Written::Done { .. }) => info!(core.log, "{}", event::REGISTERED; "name" => own),
        // The next read shows what stands there.
        Ok(other) => info!(core.log, "{}", event::NOT_REGISTERED; "answer" => ?other),
        Err(error) => log_failed(core, "register", &error),
    }
}

/// A router that is to be taken off the list.
struct Silent {
    name: InstanceName,
    revision: u64,
}

/// Puts the list in force. Returns the routers to take off it.
fn set(core: &Core, listing: &Listing, began: MonoTime) -> Vec<Silent> {
    let now = core.now();
    let mut state = core.state();
    state.reads.routers.read(mark_of(&listing.objects), began);
    let mut before = std::mem::take(&mut state.routers);
    for object in &listing.objects {
        let name = InstanceName::new(&object.name);
        let Some(address) = address_in(object, "address") else { continue };
        if name == core.name {
            continue;
        }
        let known = before.remove(&name).filter(|router| router.address == address);
        let router = match known {
            Some(router) => OtherRouter { revision: object.revision, ..router },
            None => {
                info!(core.log, "{}", event::ROUTER_APPEARED; "router" => %name,
                    "address" => %address);
                let (admin, revision) = (address_in(object, "admin"), object.revision);
                OtherRouter { address, admin, revision, report: None, known_since: now }
            }
        };
        state.routers.insert(name, router);
    }
    for name in before.keys() {
        info!(core.log, "{}", event::ROUTER_GONE; "router" => %name);
    }
    let names: Vec<InstanceName> = state.routers.keys().cloned().collect();
    state.quotas.set_routers(&names, now);
    let silent =
        state.routers.iter().filter(|(_, router)| router.silent_ms(now) > ROUTER_REMOVED_AFTER_MS);
    silent.map(|(name, router)| Silent { name: name.clone(), revision: router.revision }).collect()
}

async fn remove(core: &Core, silent: &Silent) {
    let name = &silent.name;
    match core.store.remove(Kind::Routers, name.as_str(), silent.revision).await {
        Ok(answer) => {
            info!(core.log, "{}", event::ROUTER_REMOVED; "router" => %name, "answer" => ?answer);
        }
        Err(error) => log_failed(core, "remove_router", &error),
    }
}

impl OtherRouter {
    /// Time since it was last heard.
    pub(crate) fn silent_ms(&self, now: MonoTime) -> u64 {
        let heard = self.report.as_ref().map_or(self.known_since, |(_, heard)| *heard);
        now.ms_since(heard)
    }
}

fn address_in(object: &Object, field: &str) -> Option<SocketAddr> {
    object.spec.get(field)?.as_str()?.parse().ok()
}

/// Equal for equal lists of routers.
fn mark_of(objects: &[Object]) -> u64 {
    let mut hasher = Xxh3::new();
    for object in objects {
        object.name.hash(&mut hasher);
        object.spec.to_string().hash(&mut hasher);
    }
    hasher.finish()
}
