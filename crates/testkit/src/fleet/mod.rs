//! A running fleet.

mod settings;

use std::{
    path::{Path, PathBuf},
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

use http::Method;
use samphirespread_config::{Config, HEAD_OBJECT, Snapshot, section_hash, section_object};
use samphirespread_core::prelude::*;
use samphirespread_platform::api::{LiveInstance, LiveState, ObjectVersion, Role};
use samphirespread_standin::{
    caller::Caller, engine::Engine, link::Link, platform::Platform, service::Service,
};
use serde_json::Value;

use crate::{
    builder::{DEFAULT_SET, DEFAULT_TEAM, FleetBuilder, SERVICE_SET},
    daemon::Daemon,
};

const REGION: &str = "north";
const READY_POLL: Duration = Duration::from_millis(20);
const READY_POLLS: usize = 1_000;

static NEXT_FOLDER: AtomicU64 = AtomicU64::new(0);

/// A router.
#[derive(Debug)]
pub struct RouterNode {
    /// Its name in the live list.
    pub name: InstanceName,
    /// Its process.
    pub daemon: Daemon,
}

/// An agent with the engine that it stands beside.
#[derive(Debug)]
pub struct AgentNode {
    /// Its name in the live list.
    pub name: InstanceName,
    /// Its process.
    pub daemon: Daemon,
    /// The engine.
    pub engine: Engine,
    /// Between the routers and the agent.
    pub agent_link: Option<Link>,
    /// Between the agent and the engine.
    pub engine_link: Option<Link>,
}

/// An agent with the plain service that it stands beside.
#[derive(Debug)]
pub struct ServiceNode {
    /// Its name in the live list.
    pub name: InstanceName,
    /// Its process.
    pub daemon: Daemon,
    /// The service.
    pub service: Service,
    /// Between the routers and the agent.
    pub agent_link: Option<Link>,
    /// Between the agent and the service.
    pub service_link: Option<Link>,
}

/// A running fleet. All of it ends when dropped.
#[derive(Debug)]
pub struct Fleet {
    /// The platform.
    pub platform: Platform,
    /// The routers.
    pub routers: Vec<RouterNode>,
    /// The agents with engines.
    pub agents: Vec<AgentNode>,
    /// The agents with plain services.
    pub services: Vec<ServiceNode>,
    builder: FleetBuilder,
    config: Config,
    generation: u64,
    folder: Folder,
}

impl Fleet {
    /// Describes a fleet.
    pub fn builder() -> FleetBuilder {
        FleetBuilder::default()
    }

    pub(crate) async fn start(builder: FleetBuilder) -> Self {
        let platform = Platform::start(builder.platform.clone()).await.expect("a port is free");
        let config = builder.config();
        let folder = Folder::create();
        let (routers, agents, services) = (Vec::new(), Vec::new(), Vec::new());
        let mut fleet = Self {
            platform,
            routers,
            agents,
            services,
            builder,
            config: config.clone(),
            generation: 0,
            folder,
        };
        fleet.apply(config);
        for index in 0..fleet.builder.agents {
            fleet.add_agent(index).await;
        }
        for index in 0..fleet.builder.services {
            fleet.add_service(index).await;
        }
        for _ in 0..fleet.builder.routers {
            fleet.add_router().await;
        }
        fleet.wait_ready().await;
        fleet
    }

    /// The configuration in force.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Puts a configuration into the platform as the next generation, and returns its number.
    ///
    /// # Panics
    ///
    /// When the configuration is not valid.
    pub fn apply(&mut self, config: Config) -> Generation {
        self.generation += 1;
        let snapshot =
            Snapshot::of(&config, self.generation).expect("the test's configuration is valid");
        for (_, text) in snapshot.sections() {
            self.platform.put_object(&section_object(&section_hash(text)), text);
        }
        self.platform.put_object(HEAD_OBJECT, snapshot.head_text());
        self.config = config;
        Generation(self.generation)
    }

    /// The key of a team.
    pub fn key(&self, team: &str) -> String {
        key_of(team)
    }

    /// A caller of one router, with the key of the only or first team.
    pub fn caller(&self, router: usize) -> Caller {
        let team = self.config.teams.first().map_or(DEFAULT_TEAM, |team| team.name.as_str());
        self.caller_of(router, team)
    }

    /// A caller of one router, with the key of a team.
    pub fn caller_of(&self, router: usize, team: &str) -> Caller {
        self.anonymous(router).key(&key_of(team))
    }

    /// A caller of one router, without a key.
    pub fn anonymous(&self, router: usize) -> Caller {
        Caller::new(&self.routers[router].daemon.callers().to_string())
    }

    /// The state dump of a daemon as text.
    ///
    /// # Panics
    ///
    /// When the daemon doesn't answer.
    pub async fn dump(&self, daemon: &Daemon) -> String {
        let operator = Caller::new(&daemon.admin().to_string());
        let answer = operator.call(Method::GET, "/dump", "").await;
        answer.expect("the daemon answers").text()
    }

    /// The metrics of a daemon as text.
    ///
    /// # Panics
    ///
    /// When the daemon doesn't answer.
    pub async fn metrics(&self, daemon: &Daemon) -> String {
        let operator = Caller::new(&daemon.admin().to_string());
        let answer = operator.call(Method::GET, "/metrics", "").await;
        answer.expect("the daemon answers").text()
    }

    /// Sets a key in the settings of routers that are added from now on.
    pub fn set_router_setting(&mut self, section: &str, key: &str, value: &str) {
        self.builder = self.builder.clone().router_setting(section, key, value);
    }

    /// Withdraws all keys of a team and returns the generation that does so.
    pub fn withdraw_keys(&mut self, team: &str) -> Generation {
        let mut config = self.config.clone();
        config.keys.retain(|key| key.team.as_str() != team);
        self.apply(config)
    }

    /// Starts one more router and enters it into the live list.
    pub async fn add_router(&mut self) {
        let index = self.routers.len();
        let name = InstanceName::new(format!("r{index}"));
        let text = settings::router(&self.builder, &name, index, self.platform.address());
        let settings = self.folder.write(&name, &text);
        let environment = self.builder.router_environment.clone();
        let daemon = Daemon::start_with("samphirespread-router", &settings, environment).await;
        self.routers.push(RouterNode { name, daemon });
        self.enter_router(index);
    }

    /// Starts a killed router again. It gets new ports.
    pub async fn restart_router(&mut self, index: usize) {
        self.routers[index].daemon.restart().await;
        self.enter_router(index);
    }

    /// Starts a killed agent with an engine again. It gets new ports.
    ///
    /// # Panics
    ///
    /// When it doesn't start.
    pub async fn restart_agent(&mut self, index: usize) {
        self.agents[index].daemon.restart().await;
        let address = self.agents[index].daemon.peers();
        if self.builder.agent_links {
            let link = Link::start(address).await.expect("a port is free");
            self.agents[index].agent_link = Some(link);
        }
        self.enter_agent(index);
    }

    /// Waits until every daemon says that it is ready, and every router knows all instances and
    /// holds its shares of the teams' rates.
    ///
    /// # Panics
    ///
    /// When that doesn't happen.
    pub async fn wait_ready(&self) {
        let live = self.platform.live_list();
        for router in &self.routers {
            wait_ready(&router.daemon).await;
            wait_for_live_list(&router.daemon, live.version).await;
            wait_for_shares(&router.daemon).await;
        }
        for agent in &self.agents {
            wait_ready(&agent.daemon).await;
        }
        for service in &self.services {
            wait_ready(&service.daemon).await;
        }
    }

    async fn add_agent(&mut self, index: usize) {
        let name = InstanceName::new(format!("a{index}"));
        let engine = Engine::start(self.builder.engine.clone()).await.expect("a port is free");
        let engine_link = link_if(self.builder.engine_links, engine.address()).await;
        let backend = engine_link.as_ref().map_or(engine.address(), Link::address);
        let text = settings::agent(&self.builder, &name, index, "model", backend, DEFAULT_SET);
        let settings = self.folder.write(&name, &text);
        let daemon = Daemon::start("samphirespread-agent", &settings).await;
        let agent_link = link_if(self.builder.agent_links, daemon.peers()).await;
        self.agents.push(AgentNode { name, daemon, engine, agent_link, engine_link });
        self.enter_agent(index);
    }

    async fn add_service(&mut self, index: usize) {
        let name = InstanceName::new(format!("s{index}"));
        let service = Service::start(self.builder.service.clone()).await.expect("a port is free");
        let service_link = link_if(self.builder.engine_links, service.address()).await;
        let backend = service_link.as_ref().map_or(service.address(), Link::address);
        let text = settings::agent(&self.builder, &name, index, "service", backend, SERVICE_SET);
        let settings = self.folder.write(&name, &text);
        let daemon = Daemon::start("samphirespread-agent", &settings).await;
        let agent_link = link_if(self.builder.agent_links, daemon.peers()).await;
        let address = agent_link.as_ref().map_or(daemon.peers(), Link::address).to_string();
        let set = Some(SetName::new(SERVICE_SET));
        let instance = self.instance(&name, index, Role::Agent, address, set, &daemon);
        self.platform.put_instance(instance);
        self.services.push(ServiceNode { name, daemon, service, agent_link, service_link });
    }

    fn enter_router(&self, index: usize) {
        let router = &self.routers[index];
        let address = router.daemon.peers().to_string();
        let instance =
            self.instance(&router.name, index, Role::Router, address, None, &router.daemon);
        self.platform.put_instance(instance);
    }

    fn enter_agent(&self, index: usize) {
        let agent = &self.agents[index];
        let link = agent.agent_link.as_ref();
        let address = link.map_or(agent.daemon.peers(), Link::address).to_string();
        let set = Some(SetName::new(DEFAULT_SET));
        let instance = self.instance(&agent.name, index, Role::Agent, address, set, &agent.daemon);
        self.platform.put_instance(instance);
    }

    fn instance(
        &self,
        name: &InstanceName,
        index: usize,
        role: Role,
        address: String,
        set: Option<SetName>,
        daemon: &Daemon,
    ) -> LiveInstance {
        LiveInstance {
            name: name.clone(),
            role,
            address,
            admin: Some(daemon.admin().to_string()),
            region: REGION.to_owned(),
            failure_domain: failure_domain(index, self.builder.failure_domains),
            set,
            state: LiveState::Live,
        }
    }
}

pub(crate) fn key_of(team: &str) -> String {
    format!("key-of-team-{team}-0123456789abcdef")
}

fn failure_domain(index: usize, failure_domains: usize) -> String {
    format!("{REGION}-{}", index % failure_domains)
}

async fn link_if(wanted: bool, target: std::net::SocketAddr) -> Option<Link> {
    if !wanted {
        return None;
    }
    Some(Link::start(target).await.expect("a port is free"))
}

async fn wait_ready(daemon: &Daemon) {
    let operator = Caller::new(&daemon.admin().to_string());
    for _ in 0..READY_POLLS {
        let answer = operator.call(Method::GET, "/readyz", "").await;
        if answer.is_ok_and(|answer| answer.status.is_success()) {
            return;
        }
        tokio::time::sleep(READY_POLL).await;
    }
    panic!("a daemon doesn't get ready; its log:\n{}", daemon.log());
}

async fn wait_for_live_list(router: &Daemon, version: ObjectVersion) {
    let knows = |dump: &Value| dump["live_list_version"].as_u64() >= Some(version.0);
    wait_for_dump(router, "doesn't learn the live list", knows).await;
}

// Shares move to a router that comes; until then it borrows from those that were there.
async fn wait_for_shares(router: &Daemon) {
    let settled = |dump: &Value| {
        let slots = dump["limits"]["slots"].as_array();
        slots.is_some_and(|slots| slots.iter().all(|slot| slot["parts"].as_u64() > Some(0)))
    };
    wait_for_dump(router, "doesn't get its shares", settled).await;
}

async fn wait_for_dump(router: &Daemon, fault: &str, is_met: impl Fn(&Value) -> bool) {
    let operator = Caller::new(&router.admin().to_string());
    for _ in 0..READY_POLLS {
        let answer = operator.call(Method::GET, "/dump", "").await.expect("the daemon answers");
        let dump = serde_json::from_str(&answer.text()).expect("a dump is JSON");
        if is_met(&dump) {
            return;
        }
        tokio::time::sleep(READY_POLL).await;
    }
    panic!("a router {fault}; its log:\n{}", router.log());
}

/// A folder for settings and logs. It goes when dropped, unless the test failed.
#[derive(Debug)]
struct Folder {
    path: PathBuf,
}

impl Folder {
    fn create() -> Self {
        let number = NEXT_FOLDER.fetch_add(1, Ordering::Relaxed);
        let name = format!("samphirespread-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("the folder can be made");
        Self { path }
    }

    fn write(&self, name: &InstanceName, text: &str) -> PathBuf {
        let path: PathBuf = Path::new(&self.path).join(format!("{name}.ini"));
        std::fs::write(&path, text).expect("the file can be written");
        path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            // A folder that stays behind does no harm.
            let _ = std::fs::remove_dir_all(&self.path);
        }
    }
}
