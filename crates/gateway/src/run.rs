//! The attempts of one request: choosing, sending, and what a failure allows.

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
    select::{Demand, Place, Selected, next_return_ms, select},
    story::{Step, Story},
};

/// Time to open a connection to a backend server.
const OPEN_TIMEOUT_MS: u64 = 300;
/// Sends of one request at the most, those that a server refused among them.
const MAX_SENDS: u32 = 4;
/// Pause after a freeze before a request is sent on.
const AFTERMATH_PAUSE_MS: u64 = 20;
/// Less time than this is not worth a send.
const SHORTEST_SEND_MS: u64 = 10;
/// How long a connection rests where the server does not tell.
const DEFAULT_REST_MS: u64 = 4_000;
/// A connection rests no longer than this.
const LONGEST_REST_MS: u64 = 30_000;
/// A connection is given up this long before the server would close it.
const REST_MARGIN_MS: u64 = 900;
/// When to come back where no server can be named that will be free sooner.
const RETRY_AFTER_MS: u64 = 400;

/// A request on its way.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) core: Arc<Core>,
    pub(crate) grant: Grant,
    pub(crate) facts: RequestFacts,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) arrival: MonoTime,
    /// When the answer is due: the caller's deadline or the route's timeout.
    pub(crate) deadline: MonoTime,
    pub(crate) story: Story,
    tried: Vec<Arc<str>>,
    attempts: Attempts,
    last_event: Option<MonoTime>,
    /// The send to an engine whose first event is awaited.
    awaited: Option<Awaited>,
}

/// A send to an engine whose first event shows how fast it reads.
#[derive(Debug)]
struct Awaited {
    service: ServiceName,
    expected: Estimate,
    sent: MonoTime,
}

/// The head of an answer, with what it takes to read the rest.
#[derive(Debug)]
pub(crate) struct Live {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) facts: AnswerFacts,
    pub(crate) body: Incoming,
    pub(crate) lease: Lease,
    connection: Connection,
    max_idle: usize,
}

/// What an attempt came to.
#[derive(Debug)]
pub(crate) enum Attempt {
    /// A server answers.
    Answer(Box<Live>),
    /// The request has not run anywhere.
    NotRun { reason: NotRun, retry_after_ms: u64 },
    /// It may have run.
    Unknown { status: StatusCode, cause: &'static str },
}

/// What became of a run that was to go on elsewhere.
#[derive(Debug)]
pub(crate) enum CarriedOn {
    /// It goes on.
    Live(Box<Live>),
    /// The server says that it does not.
    Refused,
    /// It may have gone on, and its events are lost.
    Failed,
}

/// What one send came to.
enum Sent {
    Answer(Box<Live>),
    /// Certain that it has not run; another server may be asked.
    NotRun,
    /// It may have run.
    Failed(&'static str),
    /// The request's time is over.
    TimedOut,
}

/// A place at a server, given back when dropped.
#[derive(Debug)]
pub(crate) struct Lease {
    core: Arc<Core>,
    pub(crate) server: Arc<str>,
    unread_tokens: u64,
    /// Keys of the parts that it will hold once it has read the prompt.
    part_keys: Vec<u64>,
}

impl Lease {
    fn take(core: &Arc<Core>, selected: &Selected, footprint: u64) -> Self {
        let unread_tokens = selected.read_tokens;
        let now = core.now();
        let mut state = core.state();
        state.demand.count(unread_tokens, now);
        if let Some(server) = state.fleet.get_mut(&selected.id) {
            server.in_flight += 1;
            server.unread_tokens += unread_tokens;
            server.note_sent(footprint, now);
            server.remember_parts(&selected.part_keys, now);
        }
        drop(state);
        let part_keys = selected.part_keys.clone();
        Self { core: core.clone(), server: selected.id.clone(), unread_tokens, part_keys }
    }

    /// The server has read the prompt.
    pub(crate) fn first_event(&mut self) {
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

impl Drop for Lease {
    fn drop(&mut self) {
        let tokens = self.unread_tokens;
        if let Some(server) = self.core.state().fleet.get_mut(&self.server) {
            server.in_flight = server.in_flight.saturating_sub(1);
            server.unread_tokens = server.unread_tokens.saturating_sub(tokens);
        }
    }
}

impl Live {
    /// Keeps the connection for another request, once the body was read to its end.
    pub(crate) fn keep_connection(self) {
        let Self { facts, connection, lease, max_idle, .. } = self;
        if facts.closes {
            return;
        }
        let rest_ms = facts
            .keep_alive_ms
            .map_or(DEFAULT_REST_MS, |ms| ms.saturating_sub(REST_MARGIN_MS))
            .min(LONGEST_REST_MS);
        let now_ms = lease.core.now().as_ms();
        if let Some(server) = lease.core.state().fleet.get_mut(&lease.server) {
            let limits = IdleLimits { max_connections: max_idle };
            server.idle.put(connection, now_ms + rest_ms, limits);
        }
    }
}

impl Run {
    #[expect(clippy::too_many_arguments, reason = "the parts of one request")]
    pub(crate) fn new(
        core: Arc<Core>,
        grant: Grant,
        facts: RequestFacts,
        parts: http::request::Parts,
        body: Bytes,
        arrival: MonoTime,
        deadline: MonoTime,
        story: Story,
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
            story,
            tried: Vec::new(),
            attempts: Attempts::new(rules),
            last_event: None,
            awaited: None,
        }
    }

    /// Whether the request may run once more, now that an attempt has failed.
    pub(crate) fn may_repeat(&self) -> bool {
        self.attempts.may_send() && self.left_ms() > SHORTEST_SEND_MS
    }

    /// Time until the answer is due.
    pub(crate) fn left_ms(&self) -> u64 {
        self.deadline.ms_since(self.core.now())
    }

    /// Whether the request may have run somewhere.
    pub(crate) fn may_have_run(&self) -> bool {
        self.attempts.may_have_run()
    }

    /// Tries servers until one answers, or the request has to be given up.
    pub(crate) async fn attempt(&mut self, last_event_id: Option<u64>) -> Attempt {
        loop {
            if self.left_ms() <= SHORTEST_SEND_MS {
                return self.given_up(NotRun::NoTimeLeft, "deadline");
            }
            let Some((service, selected)) = self.choose() else {
                return self.given_up(NotRun::NoServer, "no other server");
            };
            if !self.attempts.has_sends_left() {
                return self.given_up(NotRun::ServersRefused, "too many sends");
            }
            if self.attempts.is_repeat() && !self.may_send_again(&service) {
                return self.given_up(NotRun::RetryBudget, "retry budget");
            }
            match self.send(&selected, last_event_id).await {
                Sent::Answer(live) => return Attempt::Answer(live),
                Sent::NotRun => {}
                Sent::Failed(cause) => {
                    if !self.may_repeat() {
                        return Attempt::Unknown { status: StatusCode::BAD_GATEWAY, cause };
                    }
                }
                Sent::TimedOut => {
                    let status = StatusCode::GATEWAY_TIMEOUT;
                    return Attempt::Unknown { status, cause: "timeout" };
                }
            }
        }
    }

    /// Sends the request to where its run, which was stopped, goes on from its memory.
    pub(crate) async fn carry_on(&mut self, selected: &Selected, last_event_id: u64) -> CarriedOn {
        self.story.step(self.core.now(), selected.step.clone());
        match self.send(selected, Some(last_event_id)).await {
            Sent::Answer(live) if live.status.is_success() => CarriedOn::Live(live),
            Sent::NotRun => CarriedOn::Refused,
            Sent::Answer(_) | Sent::Failed(_) | Sent::TimedOut => CarriedOn::Failed,
        }
    }

    fn given_up(&self, reason: NotRun, cause: &'static str) -> Attempt {
        if self.may_have_run() {
            return Attempt::Unknown { status: StatusCode::BAD_GATEWAY, cause };
        }
        Attempt::NotRun { reason, retry_after_ms: self.retry_after_ms(reason) }
    }

    /// When to come back: as soon as a server that only rests takes requests again.
    fn retry_after_ms(&self, reason: NotRun) -> u64 {
        let service = self.service().filter(|_| reason == NotRun::NoServer);
        let now = self.core.now();
        let returns = service.and_then(|service| next_return_ms(&self.core.state(), service, now));
        returns.unwrap_or(RETRY_AFTER_MS)
    }

    /// The service that the route leads to for this request.
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
        let demand = Demand {
            service: &service,
            generation: self.facts.generation.as_ref(),
            dedicated_team: self.grant.dedicated_team(),
            tried: &self.tried,
            request_id: id,
        };
        let place = Place {
            failure_domain: &self.core.settings.instance.failure_domain,
            decisions: &self.core.settings.decisions,
            list_age_ms: state.reads.servers.confirmed().map(|at| now.ms_since(at)),
        };
        let selected = select(&state, &demand, &place, now);
        drop(state);
        let selected = selected?;
        self.observe(&selected, &place);
        self.story.step(now, selected.step.clone());
        Some((service, selected))
    }

    fn observe(&self, selected: &Selected, place: &Place<'_>) {
        let metrics = &self.core.metrics;
        if let Some(age_ms) = place.list_age_ms {
            metrics.list_age_s.observe(metrics::seconds(age_ms));
        }
        if let Some(heard) = &selected.heard {
            metrics.report_age_s.observe(metrics::seconds(heard.age_ms));
            metrics.queued_at_engine.observe(f64::from(heard.waiting));
        }
    }

    fn may_send_again(&mut self, service: &Service) -> bool {
        let now = self.core.now();
        let mut state = self.core.state();
        let limits = state.retry_limits(&self.core.name);
        let budget = state.retries.entry(service.name.clone()).or_default();
        let may = budget.try_spend(&limits, now);
        drop(state);
        if may {
            count(&self.core.metrics.repeats, "sent_again");
        } else {
            self.story.step(now, Step::BudgetSpent { slack: limits.slack });
        }
        may
    }

    /// Takes the send that moves the run out of the budget for repeats, all but what is kept for failures.
    pub(crate) fn may_move(&self) -> bool {
        let Some(service) = self.service() else { return false };
        let mut state = self.core.state();
        let limits = RetryLimits { slack: 0, ..state.retry_limits(&self.core.name) };
        let budget = state.retries.entry(service.name.clone()).or_default();
        budget.try_spend(&limits, self.core.now())
    }

    async fn send(&mut self, selected: &Selected, last_event_id: Option<u64>) -> Sent {
        let footprint = self.facts.generation.as_ref().map_or(0, Generation::footprint_tokens);
        let lease = Lease::take(&self.core, selected, footprint);
        self.tried.push(selected.id.clone());
        let rested = self.rested_connection(selected);
        let is_rested = rested.is_some();
        let connection = match rested {
            Some(connection) => connection,
            None => match self.open(selected).await {
                Some(connection) => connection,
                None => return Sent::NotRun,
            },
        };
        if self.core.pulse.is_aftermath(self.core.now()) {
            // A request and the closing of its connection have waited together; the connection
            // finds its end in the meantime, and the request ends here.
            time::sleep(Duration::from_millis(AFTERMATH_PAUSE_MS)).await;
        }
        match self.exchange(connection, selected, lease, last_event_id).await {
            Ok(sent) => sent,
            Err(lease) if is_rested => {
                // The server closed the rested connection before the request was written.
                let Some(connection) = self.open(selected).await else { return Sent::NotRun };
                self.exchange(connection, selected, lease, last_event_id)
                    .await
                    .unwrap_or(Sent::NotRun)
            }
            Err(_) => Sent::NotRun,
        }
    }

    fn rested_connection(&self, selected: &Selected) -> Option<Connection> {
        let now_ms = self.core.now().as_ms();
        self.core.state().fleet.get_mut(&selected.id)?.idle.take(now_ms)
    }

    async fn open(&mut self, selected: &Selected) -> Option<Connection> {
        self.core.metrics.connections.inc();
        let timeout_ms = OPEN_TIMEOUT_MS.min(self.left_ms());
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
                self.story.step(now, Step::NoConnection { server, error, avoid_ms });
                None
            }
        }
    }

    /// Sends the request and reads the head of the answer. Gives the lease back if no byte was sent.
    async fn exchange(
        &mut self,
        mut connection: Connection,
        selected: &Selected,
        lease: Lease,
        last_event_id: Option<u64>,
    ) -> Result<Sent, Lease> {
        let Some(request) = self.request(selected, last_event_id) else {
            return Ok(Sent::NotRun);
        };
        let expected = selected.expected.filter(|_| last_event_id.is_none());
        self.awaited = self.service().zip(expected).map(|(service, expected)| Awaited {
            service: service.name.clone(),
            expected,
            sent: self.core.now(),
        });
        // From here on the server may get the request, whatever becomes of this task.
        match selected.carries_on {
            Some(_) => self.attempts.begin_resumption(),
            None => self.attempts.begin(),
        }
        let left = Duration::from_millis(self.left_ms());
        let response = match time::timeout(left, connection.send(request)).await {
            Ok(Ok(response)) => response,
            Ok(Err(SendError::NotSent)) => {
                self.attempts.record_not_written();
                return Err(lease);
            }
            Ok(Err(error)) => return Ok(self.broke_off(selected, error.to_string())),
            Err(_) => return Ok(Sent::TimedOut),
        };
        let (parts, body) = response.into_parts();
        let facts = headers::answer_facts(parts.status, &parts.headers);
        if facts.request_id.is_some() && facts.request_id != self.facts.id {
            return Ok(self.broke_off(selected, "the answer is to another request".to_owned()));
        }
        if facts.not_run {
            self.attempts.record_not_run();
            let step =
                Step::SaidNotRun { server: selected.id.clone(), status: parts.status.as_u16() };
            self.story.step(self.core.now(), step);
            self.learn_from_refusal(selected, &facts);
            self.learn_of_departure(selected, &facts);
            return Ok(Sent::NotRun);
        }
        if parts.status.is_success() && !is_genuine(&facts, &parts.headers) {
            return Ok(self.broke_off(selected, "a success without a signature".to_owned()));
        }
        self.answered(selected, &facts);
        self.learn_of_departure(selected, &facts);
        Ok(Sent::Answer(Box::new(Live {
            status: parts.status,
            headers: parts.headers,
            facts,
            body,
            lease,
            connection,
            max_idle: selected.max_idle,
        })))
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
                .carries_on
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

    fn broke_off(&mut self, selected: &Selected, cause: String) -> Sent {
        let now = self.core.now();
        let avoid_ms = {
            let mut state = self.core.state();
            let server = state.fleet.get_mut(&selected.id);
            server.map_or(0, |server| server.suspicion.record_interruption(now))
        };
        self.log_avoided(selected, avoid_ms, &cause);
        let may_repeat = self.may_repeat();
        let server = selected.id.clone();
        self.story.step(now, Step::Failed { server, cause, may_repeat });
        Sent::Failed("the server broke off")
    }

    /// Notes that an answer was lost in its body. Returns whether the request may go elsewhere.
    pub(crate) fn broke_off_in_body(&mut self, server: Arc<str>, error: BodyError) -> bool {
        count(&self.core.metrics.lost_answers, error.name());
        let may_repeat = self.may_repeat();
        let cause = error.to_string();
        self.story.step(self.core.now(), Step::Failed { server, cause, may_repeat });
        may_repeat
    }

    /// Leaves a server out for as long as its entry stands, if another one answers at its address.
    fn learn_from_refusal(&self, selected: &Selected, facts: &AnswerFacts) {
        let Some(answers) = facts.server_id.as_deref().filter(|id| **id != *selected.id) else {
            return;
        };
        if let Some(server) = self.core.state().fleet.get_mut(&selected.id) {
            server.is_superseded = true;
        }
        info!(self.core.log, "{}", event::SERVER_SUPERSEDED; "server" => &*selected.id,
            "answers" => answers);
    }

    /// Sends nothing new to a server that drains or that wants no requests for a while.
    fn learn_of_departure(&self, selected: &Selected, facts: &AnswerFacts) {
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
        if facts.is_leaving && state.fleet.departs(selected.run(), now) {
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

    fn answered(&self, selected: &Selected, facts: &AnswerFacts) {
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

    /// Notes how long an event took, for histograms and log.
    pub(crate) fn note_event(&mut self) {
        let now = self.core.now();
        if let Some(last) = self.last_event.replace(now) {
            let gap_ms = now.ms_since(last);
            self.core.metrics.event_gap_s.observe(metrics::seconds(gap_ms));
            return;
        }
        self.story.first_event(now);
        if let Some(awaited) = self.awaited.take() {
            let Awaited { service, expected, sent } = awaited;
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
