//! Lookup of routes, services and keys in one configuration.
//!
//! A route lookup takes one hash of the host and one comparison for each route of that host.

use std::collections::{HashMap, HashSet};

use xxhash_rust::xxh3::xxh3_64;

use samphirespread_core::prelude::*;

use crate::{
    cache_scope::{CacheScope, CacheScopes},
    model::{Configuration, KeyDigest, Route, Service, ServiceName, Team},
};

/// A configuration, indexed for serving.
#[derive(Clone, Debug, Default)]
pub struct Table {
    configuration: Configuration,
    routes_by_host: HashMap<String, Vec<usize>>,
    teams_by_key: HashMap<KeyDigest, usize>,
    team_names: HashSet<TeamName>,
    services: HashMap<ServiceName, usize>,
    cache_scopes: CacheScopes,
}

impl Table {
    /// Indexes a configuration.
    pub fn new(configuration: Configuration) -> Self {
        let mut routes_by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in configuration.routes.iter().enumerate() {
            routes_by_host.entry(route.host.to_ascii_lowercase()).or_default().push(index);
        }
        for indices in routes_by_host.values_mut() {
            indices.sort_by_key(|&index| {
                std::cmp::Reverse(configuration.routes[index].path_prefix.len())
            });
        }
        let mut teams_by_key = HashMap::new();
        for (index, team) in configuration.teams.iter().enumerate() {
            teams_by_key.extend(team.keys.iter().map(|key| (*key, index)));
        }
        let services = configuration
            .services
            .iter()
            .enumerate()
            .map(|(index, service)| (service.name.clone(), index))
            .collect();
        let dedicated = configuration.teams.iter().filter(|team| team.dedicated);
        let cache_scopes = CacheScopes::new(dedicated.map(|team| &team.name));
        let team_names = configuration.teams.iter().map(|team| team.name.clone()).collect();
        Self { configuration, routes_by_host, teams_by_key, team_names, services, cache_scopes }
    }

    /// Returns the indexed configuration.
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Returns the route of `host` with the longest prefix of `path`. A port in `host` is ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let indices = self.routes_by_host.get(&name.to_ascii_lowercase())?;
        indices
            .iter()
            .map(|&index| &self.configuration.routes[index])
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// Returns the team to which a key belongs.
    pub fn team(&self, key: &str) -> Option<&Team> {
        self.team_of_digest(&KeyDigest::of(key))
    }

    /// Returns the team to which the key with this digest belongs.
    pub fn team_of_digest(&self, digest: &KeyDigest) -> Option<&Team> {
        let index = self.teams_by_key.get(digest)?;
        Some(&self.configuration.teams[*index])
    }

    /// Whether there is a team with that name.
    pub fn has_team(&self, name: &TeamName) -> bool {
        self.team_names.contains(name)
    }

    /// Returns whose cached parts of prompts a team's requests may use.
    pub fn cache_scope(&self, team: Option<&TeamName>) -> CacheScope {
        self.cache_scopes.of(team)
    }

    /// Whether any team is configured, so that requests need a key.
    pub fn has_teams(&self) -> bool {
        !self.configuration.teams.is_empty()
    }

    /// Returns the service with that name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.get(name).map(|&index| &self.configuration.services[index])
    }

    /// Chooses the service for one request of a route at random in proportion to the weights.
    ///
    /// The choice depends only on the request id.
    pub fn upstream<'a>(&self, route: &'a Route, request_id: &str) -> Option<&'a ServiceName> {
        let total: u64 = route.upstreams.iter().map(|upstream| upstream.weight).sum();
        if total == 0 {
            return None;
        }
        let mut point = xxh3_64(request_id.as_bytes()) % total;
        for upstream in &route.upstreams {
            if point < upstream.weight {
                return Some(&upstream.service);
            }
            point -= upstream.weight;
        }
        None
    }
}
