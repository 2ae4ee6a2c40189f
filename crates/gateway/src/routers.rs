//! The list of routers in the store: reading it, standing on it, and taking silent ones off it.

use std::{
    hash::{Hash, Hasher},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use samphirespread_adapter::{Kind, Listing, Object, Written};
use samphirespread_core::prelude::*;
use samphirespread_fabric::Member;
use samphirespread_logging::event;
use serde_json::{Value, json};
use slog::info;
use tokio::time;
use xxhash_rust::xxh3::Xxh3;

use crate::{gateway::Core, state::OtherRouter, sync::log_failed};

/// Routers that start together have registered within this time.
const STARTS_TOGETHER_MS: u64 = 400;
/// A router that was not heard for this long is taken off the list.
const ROUTER_REMOVED_AFTER_MS: u64 = 12_000;

/// Takes over the list, puts this router on it, and takes those off it that were long silent.
pub(crate) async fn take(core: &Arc<Core>, listing: &Listing, began: MonoTime) {
    if !is_listed(core, &listing.objects) {
        register(core, listing).await;
    }
    for silent in set(core, &listing.objects, began) {
        remove(core, &silent).await;
    }
}

/// Reads the list once more when the routers that started together with this one have registered too.
async fn read_again(core: Arc<Core>) {
    time::sleep(Duration::from_millis(STARTS_TOGETHER_MS)).await;
    core.state().reads.news.routers = true;
    core.news.notify_one();
}

/// What this router writes of itself on the list.
fn entry(core: &Core) -> Value {
    json!({
        "address": core.addresses.peers.to_string(),
        "admin": core.addresses.admin.to_string(),
        "failure_domain": &*core.member.failure_domain,
        "processor_share": core.member.capacity,
    })
}

async fn register(core: &Arc<Core>, listing: &Listing) {
    let own = core.name.as_str();
    let spec = entry(core);
    let known = listing.objects.iter().find(|object| object.name == own);
    let written = match known {
        Some(object) => core.store.replace(Kind::Routers, own, object.revision, &spec).await,
        None => core.store.create(Kind::Routers, own, &spec).await,
    };
    match written {
        Ok(Written::Done { .. }) => {
            info!(core.log, "{}", event::REGISTERED; "name" => own);
            tokio::spawn(read_again(core.clone()));
        }
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
fn set(core: &Core, objects: &[Object], began: MonoTime) -> Vec<Silent> {
    let now = core.now();
    let mut state = core.state();
    state.reads.routers.read(mark_of(objects), began);
    state.router_objects = Arc::new(objects.to_vec());
    let mut before = std::mem::take(&mut state.routers);
    for object in objects {
        let name = InstanceName::new(&object.name);
        let Some(address) = address_in(object, "address") else { continue };
        if name == core.name {
            continue;
        }
        let known = before.remove(&name).filter(|router| router.address == address);
        let (member, revision) = (member_in(object), object.revision);
        let router = match known {
            Some(router) => OtherRouter { member, revision, ..router },
            None => {
                info!(core.log, "{}", event::ROUTER_APPEARED; "router" => %name,
                    "address" => %address);
                let admin = address_in(object, "admin");
                let (told, hop) = (None, None);
                OtherRouter { address, admin, revision, member, told, hop, known_since: now }
            }
        };
        state.routers.insert(name, router);
    }
    for name in before.keys() {
        info!(core.log, "{}", event::ROUTER_GONE; "router" => %name);
    }
    let names: Vec<InstanceName> = state.routers.keys().cloned().collect();
    state.quotas.set_routers(&names, now);
    let members: Vec<Member> = state.routers.values().map(|router| router.member.clone()).collect();
    state.fabric.set_members(members, now);
    let silent =
        state.routers.iter().filter(|(_, router)| router.silent_ms(now) > ROUTER_REMOVED_AFTER_MS);
    silent.map(|(name, router)| Silent { name: name.clone(), revision: router.revision }).collect()
}

/// Puts a list in force that another router has read. Returns whether this router is on it.
pub(crate) fn take_over(core: &Core, objects: &[Object], began: MonoTime) -> bool {
    let is_listed = is_listed(core, objects);
    // Whoever reads the store takes silent routers off the list.
    let _ = set(core, objects, began);
    is_listed
}

fn is_listed(core: &Core, objects: &[Object]) -> bool {
    let stands = |object: &Object| {
        address_in(object, "address") == Some(core.addresses.peers)
            && member_in(object) == core.member
    };
    objects.iter().any(stands)
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

/// The router that an entry is of. One that tells neither domain nor capacity comes last in all duties.
fn member_in(object: &Object) -> Member {
    let failure_domain = object.spec.get("failure_domain").and_then(Value::as_str);
    Member {
        name: InstanceName::new(&object.name),
        failure_domain: failure_domain.unwrap_or_default().into(),
        capacity: object.spec.get("processor_share").and_then(Value::as_f64).unwrap_or(0.0),
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
