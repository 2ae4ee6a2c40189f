//! Builders with which operators' programs write a configuration.

use samphirespread_core::prelude::*;

use crate::{
    document::Document,
    error::ConfigErrors,
    key::key_digest,
    model::{Access, BackendSet, Config, Key, Route, RouteTarget, Team},
};

/// Bytes of prompt in one cache block, about two thousand tokens.
const DEFAULT_BLOCK_BYTES: u32 = 8_192;
const DEFAULT_MAX_OUTPUT_TOKENS: u32 = 2_048;
const DEFAULT_PRIORITY: u8 = 100;
const DEFAULT_COST_TOKENS: u64 = 100;
const DEFAULT_RATE_TOKENS_PER_S: u64 = 1_000;

/// A team's default burst, as the number of seconds of its rate that it may use at once.
const DEFAULT_BURST_S: u64 = 10;

/// Collects the objects of a configuration.
#[derive(Clone, Debug, Default)]
pub struct ConfigBuilder {
    config: Config,
}

impl ConfigBuilder {
    /// Creates a builder for an empty configuration.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a customer.
    #[must_use]
    pub fn team(mut self, team: TeamBuilder) -> Self {
        self.config.teams.push(team.build());
        self
    }

    /// Adds a caller's key.
    #[must_use]
    pub fn key(mut self, key: KeyBuilder) -> Self {
        self.config.keys.push(key.key);
        self
    }

    /// Adds a route.
    #[must_use]
    pub fn route(mut self, route: RouteBuilder) -> Self {
        self.config.routes.push(route.route);
        self
    }

    /// Adds a set of backend servers.
    #[must_use]
    pub fn set(mut self, set: SetBuilder) -> Self {
        self.config.sets.push(set.set);
        self
    }

    /// Validates the configuration and returns it with its objects in canonical order.
    ///
    /// # Errors
    ///
    /// Returns all errors that [`Config::validate`] finds.
    pub fn build(self) -> Result<Config, ConfigErrors> {
        self.config.validate()?;
        Ok(Config::from_documents(self.config.documents()))
    }
}

/// Describes a customer.
#[derive(Clone, Debug)]
pub struct TeamBuilder {
    name: TeamName,
    rate_tokens_per_s: u64,
    burst_tokens: Option<u64>,
}

impl TeamBuilder {
    /// Creates a team with a rate of 1,000 tokens a second.
    pub fn new(name: &str) -> Self {
        let rate_tokens_per_s = DEFAULT_RATE_TOKENS_PER_S;
        Self { name: TeamName::new(name), rate_tokens_per_s, burst_tokens: None }
    }

    /// Sets the rate in tokens per second, summed over all routers.
    #[must_use]
    pub fn rate_tokens_per_s(mut self, rate_tokens_per_s: u64) -> Self {
        self.rate_tokens_per_s = rate_tokens_per_s;
        self
    }

    /// Sets the tokens that may be used at once; the default is ten seconds of the rate.
    #[must_use]
    pub fn burst_tokens(mut self, burst_tokens: u64) -> Self {
        self.burst_tokens = Some(burst_tokens);
        self
    }

    fn build(self) -> Team {
        let default = self.rate_tokens_per_s.saturating_mul(DEFAULT_BURST_S);
        Team {
            name: self.name,
            rate_tokens_per_s: self.rate_tokens_per_s,
            burst_tokens: self.burst_tokens.unwrap_or(default),
        }
    }
}

/// Describes a caller's key.
#[derive(Clone, Debug)]
pub struct KeyBuilder {
    key: Key,
}

impl KeyBuilder {
    /// Creates a key of this team from the SHA-256 of its text in hex.
    pub fn from_digest(id: &str, team: &str, sha256: &str) -> Self {
        let (id, sha256) = (id.to_owned(), sha256.to_owned());
        Self { key: Key { id, team: TeamName::new(team), sha256 } }
    }

    /// Returns the document of the key.
    pub fn document(self) -> Document {
        Document::Key(self.key)
    }

    /// Creates a key of this team from its text, of which only the SHA-256 is kept.
    pub fn from_text(id: &str, team: &str, text: &str) -> Self {
        Self::from_digest(id, team, &key_digest(text))
    }
}

/// Describes a route.
#[derive(Clone, Debug)]
pub struct RouteBuilder {
    route: Route,
}

impl RouteBuilder {
    /// Creates a route to a model. It is idempotent and accepts the keys of all teams.
    pub fn model(name: &str, model: &str, version: &str) -> Self {
        let target = RouteTarget::Model {
            model: ModelName::new(model),
            version: WeightsVersion::new(version),
            max_output_tokens: DEFAULT_MAX_OUTPUT_TOKENS,
        };
        Self::new(name, target, true)
    }

    /// Creates a route to a plain service. It is not idempotent and accepts the keys of all teams.
    pub fn service(name: &str, path_prefix: &str) -> Self {
        let path_prefix = path_prefix.to_owned();
        let target = RouteTarget::Service { path_prefix, cost_tokens: DEFAULT_COST_TOKENS };
        Self::new(name, target, false)
    }

    fn new(name: &str, target: RouteTarget, idempotent: bool) -> Self {
        Self {
            route: Route {
                name: name.to_owned(),
                target,
                access: Access::Keyed(Vec::new()),
                idempotent,
                priority: DEFAULT_PRIORITY,
                sets: Vec::new(),
            },
        }
    }

    /// Lets the keys of this team use the route, in addition to those of teams added before.
    #[must_use]
    pub fn team(mut self, team: &str) -> Self {
        let team = TeamName::new(team);
        match &mut self.route.access {
            Access::Keyed(teams) => teams.push(team),
            access @ Access::Open(_) => *access = Access::Keyed(vec![team]),
        }
        self
    }

    /// Lets everyone use the route without a key. Requests count against this team's rate.
    #[must_use]
    pub fn open(mut self, team: &str) -> Self {
        self.route.access = Access::Open(TeamName::new(team));
        self
    }

    /// Sets whether a request may safely run more than once.
    #[must_use]
    pub fn idempotent(mut self, idempotent: bool) -> Self {
        self.route.idempotent = idempotent;
        self
    }

    /// Sets the priority. Within a team, requests with lower values run first.
    #[must_use]
    pub fn priority(mut self, priority: u8) -> Self {
        self.route.priority = priority;
        self
    }

    /// Sets the maximum number of output tokens per request. Has no effect on a plain service.
    #[must_use]
    pub fn max_output_tokens(mut self, tokens: u32) -> Self {
        if let RouteTarget::Model { max_output_tokens, .. } = &mut self.route.target {
            *max_output_tokens = tokens;
        }
        self
    }

    /// Sets the tokens that one call counts for. Has no effect on a route to a model.
    #[must_use]
    pub fn cost_tokens(mut self, tokens: u64) -> Self {
        if let RouteTarget::Service { cost_tokens, .. } = &mut self.route.target {
            *cost_tokens = tokens;
        }
        self
    }

    /// Adds a set of backend servers that serve the route.
    #[must_use]
    pub fn set(mut self, set: &str) -> Self {
        self.route.sets.push(SetName::new(set));
        self
    }
}

/// Describes a set of backend servers.
#[derive(Clone, Debug)]
pub struct SetBuilder {
    set: BackendSet,
}

impl SetBuilder {
    /// Creates a set with blocks of 8,192 bytes, whose backend servers don't check fencing numbers.
    pub fn new(name: &str) -> Self {
        let name = SetName::new(name);
        let set = BackendSet { name, block_bytes: DEFAULT_BLOCK_BYTES, checks_fencing: false };
        Self { set }
    }

    /// Sets the number of prompt bytes in one cache block.
    #[must_use]
    pub fn block_bytes(mut self, block_bytes: u32) -> Self {
        self.set.block_bytes = block_bytes;
        self
    }

    /// Sets whether the backend servers refuse requests with an old fencing number.
    #[must_use]
    pub fn checks_fencing(mut self, checks_fencing: bool) -> Self {
        self.set.checks_fencing = checks_fencing;
        self
    }
}
