//! The documents of a configuration.

use std::collections::BTreeMap;

use samphirespread_core::prelude::*;
use serde::{Deserialize, Serialize};

/// The object `config/head`: names the sections in force.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Rises by one with each accepted submission.
    pub generation: Generation,
    /// The id of the submission that wrote this head, for finding a lost answer.
    pub submission: String,
    /// The ids of the last submissions, by the generation that each one wrote.
    ///
    /// An operator whose answer was lost finds its own submission here also when another
    /// operator has written a later head in between.
    #[serde(default)]
    pub recent: BTreeMap<Generation, String>,
    /// The SHA-256 in hex of each section's text, by section name.
    pub sections: BTreeMap<String, String>,
}

/// A whole configuration, assembled from its sections.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Customers.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// Keys of callers.
    #[serde(default)]
    pub keys: Vec<Key>,
    /// Paths and models that callers may ask for.
    #[serde(default)]
    pub routes: Vec<Route>,
    /// Backend servers.
    #[serde(default)]
    pub sets: Vec<BackendSet>,
}

/// A customer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Team {
    /// The team's name.
    pub name: TeamName,
    /// Tokens a second over all routers.
    pub rate_tokens_per_s: u64,
    /// Tokens that may be used at once.
    pub burst_tokens: u64,
}

/// A caller's key. Its text is never stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Key {
    /// A name for operators.
    pub id: String,
    /// The team that the key acts for.
    pub team: TeamName,
    /// SHA-256 of the key's text, in hex.
    pub sha256: String,
}

/// What callers may ask for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The route's name.
    pub name: String,
    /// What the route leads to.
    pub target: RouteTarget,
    /// Who may use it.
    pub access: Access,
    /// Whether a request may safely run more than once.
    pub idempotent: bool,
    /// Lower runs first within a team.
    pub priority: u8,
    /// Sets of backend servers that serve the route.
    pub sets: Vec<SetName>,
}

/// What a route leads to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteTarget {
    /// A model, asked for by name in the body.
    Model {
        /// The model's name.
        model: ModelName,
        /// The weights version that answers.
        version: WeightsVersion,
        /// Output tokens at most for one request.
        max_output_tokens: u32,
    },
    /// A plain service, asked for by path.
    Service {
        /// Requests whose path begins so take this route.
        path_prefix: String,
        /// Tokens that one call counts against the team's rate.
        cost_tokens: u64,
    },
}

/// Who may use a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Access {
    /// Everyone, without a key. Counted against the named team.
    Open(TeamName),
    /// Callers whose key acts for one of these teams; all teams when empty.
    Keyed(Vec<TeamName>),
}

impl Route {
    /// Whether a caller may use the route. `None` is a caller without a key.
    pub fn admits(&self, caller: Option<&TeamName>) -> bool {
        self.charged_team(caller).is_some()
    }

    /// The team that the request runs for, or `None` if the caller may not use the route.
    pub fn charged_team<'a>(&'a self, caller: Option<&'a TeamName>) -> Option<&'a TeamName> {
        match &self.access {
            Access::Open(team) => Some(team),
            Access::Keyed(teams) => {
                caller.filter(|caller| teams.is_empty() || teams.contains(caller))
            }
        }
    }
}

/// Backend servers that run the same thing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendSet {
    /// The set's name, as the live list gives it.
    pub name: SetName,
    /// Bytes of prompt in one cache block.
    pub block_bytes: u32,
    /// Whether the backend servers refuse orders with an old fencing number.
    pub checks_fencing: bool,
}
