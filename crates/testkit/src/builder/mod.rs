//! What a fleet consists of.

use samphirespread_config::{
    Config, ConfigBuilder, KeyBuilder, RouteBuilder, SetBuilder, TeamBuilder,
};
use samphirespread_standin::{
    engine::EngineConfig, platform::PlatformConfig, service::ServiceConfig,
};

use crate::{
    daemon::Variable,
    fleet::{Fleet, key_of},
};

/// The set of all agents with an engine.
pub const DEFAULT_SET: &str = "drafting";

/// The set of all agents with a plain service.
pub const SERVICE_SET: &str = "filing";

/// The team that a fleet has when it is given none.
pub const DEFAULT_TEAM: &str = "desk";

/// The model that a fleet has when it is given no route.
pub const DEFAULT_MODEL: &str = "ledger";

/// The weights version of that model.
pub const DEFAULT_VERSION: &str = "v1";

const DEFAULT_RATE_TOKENS_PER_S: u64 = 10_000_000;
const DEFAULT_BURST_TOKENS: u64 = 100_000_000;
const DEFAULT_BLOCK_BYTES: u32 = 1_024;
const DEFAULT_MAX_OUTPUT_TOKENS: u32 = 100_000;

/// One line of a settings file that differs from the testkit's own.
#[derive(Clone, Debug)]
pub(crate) struct Setting {
    pub(crate) section: String,
    pub(crate) key: String,
    pub(crate) value: String,
}

/// Describes a fleet. Each setter adds to or replaces what a small fleet has by default.
#[derive(Clone, Debug)]
pub struct FleetBuilder {
    pub(crate) routers: usize,
    pub(crate) agents: usize,
    pub(crate) services: usize,
    pub(crate) failure_domains: usize,
    pub(crate) engine: EngineConfig,
    pub(crate) service: ServiceConfig,
    pub(crate) platform: PlatformConfig,
    pub(crate) agent_links: bool,
    pub(crate) engine_links: bool,
    pub(crate) router_settings: Vec<Setting>,
    pub(crate) agent_settings: Vec<Setting>,
    pub(crate) router_environment: Vec<Variable>,
    teams: Vec<TeamBuilder>,
    team_names: Vec<String>,
    routes: Vec<RouteBuilder>,
    block_bytes: u32,
}

impl Default for FleetBuilder {
    fn default() -> Self {
        Self {
            routers: 1,
            agents: 1,
            services: 0,
            failure_domains: 3,
            engine: EngineConfig::new(DEFAULT_MODEL, DEFAULT_VERSION),
            service: ServiceConfig::new(),
            platform: PlatformConfig::new(),
            agent_links: false,
            engine_links: false,
            router_settings: Vec::new(),
            agent_settings: Vec::new(),
            router_environment: Vec::new(),
            teams: Vec::new(),
            team_names: Vec::new(),
            routes: Vec::new(),
            block_bytes: DEFAULT_BLOCK_BYTES,
        }
    }
}

impl FleetBuilder {
    /// Routers.
    #[must_use]
    pub fn routers(mut self, routers: usize) -> Self {
        self.routers = routers;
        self
    }

    /// Agents, each with an engine.
    #[must_use]
    pub fn agents(mut self, agents: usize) -> Self {
        self.agents = agents;
        self
    }

    /// Agents, each with a plain service, all in the set [`SERVICE_SET`].
    #[must_use]
    pub fn services(mut self, services: usize) -> Self {
        self.services = services;
        self
    }

    /// Failure domains that the instances are spread over.
    #[must_use]
    pub fn failure_domains(mut self, failure_domains: usize) -> Self {
        self.failure_domains = failure_domains.max(1);
        self
    }

    /// How all engines behave.
    #[must_use]
    pub fn engine(mut self, engine: EngineConfig) -> Self {
        self.engine = engine;
        self
    }

    /// How all plain services behave.
    #[must_use]
    pub fn service(mut self, service: ServiceConfig) -> Self {
        self.service = service;
        self
    }

    /// How the platform behaves.
    #[must_use]
    pub fn platform(mut self, platform: PlatformConfig) -> Self {
        self.platform = platform;
        self
    }

    /// Bytes of prompt in one cache block.
    #[must_use]
    pub fn block_bytes(mut self, block_bytes: u32) -> Self {
        self.block_bytes = block_bytes;
        self
    }

    /// Adds a team with one key, see [`Fleet::key`].
    #[must_use]
    pub fn team(mut self, name: &str, rate_tokens_per_s: u64, burst_tokens: u64) -> Self {
        let team = TeamBuilder::new(name);
        self.teams.push(team.rate_tokens_per_s(rate_tokens_per_s).burst_tokens(burst_tokens));
        self.team_names.push(name.to_owned());
        self
    }

    /// Adds a route.
    #[must_use]
    pub fn route(mut self, route: RouteBuilder) -> Self {
        self.routes.push(route);
        self
    }

    /// Puts a link that can fail between the routers and each agent.
    #[must_use]
    pub fn agent_links(mut self) -> Self {
        self.agent_links = true;
        self
    }

    /// Puts a link that can fail between each agent and its backend server.
    #[must_use]
    pub fn engine_links(mut self) -> Self {
        self.engine_links = true;
        self
    }

    /// Sets a key in the settings of all routers.
    #[must_use]
    pub fn router_setting(mut self, section: &str, key: &str, value: &str) -> Self {
        self.router_settings.push(setting(section, key, value));
        self
    }

    /// Sets a key in the settings of all agents.
    #[must_use]
    pub fn agent_setting(mut self, section: &str, key: &str, value: &str) -> Self {
        self.agent_settings.push(setting(section, key, value));
        self
    }

    /// Sets a variable in the environment of all routers.
    #[must_use]
    pub fn router_environment(mut self, name: &str, value: &str) -> Self {
        let (name, value) = (name.to_owned(), value.to_owned());
        self.router_environment.push(Variable { name, value });
        self
    }

    /// Starts everything and waits until each router knows the configuration and each agent.
    pub async fn start(self) -> Fleet {
        Fleet::start(self).await
    }

    /// The first configuration of the fleet.
    pub(crate) fn config(&self) -> Config {
        let mut config = ConfigBuilder::new()
            .set(SetBuilder::new(DEFAULT_SET).block_bytes(self.block_bytes).checks_fencing(true));
        if self.services > 0 {
            config = config.set(SetBuilder::new(SERVICE_SET));
        }
        for (team, name) in self.teams_or_default() {
            config = config.team(team);
            config = config.key(KeyBuilder::from_text(&name, &name, &key_of(&name)));
        }
        for route in self.routes_or_default() {
            config = config.route(route);
        }
        config.build().expect("the test's configuration is valid")
    }

    fn teams_or_default(&self) -> Vec<(TeamBuilder, String)> {
        if self.teams.is_empty() {
            let team = TeamBuilder::new(DEFAULT_TEAM)
                .rate_tokens_per_s(DEFAULT_RATE_TOKENS_PER_S)
                .burst_tokens(DEFAULT_BURST_TOKENS);
            return vec![(team, DEFAULT_TEAM.to_owned())];
        }
        self.teams.iter().cloned().zip(self.team_names.iter().cloned()).collect()
    }

    fn routes_or_default(&self) -> Vec<RouteBuilder> {
        if !self.routes.is_empty() {
            return self.routes.clone();
        }

        let mut routes = vec![
            RouteBuilder::model("drafts", DEFAULT_MODEL, DEFAULT_VERSION)
                .max_output_tokens(DEFAULT_MAX_OUTPUT_TOKENS)
                .set(DEFAULT_SET),
        ];
        if self.services > 0 {
            routes.push(RouteBuilder::service("notices", "/notices").set(SERVICE_SET));
        }
        routes
    }
}

fn setting(section: &str, key: &str, value: &str) -> Setting {
    Setting { section: section.to_owned(), key: key.to_owned(), value: value.to_owned() }
}
