//! What operators and backend servers say, in the project's own types.

use std::{net::SocketAddr, sync::Arc};

use samphirespread_core::prelude::*;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// The name of a service, which routes send requests to.
pub type ServiceName = Arc<str>;

/// Everything that operators have set, as of one generation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Configuration {
    /// Rises with each change.
    pub generation: u64,
    /// What callers may ask for.
    pub routes: Vec<Route>,
    /// Who serves it.
    pub services: Vec<Service>,
    /// Who may ask.
    pub teams: Vec<Team>,
    /// What a caller may send.
    pub caller_limits: CallerLimits,
}

/// Bounds on what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// The largest request head.
    pub max_head_bytes: usize,
    /// The largest request body.
    pub max_body_bytes: usize,
    /// The longest time for a request head.
    pub head_timeout_ms: u64,
    /// The longest rest of a kept connection.
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

/// What may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// A call that is idempotent.
    Idempotent,
    /// A call that runs at most once.
    AtMostOnce,
    /// A stream of events; idempotent only where the route is resumable.
    Stream,
}

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The route's name.
    pub name: Arc<str>,
    /// The host that callers name.
    pub host: String,
    /// The beginning of the path, with a slash at both ends.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest time a caller is kept waiting.
    pub timeout_ms: u64,
    /// The time within which an answer is worth most.
    pub target_ms: u64,
    /// The rank of its requests; 0 is the highest.
    pub priority: u8,
    /// The services that share its requests.
    pub upstreams: Vec<Upstream>,
    /// Backend servers that one request may run on.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub anonymous: bool,
    /// Whether a stream may go on at another backend server.
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
    /// Its part of the requests, in proportion to the others.
    pub weight: u64,
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The service's name.
    pub name: ServiceName,
    /// Connections that one backend server takes from all routers together.
    pub max_connections: usize,
    /// Set where the backend servers are model engines.
    pub engine: Option<Engine>,
    /// Set where the service keeps cached prompt parts for engines.
    pub cache_store: Option<CacheStore>,
}

/// What the engines of a service have in common.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Engine {
    /// Requests that run at once.
    pub slots: u32,
    /// Memory for running requests and cached parts, in tokens.
    pub memory_tokens: u64,
    /// Bytes of one token in memory.
    pub token_bytes: u64,
    /// Speed of its link in Mbit/s.
    pub link_mbps: f64,
    /// Whether it can hand a run over to another engine.
    pub moves_runs: bool,
}

/// A store of cached prompt parts.
#[derive(Clone, Debug, PartialEq)]
pub struct CacheStore {
    /// Where it answers.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: Arc<str>,
    /// Speed of its link in Mbit/s; none where that is not told.
    pub link_mbps: Option<f64>,
}

/// SHA-256 of a caller's key. The key itself is kept nowhere.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// The digest of a key.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }
}

/// A customer.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// The team's name.
    pub name: TeamName,
    /// Its keys.
    pub keys: Vec<KeyDigest>,
    /// The rank of its requests, before that of the route.
    pub priority: Option<u8>,
    /// Whether it shares no cache with other teams.
    pub dedicated: bool,
    /// What it may use.
    pub quota: Quota,
}

/// What a team may use over all routers together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Quota {
    /// Tokens or requests a second; zero is no limit.
    pub rate_per_s: f64,
    /// What may be used at once on top.
    pub burst: f64,
    /// Whether requests count by their tokens.
    pub in_tokens: bool,
    /// Tokens of a request that names none.
    pub default_tokens: f64,
}

impl Quota {
    /// Whether there is a limit.
    pub fn is_limited(&self) -> bool {
        self.rate_per_s > 0.0
    }

    /// What one request counts for.
    pub fn cost(&self, tokens: Option<u64>) -> f64 {
        if !self.in_tokens {
            return 1.0;
        }
        #[expect(clippy::cast_precision_loss, reason = "token counts are far below 2^52")]
        tokens.map_or(self.default_tokens, |tokens| tokens as f64)
    }
}

/// Whether a backend server takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It does.
    Ready,
    /// It is leaving.
    Draining,
}

/// The weights that an engine holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// The model.
    pub model: ModelName,
    /// The version of its weights.
    pub version: u64,
}

/// The state of an engine, as it says itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// The wall clock's milliseconds at the engine's start.
    pub started_unix_ms: Option<u64>,
    /// The weights it holds.
    pub models: Vec<LoadedModel>,
    /// Whether it is about to load or loads.
    pub is_loading: bool,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Memory that can't be given up, in tokens.
    pub used_tokens: u64,
    /// All of its memory, in tokens.
    pub memory_tokens: u64,
}

impl EngineState {
    /// Whether it holds a version of the model that is older than that.
    pub fn is_older(&self, model: &ModelName, version: u64) -> bool {
        self.models.iter().any(|held| held.model == *model && held.version < version)
    }
}

/// A backend server, as it registered itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendServer {
    /// Unique in the fleet; the same for all that it says of one run.
    pub id: Arc<str>,
    /// The service it belongs to.
    pub service: ServiceName,
    /// Where it answers.
    pub address: SocketAddr,
    /// Its failure domain.
    pub failure_domain: Arc<str>,
    /// Requests that run at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub standing: Standing,
    /// The weights it holds.
    pub models: Vec<LoadedModel>,
    /// The wall clock's milliseconds at its start, which tells two runs under one id apart.
    pub started_unix_ms: Option<u64>,
}

/// One part of a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Equal for equal text after equal parts.
    pub id: Box<str>,
    /// Its length.
    pub tokens: u64,
}

/// What a request says about the work it asks of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Generation {
    /// The model.
    pub model: ModelName,
    /// The length of the prompt.
    pub prompt_tokens: u64,
    /// The most that may be generated.
    pub max_output_tokens: u64,
    /// The parts of the prompt; the last one is the request's own.
    pub parts: Vec<PromptPart>,
}

impl Generation {
    /// The parts that other requests have too.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Tokens of the shared parts.
    pub fn shared_tokens(&self) -> u64 {
        self.shared_parts().iter().map(|part| part.tokens).sum()
    }

    /// Memory that the request takes while it runs, in tokens.
    pub fn footprint_tokens(&self) -> u64 {
        self.prompt_tokens + self.max_output_tokens
    }
}

/// The scope within which engines may reuse cached parts.
///
/// It covers the version of the weights and, for a dedicated team, the team, so that nothing made
/// under other weights or by another dedicated team is ever found.
pub fn cache_salt(version: u64, dedicated: Option<&TeamName>) -> String {
    match dedicated {
        Some(team) => format!("{version}/{team}"),
        None => format!("{version}"),
    }
}
