//! Maintains the list of routers in the store: applies it, registers this router, and removes
//! silent ones.

use std::{
    hash::{Hash, Hasher},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use samphirespread_adapter::{EncodedObject, Kind, Listing, Object, Written};
use samphirespread_core::prelude::*;
use samphirespread_fabric::Member;
use samphirespread_logging::event;
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::{json, value::RawValue};
use slog::info;
use tokio::time;
use xxhash_rust::xxh3::Xxh3;

use crate::{
    gateway::Core, server_limits, state::OtherRouter, stream_versions, sync::log_store_failure,
};

/// Routers that start at the same time have all registered within this time.
const JOINT_START_MS: u64 = 400;
/// A router is removed from the list if it publishes nothing for this long.
const MAX_ROUTER_SILENCE_MS: u64 = 12_000;

/// The largest entry of a router that is decoded.
const MAX_ENTRY_BYTES: usize = 4_096;

/// The entry of a router. It is empty if it can't be decoded.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub(crate) struct RouterEntry {
    /// Where it receives other routers' records.
    address: Option<SocketAddr>,
    /// Where it answers operators and other routers.
    admin: Option<SocketAddr>,
    /// Routers without failure domain and capacity come last in all duties.
    failure_domain: Option<String>,
    /// Its part of a processor.
    processor_share: Option<f64>,
}

impl<'de> Deserialize<'de> for RouterEntry {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = Box::<RawValue>::deserialize(deserializer)?;
        Ok(Self::decode(text.get()))
    }
}

impl RouterEntry {
    fn decode(text: &str) -> Self {
        #[derive(Deserialize)]
        struct Fields {
            address: SocketAddr,
            admin: Option<SocketAddr>,
            failure_domain: Option<String>,
            processor_share: Option<f64>,
        }
        let fields = (text.len() <= MAX_ENTRY_BYTES).then(|| serde_json::from_str(text).ok());
        let Some(fields) = fields.flatten() else { return Self::default() };
        let Fields { address, admin, failure_domain, processor_share } = fields;
        Self { address: Some(address), admin, failure_domain, processor_share }
    }
}

/// Decodes an entry of the list of routers. Returns none if it names no router, unless it has taken
/// the place of this router's own.
pub(crate) fn decode(core: &Core, entry: &EncodedObject<'_>) -> Option<Object<RouterEntry>> {
    let decoded = RouterEntry::decode(entry.spec);
    let is_kept = decoded.address.is_some() || entry.name == core.name.as_str();
    is_kept.then(|| entry.with_spec(decoded))
}

/// Applies the list, adds this router to it if it is missing, and removes routers that are silent
/// for too long.
pub(crate) async fn apply_listing(
    core: &Arc<Core>,
    listing: &Listing<Object<RouterEntry>>,
    began: MonoTime,
) {
    if !is_listed(core, &listing.objects) {
        register(core, listing).await;
    }
    for silent in replace_routers(core, &listing.objects, listing.position.era(), began) {
        remove(core, &silent).await;
    }
}

/// Requests another read of the list once the routers that started together with this one have
/// registered.
async fn request_reread(core: Arc<Core>) {
    time::sleep(Duration::from_millis(JOINT_START_MS)).await;
    core.state().reads.news.routers = true;
    core.wake_list_reader.notify_one();
}

/// Returns this router's entry on the list.
fn own_entry(core: &Core) -> RouterEntry {
    RouterEntry {
        address: Some(core.addresses.peers),
        admin: Some(core.addresses.admin),
        failure_domain: Some(core.member.failure_domain.to_string()),
        processor_share: Some(core.member.capacity),
    }
}

async fn register(core: &Arc<Core>, listing: &Listing<Object<RouterEntry>>) {
    let own = core.name.as_str();
    let spec = json!(own_entry(core));
    let known = listing.objects.iter().find(|object| object.name == own);
    let written = match known {
        Some(object) => core.store.replace(Kind::Routers, own, object.position, &spec).await,
        None => core.store.create(Kind::Routers, own, &spec).await,
    };
    match written {
        Ok(Written::Done { .. }) => {
            info!(core.log, "{}", event::REGISTERED; "name" => own);
            tokio::spawn(request_reread(core.clone()));
        }
        // The next read of the list shows the current entry.
        Ok(other) => info!(core.log, "{}", event::NOT_REGISTERED; "answer" => ?other),
        Err(error) => log_store_failure(core, "register", &error),
    }
}

/// A router that has to be removed from the list.
struct SilentRouter {
    name: InstanceName,
    position: StorePosition,
}

/// Replaces the known routers by those on the list. Returns the routers that have to be removed
/// from it.
fn replace_routers(
    core: &Core,
    objects: &[Object<RouterEntry>],
    era: u64,
    began: MonoTime,
) -> Vec<SilentRouter> {
    let now = core.now();
    let mut state = core.state();
    state.reads.routers.read(era, mark_of(objects), began);
    state.router_objects = Arc::new(objects.to_vec());
    let mut before = std::mem::take(&mut state.routers);
    for object in objects {
        let name = InstanceName::new(&object.name);
        let Some(address) = object.spec.address else { continue };
        if name == core.name {
            continue;
        }
        let known = before.remove(&name).filter(|router| router.address == address);
        let (member, position) = (member_in(object), object.position);
        let router = match known {
            Some(router) => OtherRouter { member, position, ..router },
            None => {
                info!(core.log, "{}", event::ROUTER_APPEARED; "router" => %name,
                    "address" => %address);
                let admin = object.spec.admin;
                let (last_state, echo) = (None, None);
                OtherRouter { address, admin, position, member, last_state, echo, known_since: now }
            }
        };
        state.routers.insert(name, router);
    }
    for name in before.keys() {
        info!(core.log, "{}", event::ROUTER_GONE; "router" => %name);
    }
    state.has_routers = true;
    let names: Vec<InstanceName> = state.routers.keys().cloned().collect();
    state.quotas.set_routers(&names, now);
    let window_ms = state.bounds.retry_window_ms;
    state.slack_share.observe(&core.name, &names, window_ms, now);
    let members: Vec<Member> = state.routers.values().map(|router| router.member.clone()).collect();
    state.crash_causes.set_routers(names.clone());
    state.server_limits.set_routers(members.iter().map(server_limits::holder).collect(), now);
    state.stream_writers = stream_versions::writers(core, &state);
    state.fabric.set_members(members, now);
    let silent =
        state.routers.iter().filter(|(_, router)| router.silence_ms(now) > MAX_ROUTER_SILENCE_MS);
    silent
        .map(|(name, router)| SilentRouter { name: name.clone(), position: router.position })
        .collect()
}

/// Applies a list that another router has read in this era of the store. Returns whether this router
/// is on it.
pub(crate) fn apply_copy(
    core: &Core,
    objects: &[Object<RouterEntry>],
    era: u64,
    began: MonoTime,
) -> bool {
    let is_listed = is_listed(core, objects);
    // Silent routers are removed by the router that reads the store.
    let _ = replace_routers(core, objects, era, began);
    is_listed
}

fn is_listed(core: &Core, objects: &[Object<RouterEntry>]) -> bool {
    let is_own_entry = |object: &Object<RouterEntry>| {
        object.spec.address == Some(core.addresses.peers) && member_in(object) == core.member
    };
    objects.iter().any(is_own_entry)
}

async fn remove(core: &Core, silent: &SilentRouter) {
    let name = &silent.name;
    match core.store.remove(Kind::Routers, name.as_str(), silent.position).await {
        Ok(answer) => {
            info!(core.log, "{}", event::ROUTER_REMOVED; "router" => %name, "answer" => ?answer);
        }
        Err(error) => log_store_failure(core, "remove_router", &error),
    }
}

/// Returns the router that an entry describes. One without failure domain and capacity comes last
/// in all duties.
fn member_in(object: &Object<RouterEntry>) -> Member {
    Member {
        name: InstanceName::new(&object.name),
        failure_domain: object.spec.failure_domain.as_deref().unwrap_or_default().into(),
        capacity: object.spec.processor_share.unwrap_or(0.0),
    }
}

/// Returns a hash of the list, to tell whether two routers have equal lists.
fn mark_of(objects: &[Object<RouterEntry>]) -> u64 {
    let mut hasher = Xxh3::new();
    for object in objects {
        object.name.hash(&mut hasher);
        json!(object.spec).to_string().hash(&mut hasher);
    }
    hasher.finish()
}
