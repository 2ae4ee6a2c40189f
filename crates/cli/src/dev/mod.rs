//! Runs a whole fleet in one process on loopback, so that operators can try it out.

use std::{io, net::SocketAddr, time::Duration};

use displaydoc::Display;
use samphirespread_agent::{Agent, AgentError};
use samphirespread_config::{
    Config, ConfigBuilder, KeyBuilder, KeyText, RouteBuilder, SetBuilder, Submission, TeamBuilder,
};
use samphirespread_core::prelude::*;
use samphirespread_platform::{
    StorePlatform,
    api::{LiveInstance, LiveState, Role},
};
use samphirespread_router::{Router, RouterError};
use samphirespread_settings::{AgentSettings, RouterSettings};
use samphirespread_standin::{
    engine::{Engine, EngineConfig},
    platform::{Platform, PlatformConfig},
};
use serde_json::{Value, json};
use slog::Logger;
use tokio::{task::JoinSet, time::sleep};
use tokio_util::sync::CancellationToken;

use crate::{
    http,
    submit::{RetryPolicy, SubmitError, submit},
};

const AGENTS: usize = 2;
const REGION: &str = "local";
const TEAM: &str = "desk";
const KEY_ID: &str = "desk-1";
const MODEL: &str = "ledger";
const VERSION: &str = "v1";
const SET: &str = "drafting";
const BLOCK_BYTES: u32 = 8_192;
const RATE_TOKENS_PER_S: u64 = 100_000;
const BURST_TOKENS: u64 = 1_000_000;
const DRAIN_TIMEOUT_MS: u64 = 5_000;
const APPLY_TIMEOUT_MS: u64 = 10_000;
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);
const MAX_READY_POLLS: usize = 500;
const CALL_TIMEOUT_MS: u64 = 1_000;

/// Reason why the fleet could not be started.
#[derive(Debug, Display)]
#[non_exhaustive]
pub enum DevError {
    /// a stand-in can't start: {0}
    StandIn(io::Error),
    /// the router can't start: {0}
    Router(RouterError),
    /// an agent can't start: {0}
    Agent(AgentError),
    /// the configuration can't be applied: {0}
    Submit(SubmitError),
    /// the router serves no request after {wait_ms} ms
    NotReady {
        /// How long the fleet waited for the router.
        wait_ms: u128,
    },
}

impl std::error::Error for DevError {}

/// A platform, engines, agents and a router that run as tasks until this value is dropped.
pub struct DevFleet {
    platform: Platform,
    engines: Vec<Engine>,
    callers: SocketAddr,
    admin: SocketAddr,
    key: KeyText,
    shutdown: CancellationToken,
    tasks: JoinSet<()>,
}

impl DevFleet {
    /// Starts everything and waits until a request can be served. Port 0 lets the kernel choose.
    ///
    /// # Errors
    ///
    /// See [`DevError`].
    pub async fn start(port: u16, log: &Logger) -> Result<Self, DevError> {
        let platform = Platform::start(PlatformConfig::new()).await.map_err(DevError::StandIn)?;
        let key = KeyText::generate(&mut rand::rng());
        let secret = KeyText::generate(&mut rand::rng());
        configure(&platform, &key).await?;
        let shutdown = CancellationToken::new();
        let mut tasks = JoinSet::new();
        let mut engines = Vec::new();
        for index in 0..AGENTS {
            let engine = EngineConfig::new(MODEL, VERSION);
            let engine = Engine::start(engine).await.map_err(DevError::StandIn)?;
            let settings = agent_settings(index, engine.address(), &secret);
            let agent = Agent::bind(settings, log.clone()).await.map_err(DevError::Agent)?;
            platform.put_instance(agent_instance(index, &agent));
            let token = shutdown.clone();
            tasks.spawn(async move {
                // The agent itself logs a drain that interrupts attempts.
                let _ = agent.run(token).await;
            });
            engines.push(engine);
        }
        let settings = router_settings(port, platform.address(), &secret);
        let router = Router::bind(settings, log.clone()).await.map_err(DevError::Router)?;
        let addresses = router.addresses();
        let (peers, admin) = (addresses.peers.to_string(), Some(addresses.admin.to_string()));
        platform.put_instance(instance("router-0", Role::Router, peers, admin, None));
        let token = shutdown.clone();
        tasks.spawn(async move {
            router.run(token).await;
        });
        wait_until_ready(addresses.admin).await?;
        wait_until_served(addresses.callers, &key).await?;
        Ok(Self {
            platform,
            engines,
            callers: addresses.callers,
            admin: addresses.admin,
            key,
            shutdown,
            tasks,
        })
    }

    /// Returns the address that callers connect to.
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Returns the key of the sample team.
    pub fn key(&self) -> &KeyText {
        &self.key
    }

    /// Returns example commands that send requests and show the state of the fleet.
    pub fn greeting(&self) -> String {
        let engines: Vec<String> =
            self.engines.iter().map(|engine| engine.address().to_string()).collect();
        format!(
            "curl -N http://{callers}/v1/chat/completions -H 'Authorization: Bearer {key}' \
             -H 'Content-Type: application/json' -d '{{\"model\":\"{MODEL}\",\"stream\":true,\
             \"max_tokens\":16,\"messages\":[{{\"role\":\"user\",\"content\":\"Dear Sir\"}}]}}'\n\
             samphirespread status --platform {platform}\n\
             samphirespread dump --admin {admin}\n\
             samphirespread bench --router {callers} --direct {engine} --team {TEAM}={key}\n",
            callers = self.callers,
            key = self.key.expose(),
            platform = self.platform.address(),
            admin = self.admin,
            engine = engines[0],
        )
    }

    /// Drains the router and the agents, then stops the fleet.
    pub async fn stop(mut self) {
        self.shutdown.cancel();
        while self.tasks.join_next().await.is_some() {}
    }
}

async fn configure(platform: &Platform, key: &KeyText) -> Result<(), DevError> {
    let client = StorePlatform::new(platform.address(), CALL_TIMEOUT_MS);
    let submission = Submission::new("dev", config(key).documents());
    let policy = RetryPolicy::new(APPLY_TIMEOUT_MS);
    submit(&client, submission, policy).await.map(drop).map_err(DevError::Submit)
}

fn config(key: &KeyText) -> Config {
    let team = TeamBuilder::new(TEAM).rate_tokens_per_s(RATE_TOKENS_PER_S);
    ConfigBuilder::new()
        .team(team.burst_tokens(BURST_TOKENS))
        .key(KeyBuilder::from_text(KEY_ID, TEAM, key.expose()))
        .set(SetBuilder::new(SET).block_bytes(BLOCK_BYTES))
        .route(RouteBuilder::model("drafts", MODEL, VERSION).set(SET))
        .build()
        .expect("the sample configuration is valid")
}

fn common_settings(name: &str, secret: &KeyText) -> String {
    format!(
        "[instance]\nname = {name}\nregion = {REGION}\nfailure_domain = {REGION}-1\n\
         [security]\npeer_secret = {}\n[log]\nformat = terminal\nlevel = warning\n\
         [drain]\ntimeout_ms = {DRAIN_TIMEOUT_MS}\n",
        secret.expose()
    )
}

fn router_settings(port: u16, platform: SocketAddr, secret: &KeyText) -> RouterSettings {
    let common = common_settings("router-0", secret);
    let text = format!(
        "{common}[listen]\ncallers = 127.0.0.1:{port}\npeers = 127.0.0.1:0\nadmin = 127.0.0.1:0\n\
         [platform]\naddress = {platform}\npoll_ms = 100\n"
    );
    RouterSettings::parse(&text).expect("the settings are valid")
}

fn agent_settings(index: usize, engine: SocketAddr, secret: &KeyText) -> AgentSettings {
    let common = common_settings(&agent_name(index), secret);
    let text = format!(
        "{common}[listen]\npeers = 127.0.0.1:0\nadmin = 127.0.0.1:0\n\
         [backend]\nkind = model\naddress = {engine}\nset = {SET}\n"
    );
    AgentSettings::parse(&text).expect("the settings are valid")
}

fn agent_name(index: usize) -> String {
    format!("agent-{index}")
}

fn agent_instance(index: usize, agent: &Agent) -> LiveInstance {
    let address = agent.peers_address().to_string();
    let admin = Some(agent.admin_address().to_string());
    instance(&agent_name(index), Role::Agent, address, admin, Some(SetName::new(SET)))
}

fn instance(
    name: &str,
    role: Role,
    address: String,
    admin: Option<String>,
    set: Option<SetName>,
) -> LiveInstance {
    LiveInstance {
        name: InstanceName::new(name),
        role,
        address,
        admin,
        region: REGION.to_owned(),
        failure_domain: format!("{REGION}-1"),
        set,
        state: LiveState::Live,
    }
}

/// Waits until a request succeeds. A new router has no share of a team's rate at first.
async fn wait_until_served(callers: SocketAddr, key: &KeyText) -> Result<(), DevError> {
    let request = json!({ "model": MODEL, "prompt": "Dear Sir", "max_tokens": 1 });
    let body = request.to_string();
    for _ in 0..MAX_READY_POLLS {
        let path = "/v1/completions";
        if http::post(callers, path, key.expose(), &body, CALL_TIMEOUT_MS).await.is_ok() {
            return Ok(());
        }
        sleep(READY_POLL_INTERVAL).await;
    }
    Err(not_ready_error())
}

fn not_ready_error() -> DevError {
    DevError::NotReady { wait_ms: READY_POLL_INTERVAL.as_millis() * MAX_READY_POLLS as u128 }
}

/// Waits until the router has the configuration and knows every instance.
async fn wait_until_ready(admin: SocketAddr) -> Result<(), DevError> {
    for _ in 0..MAX_READY_POLLS {
        if let Ok(dump) = http::dump(admin, CALL_TIMEOUT_MS).await {
            let number = |field: &str| dump.get(field).and_then(Value::as_u64).unwrap_or(0);
            if number("generation") > 0 && number("instances") > AGENTS as u64 {
                return Ok(());
            }
        }
        sleep(READY_POLL_INTERVAL).await;
    }
    Err(not_ready_error())
}
