//! Answers operators and other routers on the admin port.

use std::{collections::HashSet, sync::Arc};

use axum::extract::Query;
use bytes::Bytes;
use http::{Method, Response, StatusCode, Uri};
use samphirespread_adapter::{Object, backend_servers};
use samphirespread_core::prelude::*;
use samphirespread_routing::crash_causes::CauseKey;
use serde::{Deserialize, Serialize};

use crate::{
    answers,
    body::ResponseBody,
    cache_pull::{self, KnownPositions, VIEWS_PATH},
    crashes,
    fleet::ListedServer,
    gateway::Core,
    rollout::{self, RolloutStatus},
    routers::RouterEntry,
};

/// The path of a router's lists of servers and routers.
pub(crate) const LISTS_PATH: &str = "/lists";
/// The path of a router's configuration.
pub(crate) const CONFIGURATION_PATH: &str = "/configuration";

/// The configuration that the calling router has already; sent in the query of its call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct HeldConfiguration {
    /// The era of the store in which it was read.
    pub(crate) era: u64,
    /// The store's revision of it.
    pub(crate) revision: Option<u64>,
}

/// The header with the milliseconds since the read that confirmed the configuration began.
pub(crate) const AGE_MS: &str = "configuration-age-ms";
/// The header with the era of the store in which the configuration was read. Missing in answers of
/// processes that know no eras.
pub(crate) const ERA: &str = "configuration-era";
/// The header with the store's revision at which the configuration was written.
pub(crate) const REVISION: &str = "configuration-revision";
/// The header with the store's revision up to which the configuration is the newest.
pub(crate) const AS_OF: &str = "configuration-as-of";

/// The lists that the calling router has already; sent in the query of its call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct HeldRevisions {
    /// The store's revision up to which the caller's list of servers has all changes.
    pub(crate) servers: Option<u64>,
    /// The era of that revision.
    pub(crate) servers_era: u64,
    /// The mark that identifies the state of the caller's list of routers.
    pub(crate) routers: Option<u64>,
}

/// The path of the state of orders to move services to new versions.
const ROLLOUTS_PATH: &str = "/rollouts";
/// The path at which operators clear a possible cause of crashes.
const CLEAR_CAUSE_PATH: &str = "/clear-crash-cause";

/// The query of a call that clears a cause.
#[derive(Debug, Deserialize)]
struct ClearedCause {
    /// The key of the cause, as in the log.
    cause: String,
}

/// A router's lists, without what the calling router has already.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Lists<S> {
    /// Time since the read that confirmed the list of servers began.
    pub(crate) servers_age_ms: u64,
    /// The names of all servers on the list.
    pub(crate) server_names: HashSet<String>,
    /// The servers that have changed since the revision that the caller has.
    pub(crate) servers: Vec<S>,
    /// The store's revision up to which the list of servers has all changes.
    pub(crate) servers_revision: Option<u64>,
    /// The era of the store in which the list of servers was read.
    #[serde(default)]
    pub(crate) servers_era: u64,
    /// Whether entries of services that the configuration doesn't name were left out.
    #[serde(default)]
    pub(crate) is_partial: bool,
    /// Time since the read that confirmed the list of routers began.
    pub(crate) routers_age_ms: u64,
    pub(crate) routers: Option<Arc<Vec<Object<RouterEntry>>>>,
    /// The era of the store in which the list of routers was read.
    #[serde(default)]
    pub(crate) routers_era: u64,
}

impl<S> Lists<S> {
    /// The store's position up to which the list of servers has all changes.
    pub(crate) fn servers_position(&self) -> Option<StorePosition> {
        let revision = self.servers_revision?;
        Some(StorePosition::new(self.servers_era, revision))
    }

    /// Whether all servers are there, not only those that have changed.
    pub(crate) fn has_whole_servers(&self) -> bool {
        self.servers.len() == self.server_names.len()
    }
}

/// Answers `/metrics`, `/dump`, `/rollouts`, `/lists`, `/configuration`, `/caches` and `/clear-crash-cause`.
pub(crate) fn answer(core: &Core, method: &Method, uri: &Uri) -> Response<ResponseBody> {
    match uri.path() {
        CLEAR_CAUSE_PATH if method != Method::POST => {
            answers::plain(StatusCode::METHOD_NOT_ALLOWED, "POST clears a cause")
        }
        CLEAR_CAUSE_PATH => clear_crash_cause(core, uri),
        "/metrics" => {
            let drain_age_ms = core.drain.elapsed_ms(core.now());
            answers::plain(StatusCode::OK, &core.metrics.text(drain_age_ms))
        }
        "/dump" => answers::plain(StatusCode::OK, &format!("{:#?}", core.state())),
        ROLLOUTS_PATH => as_json(&rollouts(core)),
        LISTS_PATH => match Query::<HeldRevisions>::try_from_uri(uri) {
            Ok(Query(held)) => as_json(&lists(core, held)),
            Err(error) => answers::plain(StatusCode::BAD_REQUEST, &error.to_string()),
        },
        CONFIGURATION_PATH => match Query::<HeldConfiguration>::try_from_uri(uri) {
            Ok(Query(held)) => configuration(core, held),
            Err(error) => answers::plain(StatusCode::BAD_REQUEST, &error.to_string()),
        },
        VIEWS_PATH => match Query::<KnownPositions>::try_from_uri(uri) {
            Ok(Query(known)) => views(core, &known),
            Err(error) => answers::plain(StatusCode::BAD_REQUEST, &error.to_string()),
        },
        _ => answers::plain(
            StatusCode::NOT_FOUND,
            "there are /metrics, /dump, /rollouts, /lists, /configuration, /caches and \
             /clear-crash-cause",
        ),
    }
}

/// Lets requests through again that are refused as they have crashed servers, at all routers.
fn clear_crash_cause(core: &Core, uri: &Uri) -> Response<ResponseBody> {
    let query = Query::<ClearedCause>::try_from_uri(uri).ok();
    let Some(key) = query.and_then(|Query(query)| CauseKey::from_hex(&query.cause)) else {
        let text = "cause: not a key; 32 hexadecimal digits, as in the log";
        return answers::plain(StatusCode::BAD_REQUEST, text);
    };
    match crashes::clear(core, key) {
        true => answers::plain(StatusCode::OK, "cleared"),
        false => answers::plain(StatusCode::NOT_FOUND, "no crash counts against this cause"),
    }
}

/// Answers with this router's views of the cache stores, for a router of its failure domain.
fn views(core: &Core, known: &KnownPositions) -> Response<ResponseBody> {
    let Some(views) = cache_pull::views(core, known) else {
        return answers::plain(StatusCode::NOT_FOUND, "this router follows no store itself");
    };
    as_json(&views)
}

/// This router's configuration, compressed, for a router that has not read it from the store itself.
/// The body is empty if the other router has it already.
fn configuration(core: &Core, held: HeldConfiguration) -> Response<ResponseBody> {
    let (known, age_ms) = {
        let state = core.state();
        let age_ms = state.reads.configuration.age_ms(core.now());
        (state.packed_configuration.clone(), age_ms)
    };
    let Some(known) = known else {
        return answers::plain(StatusCode::NOT_FOUND, "this router has no configuration yet");
    };
    let held = held.revision.map(|revision| StorePosition::new(held.era, revision));
    let is_held = held == Some(known.position);
    let body = if is_held { Bytes::new() } else { known.bytes };
    let mut response = Response::new(ResponseBody::whole(body));
    let headers = response.headers_mut();
    let revision = known.position.revision_in_era();
    let as_of = known.as_of.revision_in_era();
    let era = known.as_of.era();
    for (name, value) in [(AGE_MS, age_ms), (ERA, era), (REVISION, revision), (AS_OF, as_of)] {
        headers.insert(name, value.into());
    }
    response
}

/// How far this router knows the orders to move services to new versions to be carried out.
fn rollouts(core: &Core) -> Vec<RolloutStatus> {
    let now = core.now();
    let decides = rollout::decides(core);
    let state = core.state();
    let hears_most = rollout::hears_most(&state, now);
    state.rollouts.status(&state.fleet, (hears_most, decides), now)
}

/// This router's lists, for a router that has not read them from the store itself.
fn lists(core: &Core, held: HeldRevisions) -> Lists<Object<impl Serialize + use<>>> {
    let now = core.now();
    let state = core.state();
    let servers = state.server_list.entries();
    let held_servers =
        held.servers.map(|held_as_of| StorePosition::new(held.servers_era, held_as_of));
    let era = state.reads.servers.era();
    let held_servers = held_servers.filter(|held| held.era() == era);
    let has_changed =
        |server: &&Arc<ListedServer>| held_servers.is_none_or(|held| server.position > held);
    let has_routers = held.routers == Some(state.reads.routers.mark());
    Lists {
        servers_age_ms: state.reads.servers.age_ms(now),
        server_names: servers.clone().map(|server| server.name.clone()).collect(),
        servers: servers
            .filter(has_changed)
            .map(|server| backend_servers::encode(server))
            .collect(),
        servers_revision: state.server_list.as_of().map(StorePosition::revision_in_era),
        servers_era: era,
        is_partial: state.server_list.is_partial(),
        routers_age_ms: state.reads.routers.age_ms(now),
        routers: (!has_routers).then(|| state.router_objects.clone()),
        routers_era: state.reads.routers.era(),
    }
}

fn as_json(value: &impl Serialize) -> Response<ResponseBody> {
    match serde_json::to_string(value) {
        Ok(text) => answers::plain(StatusCode::OK, &text),
        Err(error) => answers::plain(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}
