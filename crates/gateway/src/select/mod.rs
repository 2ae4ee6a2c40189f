//! Chooses a backend server of a service from what this router knows of its servers.

mod domain_traffic;
mod engines;
mod parts;

use std::{net::SocketAddr, sync::Arc};

use samphirespread_adapter::headers::EngineInstructions;
use samphirespread_core::prelude::*;
use samphirespread_routing::{
    cache_scope::CacheScope,
    choice::{Estimate, ServerView},
    connections::ConnectionShares,
    crash_causes::Host,
    domain_traffic::{ChosenServer, select_server as select_by_price},
    model::{Generation, Service},
    relocation::Handle,
    server_limit::ServerRun,
    server_speed::{Draws, PacedServer, choose_server},
    software::SoftwareTag,
};
use samphirespread_settings::DecisionSettings;

pub(crate) use self::domain_traffic::{DomainTraffic, TrafficMetrics, count_send};
use self::engines::select_engine;
use crate::{
    crashes,
    fleet::{Departure, Server},
    request_log::{Choice, Step},
    rollout::VersionChoice,
    server_speed::expected_pace,
    state::State,
};

/// Requests stop being sent to engines with older weights this long before the rollout bound is
/// over.
const ROLLOUT_MARGIN_MS: u64 = 1_200;
/// How long a server's load from other routers counts after the answer that stated it.
const FOREIGN_LOAD_LIFETIME_MS: u64 = 300;

/// The backend server that was chosen for one send.
#[derive(Clone, Debug)]
pub(crate) struct Selected {
    pub(crate) id: Arc<str>,
    pub(crate) address: SocketAddr,
    /// Instructions for an engine; `None` for other servers.
    pub(crate) engine: Option<EngineInstructions>,
    /// This router's share of the connections that the server accepts.
    pub(crate) max_connections: usize,
    /// Keys of the prompt's shared parts, which the engine will have in its cache.
    pub(crate) part_keys: Vec<u64>,
    /// Prompt tokens that an engine will have to read.
    pub(crate) read_tokens: u64,
    /// The estimate of the engine's time; `None` for other servers.
    pub(crate) expected: Option<Estimate>,
    /// Whether it is in this router's failure domain.
    pub(crate) is_near: bool,
    /// The ratio of the gain from leaving the failure domain to its price; `None` without a price.
    pub(crate) leave_ratio: Option<f64>,
    /// A summary of the last report of the engine's sidecar.
    pub(crate) last_report: Option<ReportSummary>,
    /// The version of the server's software.
    pub(crate) software: SoftwareTag,
    /// When the server's process started, by its entry.
    pub(crate) started_unix_ms: Option<u64>,
    /// The stopped run that the engine is to continue; `None` for a new run.
    pub(crate) stopped_run: Option<StoppedRun>,
    /// The decision, for the log.
    pub(crate) step: Step,
}

/// A stopped run that can be continued from a copy of its memory.
#[derive(Clone, Debug)]
pub(crate) struct StoppedRun {
    /// The address of the engine that stopped it.
    pub(crate) source: SocketAddr,
    /// The name of the copy.
    pub(crate) handle: Handle,
}

impl Selected {
    /// The process of the server that was chosen: its id and start time.
    pub(crate) fn incarnation(&self) -> Departure {
        Departure { id: self.id.clone(), started_unix_ms: self.started_unix_ms }
    }

    /// The same process as [`incarnation`](Self::incarnation), as a short tag.
    pub(crate) fn run(&self) -> ServerRun {
        ServerRun::of(&self.id, self.started_unix_ms)
    }
}

/// What a sidecar last reported about its engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReportSummary {
    pub(crate) age_ms: u64,
    /// Requests that waited at the engine.
    pub(crate) waiting: u32,
}

/// The request that a server is chosen for.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SelectionQuery<'a> {
    pub(crate) service: &'a Service,
    pub(crate) generation: Option<&'a Generation>,
    pub(crate) cache_scope: &'a CacheScope,
    /// Servers that the request was sent to already and that are not chosen again.
    pub(crate) tried: &'a [Arc<str>],
    /// Hosts on which what is in the request has crashed servers. Others are chosen first.
    pub(crate) crashed_hosts: &'a [Host],
    /// The caller's id of the request.
    pub(crate) request_id: &'a str,
    /// The length of its body.
    pub(crate) body_bytes: usize,
    /// What the request is to the stream that it may begin or continue.
    pub(crate) stream: StreamRole,
    /// The version that it is meant for, while the service moves to a new one.
    pub(crate) version: VersionChoice,
}

/// What a request is to a stream that its caller may take up elsewhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StreamRole {
    /// There is no such stream.
    None,
    /// It may begin one.
    Begins,
    /// It continues one that began at this version of the servers' software.
    Continues(SoftwareTag),
}

/// What the choice depends on besides the request and the servers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RouterContext<'a> {
    pub(crate) failure_domain: &'a str,
    /// The settings that switch decision mechanisms on and off.
    pub(crate) decisions: &'a DecisionSettings,
    /// Time since the store last confirmed the list of servers.
    pub(crate) list_age_ms: Option<u64>,
}

/// Chooses the backend server for one send.
pub(crate) fn select(
    state: &State,
    query: &SelectionQuery<'_>,
    router: &RouterContext<'_>,
    now: MonoTime,
) -> Option<Selected> {
    let connections = (query.service, state.connection_shares());
    let servers: Vec<&Server> = state
        .fleet
        .of_service(&query.service.name)
        .filter(|server| can_be_sent_to(state, connections, server, query.tried, now))
        .collect();
    let servers = of_usable_software(state, query, servers, now);
    let servers = match query.stream {
        StreamRole::Continues(_) => state.rollouts.usable_for_rest(servers),
        _ => state.rollouts.usable(&query.service.name, servers, query.version, now),
    };
    let servers = crashes::on_other_hosts(servers, query.crashed_hosts);
    match (query.service.engine.as_ref(), query.generation) {
        (Some(engine), Some(generation)) => {
            select_engine(state, query, (engine, generation), router, &servers, now)
        }
        (Some(_), None) => {
            let selected = select_server(state, query, router, &servers, now)?;
            Some(Selected { engine: Some(instructions_of_unknown_work(query)), ..selected })
        }
        (None, _) => select_server(state, query, router, &servers, now),
    }
}

/// Instructions for an engine that gets a request which does not state its model and size. Which
/// weights make its parts is not known, so nobody may find them.
fn instructions_of_unknown_work(query: &SelectionQuery<'_>) -> EngineInstructions {
    EngineInstructions {
        version: None,
        salt: query.cache_scope.salt_of_request(query.request_id),
        fetch_from: None,
        save_to: None,
    }
}

/// Returns the servers whose software the stream of a request may go on at, or begin at.
///
/// A version that is new on the list begins no streams yet: other routers may not know of it, and would
/// take such a stream for one of the other version.
fn of_usable_software<'a>(
    state: &State,
    query: &SelectionQuery<'_>,
    servers: Vec<&'a Server>,
    now: MonoTime,
) -> Vec<&'a Server> {
    match query.stream {
        StreamRole::None => servers,
        StreamRole::Continues(version) => {
            servers.into_iter().filter(|server| server.software == version).collect()
        }
        StreamRole::Begins => {
            let service = &query.service.name;
            // Routers that hear each other have equal lists, also while the store is away.
            let list_age_ms =
                if state.is_isolated(now) { state.reads.servers.age_ms(now) } else { 0 };
            let may_begin = |server: &&Server| {
                state.software.may_begin(service, server.software, list_age_ms, now)
            };
            servers.into_iter().filter(may_begin).collect()
        }
    }
}

/// Time until the first of the servers that pause will take requests again.
pub(crate) fn next_return_ms(state: &State, service: &Service, now: MonoTime) -> Option<u64> {
    let resting = state.fleet.of_service(&service.name).filter(|server| now < server.rests_until);
    resting.map(|server| server.rests_until.ms_since(now)).min()
}

/// The lowest version of a model's weights that a request may still be sent to.
pub(crate) fn oldest_allowed(state: &State, model: &ModelName, now: MonoTime) -> u64 {
    let bound_ms = state.bounds.rollout_ms.saturating_sub(ROLLOUT_MARGIN_MS);
    state.weights.get(model).map_or(0, |named| named.oldest_allowed(now, bound_ms))
}

/// Whether a server takes new requests and is not among those already tried.
pub(crate) fn is_eligible(
    state: &State,
    server: &Server,
    tried: &[Arc<str>],
    now: MonoTime,
) -> bool {
    let is_loading = server.fresh_state(now).is_some_and(|state| state.is_loading);
    let may_take = !server.declines(now)
        && !state.is_entry_outdated(server, now)
        && !state.rollouts.is_withdrawn(server);
    may_take && !is_loading && !tried.contains(&server.entry.id)
}

/// Whether a server may be sent a request now: it takes new requests and was not tried, and neither
/// its limit nor its connections are used up.
fn can_be_sent_to(
    state: &State,
    (service, shares): (&Service, ConnectionShares),
    server: &Server,
    tried: &[Arc<str>],
    now: MonoTime,
) -> bool {
    is_eligible(state, server, tried, now)
        && state.has_room(server, now)
        && has_connection(server, service, shares)
}

/// Why no server of a service can be sent a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Obstacle {
    /// No server takes new requests.
    NoServer,
    /// Those that would take it limit requests. The caller should return after this time.
    Limits { retry_after_ms: u64 },
    /// Those that would take it have accepted this router's share of connections.
    Connections,
}

/// Determines why no server of a service can be sent a request.
pub(crate) fn obstacle(
    state: &mut State,
    service: &Service,
    tried: &[Arc<str>],
    now: MonoTime,
) -> Obstacle {
    let servers = state.fleet.of_service(&service.name);
    let eligible = servers.filter(|server| is_eligible(state, server, tried, now));
    let (with_room, limited): (Vec<&Server>, Vec<&Server>) =
        eligible.partition(|server| state.has_room(server, now));
    if !with_room.is_empty() {
        let shares = state.connection_shares();
        let is_free = with_room.iter().any(|server| has_connection(server, service, shares));
        return if is_free { Obstacle::NoServer } else { Obstacle::Connections };
    }
    let limited: Vec<ServerRun> = limited.into_iter().map(Server::run_tag).collect();
    match state.server_limits.return_after_ms(limited, now) {
        Some(retry_after_ms) => Obstacle::Limits { retry_after_ms },
        None => Obstacle::NoServer,
    }
}

fn select_server(
    state: &State,
    query: &SelectionQuery<'_>,
    router: &RouterContext<'_>,
    servers: &[&Server],
    now: MonoTime,
) -> Option<Selected> {
    let view = |server: &&Server| {
        let (foreign, last_load_at) = server.foreign_load;
        let is_near = is_near(server, router);
        let lifetime_ms = state.domain_traffic.load_lifetime_ms(is_near);
        let is_recent = now.ms_since(last_load_at) <= lifetime_ms;
        let view = ServerView {
            is_near,
            is_avoided: server.suspicion.is_avoided(now),
            load: server.in_flight + if is_recent { foreign } else { 0 },
            slots: server.entry.slots,
        };
        let pace = expected_pace(server, router.decisions, now);
        Some(PacedServer { view, own_load: server.in_flight, pace })
    };
    let paced: Vec<Option<PacedServer>> = servers.iter().map(view).collect();
    let ChosenServer { index, ratio } = match state.domain_traffic.terms(query, now) {
        Some(terms) => {
            let views: Vec<Option<ServerView>> =
                paced.iter().map(|server| server.map(|server| server.view)).collect();
            select_by_price(&views, Some(&terms))?
        }
        None => {
            let index = choose_server(&paced, Draws::of_request(query.request_id, now))?;
            ChosenServer { index, ratio: None }
        }
    };
    let server = servers[index];
    let is_near = is_near(server, router);
    Some(Selected {
        id: server.entry.id.clone(),
        address: server.entry.address,
        engine: None,
        max_connections: max_connections(state, query.service, server),
        part_keys: Vec::new(),
        read_tokens: 0,
        expected: None,
        is_near,
        leave_ratio: ratio,
        last_report: None,
        software: server.software,
        started_unix_ms: server.entry.started_unix_ms,
        stopped_run: None,
        step: Step::Chose(Choice {
            server: server.entry.id.clone(),
            software: server.entry.software.clone(),
            candidates: servers.len(),
            near: is_near,
            newest: true,
            version: None,
            estimate: None,
            report_age_ms: report_summary(server, now).map(|report| report.age_ms),
            list_age_ms: router.list_age_ms,
        }),
    })
}

fn is_near(server: &Server, router: &RouterContext<'_>) -> bool {
    *server.entry.failure_domain == *router.failure_domain
}

/// This router's share of the connections that a server accepts.
pub(crate) fn max_connections(state: &State, service: &Service, server: &Server) -> usize {
    state.connection_shares().of_server(&server.entry.id, service.max_connections)
}

/// Whether this router may send a server another request at the same time, each of which takes one
/// of its connections.
fn has_connection(server: &Server, service: &Service, shares: ConnectionShares) -> bool {
    let in_flight = usize::try_from(server.in_flight).unwrap_or(usize::MAX);
    in_flight < shares.of_server(&server.entry.id, service.max_connections)
}

fn report_summary(server: &Server, now: MonoTime) -> Option<ReportSummary> {
    let report = server.report.as_ref()?;
    let waiting = report.state.as_ref().map_or(0, |state| state.waiting);
    Some(ReportSummary { age_ms: now.ms_since(report.heard), waiting })
}
