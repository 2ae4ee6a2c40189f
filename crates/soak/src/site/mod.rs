//! The real programs as processes, beside stand-ins of everything around them.

mod documents;
mod faults;
mod foreign;
mod process;
mod rollout;

use std::{
    collections::{BTreeMap, VecDeque},
    io,
    net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket},
    path::{Path as FilePath, PathBuf},
    sync::atomic::{AtomicU32, Ordering},
    time::{Duration, Instant},
};

use rand::{SeedableRng, rngs::SmallRng};
use samphirespread_adapter::Kind;
use samphirespread_standin::{
    link::Link,
    published::{self, Copies, ObjectStore, Pace, Received, StoreSnapshot, Worker, WorkerConfig},
};

pub(crate) use self::documents::{HOST, MODEL};
use self::{
    documents::{
        ConfigurationFacts, DESK, ENGINES, GatewayFacts, SECOND_DESK, configuration,
        gateway_settings, sidecar_settings,
    },
    process::Program,
    rollout::{NEW_VERSION, Rollout},
};
use crate::{
    caller::body_of,
    checker::Bounds,
    history::{Arrival, Change, Changed, Disturbance, History, Order, Run, RunMs, Victim, Work},
    plan::{Plan, Process},
};

/// The name of the configuration in the store.
const CONFIGURATION: &str = samphirespread_adapter::objects::CONFIGURATION_NAME;
/// Hosts of one kind that an address block of this form has room for.
const MAX_HOSTS: usize = 250;
/// How long a start takes at the most, for those who judge what a start explains.
const START_MS: u64 = 1_500;
/// A sidecar that was asked to leave is killed after this, as the platform does.
const SIDECAR_GRACE_MS: u64 = 9_000;

/// Everything that a run consists of, but for its callers.
#[derive(Debug)]
pub(crate) struct Site {
    began: Instant,
    bounds: Bounds,
    random: SmallRng,
    store: ObjectStore,
    /// Copies that the store will come back from, oldest first.
    store_copies: VecDeque<StoreSnapshot>,
    servers: Vec<Server>,
    gateways: Vec<Gateway>,
    sidecars: Vec<Managed>,
    configuration: ConfigurationFacts,
    grace_ms: u64,
    version: u64,
    changes: Vec<Change>,
    disturbances: Vec<Disturbance>,
    planned: Vec<Work>,
    peak_memory_bytes: BTreeMap<String, u64>,
    rollout: Option<Rollout>,
    /// Programs that ended without having been told to.
    pub(crate) ended_by_themselves: Vec<String>,
}

#[derive(Debug)]
struct Server {
    worker: Worker,
    link: Link,
    is_engine: bool,
    /// The name of its service.
    service: &'static str,
    /// Whether it has stopped for good, as another version has taken its place.
    is_stopped: bool,
}

#[derive(Debug)]
struct Gateway {
    facts: GatewayFacts,
    callers: Link,
    store: Link,
    program: Managed,
}

/// A program, and what it was last told.
#[derive(Debug)]
struct Managed {
    name: String,
    program: Program,
    /// When it was asked to leave, if it was.
    leaving_since_ms: Option<RunMs>,
    /// Whether it was killed.
    is_killed: bool,
    /// It is not started again before this.
    down_until_ms: RunMs,
}

impl Managed {
    fn new(binary: PathBuf, directory: &FilePath, name: String) -> Self {
        let program = Program::new(binary, directory, &name);
        Self { name, program, leaving_since_ms: None, is_killed: false, down_until_ms: 0 }
    }

    fn start(&mut self) -> io::Result<()> {
        self.leaving_since_ms = None;
        self.is_killed = false;
        self.program.start()
    }
}

/// Loopback addresses of this run, apart from those of others on the machine.
#[derive(Clone, Copy, Debug)]
struct Block(u8);

impl Block {
    /// The next one of this process, as several runs may go on at once.
    fn next() -> Self {
        static RUNS: AtomicU32 = AtomicU32::new(0);
        let run = RUNS.fetch_add(1, Ordering::Relaxed);
        let id = (std::process::id() % 200 + run * 67) % 200;
        Self(u8::try_from(id).unwrap_or_default() + 20)
    }

    fn host(self, kind: u8, index: usize) -> Ipv4Addr {
        let host = u8::try_from(index % MAX_HOSTS).unwrap_or_default() + 1;
        Ipv4Addr::new(127, self.0, kind, host)
    }
}

/// How long servers work on a request besides, so that faults meet some that run.
const WORK_MS: u64 = 12;
/// Time before each event of a stream.
const EVENT_MS: u64 = 20;
/// Time that an engine loads weights, once its runs have ended.
const LOAD_MS: u64 = 700;
/// Time of a call that copies a run's memory.
const COPY_MS: u64 = 20;
/// Servers of a new version, in runs with one.
const NEW_SERVERS: usize = 3;
const GATEWAY_HOSTS: u8 = 1;
const SERVER_HOSTS: u8 = 2;

impl Site {
    /// Starts everything.
    ///
    /// # Errors
    ///
    /// When a port can't be had or a program can't be started.
    pub(crate) async fn start(
        plan: &Plan,
        bounds: Bounds,
        binaries: &FilePath,
        directory: &FilePath,
    ) -> io::Result<Self> {
        let block = Block::next();
        let store = ObjectStore::start()?;
        let servers = start_servers(plan, block).await?;
        let peers_port = free_udp_port(block)?;
        let mut gateways = Vec::new();
        for index in 0..plan.gateways {
            let ip = block.host(GATEWAY_HOSTS, index);
            let binary = binaries.join("samphirespread-gateway");
            let managed = Managed::new(binary, directory, format!("g{index}"));
            let slack = bounds.retry_slack;
            let gateway = gateway(index, ip, peers_port, &store, managed, plan.grace_s, slack);
            gateways.push(gateway.await?);
        }
        let mut site = Self {
            began: Instant::now(),
            bounds,
            random: SmallRng::seed_from_u64(plan.seed),
            store,
            store_copies: VecDeque::new(),
            servers,
            gateways,
            sidecars: Vec::new(),
            configuration: ConfigurationFacts::new(&bounds),
            grace_ms: plan.grace_s * 1_000,
            version: 1,
            changes: Vec::new(),
            disturbances: Vec::new(),
            planned: Vec::new(),
            peak_memory_bytes: BTreeMap::new(),
            rollout: None,
            ended_by_themselves: Vec::new(),
        };
        site.write_configuration();
        site.name_weights();
        for index in 0..plan.servers() {
            site.write_entry(index, "ready");
        }
        site.start_sidecars(binaries, directory, peers_port)?;
        for gateway in &mut site.gateways {
            gateway.facts.admission = plan.admission;
            let settings = gateway_settings(&gateway.facts, &bounds);
            gateway.program.program.configure(&settings)?;
            gateway.program.start()?;
        }
        for index in 0..site.gateways.len() {
            let now_ms = site.now_ms();
            site.disturb(Victim::Gateway(index), 0, now_ms + START_MS);
        }
        Ok(site)
    }

    fn start_sidecars(
        &mut self,
        binaries: &FilePath,
        directory: &FilePath,
        peers_port: u16,
    ) -> io::Result<()> {
        for (index, server) in
            self.servers.iter().enumerate().filter(|(_, server)| server.is_engine)
        {
            let engine = server.link.address();
            let peers = SocketAddr::new(engine.ip(), peers_port);
            let admin = free_address(engine.ip())?;
            let binary = binaries.join("samphirespread-sidecar");
            let mut sidecar = Managed::new(binary, directory, format!("s{index}"));
            sidecar.program.configure(&sidecar_settings(index, peers, admin, engine))?;
            sidecar.start()?;
            self.sidecars.push(sidecar);
        }
        Ok(())
    }

    /// Where callers connect, gateway by gateway.
    pub(crate) fn callers(&self) -> Vec<SocketAddr> {
        self.gateways.iter().map(|gateway| gateway.callers.address()).collect()
    }

    /// Where gateways listen, gateway by gateway.
    pub(crate) fn own_addresses(&self) -> Vec<SocketAddr> {
        self.gateways.iter().map(|gateway| gateway.facts.callers).collect()
    }

    /// When the run began.
    pub(crate) fn began(&self) -> Instant {
        self.began
    }

    pub(crate) fn now_ms(&self) -> RunMs {
        u64::try_from(self.began.elapsed().as_millis()).unwrap_or(RunMs::MAX)
    }

    /// Starts programs again that have ended, and ends those that were asked to leave too long ago.
    ///
    /// # Errors
    ///
    /// When a program can't be started.
    pub(crate) fn look_after_programs(&mut self) -> io::Result<()> {
        let now_ms = self.now_ms();
        let mut down = Vec::new();
        let gateways = self.gateways.iter_mut().map(|gateway| &mut gateway.program);
        let all = gateways.enumerate().map(|(index, program)| (Process::Gateway(index), program));
        let sidecars = self.sidecars.iter_mut().enumerate();
        let all = all.chain(sidecars.map(|(index, program)| (Process::Sidecar(index), program)));
        for (process, managed) in all {
            if managed.program.has_ended() {
                if managed.leaving_since_ms.is_none() && !managed.is_killed {
                    self.ended_by_themselves.push(managed.name.clone());
                }
                let is_planned = managed.leaving_since_ms.is_some() && !managed.is_killed;
                down.push((process, managed.leaving_since_ms, is_planned));
            }
            if !managed.program.is_running() && now_ms >= managed.down_until_ms {
                managed.start()?;
            }
            let grace_ms = match process {
                Process::Gateway(_) => self.grace_ms,
                Process::Sidecar(_) => SIDECAR_GRACE_MS,
            };
            let overstays = |since_ms: &RunMs| now_ms > since_ms + grace_ms;
            if managed.leaving_since_ms.as_ref().is_some_and(overstays) {
                managed.program.signal(rustix::process::Signal::KILL);
            }
        }
        for (process, leaving_since_ms, is_planned) in down {
            self.note_end(process, leaving_since_ms, is_planned, now_ms);
        }
        Ok(())
    }

    /// Notes how much memory the gateways have had.
    pub(crate) fn look_at_memory(&mut self) {
        for Managed { name, program, .. } in self.gateways.iter().map(|gateway| &gateway.program) {
            let Some(bytes) = program.peak_memory_bytes() else { continue };
            let peak = self.peak_memory_bytes.entry(name.clone()).or_default();
            *peak = bytes.max(*peak);
        }
    }

    fn note_end(
        &mut self,
        process: Process,
        leaving_since_ms: Option<RunMs>,
        is_planned: bool,
        now_ms: RunMs,
    ) {
        let Process::Gateway(index) = process else { return };
        let until_ms = now_ms.max(self.gateways[index].program.down_until_ms) + START_MS;
        let from_ms = now_ms.saturating_sub(100);
        let victim = Victim::Gateway(index);
        self.disturbances.push(Disturbance { victim, from_ms, until_ms, is_planned });
        if let Some(from_ms) = leaving_since_ms {
            let victim = Victim::Leaving(index);
            let until_ms = now_ms;
            self.disturbances.push(Disturbance { victim, from_ms, until_ms, is_planned: true });
        }
    }

    fn disturb(&mut self, victim: Victim, from_ms: RunMs, until_ms: RunMs) {
        self.disturbances.push(Disturbance { victim, from_ms, until_ms, is_planned: false });
    }

    fn change(&mut self, what: Changed) {
        let at_ms = self.now_ms();
        self.changes.push(Change { at_ms, what });
    }

    fn write_configuration(&mut self) {
        let sent_ms = self.now_ms();
        let configuration = configuration(&self.configuration, &self.bounds);
        self.store.put(Kind::Configuration.name(), CONFIGURATION, configuration);
        self.planned.push(Work::Configuration { sent_ms, confirmed_ms: self.now_ms() });
        self.change(Changed::StreamTimeout(self.configuration.stream_timeout_ms));
    }

    /// Writes the next configuration.
    fn reconfigure(&mut self) {
        self.configuration.generation += 1;
        self.write_configuration();
    }

    fn name_weights(&mut self) {
        let named = published::documents::weights(MODEL, self.version);
        self.store.put(Kind::Weights.name(), MODEL, named);
        self.change(Changed::Weights(self.version));
    }

    fn write_entry(&mut self, index: usize, state: &str) {
        let server = &self.servers[index];
        let entry = server.worker.entry_at(server.link.address(), state);
        self.store.put(Kind::BackendServers.name(), server.worker.id(), entry);
    }

    /// Whether all engines hold the newest weights.
    pub(crate) fn is_rolled_out(&self) -> bool {
        let mut engines = self.servers.iter().filter(|server| server.is_engine);
        engines.all(|server| server.worker.version() == self.version)
    }

    /// What was seen, but for the callers' side.
    pub(crate) fn history(&self, calm_from_ms: RunMs) -> History {
        let mut history = History {
            changes: self.changes.clone(),
            disturbances: self.disturbances.clone(),
            planned: self.planned.clone(),
            peak_memory_bytes: self.peak_memory_bytes.clone(),
            rollouts: self.seen_rollout().into_iter().collect(),
            calm_from_ms,
            ..History::default()
        };
        for server in &self.servers {
            let worker = &server.worker;
            let received = worker.received();
            let ids = received.iter().map(|received| received.request_id().to_owned());
            history.passed_on.extend(ids);
            history.arrivals.extend(received.iter().map(|received| Arrival {
                request: received.request_id().to_owned(),
                service: server.service,
                at_ms: run_ms(self.began, received.at),
            }));
            let ran = received.iter().filter(|received| received.ran);
            history.runs.extend(ran.map(|received| run(self.began, server, received)));
            if server.is_engine {
                history.versions_at_end.insert(worker.id().to_owned(), worker.version());
                history.orders.extend(worker.ordered().into_iter().map(|ordered| Order {
                    engine: worker.id().to_owned(),
                    holder: ordered.holder,
                    version: ordered.version,
                    accepted: ordered.accepted,
                }));
            }
        }
        history
    }
}

async fn start_servers(plan: &Plan, block: Block) -> io::Result<Vec<Server>> {
    let mut servers = Vec::new();
    let copies = Copies::default();
    for index in 0..plan.servers() {
        let is_engine = index < plan.engines;
        let is_second = plan.desks > 1 && index + 1 == plan.servers();
        let service = match (is_engine, is_second) {
            (true, _) => ENGINES,
            (false, true) => SECOND_DESK,
            (false, false) => DESK,
        };
        let config = if is_engine {
            WorkerConfig::new(&format!("e{index}"), service)
                .model(MODEL, 1)
                .software(software_of(plan, index))
        } else {
            WorkerConfig::new(&format!("d{index}"), service)
        };
        let config = config.failure_domain(&format!("zone-{}", index % 3)).work_ms(WORK_MS);
        let pace =
            Pace { event_ms: EVENT_MS, load_ms: LOAD_MS, copy_ms: COPY_MS, copies: copies.clone() };
        let worker = Worker::start(config.pace(pace))?;
        let link = Link::start_at(block.host(SERVER_HOSTS, index), worker.address()).await?;
        servers.push(Server { worker, link, is_engine, service, is_stopped: false });
    }
    let new = if plan.has_rollout() { NEW_SERVERS } else { 0 };
    for index in plan.servers()..plan.servers() + new {
        let config = WorkerConfig::new(&format!("n{index}"), DESK).software(NEW_VERSION);
        let config = config.failure_domain(&format!("zone-{}", index % 3)).work_ms(WORK_MS);
        let worker = Worker::start(config)?;
        let link = Link::start_at(block.host(SERVER_HOSTS, index), worker.address()).await?;
        let (is_engine, service) = (false, DESK);
        servers.push(Server { worker, link, is_engine, service, is_stopped: false });
    }
    Ok(servers)
}

/// The version of an engine's software. In larger runs there are two, with two engines each at least.
fn software_of(plan: &Plan, engine: usize) -> &'static str {
    if plan.engines >= 4 && engine % 2 == 1 { "v2" } else { "v1" }
}

async fn gateway(
    index: usize,
    ip: Ipv4Addr,
    peers_port: u16,
    store: &ObjectStore,
    program: Managed,
    grace_s: u64,
    retry_slack: u64,
) -> io::Result<Gateway> {
    let store = Link::start(store.address()).await?;
    let facts = GatewayFacts {
        index,
        callers: free_address(ip.into())?,
        readiness: free_address(ip.into())?,
        peers: SocketAddr::from((ip, peers_port)),
        admin: free_address(ip.into())?,
        store: store.address(),
        retry_slack,
        clock_ahead_ms: 0,
        grace_s,
        admission: false,
    };
    let callers = Link::start(facts.callers).await?;
    Ok(Gateway { facts, callers, store, program })
}

/// A port that is free on a loopback address of this run alone.
fn free_address(ip: std::net::IpAddr) -> io::Result<SocketAddr> {
    TcpListener::bind(SocketAddr::new(ip, 0))?.local_addr()
}

fn free_udp_port(block: Block) -> io::Result<u16> {
    let socket = UdpSocket::bind(SocketAddr::from((block.host(GATEWAY_HOSTS, 0), 0)))?;
    Ok(socket.local_addr()?.port())
}

fn run_ms(began: Instant, at: Instant) -> RunMs {
    let since = at.checked_duration_since(began).unwrap_or(Duration::ZERO);
    u64::try_from(since.as_millis()).unwrap_or(RunMs::MAX)
}

fn run(began: Instant, server: &Server, received: &Received) -> Run {
    let id = received.request_id().to_owned();
    let has_key = received
        .headers
        .values()
        .any(|value| value.to_str().is_ok_and(|text| text.contains("key-of-")));
    let is_whole = received.body == body_of(&id) && received.uri.path().ends_with(&id);
    Run {
        server: server.worker.id().to_owned(),
        by_engine: server.is_engine,
        at_ms: run_ms(began, received.at),
        began_ms: received.began.map(|at| run_ms(began, at)),
        ended: received.ended.map(|(at, end)| (run_ms(began, at), end)),
        continues: received.continues(),
        after_event: received.header("last-event-id").parse().unwrap_or(0),
        software: server.worker.software().to_owned(),
        team: received.team().to_owned(),
        salt: received.cache_salt().to_owned(),
        version: received.expected_version().unwrap_or(0),
        is_untouched: is_whole && !has_key,
        request: id,
    }
}
