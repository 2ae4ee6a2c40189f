//! What operators and the platform would write: configuration and settings files.

use std::net::SocketAddr;

use samphirespread_standin::published::documents::{self, RouteKind, Service, Team};
use serde_json::Value;

use crate::{
    checker::Bounds,
    history::{Caller, Route},
};

/// The host that callers ask for.
pub(crate) const HOST: &str = "desk.example";
/// The model of all engines.
pub(crate) const MODEL: &str = "reader";
/// The service of the plain servers.
pub(crate) const DESK: &str = "desk";
/// The service of the engines.
pub(crate) const ENGINES: &str = "engines";

/// A configuration, with the changing team's key or without it.
pub(crate) fn configuration(generation: u64, with_key: bool, bounds: &Bounds) -> Value {
    let routes = Route::ALL.map(|route| route_entry(route, bounds));
    let service = |name, has_engines| Service { name, max_connections: 200, has_engines };
    let services = [service(DESK, false), service(ENGINES, true)];
    let steady = team(Caller::Steady, bounds);
    let limited = team(Caller::Limited, bounds);
    let changing = team(Caller::Changing, bounds);
    let teams = [
        steady,
        Team { rate_per_s: bounds.rate_per_s, burst: bounds.burst, ..limited },
        Team { key: changing.key.filter(|_| with_key), is_dedicated: true, ..changing },
    ];
    documents::configuration(generation, &routes, &services, &teams)
}

/// A team without a limit.
fn team(caller: Caller, bounds: &Bounds) -> Team<'static> {
    Team {
        name: caller.team(),
        key: Some(caller.key()),
        is_dedicated: false,
        request_tokens: bounds.plain_tokens,
        rate_per_s: 0.0,
        burst: 0.0,
    }
}

fn route_entry(route: Route, bounds: &Bounds) -> documents::Route<'static> {
    let kind = match route {
        Route::Lookup => RouteKind::Idempotent,
        Route::Issue => RouteKind::AtMostOnce,
        Route::Stream => RouteKind::Stream { resumable: false },
        Route::Resumable => RouteKind::Stream { resumable: true },
    };
    documents::Route {
        name: route.path(),
        host: HOST,
        kind,
        service: if route.is_stream() { ENGINES } else { DESK },
        timeout_ms: bounds.deadline_ms,
        max_attempts: bounds.max_runs,
    }
}

/// What a gateway's settings say.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GatewayFacts {
    pub(crate) index: usize,
    pub(crate) callers: SocketAddr,
    pub(crate) readiness: SocketAddr,
    pub(crate) peers: SocketAddr,
    pub(crate) admin: SocketAddr,
    pub(crate) store: SocketAddr,
    /// Changes with each change of the settings.
    pub(crate) retry_slack: u64,
    pub(crate) clock_ahead_ms: i64,
}

/// A gateway's settings file.
pub(crate) fn gateway_settings(facts: &GatewayFacts, bounds: &Bounds) -> String {
    let GatewayFacts { index, callers, readiness, peers, admin, store, .. } = facts;
    format!(
        "[instance]\nname = g{index}\nregion = khomas\nfailure_domain = zone-{zone}\n\
         [listen]\ncallers = {callers}\nreadiness = {readiness}\npeers = {peers}\nadmin = {admin}\n\
         [store]\naddress = {store}\ntimeout_ms = 400\npoll_ms = 300\n\
         [bounds]\nkey_withdrawal_ms = {withdrawal}\nserver_drain_ms = {drain}\ngrace_s = 8\n\
         retry_slack = {slack}\nquota_slack = {quota}\n\
         [clock]\nahead_ms = {ahead}\n",
        zone = index % 3,
        withdrawal = bounds.key_withdrawal_ms,
        drain = bounds.server_drain_ms,
        slack = facts.retry_slack,
        quota = bounds.quota_slack,
        ahead = facts.clock_ahead_ms,
    )
}

/// A sidecar's settings file.
pub(crate) fn sidecar_settings(
    index: usize,
    peers: SocketAddr,
    admin: SocketAddr,
    engine: SocketAddr,
) -> String {
    format!(
        "[instance]\nname = s{index}\nregion = khomas\nfailure_domain = zone-{zone}\n\
         [listen]\npeers = {peers}\nadmin = {admin}\n\
         [engine]\naddress = {engine}\nreport_ms = 50\ntimeout_ms = 300\n",
        zone = index % 3,
    )
}
