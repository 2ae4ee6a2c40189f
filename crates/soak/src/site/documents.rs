//! What operators and the platform would write: configuration and settings files.

use std::net::SocketAddr;

use serde_json::{Value, json};

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
    let routes: Vec<Value> =
        Route::ALL.into_iter().map(|route| route_entry(route, bounds)).collect();
    let keys = if with_key { vec![Caller::Changing.key()] } else { Vec::new() };
    json!({
        "version": generation,
        "routes": routes,
        "services": [
            { "name": DESK, "maxConns": 200 },
            { "name": ENGINES, "maxConns": 200, "engine": { "slots": 32,
              "kvCapacityTokens": 90_000, "tokenKvBytes": 100, "linkMbps": 1000.0 } }
        ],
        "limits": { "maxBodyBytes": 10_000 },
        "tenants": [
            { "name": Caller::Steady.team(), "apiKeys": [Caller::Steady.key()],
              "unit": "tokens", "uncachedTokens": bounds.plain_tokens },
            { "name": Caller::Limited.team(), "apiKeys": [Caller::Limited.key()],
              "unit": "tokens", "uncachedTokens": bounds.plain_tokens,
              "ratePerS": bounds.rate_per_s, "burst": bounds.burst },
            { "name": Caller::Changing.team(), "apiKeys": keys, "dedicated": true,
              "unit": "tokens", "uncachedTokens": bounds.plain_tokens }
        ]
    })
}

fn route_entry(route: Route, bounds: &Bounds) -> Value {
    let kind = match route {
        Route::Lookup => "safe",
        Route::Issue => "unsafe",
        Route::Stream | Route::Resumable => "stream",
    };
    let service = if route.is_stream() { ENGINES } else { DESK };
    json!({ "name": route.path(), "hostname": HOST, "pathPrefix": format!("/{}/", route.path()),
            "routeType": kind, "timeoutMs": bounds.deadline_ms, "targetLatencyMs": 300,
            "priority": 1, "service": service, "maxAttempts": bounds.max_runs, "anonymous": false,
            "resumable": route == Route::Resumable })
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
