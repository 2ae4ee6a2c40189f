//! The sidecar's two tasks: one speaks with routers, one with the engine.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use samphirespread_adapter::{
    EngineClient,
    engine::{LoadOrder, OrderAnswer, Report},
};
use samphirespread_core::{
    prelude::*,
    time::{Clock, fresh_incarnation},
};
use samphirespread_daemon::BindError;
use samphirespread_logging::event;
use samphirespread_peer::{
    Datagram, EngineReport, LoadDirective, MAX_DATAGRAM_BYTES, decode, encode,
};
use samphirespread_routing::{
    lease::{Orderer, fencing_token},
    model::EngineState,
};
use samphirespread_settings::SidecarSettings;
use slog::{Logger, info, warn};
use tokio::{
    net::{TcpListener, UdpSocket},
    sync::Notify,
    time,
};
use tokio_util::sync::CancellationToken;

use crate::{
    metrics::{Dump, Metrics, routes},
    routers::Routers,
};

/// Time between two reads of the report while the engine loads.
const LOADING_REPORT_MS: u64 = 20;
/// Time between two reports to routers when nothing but the load changes.
const PUSH_MS: u64 = 200;
/// Reads in a row that fail before the engine counts as gone.
const FAILURES_UNTIL_GONE: u32 = 2;

/// The sidecar of one engine, with its ports open.
#[derive(Debug)]
pub struct BoundSidecar {
    sidecar: Sidecar,
    admin: TcpListener,
}

/// The sidecar of one engine.
#[derive(Debug)]
pub struct Sidecar {
    settings: SidecarSettings,
    log: Logger,
    clock: Clock,
    incarnation: Incarnation,
    socket: UdpSocket,
    admin: SocketAddr,
    metrics: Metrics,
    shared: Mutex<Shared>,
    work: Notify,
}

impl BoundSidecar {
    /// Where routers reach it, with the port that the kernel chose.
    ///
    /// # Panics
    ///
    /// Never: a bound socket has an address.
    pub fn peers_address(&self) -> SocketAddr {
        self.sidecar.socket.local_addr().expect("the socket is bound")
    }

    /// Where operators read metrics and state.
    pub fn admin_address(&self) -> SocketAddr {
        self.sidecar.admin
    }

    /// Runs until `shutdown`.
    pub async fn run(self, shutdown: CancellationToken) {
        let Self { sidecar, admin } = self;
        info!(sidecar.log, "{}", event::STARTED; "instance" => &*sidecar.settings.instance.name,
            "engine" => %sidecar.settings.engine.address, "incarnation" => sidecar.incarnation.0);
        let sidecar = Arc::new(sidecar);
        let serving = axum::serve(admin, routes(sidecar.clone()));
        tokio::select! {
            () = sidecar.receive() => {}
            () = sidecar.follow_engine() => {}
            ended = serving => {
                if let Err(error) = ended {
                    warn!(sidecar.log, "{}", event::CONNECTION_NOT_ACCEPTED; "error" => %error);
                }
            }
            () = shutdown.cancelled() => {}
        }
        info!(sidecar.log, "{}", event::STOPPED; "cause" => "signal");
    }
}

impl Dump for Sidecar {
    fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    fn dump(&self) -> String {
        let shared = self.lock();
        let now = self.clock.now();
        let wanted = shared.routers.wanted(now).map(|(load, _)| load.version);
        let dump = serde_json::json!({
            "instance": &*self.settings.instance.name,
            "incarnation": self.incarnation.0,
            "engine": shared.state,
            "reports_sent": shared.sequence,
            "routers": shared.routers.addresses(),
            "wanted_version": wanted,
        });
        dump.to_string()
    }
}

#[derive(Debug, Default)]
struct Shared {
    routers: Routers,
    state: Option<EngineState>,
    sequence: u64,
}

impl Sidecar {
    /// Opens the ports for routers and operators.
    ///
    /// # Errors
    ///
    /// When a port can't be opened.
    pub async fn bind(settings: SidecarSettings, log: Logger) -> Result<BoundSidecar, BindError> {
        let address = settings.listen.peers;
        let socket =
            UdpSocket::bind(address).await.map_err(|error| BindError::at(address, &error))?;
        let address = settings.listen.admin;
        let admin =
            TcpListener::bind(address).await.map_err(|error| BindError::at(address, &error))?;
        let sidecar = Self {
            settings,
            log,
            clock: Clock::start(),
            incarnation: fresh_incarnation(),
            socket,
            admin: admin.local_addr().map_err(|error| BindError::at(address, &error))?,
            metrics: Metrics::default(),
            shared: Mutex::default(),
            work: Notify::new(),
        };
        Ok(BoundSidecar { sidecar, admin })
    }

    /// Takes in what routers say.
    async fn receive(&self) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let (length, from) = match self.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(error) => {
                    warn!(self.log, "{}", event::RECEIVING_FAILED; "error" => %error);
                    time::sleep(Duration::from_millis(PUSH_MS)).await;
                    continue;
                }
            };
            match decode(&buffer[..length]) {
                Ok(Datagram::Directive(directive)) => {
                    let heard = self.lock().routers.directed(from, directive, self.clock.now());
                    self.metrics.routers.set(heard.routers);
                    if heard.is_new {
                        info!(self.log, "{}", event::ROUTER_HEARD; "address" => %from);
                        self.push(&[from]).await;
                    }
                    if heard.has_work {
                        self.work.notify_one();
                    }
                }
                Ok(_) => warn!(self.log, "{}", event::DATAGRAM_MISPLACED; "from" => %from),
                Err(error) => {
                    warn!(self.log, "{}", event::DATAGRAM_LEFT_OUT; "from" => %from, "error" => %error);
                }
            }
        }
    }

    /// Reads the engine's report, tells routers, and gives orders.
    async fn follow_engine(&self) {
        let mut engine =
            EngineClient::new(self.settings.engine.address, self.settings.engine.timeout_ms);
        let mut failures = 0;
        let mut pushed = self.clock.now();
        loop {
            let asked = time::Instant::now();
            let report = engine.report().await;
            let outcome = if report.is_ok() { "read" } else { "failed" };
            self.metrics.report_read(outcome, asked.elapsed());
            failures = if report.is_ok() { 0 } else { failures + 1 };
            let state = match &report {
                Ok(report) => Some(report.state.clone()),
                Err(error) if failures >= FAILURES_UNTIL_GONE => {
                    if self.lock().state.is_some() {
                        warn!(self.log, "{}", event::ENGINE_LOST; "error" => %error, "failures" => failures);
                    }
                    None
                }
                Err(_) => self.lock().state.clone(),
            };
            let is_due = self.clock.now().ms_since(pushed) >= PUSH_MS;
            if self.replace(state) || is_due {
                pushed = self.clock.now();
                self.push_all().await;
            }
            if let Ok(report) = &report {
                self.load_if_wanted(&mut engine, report).await;
            }
            self.rest().await;
        }
    }

    async fn rest(&self) {
        let is_loading = self.lock().state.as_ref().is_some_and(|state| state.is_loading);
        let rest_ms = if is_loading { LOADING_REPORT_MS } else { self.settings.engine.report_ms };
        let rest = time::sleep(Duration::from_millis(rest_ms));
        tokio::select! {
            () = rest => {}
            () = self.work.notified() => {}
        }
    }

    /// Orders the engine to load what routers want, unless it holds or does that already.
    async fn load_if_wanted(&self, engine: &mut EngineClient, report: &Report) {
        let wanted = {
            let shared = self.lock();
            shared
                .routers
                .wanted(self.clock.now())
                .map(|(load, server_id)| (load.clone(), server_id.to_owned()))
        };
        let Some((load, server_id)) = wanted else { return };
        if report.state.is_loading || !report.state.is_older(&load.model, load.version) {
            return;
        }
        self.mark_loading();
        self.push_all().await;
        self.order(engine, report, &load, &server_id).await;
    }

    async fn order(
        &self,
        engine: &mut EngineClient,
        report: &Report,
        load: &LoadDirective,
        server_id: &str,
    ) {
        // Versions only rise, and only this process orders this engine while it is there, so version and epoch
        // make a fencing token that survives restarts without being stored here.
        let order = LoadOrder {
            model: &load.model,
            version: load.version,
            holder: &self.settings.instance.name,
            fencing_token: fencing_token(load.epoch, Orderer::Sidecar, load.version),
            after_orders: report.orders_accepted,
        };
        let answered = engine.order(server_id, &order).await;
        self.metrics.ordered(match &answered {
            Ok(OrderAnswer::Accepted) => "accepted",
            Ok(OrderAnswer::AlreadyHolds) => "already_holds",
            Ok(_) => "refused",
            Err(_) => "unanswered",
        });
        match answered {
            Ok(answer @ (OrderAnswer::Accepted | OrderAnswer::AlreadyHolds)) => {
                info!(self.log, "{}", event::ORDER_GIVEN; "model" => %load.model, "version" => load.version,
                    "after_orders" => report.orders_accepted, "answer" => ?answer);
            }
            Ok(answer) => {
                warn!(self.log, "{}", event::ORDER_REFUSED; "model" => %load.model, "version" => load.version,
                    "after_orders" => report.orders_accepted, "answer" => ?answer);
            }
            Err(error) => {
                warn!(self.log, "{}", event::ORDER_UNANSWERED; "model" => %load.model,
                    "version" => load.version, "after_orders" => report.orders_accepted,
                    "error" => %error);
            }
        }
    }

    fn mark_loading(&self) {
        if let Some(state) = &mut self.lock().state {
            state.is_loading = true;
        }
    }

    /// Takes over a new state. Returns whether routers should hear of it at once.
    fn replace(&self, state: Option<EngineState>) -> bool {
        let mut shared = self.lock();
        let is_news = match (&shared.state, &state) {
            (Some(old), Some(new)) => {
                old.models != new.models
                    || old.is_loading != new.is_loading
                    || old.started_unix_ms != new.started_unix_ms
            }
            (None, None) => false,
            _ => true,
        };
        if is_news {
            info!(self.log, "{}", event::ENGINE_CHANGED; "state" => ?state);
        }
        shared.state = state;
        is_news
    }

    async fn push_all(&self) {
        let addresses = self.lock().routers.addresses();
        self.push(&addresses).await;
    }

    async fn push(&self, addresses: &[SocketAddr]) {
        let bytes = {
            let mut shared = self.lock();
            shared.sequence += 1;
            encode(&Datagram::Engine(EngineReport {
                from: InstanceName::new(&*self.settings.instance.name),
                incarnation: self.incarnation,
                sequence: shared.sequence,
                state: shared.state.clone(),
            }))
        };
        for address in addresses {
            if let Err(error) = self.socket.send_to(&bytes, address).await {
                warn!(self.log, "{}", event::REPORT_NOT_SENT; "to" => %address, "error" => %error);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
