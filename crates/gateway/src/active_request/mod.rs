//! Carries one request through its attempts: chooses a backend server, sends the request, and
//! decides after a failure whether it may be sent again.

mod dropped_connection;
mod in_flight;
mod process_check;
mod retry_budget;
mod send;
mod server_answer;
mod server_connection;
mod set_aside;
mod stream_version;
mod timing;

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode, Uri};
use samphirespread_adapter::headers::RequestFacts;
use samphirespread_core::prelude::*;
use samphirespread_routing::{
    attempts::{AttemptRules, Attempts},
    cache_scope::CacheScope,
    crash_causes::Verdict,
    durations::Caution,
    model::Service,
    software::SoftwareTag,
};

use self::{send::Sent, timing::ReadTiming};
pub(crate) use self::{
    send::WEIGHTS_TOO_OLD, server_answer::ServerAnswer, set_aside::RepeatSetAside,
};
use crate::{
    access::Grant,
    admission::{self, AwaitedStart, Checked},
    answers::NotRun,
    body::BodyError,
    crashes::{self, PossibleCause, PossibleCauses},
    drain::CUT_BY_DRAIN,
    gateway::Core,
    held_memory::MemoryHold,
    metrics::count,
    request_log::{RequestLog, RunObstacle, Step},
    rollout::VersionChoice,
    select::{
        self, Obstacle, RouterContext, Selected, SelectionQuery, StreamRole, next_return_ms, select,
    },
    state::State,
};

/// Maximum number of sends of one request, including those that a server refused.
const MAX_SENDS: u32 = 4;
/// A request is not sent when no more than this is left until its deadline.
const MIN_SEND_TIME_MS: u64 = 10;
/// Retry-After of a refusal when no server is known to take requests again at a certain time.
const DEFAULT_RETRY_AFTER_MS: u64 = 400;

/// Retry-After of a refusal while this process stops: another router takes the request at once.
pub(crate) const DRAINING_RETRY_AFTER_MS: u64 = 20;

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
    /// What the body takes of the memory for what is held.
    pub(crate) body_memory: MemoryHold,
    pub(crate) arrival: MonoTime,
    /// When the answer is due: the caller's deadline or the route's timeout, whichever is earlier.
    pub(crate) deadline: MonoTime,
    pub(crate) request_log: RequestLog,
    /// Whether the caller has the head of an answer.
    pub(crate) has_begun_answer: bool,
    /// When the request was complete.
    complete: MonoTime,
    /// Servers that the request was sent to already.
    tried: Vec<Arc<str>>,
    attempts: Attempts,
    last_event: Option<MonoTime>,
    /// Whose cached prompt parts the request's last run may use.
    run_scope: Option<CacheScope>,
    /// What in the request may crash the servers that run it.
    causes: PossibleCauses,
    /// Whether the request is sent although what is in it has crashed servers.
    is_on_trial: bool,
    /// The version of the servers' software at which the stream goes on, once it has begun.
    software: Option<SoftwareTag>,
    /// Whether this router has stopped the request's run, so that it owes the rest of the stream.
    is_owed: bool,
    /// Whether the request may be sent whatever is known of crashes.
    is_prompt_safe: bool,
    /// A repeat of the retry budget for the next send.
    repeat: Option<RepeatSetAside>,
    /// The latest send to an engine, until its first event arrives.
    read_timing: Option<ReadTiming>,
    /// The first send to an engine, until its first event arrives.
    awaited_start: Option<AwaitedStart>,
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
        let causes = PossibleCauses::of_parts(&facts);
        let complete = core.now();
        Self {
            causes,
            body_memory: MemoryHold::default(),
            is_on_trial: false,
            software: None,
            is_owed: false,
            is_prompt_safe: false,
            repeat: None,
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
            has_begun_answer: false,
            complete,
            tried: Vec::new(),
            attempts: Attempts::new(rules),
            last_event: None,
            run_scope: None,
            read_timing: None,
            awaited_start: None,
        }
    }

    /// Whether the request may be sent again after a failed attempt.
    pub(crate) fn may_repeat(&self) -> bool {
        self.attempts.may_send() && self.left_ms() > MIN_SEND_TIME_MS
    }

    /// Why no further run of the request may begin; `None` if one may.
    pub(crate) fn run_obstacle(&self) -> Option<RunObstacle> {
        if !self.attempts.may_run() {
            return Some(RunObstacle::RunsUsedUp);
        }
        if !self.attempts.has_sends_left() {
            return Some(RunObstacle::SendsUsedUp);
        }
        (!self.may_repeat()).then_some(RunObstacle::NoTimeLeft)
    }

    /// Whether the stream may be resumed by a new run, as far as the request is concerned.
    pub(crate) fn may_resume(&self) -> bool {
        self.run_obstacle().is_none()
    }

    /// Records that this router has stopped the run and that no engine continues it, so that the
    /// stream has to be resumed. Only the limits on runs and repeats hold. An engine has read its
    /// prompt without a crash; `is_prompt_safe` says that none has broken off since.
    pub(crate) fn owe_stream(&mut self, repeat: Option<RepeatSetAside>, is_prompt_safe: bool) {
        self.is_owed = true;
        self.is_prompt_safe = is_prompt_safe;
        self.repeat = repeat;
        self.attempts.owe();
    }

    /// Whether this router has stopped the run and owes the rest of the stream.
    pub(crate) fn is_owed(&self) -> bool {
        self.is_owed
    }

    /// Records that the stream goes on, or that it can't.
    pub(crate) fn settle_stream(&mut self) {
        self.is_owed = false;
        self.is_prompt_safe = false;
        self.repeat = None;
        self.attempts.settle();
    }

    /// Allows servers to be tried again that did not run the request when it was sent to them.
    pub(crate) fn forget_tried(&mut self) {
        self.tried.clear();
    }

    /// Time until the answer is due.
    pub(crate) fn left_ms(&self) -> u64 {
        self.core.drain.due(self.deadline).ms_since(self.core.now())
    }

    /// Why the time for the answer is over.
    pub(crate) fn timeout_cause(&self) -> &'static str {
        let is_cut = self.core.drain.has_cut(self.deadline, self.core.now());
        if is_cut { CUT_BY_DRAIN } else { "timeout" }
    }

    /// Whether the request may be sent now although this process stops.
    ///
    /// A stream that its caller has begun to read goes on here or not at all.
    fn is_admitted_in_drain(&self) -> bool {
        let Some(schedule) = self.core.drain.schedule() else { return true };
        let now = self.core.now();
        let route = &self.grant.route.name;
        // A caller resumes a stream elsewhere that is cut, or repeats a request.
        let caution =
            if self.grant.route.is_idempotent() { Caution::Usual } else { Caution::Longest };
        let tokens = self.max_output_tokens();
        let expected_ms = self.core.state().durations.expected_ms(route, tokens, caution, now);
        self.has_begun_answer || schedule.admits(now, self.deadline, expected_ms)
    }

    /// Whether the request may have run somewhere.
    pub(crate) fn may_have_run(&self) -> bool {
        self.attempts.may_have_run()
    }

    /// Tries servers until one answers or the request has to be abandoned.
    pub(crate) async fn attempt(&mut self, last_event_id: Option<u64>) -> AttemptOutcome {
        loop {
            if !self.is_admitted_in_drain() {
                return self.give_up(NotRun::Draining, "draining");
            }
            if self.left_ms() <= MIN_SEND_TIME_MS {
                return self.give_up(NotRun::NoTimeLeft, "deadline");
            }
            if let Some(outcome) = self.refuse_crash_cause() {
                return outcome;
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
            if let Some(refused) = self.refuse_late_start(&service, &selected) {
                return refused;
            }
            match self.send(&selected, last_event_id).await {
                Sent::Answer(answer) => {
                    // What follows this run, if it breaks off, is no trial.
                    self.is_on_trial = false;
                    return AttemptOutcome::Answer(answer);
                }
                Sent::NotRun => {}
                Sent::Failed(cause) => {
                    self.is_on_trial = false;
                    self.is_prompt_safe = false;
                    if !self.may_repeat() {
                        return AttemptOutcome::Unknown { status: StatusCode::BAD_GATEWAY, cause };
                    }
                }
                Sent::TimedOut => {
                    let status = StatusCode::GATEWAY_TIMEOUT;
                    return AttemptOutcome::Unknown { status, cause: self.timeout_cause() };
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

    /// What in the request may crash the servers that run it, each more specific than the one before.
    pub(crate) fn possible_causes(&self) -> Vec<PossibleCause> {
        let team = self.grant.team.as_ref().map(|team| &team.name);
        self.causes.all(team, &self.method, &self.uri, &self.body)
    }

    /// Refuses the request if what is in it has crashed servers.
    ///
    /// A request on trial stays so until a server runs it, however many refuse it.
    fn refuse_crash_cause(&mut self) -> Option<AttemptOutcome> {
        if self.is_on_trial || self.is_prompt_safe {
            return None;
        }
        match crashes::verdict(self) {
            Verdict::Allowed => None,
            Verdict::Trial => {
                self.is_on_trial = true;
                None
            }
            Verdict::Refused { .. } if self.may_have_run() => {
                Some(self.give_up(NotRun::CrashCause, "crash cause"))
            }
            Verdict::Refused { retry_after_ms } => {
                Some(AttemptOutcome::NotRun { reason: NotRun::CrashCause, retry_after_ms })
            }
        }
    }

    /// Refuses a new request if the engines can't begin it in time. What has been sent, or begun by a
    /// server, goes on.
    fn refuse_late_start(
        &mut self,
        service: &Service,
        selected: &Selected,
    ) -> Option<AttemptOutcome> {
        if !self.tried.is_empty() || self.has_begun_answer || self.facts.last_event_id.is_some() {
            return None;
        }
        match admission::check(self, &service.name, selected) {
            Checked::Admitted(awaited) => {
                self.awaited_start = awaited;
                None
            }
            Checked::Refused { retry_after_ms } => {
                Some(AttemptOutcome::NotRun { reason: NotRun::Overload, retry_after_ms })
            }
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
        if reason == NotRun::Draining {
            return DRAINING_RETRY_AFTER_MS;
        }
        let service = self.service().filter(|_| reason == NotRun::NoServer);
        let now = self.core.now();
        let returns = service.and_then(|service| next_return_ms(&self.core.state(), service, now));
        returns.unwrap_or(DEFAULT_RETRY_AFTER_MS)
    }

    /// The service that the route selects for this request. A stream that is taken up stays with the
    /// service that began it.
    pub(crate) fn service(&self) -> Option<&Service> {
        let table = &self.grant.table;
        let first = self.facts.resumes.as_ref().filter(|_| self.facts.last_event_id.is_some());
        let id = first.or(self.facts.id.as_ref()).map(String::as_str).unwrap_or_default();
        table.service(table.upstream(&self.grant.route, id)?)
    }

    /// Whether the request's run began in this scope. A run of another one must not be moved: the memory
    /// that is copied holds parts of that scope.
    pub(crate) fn is_run_in(&self, scope: &CacheScope) -> bool {
        self.run_scope.as_ref() == Some(scope)
    }

    fn choose(&mut self) -> Option<(Service, Selected)> {
        let service = self.service()?.clone();
        let id = self.facts.id.as_deref().unwrap_or_default();
        let now = self.core.now();
        let stream = self.stream_role();
        let crashed_hosts = crashes::crashed_hosts(self);
        let mut state = self.core.state();
        let cache_scope = state.cache_scope(&self.grant, now);
        let is_first_send = self.tried.is_empty() && !matches!(stream, StreamRole::Continues(_));
        let version = state.rollouts.choose_version(&service.name, is_first_send);
        let query = SelectionQuery {
            service: &service,
            generation: self.facts.generation.as_ref(),
            cache_scope: &cache_scope,
            tried: &self.tried,
            crashed_hosts: &crashed_hosts,
            request_id: id,
            body_bytes: self.body.len(),
            stream,
            version,
        };
        let router = RouterContext {
            failure_domain: &self.core.settings.instance.failure_domain,
            decisions: &self.core.settings.decisions,
            list_age_ms: state.reads.servers.confirmed().map(|at| now.ms_since(at)),
        };
        let mut selected = select(&state, &query, &router, now);
        if version == VersionChoice::New && selected.is_none() {
            state.rollouts.refund(&service.name);
            let query = SelectionQuery { version: VersionChoice::Baseline, ..query };
            selected = select(&state, &query, &router, now);
        }
        self.run_scope = Some(cache_scope.clone());
        if let (StreamRole::Continues(_), Some(selected)) = (stream, &selected) {
            let State { fleet, rollouts, .. } = &mut *state;
            fleet.get(&selected.id).inspect(|server| rollouts.charge_continued(server));
        }
        if let Some(selected) = &selected {
            let metrics = &self.core.metrics.domain_traffic;
            state.domain_traffic.observe(&service.name, selected, metrics, now);
        }
        drop(state);
        let selected = selected?;
        self.observe_ages(&selected, &router);
        self.request_log.step(now, selected.step.clone());
        Some((service, selected))
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
}
