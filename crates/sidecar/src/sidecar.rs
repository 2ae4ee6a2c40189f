//! The sidecar and its two tasks: one receives directives from routers, the other reads the
//! engine's reports.

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
    Datagram, EngineReport, LoadDirective, MAX_DATAGRAM_BYTES, StreamAnswer, StreamQuery,
    StreamsBegun, decode, encode,
};
use samphirespread_routing::{
    lease::{Orderer, fencing_token},
    model::EngineState,
    software::StreamVersions,
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
    metrics::{Inspect, Metrics, routes},
    routers::Routers,
};

/// Interval of reads of the engine's report while the engine loads weights.
const LOADING_READ_INTERVAL_MS: u64 = 20;
/// Interval of reports to routers if the engine's weights and readiness don't change.
const PUSH_INTERVAL_MS: u64 = 200;
/// Number of consecutive failed reads after which the engine counts as gone.
const MAX_READ_FAILURES: u32 = 2;

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
    /// Wakes the task that follows the engine when there are weights to load.
    load_requested: Notify,
}

impl BoundSidecar {
    /// Returns the address that routers use, with the port that the kernel chose.
    ///
    /// # Panics
    ///
    /// Never: a bound socket has an address.
    pub fn peers_address(&self) -> SocketAddr {
        self.sidecar.socket.local_addr().expect("the socket is bound")
    }

    /// Returns the address at which operators read metrics and state.
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

impl Inspect for Sidecar {
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

/// The state that both tasks use.
#[derive(Debug, Default)]
struct Shared {
    routers: Routers,
    /// The versions of streams of which routers have told, in case all of them are killed.
    streams: StreamVersions,
    state: Option<EngineState>,
    /// Sequence number of the latest report to routers.
    sequence: u64,
}

impl Sidecar {
    /// Opens the ports for routers and operators.
    ///
    /// # Errors
    ///
    /// Fails if a port can't be opened.
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
            load_requested: Notify::new(),
        };
        Ok(BoundSidecar { sidecar, admin })
    }

    /// Receives directives from routers.
    async fn receive(&self) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            let (length, from) = match self.socket.recv_from(&mut buffer).await {
                Ok(received) => received,
                Err(error) => {
                    warn!(self.log, "{}", event::RECEIVING_FAILED; "error" => %error);
                    time::sleep(Duration::from_millis(PUSH_INTERVAL_MS)).await;
                    continue;
                }
            };
            match decode(&buffer[..length]) {
                Ok(Datagram::Directive(directive)) => {
                    let effect =
                        self.lock().routers.handle_directive(from, directive, self.clock.now());
                    self.metrics.routers.set(effect.routers);
                    if effect.is_new {
                        info!(self.log, "{}", event::ROUTER_HEARD; "address" => %from);
                        self.report_to(&[from]).await;
                    }
                    if effect.wants_load {
                        self.load_requested.notify_one();
                    }
                }
                Ok(Datagram::StreamsBegun(begun)) => self.remember(&begun),
                Ok(Datagram::StreamQuery(query)) => self.answer_query(from, &query).await,
                Ok(_) => warn!(self.log, "{}", event::DATAGRAM_MISPLACED; "from" => %from),
                Err(error) => {
                    warn!(self.log, "{}", event::DATAGRAM_LEFT_OUT; "from" => %from, "error" => %error);
                }
            }
        }
    }

    /// Remembers at which version streams began.
    fn remember(&self, begun: &StreamsBegun) {
        let now = self.clock.now();
        let mut shared = self.lock();
        shared.streams.expire(now);
        for known in &begun.streams {
            shared.streams.learn(*known, now.plus_ms(begun.lifetime_ms));
        }
    }

    /// Tells a router at which version a stream began, if this sidecar was told.
    async fn answer_query(&self, from: SocketAddr, query: &StreamQuery) {
        let version = self.lock().streams.version(query.stream, self.clock.now());
        let answer = StreamAnswer { question: query.question, version };
        // Without an answer the router asks others, or refuses the request.
        let _ = self.socket.send_to(&encode(&Datagram::StreamAnswer(answer)), from).await;
    }

    /// Reads the engine's reports, passes its state on to routers, and gives it orders.
    async fn follow_engine(&self) {
        let mut engine =
            EngineClient::new(self.settings.engine.address, self.settings.engine.timeout_ms);
        let mut failures = 0;
        let mut reported = self.clock.now();
        loop {
            let started = time::Instant::now();
            let report = engine.report().await;
            let outcome = if report.is_ok() { "read" } else { "failed" };
            self.metrics.record_report_read(outcome, started.elapsed());
            failures = if report.is_ok() { 0 } else { failures + 1 };
            let state = match &report {
                Ok(report) => Some(report.state.clone()),
                Err(error) if failures >= MAX_READ_FAILURES => {
                    if self.lock().state.is_some() {
                        warn!(self.log, "{}", event::ENGINE_LOST; "error" => %error, "failures" => failures);
                    }
                    None
                }
                Err(_) => self.lock().state.clone(),
            };
            let is_due = self.clock.now().ms_since(reported) >= PUSH_INTERVAL_MS;
            if self.replace_state(state) || is_due {
                reported = self.clock.now();
                self.report_to_all().await;
            }
            if let Ok(report) = &report {
                self.load_if_wanted(&mut engine, report).await;
            }
            self.wait_for_next_read().await;
        }
    }

    async fn wait_for_next_read(&self) {
        let is_loading = self.lock().state.as_ref().is_some_and(|state| state.is_loading);
        let wait_ms =
            if is_loading { LOADING_READ_INTERVAL_MS } else { self.settings.engine.report_ms };
        let wait = time::sleep(Duration::from_millis(wait_ms));
        tokio::select! {
            () = wait => {}
            () = self.load_requested.notified() => {}
        }
    }

    /// Orders the engine to load the weights that routers want, unless it is loading or holds them
    /// or newer ones.
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
        self.report_to_all().await;
        self.order(engine, report, &load, &server_id).await;
    }

    async fn order(
        &self,
        engine: &mut EngineClient,
        report: &Report,
        load: &LoadDirective,
        server_id: &str,
    ) {
        // Versions only rise, and while this process runs, no other one orders this engine. So a
        // fencing token can be made of epoch and version, and needs no storage to stay valid over
        // restarts.
        let order = LoadOrder {
            model: &load.model,
            version: load.version,
            holder: &self.settings.instance.name,
            fencing_token: fencing_token(load.epoch, Orderer::Sidecar, load.version),
            after_orders: report.orders_accepted,
        };
        let answered = engine.order(server_id, &order).await;
        self.metrics.record_order(match &answered {
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

    /// Replaces the engine's state. Returns whether to report the change to routers at once.
    fn replace_state(&self, state: Option<EngineState>) -> bool {
        let mut shared = self.lock();
        let is_urgent = match (&shared.state, &state) {
            (Some(old), Some(new)) => {
                old.models != new.models
                    || old.is_loading != new.is_loading
                    || old.started_unix_ms != new.started_unix_ms
            }
            (None, None) => false,
            _ => true,
        };
        if is_urgent {
            info!(self.log, "{}", event::ENGINE_CHANGED; "state" => ?state);
        }
        shared.state = state;
        is_urgent
    }

    async fn report_to_all(&self) {
        let addresses = self.lock().routers.addresses();
        self.report_to(&addresses).await;
    }

    async fn report_to(&self, addresses: &[SocketAddr]) {
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
