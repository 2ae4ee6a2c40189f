//! Checks of whole configurations.

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

/// Shown in place of a value that might be a secret by mistake.
pub(crate) const HIDDEN: &str = "(hidden)";

const MAX_NAME_CHARS: usize = 128;
const MAX_TOKENS: u64 = 1_000_000_000_000;
const MAX_BLOCK_BYTES: u32 = 1 << 20;
const MIN_BLOCK_BYTES: u32 = 64;
const MAX_PATH_CHARS: usize = 1_024;
const DIGEST_CHARS: usize = 64;

/// Paths that the router answers itself.
const RESERVED_PATHS: [&str; 3] = ["/v1/chat/completions", "/v1/completions", "/v1/models"];

impl Config {
    /// Checks that no object is there twice, and nothing else.
    ///
    /// # Errors
    ///
    /// One fault for each object that is there more than once.
    pub fn check_unique(&self) -> Result<(), ConfigErrors> {
        let mut check = Check::new(self);
        check.repeated();
        ConfigErrors::check(check.errors)
    }

    /// Checks values, names and references.
    ///
    /// # Errors
    ///
    /// All faults, each with object, field and what is allowed.
    pub fn validate(&self) -> Result<(), ConfigErrors> {
        let mut check = Check::new(self);
        check.repeated();
        self.teams.iter().for_each(|team| check.team(team));
        check.keys();
        self.routes.iter().for_each(|route| check.route(route));
        check.overlaps();
        check.shared_sets();
        self.sets.iter().for_each(|set| check.set(set));
        ConfigErrors::check(check.errors)
    }
}

struct Check<'a> {
    config: &'a Config,
    teams: HashMap<&'a TeamName, &'a Team>,
    sets: HashSet<&'a SetName>,
    errors: Vec<ConfigError>,
}

impl<'a> Check<'a> {
    fn new(config: &'a Config) -> Self {
        let teams = config.teams.iter().map(|team| (&team.name, team)).collect();
        let sets = config.sets.iter().map(|set| &set.name).collect();
        Self { config, teams, sets, errors: Vec::new() }
    }

    fn invalid(&mut self, object: &str, field: &str, value: &impl Display, allowed: &str) {
        self.errors.push(ConfigError::Invalid {
            object: object.to_owned(),
            field: field.to_owned(),
            value: value.to_string(),
            allowed: allowed.to_owned(),
        });
    }

    fn repeated(&mut self) {
        let names: Vec<ObjectName> = self.config.documents().iter().map(Document::name).collect();
        let mut last = None;
        for pair in names.windows(2) {
            if pair[0] == pair[1] && last != Some(&pair[0]) {
                self.errors.push(ConfigError::Repeated { object: pair[0].to_string() });
                last = Some(&pair[0]);
            }
        }
    }

    fn name(&mut self, object: &str, field: &str, name: &str) {
        let allowed = format!("1 to {MAX_NAME_CHARS} letters, digits, dots, underscores, hyphens");
        if !is_name(name, b"._-") {
            self.invalid(object, field, &name, &allowed);
        }
    }

    fn model_name(&mut self, object: &str, field: &str, name: &str) {
        let allowed =
            format!("1 to {MAX_NAME_CHARS} letters, digits, dots, underscores, hyphens, / or :");
        if !is_name(name, b"._-/:") {
            self.invalid(object, field, &name, &allowed);
        }
    }

    fn tokens(&mut self, object: &str, field: &str, tokens: u64, min: u64) {
        if !(min..=MAX_TOKENS).contains(&tokens) {
            let allowed = format!("a whole number of tokens from {min} to {MAX_TOKENS}");
            self.invalid(object, field, &tokens, &allowed);
        }
    }

    fn team(&mut self, team: &Team) {
        let object = format!("team/{}", team.name);
        self.name(&object, "name", team.name.as_str());
        self.tokens(&object, "rate_tokens_per_s", team.rate_tokens_per_s, 1);
        self.tokens(&object, "burst_tokens", team.burst_tokens, 1);
    }

    fn keys(&mut self) {
        let mut digests = HashMap::new();
        for key in &self.config.keys {
            self.key(key);
            let first = *digests.entry(&key.sha256).or_insert(&key.id);
            if first != &key.id {
                let allowed = format!("another key than that of key/{first}");
                self.invalid(&format!("key/{}", key.id), "sha256", &HIDDEN, &allowed);
            }
        }
    }

    fn key(&mut self, key: &Key) {
        let object = format!("key/{}", key.id);
        self.name(&object, "id", &key.id);
        self.known_team(&object, "team", &key.team);
        let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        if key.sha256.len() != DIGEST_CHARS || !key.sha256.bytes().all(is_digit) {
            let allowed = format!("{DIGEST_CHARS} lower-case hex digits");
            self.invalid(&object, "sha256", &HIDDEN, &allowed);
        }
    }

    fn known_team(&mut self, object: &str, field: &str, team: &TeamName) {
        if !self.teams.contains_key(team) {
            self.invalid(object, field, &team, "the name of a team in the configuration");
        }
    }

    fn route(&mut self, route: &Route) {
        let object = format!("route/{}", route.name);
        self.name(&object, "name", &route.name);
        match &route.target {
            RouteTarget::Model { model, version, max_output_tokens } => {
                self.model_name(&object, "target.model.model", model.as_str());
                self.model_name(&object, "target.model.version", version.as_str());
                let tokens = u64::from(*max_output_tokens);
                self.tokens(&object, "target.model.max_output_tokens", tokens, 1);
            }
            RouteTarget::Service { path_prefix, cost_tokens } => {
                self.path_prefix(&object, path_prefix);
                self.tokens(&object, "target.service.cost_tokens", *cost_tokens, 0);
                self.affordable(&object, route, *cost_tokens);
            }
        }
        self.access(&object, &route.access);
        self.route_sets(&object, &route.sets);
    }

    fn path_prefix(&mut self, object: &str, path: &str) {
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
            self.invalid(object, FIELD, &path, allowed);
        }
        if RESERVED_PATHS.iter().any(|reserved| is_below(path, reserved)) {
            let allowed = format!("a path outside {}", RESERVED_PATHS.join(", "));
            self.invalid(object, FIELD, &path, &allowed);
        }
    }

    /// A call that costs more than a team's burst could never run.
    fn affordable(&mut self, object: &str, route: &Route, cost_tokens: u64) {
        let mut teams: Vec<&Team> =
            self.teams.values().copied().filter(|team| charges(route, &team.name)).collect();
        teams.sort_by_key(|team| &team.name);
        if let Some(team) = teams.iter().find(|team| cost_tokens > team.burst_tokens) {
            let allowed = format!(
                "at most the burst of every team that may use the route; team/{} has {}",
                team.name, team.burst_tokens
            );
            self.invalid(object, "target.service.cost_tokens", &cost_tokens, &allowed);
        }
    }

    fn access(&mut self, object: &str, access: &Access) {
        match access {
            Access::Open(team) => self.known_team(object, "access.open", team),
            Access::Keyed(teams) => {
                teams.iter().for_each(|team| self.known_team(object, "access.keyed", team));
            }
        }
    }

    fn route_sets(&mut self, object: &str, sets: &[SetName]) {
        if sets.is_empty() {
            self.invalid(object, "sets", &"[]", "at least one set");
        }
        for (index, set) in sets.iter().enumerate() {
            if !self.sets.contains(set) {
                self.invalid(object, "sets", &set, "the name of a set in the configuration");
            }
            if sets[..index].contains(set) {
                self.invalid(object, "sets", &set, "each set once");
            }
        }
    }

    /// A request must never match two routes.
    fn overlaps(&mut self) {
        let mut seen: HashMap<&str, Vec<&Route>> = HashMap::new();
        for route in &self.config.routes {
            let (field, subject) = match &route.target {
                RouteTarget::Model { model, .. } => ("target.model.model", model.as_str()),
                RouteTarget::Service { path_prefix, .. } => {
                    ("target.service.path_prefix", path_prefix.as_str())
                }
            };
            let others = seen.entry(subject).or_default();
            let clash = others.iter().find(|other| both_match(other, route)).copied();
            others.push(route);
            if let Some(other) = clash {
                let allowed = format!(
                    "one that route/{} does not serve for the same team already",
                    other.name
                );
                self.invalid(&format!("route/{}", route.name), field, &subject, &allowed);
            }
        }
    }

    /// All backend servers of a set run the same model and version, or a plain service.
    fn shared_sets(&mut self) {
        let mut users: HashMap<&SetName, &Route> = HashMap::new();
        for route in &self.config.routes {
            for set in &route.sets {
                let first = *users.entry(set).or_insert(route);
                if weights(first) != weights(route) {
                    let allowed = format!(
                        "a set without another model or version than in {first}",
                        first = format_args!("route/{}", first.name)
                    );
                    self.invalid(&format!("route/{}", route.name), "sets", &set, &allowed);
                }
            }
        }
    }

    fn set(&mut self, set: &BackendSet) {
        let object = format!("set/{}", set.name);
        self.name(&object, "name", set.name.as_str());
        if !(MIN_BLOCK_BYTES..=MAX_BLOCK_BYTES).contains(&set.block_bytes) {
            let allowed =
                format!("a whole number of bytes from {MIN_BLOCK_BYTES} to {MAX_BLOCK_BYTES}");
            self.invalid(&object, "block_bytes", &set.block_bytes, &allowed);
        }
    }
}

fn is_name(name: &str, marks: &[u8]) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || marks.contains(&byte);
    !name.is_empty() && name.len() <= MAX_NAME_CHARS && name.bytes().all(allowed)
}

/// Whether a path is the prefix itself or continues it with a further segment.
fn is_below(path: &str, prefix: &str) -> bool {
    path.strip_prefix(prefix).is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

fn charges(route: &Route, team: &TeamName) -> bool {
    route.charged_team(Some(team)) == Some(team)
}

fn both_match(a: &Route, b: &Route) -> bool {
    match (&a.access, &b.access) {
        (Access::Keyed(teams), Access::Keyed(others))
            if matches!(a.target, RouteTarget::Model { .. }) =>
        {
            teams.is_empty() || others.is_empty() || teams.iter().any(|team| others.contains(team))
        }
        _ => true,
    }
}

fn weights(route: &Route) -> Option<(&ModelName, &WeightsVersion)> {
    match &route.target {
        RouteTarget::Model { model, version, .. } => Some((model, version)),
        RouteTarget::Service { .. } => None,
    }
}
