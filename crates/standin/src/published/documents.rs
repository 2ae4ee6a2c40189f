//! What operators write into the store.

use serde_json::{Value, json};

/// How a route's requests may be treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// They may run more than once.
    Idempotent,
    /// They may run once.
    AtMostOnce,
    /// They are streams.
    Stream {
        /// Whether a stream may go on elsewhere.
        resumable: bool,
    },
}

/// A route.
#[derive(Clone, Copy, Debug)]
pub struct Route<'a> {
    /// Its name, which is the first part of its paths as well.
    pub name: &'a str,
    /// The host that callers ask for.
    pub host: &'a str,
    /// How its requests may be treated.
    pub kind: RouteKind,
    /// The service that answers.
    pub service: &'a str,
    /// Services that answer in its place, each with its weight.
    pub weighted: &'a [(&'a str, u64)],
    /// Requests end after this.
    pub timeout_ms: u64,
    /// Servers on which a request may run.
    pub max_attempts: usize,
}

/// A service.
#[derive(Clone, Copy, Debug)]
pub struct Service<'a> {
    /// Its name.
    pub name: &'a str,
    /// Connections that each of its servers takes.
    pub max_connections: usize,
    /// Whether its servers are engines, which move runs to each other.
    pub has_engines: bool,
}

/// A team.
#[derive(Clone, Copy, Debug)]
pub struct Team<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its key, if it has one now.
    pub key: Option<&'a str>,
    /// Whether it shares no cache with others.
    pub is_dedicated: bool,
    /// The tokens that a request without a count costs.
    pub request_tokens: f64,
    /// The tokens a second that it may use, 0 for any number.
    pub rate_per_s: f64,
    /// The tokens that it may use at once.
    pub burst: f64,
}

/// A configuration. Idle connections of callers are closed after `idle_timeout_ms`.
pub fn configuration(
    generation: u64,
    idle_timeout_ms: u64,
    routes: &[Route<'_>],
    services: &[Service<'_>],
    teams: &[Team<'_>],
) -> Value {
    let routes: Vec<Value> = routes.iter().map(route).collect();
    let services: Vec<Value> = services.iter().map(service).collect();
    let teams: Vec<Value> = teams.iter().map(team).collect();
    json!({
        "version": generation,
        "routes": routes,
        "services": services,
        "limits": { "maxBodyBytes": 10_000, "idleTimeoutMs": idle_timeout_ms },
        "tenants": teams,
    })
}

/// The newest weights of a model.
pub fn weights(model: &str, version: u64) -> Value {
    json!({ "model": model, "version": version })
}

fn route(route: &Route<'_>) -> Value {
    let (kind, resumable) = match route.kind {
        RouteKind::Idempotent => ("safe", false),
        RouteKind::AtMostOnce => ("unsafe", false),
        RouteKind::Stream { resumable } => ("stream", resumable),
    };
    let mut entry = json!({ "name": route.name, "hostname": route.host, "pathPrefix": format!("/{}/", route.name),
            "routeType": kind, "timeoutMs": route.timeout_ms, "targetLatencyMs": 300,
            "priority": 1, "service": route.service, "maxAttempts": route.max_attempts,
            "anonymous": false, "resumable": resumable });
    if !route.weighted.is_empty() {
        let upstream =
            |(service, weight): &(&str, u64)| json!({ "service": service, "weight": weight });
        entry["weightedUpstreams"] = route.weighted.iter().map(upstream).collect();
    }
    entry
}

fn service(service: &Service<'_>) -> Value {
    let mut entry = json!({ "name": service.name, "maxConns": service.max_connections });
    if service.has_engines {
        entry["engine"] = json!({ "slots": 32, "kvCapacityTokens": 90_000, "tokenKvBytes": 100,
                                  "linkMbps": 1000.0, "moves": true });
    }
    entry
}

fn team(team: &Team<'_>) -> Value {
    let keys: Vec<&str> = team.key.into_iter().collect();
    json!({ "name": team.name, "apiKeys": keys, "dedicated": team.is_dedicated, "unit": "tokens",
            "uncachedTokens": team.request_tokens, "ratePerS": team.rate_per_s,
            "burst": team.burst })
}
