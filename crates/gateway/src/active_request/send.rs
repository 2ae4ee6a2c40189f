//! Sends a request to one backend server, and records what the answer says of the server.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, header};
use http_body_util::Full;
use samphirespread_adapter::headers::{self, AnswerFacts, Instructions, RunMemory};
use samphirespread_core::prelude::*;
use samphirespread_logging::event;
use samphirespread_outbound::SendError;
use samphirespread_routing::model::{Generation, RouteKind};
use slog::info;
use tokio::{select, time};

use super::{
    ActiveRequest, ReadTiming, ServerAnswer,
    dropped_connection::{Reset, SentRequest},
    in_flight::InFlightGuard,
    process_check::ProcessCheck,
    server_connection::ServerConnection,
};
use crate::{
    crashes::{self, RunningServer},
    fleet::DepartureSource,
    metrics::count,
    named_weights::{self, AwaitedWeights},
    request_log::Step,
    select::{Selected, count_send},
    server_limits, server_speed,
};

/// Pause before a request is forwarded right after this process was frozen.
const POST_FREEZE_PAUSE_MS: u64 = 20;

/// Why a stream does not go on at a server.
const NOT_LISTED_PROCESS: &str = "it is not known to be the listed process";
/// Why a run is given up that did not begin in time.
pub(crate) const WEIGHTS_TOO_OLD: &str = "its weights were too old before it began";

/// The outcome of one send.
pub(super) enum Sent {
    Answer(Box<ServerAnswer>),
    /// The request has certainly not run there; another server may be tried.
    NotRun,
    /// The request may have run, but its answer is missing or invalid.
    Failed(&'static str),
    /// The request's deadline has passed.
    TimedOut,
}

/// A request that was not answered, and that may be sent on another connection.
#[derive(Debug)]
pub(super) enum Unanswered {
    /// No byte of it was written.
    NotWritten(InFlightGuard),
    /// It was written, and need not have been read.
    Reset(Reset),
}

impl Unanswered {
    pub(super) fn into_guard(self) -> InFlightGuard {
        match self {
            Self::NotWritten(guard) | Self::Reset(Reset { guard, .. }) => guard,
        }
    }
}

impl ActiveRequest {
    pub(super) async fn send(&mut self, selected: &Selected, last_event_id: Option<u64>) -> Sent {
        let footprint = self.facts.generation.as_ref().map_or(0, Generation::footprint_tokens);
        let route = &self.grant.route.name;
        let Some(mut guard) = InFlightGuard::new(&self.core, selected, route, footprint) else {
            return Sent::NotRun;
        };
        self.tried.push(selected.id.clone());
        let Some(connection) = self.connect(selected).await else {
            guard.leave_out();
            return Sent::NotRun;
        };
        let is_kept = connection.kept.is_some();
        if self.core.freeze_detector.is_after_freeze(self.core.now()) {
            // During the freeze, a request and the closing of its caller's connection may both have
            // queued up. The pause lets that connection notice its end, which drops this request.
            time::sleep(Duration::from_millis(POST_FREEZE_PAUSE_MS)).await;
        }
        let mut exchanged = self.exchange(connection, selected, guard, last_event_id).await;
        if let Err(Unanswered::NotWritten(mut guard)) = exchanged {
            // The server closed the idle connection before the request was written.
            let opened = if is_kept { self.open(selected).await } else { None };
            let Some(connection) = opened else {
                guard.leave_out();
                return Sent::NotRun;
            };
            exchanged = self.exchange(connection, selected, guard, last_event_id).await;
        }
        match exchanged {
            Ok(sent) => sent,
            Err(Unanswered::Reset(reset)) => self.after_reset(selected, reset, last_event_id).await,
            Err(Unanswered::NotWritten(mut guard)) => {
                guard.leave_out();
                Sent::NotRun
            }
        }
    }

    /// Sends the request and reads the head of the answer. Fails if the request may be sent on another
    /// connection.
    pub(super) async fn exchange(
        &mut self,
        mut connection: ServerConnection,
        selected: &Selected,
        mut guard: InFlightGuard,
        last_event_id: Option<u64>,
    ) -> Result<Sent, Unanswered> {
        match self.check_process(&mut connection, selected).await {
            ProcessCheck::Listed => {}
            ProcessCheck::NoAnswer if connection.kept.is_some() => {
                return Err(Unanswered::NotWritten(guard));
            }
            ProcessCheck::Other | ProcessCheck::NoAnswer => {
                guard.leave_out();
                let (server, error) = (selected.id.clone(), NOT_LISTED_PROCESS.to_owned());
                let step = Step::NoConnection { server, error, avoid_ms: 0 };
                self.request_log.step(self.core.now(), step);
                return Ok(Sent::NotRun);
            }
        }
        let Some(request) = self.request(selected, last_event_id) else {
            return Ok(Sent::NotRun);
        };
        let expected = selected.expected.filter(|_| last_event_id.is_none());
        let sent = self.core.now();
        self.read_timing = self.service().zip(expected).map(|(service, expected)| ReadTiming {
            service: service.name.clone(),
            expected,
            sent,
            pace: None,
        });
        self.count_limited_send(selected);
        count_send(&self.core, selected, self.body.len());
        // From here on the server may receive the request, even if this task is cancelled.
        match selected.stopped_run {
            Some(_) => self.attempts.begin_resumption(),
            None if connection.is_resend => self.attempts.begin_again(),
            None => self.attempts.begin(),
        }
        let is_kept = connection.kept.is_some();
        let (idle_ms, assumed_idle_ms) = (connection.idle_ms(), connection.assumed_idle_ms());
        let sent_request = SentRequest {
            at: sent,
            assumed_idle_ms,
            continues_stopped_run: selected.stopped_run.is_some(),
            is_resend: connection.is_resend,
        };
        let mut connection = connection.connection;
        let sending = connection.send(request);
        let awaited_weights = self.awaited_weights(selected);
        let answer = select! {
            biased;
            answer = self.core.drain.timeout(self.left_ms(), sending) => answer,
            () = named_weights::expired(awaited_weights.as_ref(), &self.core) => {
                guard.leave_out();
                return Ok(self.withdrawn(selected));
            }
        };
        let response = match answer {
            Ok(Ok(response)) => response,
            Ok(Err(SendError::NotSent)) => {
                self.attempts.record_not_written();
                return Err(Unanswered::NotWritten(guard));
            }
            Ok(Err(error)) => {
                self.log_broken_connection(selected, idle_ms, sent, &error);
                let may_be_unread = sent_request.may_be_unread(&error, self.core.now());
                let error = error.to_string();
                if may_be_unread {
                    return Err(Unanswered::Reset(Reset { guard, error, assumed_idle_ms }));
                }
                return Ok(self.broke_off(selected, guard, error));
            }
            Err(_) => {
                guard.failed();
                return Ok(Sent::TimedOut);
            }
        };
        if let Some(idle_ms) = assumed_idle_ms {
            self.record_idle_survived(selected, idle_ms);
        }
        let (parts, body) = response.into_parts();
        let facts = headers::answer_facts(parts.status, &parts.headers);
        if facts.request_id.is_some() && facts.request_id != self.facts.id {
            guard.failed();
            return Ok(self.server_failed(selected, "the answer is to another request".to_owned()));
        }
        if facts.not_run && is_kept && facts.request_id.is_none() {
            guard.failed();
            // It may be left over from an earlier request on this connection.
            return Ok(self.server_failed(selected, "a refusal without an id".to_owned()));
        }
        server_limits::note_answer(&self.core, selected, &facts, sent);
        if facts.not_run {
            guard.leave_out();
            self.attempts.record_not_run();
            let step = Step::Refused { server: selected.id.clone(), status: parts.status.as_u16() };
            self.request_log.step(self.core.now(), step);
            self.note_superseded_server(selected, &facts);
            self.note_drain_or_rest(selected, &facts);
            return Ok(Sent::NotRun);
        }
        if parts.status.is_server_error() {
            guard.failed();
        } else if !self.is_answer_begun_with_run() {
            guard.answered();
        }
        if parts.status.is_success() && !is_genuine(&facts, &parts.headers) {
            guard.failed();
            return Ok(self.server_failed(selected, "a success without a signature".to_owned()));
        }
        self.record_success(selected, &facts);
        if let Some(read_timing) = &mut self.read_timing {
            read_timing.pace = facts.load.and_then(|load| load.pace);
        }
        self.note_drain_or_rest(selected, &facts);
        Ok(Sent::Answer(Box::new(ServerAnswer {
            status: parts.status,
            headers: parts.headers,
            facts,
            body,
            guard,
            server: RunningServer::of(selected),
            software: selected.software,
            first_event: None,
            has_survived: false,
            awaited_weights,
            connection,
            max_connections: selected.max_connections,
        })))
    }

    /// The weights that a run begins on at an engine. A stopped run has begun already.
    fn awaited_weights(&self, selected: &Selected) -> Option<AwaitedWeights> {
        let engine = selected.engine.as_ref().filter(|_| selected.stopped_run.is_none())?;
        let model = self.facts.generation.as_ref()?.model.clone();
        Some(AwaitedWeights { model, version: engine.version? })
    }

    /// Logs that a request is taken back, as its run would begin on weights that are too old. The
    /// engine learns of it by the end of the connection, and has not failed.
    fn withdrawn(&mut self, selected: &Selected) -> Sent {
        let (server, may_repeat) = (selected.id.clone(), self.may_repeat());
        let cause = WEIGHTS_TOO_OLD.to_owned();
        self.request_log.step(self.core.now(), Step::Failed { server, cause, may_repeat });
        Sent::Failed(WEIGHTS_TOO_OLD)
    }

    /// Whether the head of an answer shows that its run has begun. Engines send it then; other
    /// servers send it when they have the whole answer.
    pub(crate) fn is_answer_begun_with_run(&self) -> bool {
        let is_engine = self.service().is_some_and(|service| service.engine.is_some());
        is_engine && self.facts.generation.is_some()
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

    /// Logs that a connection broke after the request was sent and before an answer.
    fn log_broken_connection(
        &self,
        selected: &Selected,
        idle_ms: Option<u64>,
        sent: MonoTime,
        error: &SendError,
    ) {
        let kind = if idle_ms.is_some() { "kept" } else { "new" };
        count(&self.core.metrics.broken_connections, kind);
        info!(self.core.log, "{}", event::CONNECTION_BROKE; "server" => &*selected.id,
            "request" => self.facts.id.as_deref().unwrap_or("-"), "idle_ms" => idle_ms,
            "after_ms" => self.core.now().ms_since(sent), "error" => %error);
    }

    pub(super) fn server_failed(&mut self, selected: &Selected, cause: String) -> Sent {
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

    /// Excludes a server if another one answers at its address, until it is seen to answer or its
    /// entry changes.
    fn note_superseded_server(&self, selected: &Selected, facts: &AnswerFacts) {
        let Some(answers) = facts.server_id.as_deref().filter(|id| **id != *selected.id) else {
            return;
        };
        let now = self.core.now();
        let mut state = self.core.state();
        if let Some(server) = state.fleet.get_mut(&selected.id) {
            server.record_replaced(now);
        }
        crashes::count_ended(&self.core, &mut state);
        drop(state);
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
        let (run, source) = (selected.incarnation(), DepartureSource::FirstHand);
        if facts.is_leaving && state.fleet.record_departure(run, source, now) {
            info!(self.core.log, "{}", event::SERVER_DRAINS; "server" => &*selected.id,
                "source" => "answer");
        }
    }

    pub(super) fn log_avoided(&self, selected: &Selected, avoid_ms: u64, cause: &str) {
        if avoid_ms > 0 {
            info!(self.core.log, "{}", event::SERVER_AVOIDED; "server" => &*selected.id,
                "for_ms" => avoid_ms, "cause" => cause);
        }
    }

    fn record_success(&self, selected: &Selected, facts: &AnswerFacts) {
        let now = self.core.now();
        let mut state = self.core.state();
        if let Some(server) = state.fleet.get_mut(&selected.id) {
            if server.run_tag() == selected.run() {
                server.record_answered();
            }
            if server.suspicion.record_success() {
                info!(self.core.log, "{}", event::SERVER_TRUSTED; "server" => &*selected.id);
            }
            if let Some(load) = &facts.load {
                server_speed::record_load(server, load, &self.core.metrics, now);
            }
        }
    }
}

fn is_genuine(facts: &AnswerFacts, headers: &HeaderMap) -> bool {
    facts.is_sealed && !headers.contains_key(header::CONTENT_ENCODING)
}
