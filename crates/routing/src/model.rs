//! The data model of the routing decisions: the configuration that operators set, the state that
//! backend servers report, and the work that requests ask for.

use std::{net::SocketAddr, sync::Arc};

use samphirespread_core::prelude::*;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// The name of a service, which routes send requests to.
pub type ServiceName = Arc<str>;

/// One generation of the configuration that operators have set.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// A number that rises with each change.
    pub generation: u64,
    /// The hosts and paths that callers may request.
    pub routes: Vec<Route>,
    /// The groups of backend servers that serve the routes.
    pub services: Vec<Service>,
    /// The customers who may send requests.
    pub teams: Vec<Team>,
    /// The limits on requests and connections of callers.
    pub caller_limits: CallerLimits,
}

/// Limits on requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// The largest request head.
    pub max_head_bytes: usize,
    /// The largest request body.
    pub max_body_bytes: usize,
    /// The longest time within which a request head has to arrive.
    pub head_timeout_ms: u64,
    /// The longest idle time of a keep-alive connection.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            head_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// The kind of a route, which determines whether its requests may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Requests are idempotent.
    Idempotent,
    /// Requests run at most once.
    AtMostOnce,
    /// Responses are event streams. Requests are idempotent only if the route is resumable.
    Stream,
}

/// A route, which assigns the requests for one host and path prefix to services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The route's name.
    pub name: Arc<str>,
    /// The host that requests have to name.
    pub host: String,
    /// The beginning of the path, with a slash at both ends.
    pub path_prefix: String,
    /// The kind of the route.
    pub kind: RouteKind,
    /// The longest time that a caller has to wait.
    pub timeout_ms: u64,
    /// The target for the response time.
    pub target_ms: u64,
    /// The priority of its requests; 0 is the highest.
    pub priority: u8,
    /// The services among which its requests are divided.
    pub upstreams: Vec<Upstream>,
    /// The maximum number of backend servers on which one request may run.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub anonymous: bool,
    /// Whether a stream may be resumed at another backend server.
    pub resumable: bool,
}

impl Route {
    /// Whether a request may run a second time.
    pub fn is_idempotent(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::AtMostOnce => false,
            RouteKind::Stream => self.resumable,
        }
    }
}

/// One of the services of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// The service.
    pub service: ServiceName,
    /// Its share of the requests, relative to the weights of the other services.
    pub weight: u64,
}

/// A service, which is a group of interchangeable backend servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The service's name.
    pub name: ServiceName,
    /// The number of connections that one backend server accepts from all routers together.
    pub max_connections: usize,
    /// Set if the backend servers are model engines.
    pub engine: Option<Engine>,
    /// Set if the service has a store of cached prompt parts for its engines.
    pub cache_store: Option<CacheStore>,
}

/// The properties that all engines of a service have in common.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Engine {
    /// The number of requests that an engine runs at once.
    pub slots: u32,
    /// The size of the memory for running requests and cached parts, in tokens.
    pub memory_tokens: u64,
    /// The size of one token in memory, in bytes.
    pub token_bytes: u64,
    /// The speed of an engine's network link in Mbit/s.
    pub link_mbps: f64,
    /// Whether an engine can move a running request to another engine.
    pub moves_runs: bool,
}

/// A store of cached prompt parts.
#[derive(Clone, Debug, PartialEq)]
pub struct CacheStore {
    /// The address on which it accepts connections.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: Arc<str>,
    /// The speed of its network link in Mbit/s, if known.
    pub link_mbps: Option<f64>,
}

/// The SHA-256 digest of a caller's key. The key itself is not stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Returns the digest of a key.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }
}

/// A customer, whose callers are identified by keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// The team's name.
    pub name: TeamName,
    /// Its keys.
    pub keys: Vec<KeyDigest>,
    /// The priority of its requests. If set, it takes precedence over that of the route.
    pub priority: Option<u8>,
    /// Whether it shares no cached prompt parts with other teams.
    pub dedicated: bool,
    /// The limit on its use.
    pub quota: Quota,
}

/// The limit on a team's use over all routers together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Quota {
    /// The rate in tokens or requests per second; 0 means no limit.
    pub rate_per_s: f64,
    /// The amount that may be used at once in addition to the rate.
    pub burst: f64,
    /// Whether the unit is tokens rather than requests.
    pub in_tokens: bool,
    /// The number of tokens charged for a request that does not state its own.
    pub default_tokens: f64,
}

impl Quota {
    /// Whether there is a limit.
    pub fn is_limited(&self) -> bool {
        self.rate_per_s > 0.0
    }

    /// Returns the cost of one request.
    pub fn cost(&self, tokens: Option<u64>) -> f64 {
        if !self.in_tokens {
            return 1.0;
        }
        #[expect(clippy::cast_precision_loss, reason = "token counts are far below 2^52")]
        tokens.map_or(self.default_tokens, |tokens| tokens as f64)
    }
}

/// Whether a backend server accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// It accepts new requests.
    Ready,
    /// It finishes its requests and accepts no new ones.
    Draining,
}

/// Identifies weights that an engine has loaded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// The model.
    pub model: ModelName,
    /// The version of its weights.
    pub version: u64,
}

/// The state of an engine as reported by the engine itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// The start time of the engine as Unix time in milliseconds.
    pub started_unix_ms: Option<u64>,
    /// The weights that it has loaded.
    pub models: Vec<LoadedModel>,
    /// Whether it loads weights or is about to.
    pub is_loading: bool,
    /// The number of running requests.
    pub running: u32,
    /// The number of waiting requests.
    pub waiting: u32,
    /// The memory that can't be freed, in tokens.
    pub used_tokens: u64,
    /// The size of its memory, in tokens.
    pub memory_tokens: u64,
}

impl EngineState {
    /// Whether it holds a version of the model that is older than `version`.
    pub fn is_older(&self, model: &ModelName, version: u64) -> bool {
        self.models.iter().any(|held| held.model == *model && held.version < version)
    }
}

/// The registration of a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendServer {
    /// An id that is unique in the fleet and does not change while the server runs.
    pub id: Arc<str>,
    /// The service to which it belongs.
    pub service: ServiceName,
    /// The address on which it accepts connections.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: Arc<str>,
    /// The number of requests that it runs at once.
    pub slots: u32,
    /// The version of its software; empty if its entry names none.
    pub software: Arc<str>,
    /// How much longer it stays slow after its start, as of its entry.
    pub cold_ms: u64,
    /// Whether it accepts new requests.
    pub availability: Availability,
    /// The weights that it has loaded.
    pub models: Vec<LoadedModel>,
    /// Its start time as Unix time in milliseconds, which distinguishes runs with the same id.
    pub started_unix_ms: Option<u64>,
}

/// One part of a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// An id that depends on the text of this part and of all parts before it.
    pub id: Box<str>,
    /// The length of the part.
    pub tokens: u64,
}

/// The work that a request asks of an engine, as stated in the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Generation {
    /// The model.
    pub model: ModelName,
    /// The length of the prompt.
    pub prompt_tokens: u64,
    /// The maximum number of tokens to generate.
    pub max_output_tokens: u64,
    /// The parts of the prompt. The last one belongs to this request only; the others may be shared
    /// with other requests.
    pub parts: Vec<PromptPart>,
}

impl Generation {
    /// Returns the parts that other requests may share.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns the number of tokens in the shared parts.
    pub fn shared_tokens(&self) -> u64 {
        self.shared_parts().iter().map(|part| part.tokens).sum()
    }

    /// Returns the memory that the request takes while it runs, in tokens.
    pub fn footprint_tokens(&self) -> u64 {
        self.prompt_tokens + self.max_output_tokens
    }
}
