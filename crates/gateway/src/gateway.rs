//! The gateway process: its listeners, its shared state and its start.

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use samphirespread_adapter::{Store, contracts};
use samphirespread_core::{
    prelude::*,
    time::{Clock, fresh_incarnation},
};
use samphirespread_daemon::BindError;
use samphirespread_fabric::Member;
use samphirespread_logging::event;
use samphirespread_routing::model::CallerLimits;
use samphirespread_settings::{GatewaySettings, Mechanism};
use slog::{Logger, info, warn};
use tokio::{
    net::{TcpListener, UdpSocket},
    sync::{Notify, watch},
};
use tokio_util::sync::CancellationToken;

use crate::{
    caller_stream::CallerTimeouts, drain::Drain, freeze_detector::FreezeDetector,
    held_memory::HeldMemory, metrics::Metrics, serve, state::State, stream_versions::Questions,
    sync,
};

/// The clock starts at this value, so that instants before the start, which other processes report,
/// can be represented.
const CLOCK_START_MS: u64 = 3_600_000;

/// An entry router, ready to serve.
#[derive(Debug)]
pub struct Gateway {
    pub(crate) core: Arc<Core>,
    callers: TcpListener,
    readiness: TcpListener,
    admin: TcpListener,
}

/// The addresses that a gateway listens on, with the ports that the kernel chose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For readiness checks.
    pub readiness: SocketAddr,
    /// For operators.
    pub admin: SocketAddr,
    /// For datagrams of other processes.
    pub peers: SocketAddr,
}

/// Changes the settings of a running gateway.
#[derive(Clone, Debug)]
pub struct SettingsHandle {
    core: Arc<Core>,
}

impl SettingsHandle {
    /// Applies the bounds, the price of traffic and the clock setting of a settings file. Addresses
    /// and names stay as they are until the next start.
    ///
    /// If the file has errors, the old settings stay in force. Either outcome is logged.
    pub fn reload(&self, text: &str) {
        match GatewaySettings::parse(text) {
            Ok(settings) => {
                let mut state = self.core.state();
                state.set_bounds(settings.bounds);
                state.domain_traffic.set(settings.traffic, &self.core.metrics.domain_traffic);
                state.wall_clock = settings.clock;
                drop(state);
                info!(self.core.log, "{}", event::SETTINGS_RELOADED;
                    "bounds" => ?settings.bounds, "traffic" => ?settings.traffic);
            }
            Err(errors) => {
                warn!(self.core.log, "{}", event::SETTINGS_REFUSED; "error" => %errors);
            }
        }
    }
}

/// The state that the tasks of a gateway share.
#[derive(Debug)]
pub(crate) struct Core {
    pub(crate) settings: GatewaySettings,
    pub(crate) addresses: Addresses,
    pub(crate) log: Logger,
    pub(crate) clock: Clock,
    pub(crate) name: InstanceName,
    /// This router's entry on the list of routers.
    pub(crate) member: Member,
    pub(crate) incarnation: Incarnation,
    pub(crate) store: Store,
    pub(crate) socket: UdpSocket,
    pub(crate) metrics: Metrics,
    /// Limits the memory for answers that are read completely.
    pub(crate) held_memory: HeldMemory,
    /// Wakes the task that sends datagrams to other processes.
    pub(crate) wake_publisher: Notify,
    /// Detects when the process was kept from running.
    pub(crate) freeze_detector: FreezeDetector,
    /// Wakes the task that keeps the lists current.
    pub(crate) wake_list_reader: Notify,
    /// Wakes the task that keeps the configuration current.
    pub(crate) wake_configuration_reader: Notify,
    /// Questions to other routers at which version of its servers' software a stream may go on.
    pub(crate) stream_questions: Questions,
    /// The drain at the end of this process.
    pub(crate) drain: Drain,
    /// The time limits on callers' connections, which each connection follows.
    pub(crate) caller_timeouts: watch::Sender<CallerTimeouts>,
    state: Mutex<State>,
}

impl Core {
    pub(crate) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn now(&self) -> MonoTime {
        self.clock.now()
    }

    /// Unix time by the wall clock, which may be wrong and may jump.
    pub(crate) fn unix_ms(&self) -> u64 {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        let shown_ms = u64::try_from(since.as_millis()).unwrap_or(u64::MAX);
        shown_ms.saturating_add_signed(self.state().wall_clock.ahead_ms)
    }
}

impl Gateway {
    /// Opens all ports.
    ///
    /// # Errors
    ///
    /// Fails if a port can't be opened.
    pub async fn bind(mut settings: GatewaySettings, log: Logger) -> Result<Self, BindError> {
        if contracts::call_for_admission(&settings.decisions.contracts) {
            settings.decisions.on.push(Mechanism::Admission);
        }
        let callers = listen(settings.listen.callers).await?;
        let readiness = listen(settings.listen.readiness).await?;
        let admin = listen(settings.listen.admin).await?;
        let address = settings.listen.peers;
        let socket =
            UdpSocket::bind(address).await.map_err(|error| BindError::at(address, &error))?;
        let addresses = Addresses {
            callers: local(&settings.listen.callers, callers.local_addr())?,
            readiness: local(&settings.listen.readiness, readiness.local_addr())?,
            admin: local(&settings.listen.admin, admin.local_addr())?,
            peers: local(&address, socket.local_addr())?,
        };
        let clock = Clock::start_at(MonoTime::from_ms(CLOCK_START_MS));
        let member = Member {
            name: InstanceName::new(&*settings.instance.name),
            failure_domain: settings.instance.failure_domain.clone(),
            capacity: settings.capacity.processor_share,
        };
        let incarnation = fresh_incarnation();
        let core = Core {
            name: member.name.clone(),
            incarnation,
            store: Store::new(settings.store.address, settings.store.timeout_ms),
            socket,
            metrics: Metrics::default(),
            held_memory: HeldMemory::new(settings.capacity.memory_mb),
            wake_publisher: Notify::new(),
            wake_list_reader: Notify::new(),
            wake_configuration_reader: Notify::new(),
            freeze_detector: FreezeDetector::default(),
            stream_questions: Questions::default(),
            drain: Drain::default(),
            caller_timeouts: watch::Sender::new(CallerTimeouts::new(&CallerLimits::default())),
            state: Mutex::new(State::new(&settings, member.clone(), incarnation, clock.now())),
            member,
            clock,
            settings,
            addresses,
            log,
        };
        Ok(Self { core: Arc::new(core), callers, readiness, admin })
    }

    /// The addresses that the gateway listens on.
    pub fn addresses(&self) -> Addresses {
        self.core.addresses
    }

    /// A handle for changing the settings while the gateway runs.
    pub fn settings_handle(&self) -> SettingsHandle {
        SettingsHandle { core: self.core.clone() }
    }

    /// Serves until `shutdown`, then drains. Returns whether the drain kept no request from an
    /// answer of a server.
    pub async fn run(self, shutdown: CancellationToken) -> bool {
        let Self { core, callers, readiness, admin } = self;
        info!(core.log, "{}", event::STARTED; "instance" => %core.name,
            "failure_domain" => &*core.settings.instance.failure_domain,
            "incarnation" => core.incarnation.0, "callers" => %core.addresses.callers);
        let stop = CancellationToken::new();
        sync::spawn(&core, &stop);
        serve::spawn_readiness(&core, readiness, &stop);
        serve::spawn_admin(&core, admin, &stop);
        let connections = serve::callers(&core, callers, shutdown).await;
        stop.cancel();
        let is_clean = core.drain.is_clean();
        let open_requests = core.drain.open_requests();
        core.drain.end(core.now()).await;
        info!(core.log, "{}", event::STOPPED; "cause" => "signal", "requests_cut" => !is_clean,
            "open_requests" => open_requests, "connections" => connections,
            "requests_not_logged" => core.drain.open_requests(),
            "at_ms" => core.drain.elapsed_ms(core.now()));
        is_clean
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, BindError> {
    TcpListener::bind(address).await.map_err(|error| BindError::at(address, &error))
}

fn local(asked: &SocketAddr, bound: io::Result<SocketAddr>) -> Result<SocketAddr, BindError> {
    bound.map_err(|error| BindError::at(*asked, &error))
}
