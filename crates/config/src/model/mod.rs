//! Data types of a stored configuration and its objects.

use std::collections::BTreeMap;

use samphirespread_core::prelude::*;
use serde::{Deserialize, Serialize};

/// The content of the object `config/head`, which lists the active sections.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The generation, which increases by one with each accepted submission.
    pub generation: Generation,
    /// The id of the submission that wrote this head.
    pub submission: String,
    /// The ids of the latest submissions, by the generation that each one wrote.
    ///
    /// An operator that lost a response finds its own submission here, even if another operator
    /// has written a later head in between.
    #[serde(default)]
    pub recent: BTreeMap<Generation, String>,
    /// The SHA-256 in hex of each section's text, by section name.
    pub sections: BTreeMap<String, String>,
}

/// A whole configuration, assembled from its sections.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// The customers.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// The keys of callers.
    #[serde(default)]
    pub keys: Vec<Key>,
    /// The models and paths that callers may use.
    #[serde(default)]
    pub routes: Vec<Route>,
    /// The sets of backend servers.
    #[serde(default)]
    pub sets: Vec<BackendSet>,
}

/// A customer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Team {
    /// The team's name.
    pub name: TeamName,
    /// The rate in tokens per second, summed over all routers.
    pub rate_tokens_per_s: u64,
    /// The tokens that may be used at once.
    pub burst_tokens: u64,
}

/// A caller's key. Its secret text is never stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Key {
    /// The name by which operators refer to the key.
    pub id: String,
    /// The team that the key acts for.
    pub team: TeamName,
    /// The SHA-256 of the key's text in hex.
    pub sha256: String,
}

/// A model or plain service that callers may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The route's name.
    pub name: String,
    /// The model or service that the route leads to.
    pub target: RouteTarget,
    /// The callers that may use the route.
    pub access: Access,
    /// Whether a request may safely run more than once.
    pub idempotent: bool,
    /// The priority. Within a team, requests with lower values run first.
    pub priority: u8,
    /// The sets of backend servers that serve the route.
    pub sets: Vec<SetName>,
}

/// The destination of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteTarget {
    /// A model, which requests name in their body.
    Model {
        /// The model's name.
        model: ModelName,
        /// The version of the weights that serves requests.
        version: WeightsVersion,
        /// The maximum number of output tokens per request.
        max_output_tokens: u32,
    },
    /// A plain service, which requests select by path.
    Service {
        /// The prefix of the paths that take this route.
        path_prefix: String,
        /// The tokens that one call counts for against the team's rate.
        cost_tokens: u64,
    },
}

/// The callers that may use a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Access {
    /// Everyone may use it without a key. Requests count against the rate of this team.
    Open(TeamName),
    /// Only callers with a key of one of these teams may use it, or of any team if the list is
    /// empty.
    Keyed(Vec<TeamName>),
}

impl Route {
    /// Returns whether a caller may use the route. `None` is a caller without a key.
    pub fn admits(&self, caller: Option<&TeamName>) -> bool {
        self.charged_team(caller).is_some()
    }

    /// Returns the team that a request is charged to, or `None` if the caller may not use the
    /// route.
    pub fn charged_team<'a>(&'a self, caller: Option<&'a TeamName>) -> Option<&'a TeamName> {
        match &self.access {
            Access::Open(team) => Some(team),
            Access::Keyed(teams) => {
                caller.filter(|caller| teams.is_empty() || teams.contains(caller))
            }
        }
    }
}

/// A set of backend servers that run the same model and version or the same plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendSet {
    /// The set's name, as in the list of live backend servers.
    pub name: SetName,
    /// The number of prompt bytes in one cache block.
    pub block_bytes: u32,
    /// Whether the backend servers refuse requests with an old fencing number.
    pub checks_fencing: bool,
}
