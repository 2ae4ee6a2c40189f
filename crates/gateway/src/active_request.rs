//! Carries one request through its attempts: chooses a backend server, sends the request, and
//! decides after a failure whether it may be sent again.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, Uri, header};
use http_body_util::Full;
use hyper::body::Incoming;
use samphirespread_adapter::headers::{self, AnswerFacts, Instructions, RequestFacts, RunMemory};
use samphirespread_core::prelude::*;
use samphirespread_logging::event;
use samphirespread_outbound::{Connection, IdleLimits, SendError};
use samphirespread_routing::{
    attempts::{AttemptRules, Attempts},
    choice::Estimate,
    model::{Generation, RouteKind, Service, ServiceName},
    read_parts::EngineTag,
    retry::RetryLimits,
    sources::SourceKind,
};
use samphirespread_settings::Mechanism;
use slog::info;
use tokio::time;

use crate::{
    access::Grant,
    answers::NotRun,
    body::BodyError,
    gateway::Core,
    metrics::{self, count},
    request_log::{RequestLog, Step},
    select::{self, Obstacle, RouterContext, Selected, SelectionQuery, next_return_ms, select},
    server_limits,
};

/// Timeout for opening a connection to a backend server.
const CONNECT_TIMEOUT_MS: u64 = 300;
/// Maximum number of sends of one request, including those that a server refused.
const MAX_SENDS: u32 = 4;
/// Pause before a request is forwarded right after this process was frozen.
const POST_FREEZE_PAUSE_MS: u64 = 20;
/// A request is not sent when no more than this is left until its deadline.
const MIN_SEND_TIME_MS: u64 = 10;
/// How long an idle connection is kept when the server sends no keep-alive timeout.
const DEFAULT_IDLE_LIFETIME_MS: u64 = 4_000;
/// An idle connection is kept no longer than this, whatever the server allows.
const MAX_IDLE_LIFETIME_MS: u64 = 30_000;
/// An idle connection is discarded this long before the server would close it.
const IDLE_CLOSE_MARGIN_MS: u64 = 900;
/// Retry-After of a refusal when no server is known to take requests again at a certain time.
const DEFAULT_RETRY_AFTER_MS: u64 = 400;

/// A request that this router is forwarding.
#[derive(Debug)]
pub(crate) struct ActiveRequest {
    pub(crate) core: Arc<Core>,
    pub(crate) grant: Grant,
    pub(crate) facts: RequestFacts,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) arrival: MonoTime,
    /// When the answer is due: the caller's deadline or the route's timeout, whichever is earlier.
    pub(crate) deadline: MonoTime,
    pub(crate) request_log: RequestLog,
    /// Servers that the request was sent to already.
    tried: Vec<Arc<str>>,
    attempts: Attempts,
    last_event: Option<MonoTime>,
    /// The latest send to an engine, until its first event arrives.
    read_timing: Option<ReadTiming>,
}

/// A send to an engine whose first event shows how fast the engine reads prompts.
#[derive(Debug)]
struct ReadTiming {
    service: ServiceName,
    expected: Estimate,
    sent: MonoTime,
}

/// A server's answer whose head has been read, with what is needed to read its body.
#[derive(Debug)]
pub(crate) struct ServerAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) facts: AnswerFacts,
    pub(crate) body: Incoming,
    pub(crate) guard: InFlightGuard,
    connection: Connection,
    max_connections: usize,
}

/// The outcome of an attempt to have the request answered.
#[derive(Debug)]
pub(crate) enum AttemptOutcome {
    /// A server has sent the head of its answer.
    Answer(Box<ServerAnswer>),
    /// The request has not run anywhere.
    NotRun { reason: NotRun, retry_after_ms: u64 },
    /// The request may have run on a server.
    Unknown { status: StatusCode, cause: &'static str },
}

/// The outcome of continuing a stopped run on another engine.
#[derive(Debug)]
pub(crate) enum Continued {
    /// The engine continues the run and has sent the head of its answer.
    Answer(Box<ServerAnswer>),
    /// The engine has certainly not continued the run.
    Refused,
    /// The run may have been continued, but its events are lost.
    Failed,
}

/// The outcome of one send.
enum Sent {
    Answer(Box<ServerAnswer>),
    /// The request has certainly not run there; another server may be tried.
    NotRun,
    /// The request may have run, but its answer is missing or invalid.
    Failed(&'static str),
    /// The request's deadline has passed.
    TimedOut,
}

/// Counts a request and its unread prompt tokens as load of a server until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    core: Arc<Core>,
    pub(crate) server: Arc<str>,
    unread_tokens: u64,
    /// Keys of the prompt parts that the engine will hold in its cache once it has read the prompt.
    part_keys: Vec<u64>,
}

impl InFlightGuard {
    /// Counts a request that is sent now. Returns `None` if the server's limit leaves no room for
    /// it, which may have been taken since the server was chosen.
    ///
    /// A run that has stopped has to continue, whatever the limit.
    fn new(core: &Arc<Core>, selected: &Selected, footprint: u64) -> Option<Self> {
        let unread_tokens = selected.read_tokens;
        let now = core.now();
        let mut state = core.state();
        let has_room =
            state.fleet.get(&selected.id).is_none_or(|server| state.has_room(server, now));
        if !has_room && selected.stopped_run.is_none() {
            return None;
        }
        state.server_limits.charge(selected.run(), now);
        state.demand.count(unread_tokens, now);
        if let Some(server) = state.fleet.get_mut(&selected.id) {
            server.in_flight += 1;
            server.unread_tokens += unread_tokens;
            server.record_sent(footprint, now);
            server.remember_parts(&selected.part_keys, now);
        }
        drop(state);
        let part_keys = selected.part_keys.clone();
        let server = selected.id.clone();
        Some(Self { core: core.clone(), server, unread_tokens, part_keys })
    }

    /// Records that the server has read the prompt, as its first event shows.
    pub(crate) fn prompt_read(&mut self) {
        let tokens = std::mem::take(&mut self.unread_tokens);
        let part_keys = std::mem::take(&mut self.part_keys);
        if tokens == 0 && part_keys.is_empty() {
            return;
        }
        let now = self.core.now();
        let mut state = self.core.state();
        state.read_parts.record(EngineTag::of(&self.server), &part_keys, now);
        if let Some(server) = state.fleet.get_mut(&self.server) {
            server.unread_tokens = server.unread_tokens.saturating_sub(tokens);
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let tokens = self.unread_tokens;
        if let Some(server) = self.core.state().fleet.get_mut(&self.server) {
            server.in_flight = server.in_flight.saturating_sub(1);
            server.unread_tokens = server.unread_tokens.saturating_sub(tokens);
        }
    }
}

impl ServerAnswer {
    /// Keeps the connection for another request. Call this only after the body was read to its end.
    pub(crate) fn keep_connection(self) {
        let Self { facts, connection, guard, max_connections, .. } = self;
        if facts.closes {
            return;
        }
        let idle_lifetime_ms = facts
            .keep_alive_ms
            .map_or(DEFAULT_IDLE_LIFETIME_MS, |ms| ms.saturating_sub(IDLE_CLOSE_MARGIN_MS))
            .min(MAX_IDLE_LIFETIME_MS);
        let now_ms = guard.core.now().as_ms();
        if let Some(server) = guard.core.state().fleet.get_mut(&guard.server) {
            // This request still counts as one in flight.
            let in_use = usize::try_from(server.in_flight).unwrap_or(usize::MAX).saturating_sub(1);
            let limits = IdleLimits { max_connections: max_connections.saturating_sub(in_use) };
            server.idle.put(connection, now_ms + idle_lifetime_ms, limits);
        }
    }
}

impl ActiveRequest {
    #[expect(clippy::too_many_arguments, reason = "each is a separate part of one request")]
    pub(crate) fn new(
        core: Arc<Core>,
        grant: Grant,
        facts: RequestFacts,
        parts: http::request::Parts,
        body: Bytes,
        arrival: MonoTime,
        deadline: MonoTime,
        request_log: RequestLog,
    ) -> Self {
        let rules = AttemptRules {
            is_idempotent: grant.route.is_idempotent(),
            max_runs: grant.route.max_attempts,
            max_sends: MAX_SENDS,
        };
        Self {
            core,
            grant,
            facts,
            method: parts.method,
            uri: parts.uri,
            headers: parts.headers,
            body,
            arrival,
            deadline,
            request_log,
            tried: Vec::new(),
            attempts: Attempts::new(rules),
            last_event: None,
            read_timing: None,
        }
    }

    /// Whether the request may be sent again after a failed attempt.
    pub(crate) fn may_repeat(&self) -> bool {
        self.attempts.may_send() && self.left_ms() > MIN_SEND_TIME_MS
    }

    /// Time until the answer is due.
    pub(crate) fn left_ms(&self) -> u64 {
        self.deadline.ms_since(self.core.now())
    }

    /// Whether the request may have run somewhere.
    pub(crate) fn may_have_run(&self) -> bool {
        self.attempts.may_have_run()
    }

    /// Tries servers until one answers or the request has to be abandoned.
    pub(crate) async fn attempt(&mut self, last_event_id: Option<u64>) -> AttemptOutcome {
        loop {
            if self.left_ms() <= MIN_SEND_TIME_MS {
                return self.give_up(NotRun::NoTimeLeft, "deadline");
            }
            let Some((service, selected)) = self.choose() else {
                return self.give_up_without_server();
            };
            if !self.attempts.has_sends_left() {
                return self.give_up(NotRun::ServersRefused, "too many sends");
            }
            if self.attempts.is_repeat() && !self.may_send_again(&service) {
                return self.give_up(NotRun::RetryBudget, "retry budget");
            }
            match self.send(&selected, last_event_id).await {
                Sent::Answer(answer) => return AttemptOutcome::Answer(answer),
                Sent::NotRun => {}
                Sent::Failed(cause) => {
                    if !self.may_repeat() {
                        return AttemptOutcome::Unknown { status: StatusCode::BAD_GATEWAY, cause };
                    }
                }
                Sent::TimedOut => {
                    let status = StatusCode::GATEWAY_TIMEOUT;
                    return AttemptOutcome::Unknown { status, cause: "timeout" };
                }
            }
        }
    }

    /// Sends the request to the engine that is to continue its stopped run from a copy of the run's
    /// memory.
    pub(crate) async fn continue_run(
        &mut self,
        selected: &Selected,
        last_event_id: u64,
    ) -> Continued {
        self.request_log.step(self.core.now(), selected.step.clone());
        match self.send(selected, Some(last_event_id)).await {
            Sent::Answer(answer) if answer.status.is_success() => Continued::Answer(answer),
            Sent::NotRun => Continued::Refused,
            Sent::Answer(_) | Sent::Failed(_) | Sent::TimedOut => Continued::Failed,
        }
    }

    fn give_up_without_server(&self) -> AttemptOutcome {
        const CAUSE: &str = "no other server";
        let service = self.service().filter(|_| !self.may_have_run());
        let Some(service) = service else { return self.give_up(NotRun::NoServer, CAUSE) };
        let now = self.core.now();
        let mut state = self.core.state();
        let obstacle = select::obstacle(&mut state, service, &self.tried, now);
        drop(state);
        match obstacle {
            Obstacle::Limits { retry_after_ms } => {
                AttemptOutcome::NotRun { reason: NotRun::ServerLimit, retry_after_ms }
            }
            Obstacle::Connections => self.give_up(NotRun::ConnectionLimit, CAUSE),
            Obstacle::NoServer => self.give_up(NotRun::NoServer, CAUSE),
        }
    }

    fn give_up(&self, reason: NotRun, cause: &'static str) -> AttemptOutcome {
        if self.may_have_run() {
            return AttemptOutcome::Unknown { status: StatusCode::BAD_GATEWAY, cause };
        }
        AttemptOutcome::NotRun { reason, retry_after_ms: self.retry_after_ms(reason) }
    }

    /// When the caller should retry: as soon as a server that pauses takes requests again, if any.
    fn retry_after_ms(&self, reason: NotRun) -> u64 {
        let service = self.service().filter(|_| reason == NotRun::NoServer);
        let now = self.core.now();
        let returns = service.and_then(|service| next_return_ms(&self.core.state(), service, now));
        returns.unwrap_or(DEFAULT_RETRY_AFTER_MS)
    }

    /// The service that the route selects for this request.
    pub(crate) fn service(&self) -> Option<&Service> {
        let table = &self.grant.table;
        let id = self.facts.id.as_deref().unwrap_or_default();
        table.service(table.upstream(&self.grant.route, id)?)
    }

    fn choose(&mut self) -> Option<(Service, Selected)> {
        let service = self.service()?.clone();
        let id = self.facts.id.as_deref().unwrap_or_default();
        let now = self.core.now();
        let state = self.core.state();
        let query = SelectionQuery {
            service: &service,
            generation: self.facts.generation.as_ref(),
            dedicated_team: self.grant.dedicated_team(),
            tried: &self.tried,
            request_id: id,
        };
        let router = RouterContext {
            failure_domain: &self.core.settings.instance.failure_domain,
            decisions: &self.core.settings.decisions,
            list_age_ms: state.reads.servers.confirmed().map(|at| now.ms_since(at)),
        };
        let selected = select(&state, &query, &router, now);
        drop(state);
        let selected = selected?;
        self.observe_ages(&selected, &router);
        self.request_log.step(now, selected.step.clone());
        Some((service, selected))
    }

    fn observe_ages(&self, selected: &Selected, router: &RouterContext<'_>) {
        let metrics = &self.core.metrics;
        if let Some(age_ms) = router.list_age_ms {
            metrics.list_age_s.observe(metrics::seconds(age_ms));
        }
        if let Some(last_report) = &selected.last_report {
            metrics.report_age_s.observe(metrics::seconds(last_report.age_ms));
            metrics.queued_at_engine.observe(f64::from(last_report.waiting));
        }
    }

    fn may_send_again(&mut self, service: &Service) -> bool {
        let now = self.core.now();
        let mut state = self.core.state();
        let limits = state.retry_limits();
        let budget = state.retries.entry(service.name.clone()).or_default();
        let is_allowed = budget.try_spend(&limits, now);
        drop(state);
        if is_allowed {
            count(&self.core.metrics.repeats, "sent_again");
        } else {
            self.request_log.step(now, Step::BudgetSpent { slack: limits.slack });
        }
        is_allowed
    }

    /// Charges the send that moves the run to the retry budget, without using the budget's slack,
    /// which is kept for failures. Returns false if the budget does not allow it.
    pub(crate) fn try_spend_move(&self) -> bool {
        let Some(service) = self.service() else { return false };
        let mut state = self.core.state();
        let limits = RetryLimits { slack: 0, ..state.retry_limits() };
        let budget = state.retries.entry(service.name.clone()).or_default();
        budget.try_spend(&limits, self.core.now())
    }

    async fn send(&mut self, selected: &Selected, last_event_id: Option<u64>) -> Sent {
        let footprint = self.facts.generation.as_ref().map_or(0, Generation::footprint_tokens);
        let Some(guard) = InFlightGuard::new(&self.core, selected, footprint) else {
            return Sent::NotRun;
        };
        self.tried.push(selected.id.clone());
        let idle = self.idle_connection(selected);
        let is_reused = idle.is_some();
        let connection = match idle {
            Some(connection) => connection,
            None => match self.open(selected).await {
                Some(connection) => connection,
                None => return Sent::NotRun,
            },
        };
        if self.core.freeze_detector.is_after_freeze(self.core.now()) {
            // During the freeze, a request and the closing of its caller's connection may both have
            // queued up. The pause lets that connection notice its end, which drops this request.
            time::sleep(Duration::from_millis(POST_FREEZE_PAUSE_MS)).await;
        }
        match self.exchange(connection, selected, guard, last_event_id).await {
            Ok(sent) => sent,
            Err(guard) if is_reused => {
                // The server closed the idle connection before the request was written.
                let Some(connection) = self.open(selected).await else { return Sent::NotRun };
                self.exchange(connection, selected, guard, last_event_id)
                    .await
                    .unwrap_or(Sent::NotRun)
            }
            Err(_) => Sent::NotRun,
        }
    }

    fn idle_connection(&self, selected: &Selected) -> Option<Connection> {
        let now_ms = self.core.now().as_ms();
        self.core.state().fleet.get_mut(&selected.id)?.idle.take(now_ms)
    }

    async fn open(&mut self, selected: &Selected) -> Option<Connection> {
        self.core.metrics.connections.inc();
        let timeout_ms = CONNECT_TIMEOUT_MS.min(self.left_ms());
        match Connection::open(selected.address, timeout_ms).await {
            Ok(connection) => Some(connection),
            Err(error) => {
                let now = self.core.now();
                let mut state = self.core.state();
                let server = state.fleet.get_mut(&selected.id);
                let avoid_ms = server.map_or(0, |server| server.suspicion.record_unreachable(now));
                drop(state);
                let server = selected.id.clone();
                let error = error.to_string();
                self.log_avoided(selected, avoid_ms, &error);
                self.request_log.step(now, Step::NoConnection { server, error, avoid_ms });
                None
            }
        }
    }

    /// Sends the request and reads the head of the answer. Returns the guard if no byte was sent.
    async fn exchange(
        &mut self,
        mut connection: Connection,
        selected: &Selected,
        guard: InFlightGuard,
        last_event_id: Option<u64>,
    ) -> Result<Sent, InFlightGuard> {
        let Some(request) = self.request(selected, last_event_id) else {
            return Ok(Sent::NotRun);
        };
        let expected = selected.expected.filter(|_| last_event_id.is_none());
        let sent = self.core.now();
        self.read_timing = self.service().zip(expected).map(|(service, expected)| ReadTiming {
            service: service.name.clone(),
            expected,
            sent,
        });
        self.count_limited_send(selected);
        // From here on the server may receive the request, even if this task is cancelled.
        match selected.stopped_run {
            Some(_) => self.attempts.begin_resumption(),
            None => self.attempts.begin(),
        }
        let left = Duration::from_millis(self.left_ms());
        let response = match time::timeout(left, connection.send(request)).await {
            Ok(Ok(response)) => response,
            Ok(Err(SendError::NotSent)) => {
                self.attempts.record_not_written();
                return Err(guard);
            }
            Ok(Err(error)) => return Ok(self.server_failed(selected, error.to_string())),
            Err(_) => return Ok(Sent::TimedOut),
        };
        let (parts, body) = response.into_parts();
        let facts = headers::answer_facts(parts.status, &parts.headers);
        if facts.request_id.is_some() && facts.request_id != self.facts.id {
            return Ok(self.server_failed(selected, "the answer is to another request".to_owned()));
        }
        server_limits::note_answer(&self.core, selected, &facts, sent);
        if facts.not_run {
            self.attempts.record_not_run();
            let step = Step::Refused { server: selected.id.clone(), status: parts.status.as_u16() };
            self.request_log.step(self.core.now(), step);
            self.note_superseded_server(selected, &facts);
            self.note_drain_or_rest(selected, &facts);
            return Ok(Sent::NotRun);
        }
        if parts.status.is_success() && !is_genuine(&facts, &parts.headers) {
            return Ok(self.server_failed(selected, "a success without a signature".to_owned()));
        }
        self.record_success(selected, &facts);
        self.note_drain_or_rest(selected, &facts);
        Ok(Sent::Answer(Box::new(ServerAnswer {
            status: parts.status,
            headers: parts.headers,
            facts,
            body,
            guard,
            connection,
            max_connections: selected.max_connections,
        })))
    }

    /// Counts a send if its server limits the requests of all routers.
    fn count_limited_send(&self, selected: &Selected) {
        if self.core.state().server_limits.rate(selected.run()).is_none() {
            return;
        }
        let kind = match selected.stopped_run {
            Some(_) => "moved",
            None if self.attempts.is_repeat() => "repeat",
            None => "first",
        };
        count(&self.core.metrics.limited_sends, kind);
    }

    fn request(
        &self,
        selected: &Selected,
        last_event_id: Option<u64>,
    ) -> Option<Request<Full<Bytes>>> {
        let urgency = (self.grant.route.kind == RouteKind::Stream).then(|| self.grant.priority());
        let instructions = Instructions {
            deadline_ms: self.left_ms(),
            server_id: &selected.id,
            team: self.grant.team.as_ref().map(|team| team.name.as_str()),
            urgency,
            engine: selected.engine.clone(),
            last_event_id: last_event_id.or(self.facts.last_event_id),
            memory_from: selected
                .stopped_run
                .as_ref()
                .map(|run| RunMemory { source: run.source, handle: &run.handle }),
        };
        let mut forwarded = headers::forwarded(&self.headers, &instructions);
        if !forwarded.contains_key(header::HOST)
            && let Some(host) = self.headers.get(header::HOST)
        {
            forwarded.insert(header::HOST, host.clone());
        }
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = forwarded;
        Some(request)
    }

    fn server_failed(&mut self, selected: &Selected, cause: String) -> Sent {
        let now = self.core.now();
        let avoid_ms = {
            let mut state = self.core.state();
            let server = state.fleet.get_mut(&selected.id);
            server.map_or(0, |server| server.suspicion.record_interruption(now))
        };
        self.log_avoided(selected, avoid_ms, &cause);
        let may_repeat = self.may_repeat();
        let server = selected.id.clone();
        self.request_log.step(now, Step::Failed { server, cause, may_repeat });
        Sent::Failed("the server broke off")
    }

    /// Records that an answer failed while its body was read. Returns whether the request may be
    /// sent to another server.
    pub(crate) fn answer_body_failed(&mut self, server: Arc<str>, error: BodyError) -> bool {
        count(&self.core.metrics.lost_answers, error.name());
        let may_repeat = self.may_repeat();
        let cause = error.to_string();
        self.request_log.step(self.core.now(), Step::Failed { server, cause, may_repeat });
        may_repeat
    }

    /// Excludes a server for as long as its entry stays on the list, if another server answers at
    /// its address.
    fn note_superseded_server(&self, selected: &Selected, facts: &AnswerFacts) {
        let Some(answers) = facts.server_id.as_deref().filter(|id| **id != *selected.id) else {
            return;
        };
        if let Some(server) = self.core.state().fleet.get_mut(&selected.id) {
            server.is_superseded = true;
        }
        info!(self.core.log, "{}", event::SERVER_SUPERSEDED; "server" => &*selected.id,
            "answers" => answers);
    }

    /// Records that a server drains or wants no requests for a while, so that it gets no new ones.
    fn note_drain_or_rest(&self, selected: &Selected, facts: &AnswerFacts) {
        if !facts.is_leaving && facts.retry_after_ms.is_none() {
            return;
        }
        let now = self.core.now();
        let mut state = self.core.state();
        let Some(server) = state.fleet.get_mut(&selected.id) else { return };
        if let Some(rest_ms) = facts.retry_after_ms {
            server.rests_until = server.rests_until.max(now.plus_ms(rest_ms));
            info!(self.core.log, "{}", event::SERVER_RESTS; "server" => &*selected.id,
                "for_ms" => rest_ms);
        }
        if facts.is_leaving && state.fleet.record_departure(selected.incarnation(), now) {
            info!(self.core.log, "{}", event::SERVER_DRAINS; "server" => &*selected.id,
                "source" => "answer");
        }
    }

    fn log_avoided(&self, selected: &Selected, avoid_ms: u64, cause: &str) {
        if avoid_ms > 0 {
            info!(self.core.log, "{}", event::SERVER_AVOIDED; "server" => &*selected.id,
                "for_ms" => avoid_ms, "cause" => cause);
        }
    }

    fn record_success(&self, selected: &Selected, facts: &AnswerFacts) {
        let now = self.core.now();
        let mut state = self.core.state();
        if let Some(server) = state.fleet.get_mut(&selected.id) {
            if server.suspicion.record_success() {
                info!(self.core.log, "{}", event::SERVER_TRUSTED; "server" => &*selected.id);
            }
            if let Some(load) = facts.load {
                server.foreign_load = (load.saturating_sub(server.in_flight), now);
            }
        }
    }

    /// Records how long an event took, for histograms, the log and the learnt speed of engines.
    pub(crate) fn record_event(&mut self) {
        let now = self.core.now();
        if let Some(last) = self.last_event.replace(now) {
            let gap_ms = now.ms_since(last);
            self.core.metrics.event_gap_s.observe(metrics::seconds(gap_ms));
            return;
        }
        self.request_log.first_event(now);
        if let Some(read_timing) = self.read_timing.take() {
            let ReadTiming { service, expected, sent } = read_timing;
            let took_ms = now.ms_since(sent);
            let mut state = self.core.state();
            let times = state.times.entry(service).or_default();
            let learns = self.core.settings.decisions.uses(Mechanism::LearntSpeed);
            if expected.expected_source.is_none() && learns {
                times.speed.observe(expected.read_tokens, took_ms);
            }
            if !matches!(expected.expected_source, Some(SourceKind::Engine(_))) {
                let is_fetched = expected.expected_source.is_some();
                times.fetch_delay.observe(is_fetched, expected.first_event_ms, took_ms, now);
            }
        }
        let took_ms = now.ms_since(self.arrival);
        self.core.metrics.first_event_s.observe(metrics::seconds(took_ms));
    }
}

fn is_genuine(facts: &AnswerFacts, headers: &HeaderMap) -> bool {
    facts.is_sealed && !headers.contains_key(header::CONTENT_ENCODING)
}
