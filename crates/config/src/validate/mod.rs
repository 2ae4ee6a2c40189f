//! Validation of whole configurations.

use std::{
    collections::{HashMap, HashSet},
    fmt::Display,
};

use samphirespread_core::prelude::*;

use crate::{
    document::{Document, ObjectName},
    error::{ConfigError, ConfigErrors},
    model::{Access, BackendSet, Config, Key, Route, RouteTarget, Team},
};

/// Placeholder that errors show instead of a value that might be a secret by mistake.
pub(crate) const HIDDEN: &str = "(hidden)";

const MAX_NAME_CHARS: usize = 128;
const MAX_TOKENS: u64 = 1_000_000_000_000;
const MAX_BLOCK_BYTES: u32 = 1 << 20;
const MIN_BLOCK_BYTES: u32 = 64;
const MAX_PATH_CHARS: usize = 1_024;
const DIGEST_CHARS: usize = 64;

/// Paths that the router serves itself.
const RESERVED_PATHS: [&str; 3] = ["/v1/chat/completions", "/v1/completions", "/v1/models"];

impl Config {
    /// Checks only that no object occurs twice.
    ///
    /// # Errors
    ///
    /// Returns one error for each object that occurs more than once.
    pub fn check_unique(&self) -> Result<(), ConfigErrors> {
        let mut validator = Validator::new(self);
        validator.check_uniqueness();
        ConfigErrors::result_from(validator.errors)
    }

    /// Checks values, names and references.
    ///
    /// # Errors
    ///
    /// Returns all errors, each with its object, field and allowed values.
    pub fn validate(&self) -> Result<(), ConfigErrors> {
        let mut validator = Validator::new(self);
        validator.check_uniqueness();
        self.teams.iter().for_each(|team| validator.check_team(team));
        validator.check_keys();
        self.routes.iter().for_each(|route| validator.check_route(route));
        validator.check_route_overlaps();
        validator.check_sets_run_one_model();
        self.sets.iter().for_each(|set| validator.check_set(set));
        ConfigErrors::result_from(validator.errors)
    }
}

struct Validator<'a> {
    config: &'a Config,
    teams: HashMap<&'a TeamName, &'a Team>,
    sets: HashSet<&'a SetName>,
    errors: Vec<ConfigError>,
}

impl<'a> Validator<'a> {
    fn new(config: &'a Config) -> Self {
        let teams = config.teams.iter().map(|team| (&team.name, team)).collect();
        let sets = config.sets.iter().map(|set| &set.name).collect();
        Self { config, teams, sets, errors: Vec::new() }
    }

    fn push_invalid(&mut self, object: &str, field: &str, value: &impl Display, allowed: &str) {
        self.errors.push(ConfigError::Invalid {
            object: object.to_owned(),
            field: field.to_owned(),
            value: value.to_string(),
            allowed: allowed.to_owned(),
        });
    }

    fn check_uniqueness(&mut self) {
        let names: Vec<ObjectName> = self.config.documents().iter().map(Document::name).collect();
        let mut last = None;
        for pair in names.windows(2) {
            if pair[0] == pair[1] && last != Some(&pair[0]) {
                self.errors.push(ConfigError::Repeated { object: pair[0].to_string() });
                last = Some(&pair[0]);
            }
        }
    }

    fn check_name(&mut self, object: &str, field: &str, name: &str) {
        let allowed = format!("1 to {MAX_NAME_CHARS} letters, digits, dots, underscores, hyphens");
        if !is_name(name, b"._-") {
            self.push_invalid(object, field, &name, &allowed);
        }
    }

    fn check_model_name(&mut self, object: &str, field: &str, name: &str) {
        let allowed =
            format!("1 to {MAX_NAME_CHARS} letters, digits, dots, underscores, hyphens, / or :");
        if !is_name(name, b"._-/:") {
            self.push_invalid(object, field, &name, &allowed);
        }
    }

    fn check_tokens(&mut self, object: &str, field: &str, tokens: u64, min: u64) {
        if !(min..=MAX_TOKENS).contains(&tokens) {
            let allowed = format!("a whole number of tokens from {min} to {MAX_TOKENS}");
            self.push_invalid(object, field, &tokens, &allowed);
        }
    }

    fn check_team(&mut self, team: &Team) {
        let object = format!("team/{}", team.name);
        self.check_name(&object, "name", team.name.as_str());
        self.check_tokens(&object, "rate_tokens_per_s", team.rate_tokens_per_s, 1);
        self.check_tokens(&object, "burst_tokens", team.burst_tokens, 1);
    }

    fn check_keys(&mut self) {
        let mut digests = HashMap::new();
        for key in &self.config.keys {
            self.check_key(key);
            let first = *digests.entry(&key.sha256).or_insert(&key.id);
            if first != &key.id {
                let allowed = format!("another key than that of key/{first}");
                self.push_invalid(&format!("key/{}", key.id), "sha256", &HIDDEN, &allowed);
            }
        }
    }

    fn check_key(&mut self, key: &Key) {
        let object = format!("key/{}", key.id);
        self.check_name(&object, "id", &key.id);
        self.check_team_exists(&object, "team", &key.team);
        let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        if key.sha256.len() != DIGEST_CHARS || !key.sha256.bytes().all(is_digit) {
            let allowed = format!("{DIGEST_CHARS} lower-case hex digits");
            self.push_invalid(&object, "sha256", &HIDDEN, &allowed);
        }
    }

    fn check_team_exists(&mut self, object: &str, field: &str, team: &TeamName) {
        if !self.teams.contains_key(team) {
            self.push_invalid(object, field, &team, "the name of a team in the configuration");
        }
    }

    fn check_route(&mut self, route: &Route) {
        let object = format!("route/{}", route.name);
        self.check_name(&object, "name", &route.name);
        match &route.target {
            RouteTarget::Model { model, version, max_output_tokens } => {
                self.check_model_name(&object, "target.model.model", model.as_str());
                self.check_model_name(&object, "target.model.version", version.as_str());
                let tokens = u64::from(*max_output_tokens);
                self.check_tokens(&object, "target.model.max_output_tokens", tokens, 1);
            }
            RouteTarget::Service { path_prefix, cost_tokens } => {
                self.check_path_prefix(&object, path_prefix);
                self.check_tokens(&object, "target.service.cost_tokens", *cost_tokens, 0);
                self.check_cost_within_burst(&object, route, *cost_tokens);
            }
        }
        self.check_access(&object, &route.access);
        self.check_route_sets(&object, &route.sets);
    }

    fn check_path_prefix(&mut self, object: &str, path: &str) {
        const FIELD: &str = "target.service.path_prefix";
        let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"/._~-".contains(&byte);
        let segments_allowed =
            path.split('/').skip(1).all(|segment| !["", ".", ".."].contains(&segment));
        if !path.starts_with('/')
            || path.len() > MAX_PATH_CHARS
            || !path.bytes().all(plain)
            || !(path == "/" || segments_allowed)
        {
            let allowed = "/ or segments of letters, digits, . _ ~ - that begin with / each";
            self.push_invalid(object, FIELD, &path, allowed);
        }
        if RESERVED_PATHS.iter().any(|reserved| is_at_or_below(path, reserved)) {
            let allowed = format!("a path outside {}", RESERVED_PATHS.join(", "));
            self.push_invalid(object, FIELD, &path, &allowed);
        }
    }

    /// Checks that no call costs more than a team's burst, because it could never run.
    fn check_cost_within_burst(&mut self, object: &str, route: &Route, cost_tokens: u64) {
        let mut teams: Vec<&Team> =
            self.teams.values().copied().filter(|team| is_charged_for(route, &team.name)).collect();
        teams.sort_by_key(|team| &team.name);
        if let Some(team) = teams.iter().find(|team| cost_tokens > team.burst_tokens) {
            let allowed = format!(
                "at most the burst of every team that may use the route; team/{} has {}",
                team.name, team.burst_tokens
            );
            self.push_invalid(object, "target.service.cost_tokens", &cost_tokens, &allowed);
        }
    }

    fn check_access(&mut self, object: &str, access: &Access) {
        match access {
            Access::Open(team) => self.check_team_exists(object, "access.open", team),
            Access::Keyed(teams) => {
                teams.iter().for_each(|team| self.check_team_exists(object, "access.keyed", team));
            }
        }
    }

    fn check_route_sets(&mut self, object: &str, sets: &[SetName]) {
        if sets.is_empty() {
            self.push_invalid(object, "sets", &"[]", "at least one set");
        }
        for (index, set) in sets.iter().enumerate() {
            if !self.sets.contains(set) {
                self.push_invalid(object, "sets", &set, "the name of a set in the configuration");
            }
            if sets[..index].contains(set) {
                self.push_invalid(object, "sets", &set, "each set once");
            }
        }
    }

    /// Checks that no request can match two routes to the same model or path prefix.
    fn check_route_overlaps(&mut self) {
        let mut seen: HashMap<&str, Vec<&Route>> = HashMap::new();
        for route in &self.config.routes {
            let (field, subject) = match &route.target {
                RouteTarget::Model { model, .. } => ("target.model.model", model.as_str()),
                RouteTarget::Service { path_prefix, .. } => {
                    ("target.service.path_prefix", path_prefix.as_str())
                }
            };
            let others = seen.entry(subject).or_default();
            let overlapping =
                others.iter().find(|other| may_match_same_request(other, route)).copied();
            others.push(route);
            if let Some(other) = overlapping {
                let allowed = format!(
                    "one that route/{} does not serve for the same team already",
                    other.name
                );
                self.push_invalid(&format!("route/{}", route.name), field, &subject, &allowed);
            }
        }
    }

    /// Checks that all routes of a set ask for the same model and version, or all for a plain
    /// service.
    fn check_sets_run_one_model(&mut self) {
        let mut users: HashMap<&SetName, &Route> = HashMap::new();
        for route in &self.config.routes {
            for set in &route.sets {
                let first = *users.entry(set).or_insert(route);
                if model_and_version(first) != model_and_version(route) {
                    let allowed = format!(
                        "a set without another model or version than in {first}",
                        first = format_args!("route/{}", first.name)
                    );
                    self.push_invalid(&format!("route/{}", route.name), "sets", &set, &allowed);
                }
            }
        }
    }

    fn check_set(&mut self, set: &BackendSet) {
        let object = format!("set/{}", set.name);
        self.check_name(&object, "name", set.name.as_str());
        if !(MIN_BLOCK_BYTES..=MAX_BLOCK_BYTES).contains(&set.block_bytes) {
            let allowed =
                format!("a whole number of bytes from {MIN_BLOCK_BYTES} to {MAX_BLOCK_BYTES}");
            self.push_invalid(&object, "block_bytes", &set.block_bytes, &allowed);
        }
    }
}

fn is_name(name: &str, punctuation: &[u8]) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || punctuation.contains(&byte);
    !name.is_empty() && name.len() <= MAX_NAME_CHARS && name.bytes().all(allowed)
}

/// Returns whether a path equals the prefix or extends it by further segments.
fn is_at_or_below(path: &str, prefix: &str) -> bool {
    path.strip_prefix(prefix).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

fn is_charged_for(route: &Route, team: &TeamName) -> bool {
    route.charged_team(Some(team)) == Some(team)
}

fn may_match_same_request(a: &Route, b: &Route) -> bool {
    match (&a.access, &b.access) {
        (Access::Keyed(teams), Access::Keyed(others))
            if matches!(a.target, RouteTarget::Model { .. }) =>
        {
            teams.is_empty() || others.is_empty() || teams.iter().any(|team| others.contains(team))
        }
        _ => true,
    }
}

fn model_and_version(route: &Route) -> Option<(&ModelName, &WeightsVersion)> {
    match &route.target {
        RouteTarget::Model { model, version, .. } => Some((model, version)),
        RouteTarget::Service { .. } => None,
    }
}
