//! Handles one request from its arrival to the head of its answer.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body::{Body, Incoming};
use samphirespread_adapter::headers::{self, RequestFacts};
use samphirespread_core::prelude::*;
use samphirespread_routing::{model::RouteKind, quota::OverQuota};

use crate::{
    access::{self, Denied, Grant},
    active_request::{ActiveRequest, AttemptOutcome, DRAINING_RETRY_AFTER_MS, ServerAnswer},
    answers::{self, NotRun},
    body::{BodyError, MAX_ANSWER_BYTES, ResponseBody, UnreadBody, discard_rest},
    crashes::{self, RunStage},
    gateway::Core,
    held_memory::MemoryHold,
    metrics,
    relay::relay,
    request_log::{Outcome, RequestLog, Step},
    stream_queue,
};

/// Retry-After while the router has no configuration yet.
const STARTING_RETRY_AFTER_MS: u64 = 300;
/// Retry-After while other bodies fill this router's memory; a body is held while its request runs.
const MEMORY_RETRY_AFTER_MS: u64 = 300;
/// Retry-After while the router is out of touch with the store; another router may be in touch.
const OUT_OF_TOUCH_RETRY_AFTER_MS: u64 = 200;
/// Retry-After where nobody knows the version of a stream that is taken up. A router that knows it
/// may have been cut off from this one.
const UNKNOWN_STREAM_RETRY_AFTER_MS: u64 = 400;

/// Answers one request.
pub(crate) async fn handle(core: Arc<Core>, request: Request<Incoming>) -> Response<ResponseBody> {
    let arrival = core.now();
    core.metrics.in_flight.inc();
    let mut response = answer(&core, request, arrival).await;
    core.metrics.in_flight.dec();
    if core.state().is_draining {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

async fn answer(
    core: &Arc<Core>,
    request: Request<Incoming>,
    arrival: MonoTime,
) -> Response<ResponseBody> {
    let (parts, body) = request.into_parts();
    let facts = match headers::request_facts(&parts.headers) {
        Ok(facts) => facts,
        Err(error) => {
            let mut request_log = RequestLog::new(core, "-", arrival);
            let outcome = Outcome::Denied { status: 400, cause: "unreadable header" };
            request_log.end(&outcome, false);
            let response = answers::plain(StatusCode::BAD_REQUEST, &error.to_string());
            return without_body(response, &parts, body).await;
        }
    };
    let id = facts.id.clone();
    let mut request_log = RequestLog::new(core, id.as_deref().unwrap_or("-"), arrival);
    let grant = match grant(core, &parts, &facts, &mut request_log) {
        Ok(grant) => grant,
        Err(denied) => {
            let response = deny(&mut request_log, denied);
            let response = answers::with_request_id(response, id.as_deref());
            return without_body(response, &parts, body).await;
        }
    };
    let timeout_ms = grant.route.timeout_ms;
    let time_limit_ms = facts.deadline_ms.map_or(timeout_ms, |deadline| deadline.min(timeout_ms));
    let deadline = arrival.plus_ms(time_limit_ms);
    let max_bytes = grant.table.configuration().caller_limits.max_body_bytes;
    let read = read_body(core, body, max_bytes, deadline.ms_since(core.now())).await;
    let (body, hold) = match read {
        Ok(read) => read,
        Err(BodyError::NoMemory) => {
            let (reason, retry_after_ms) = (NotRun::MemoryLimit, MEMORY_RETRY_AFTER_MS);
            request_log.end(&Outcome::NotRun { reason, retry_after_ms }, false);
            let response = answers::not_run(reason, retry_after_ms);
            return close_unread(answers::with_request_id(response, id.as_deref()));
        }
        Err(_) if core.drain.has_cut(deadline, core.now()) => {
            let (reason, retry_after_ms) = (NotRun::Draining, DRAINING_RETRY_AFTER_MS);
            request_log.end(&Outcome::NotRun { reason, retry_after_ms }, false);
            let response = answers::not_run(reason, retry_after_ms);
            return close_unread(answers::with_request_id(response, id.as_deref()));
        }
        Err(error) => {
            let status = match error {
                BodyError::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
                BodyError::TimeOver => StatusCode::REQUEST_TIMEOUT,
                BodyError::BrokeOff | BodyError::NoMemory => StatusCode::BAD_REQUEST,
            };
            let outcome = Outcome::Denied { status: status.as_u16(), cause: "body" };
            request_log.end(&outcome, false);
            let response = answers::with_request_id(answers::plain(status, "body"), id.as_deref());
            return close_unread(response);
        }
    };
    if let Err(over) = charge(core, &grant) {
        request_log.over_quota(over.level, grant.team.as_ref().map_or(0.0, |team| team.cost));
        let retry_after_ms = over.retry_after_ms;
        let outcome = Outcome::NotRun { reason: NotRun::OverQuota, retry_after_ms };
        request_log.end(&outcome, false);
        return answers::with_request_id(
            answers::not_run(NotRun::OverQuota, retry_after_ms),
            id.as_deref(),
        );
    }
    let mut request =
        ActiveRequest::new(core.clone(), grant, facts, parts, body, arrival, deadline, request_log);
    request.body_memory = hold;
    let response = serve(request).await;
    answers::with_request_id(response, id.as_deref())
}

/// Completes the answer to a request whose body is not wanted.
async fn without_body(
    response: Response<ResponseBody>,
    parts: &http::request::Parts,
    body: Incoming,
) -> Response<ResponseBody> {
    if body.is_end_stream() {
        return response;
    }
    // To read the body of a caller that waits for `100 Continue` would ask the caller to send it.
    let is_sent = !parts.headers.contains_key(header::EXPECT);
    if is_sent && discard_rest(body).await { response } else { close_unread(response) }
}

/// Tells the caller that the connection ends with this answer, as the body of the request was not
/// read to its end.
fn close_unread(mut response: Response<ResponseBody>) -> Response<ResponseBody> {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response.extensions_mut().insert(UnreadBody);
    response
}

fn grant(
    core: &Core,
    parts: &http::request::Parts,
    facts: &RequestFacts,
    request_log: &mut RequestLog,
) -> Result<Grant, Denied> {
    let host = parts.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    let host = host.or_else(|| parts.uri.host()).unwrap_or_default();
    let now = core.now();
    let (table, trust, age_ms) = {
        let state = core.state();
        (state.table.clone(), state.trust(now), state.contact.age_ms(now))
    };
    core.metrics.contact_age_s.observe(metrics::seconds(age_ms));
    let path = parts.uri.path();
    let key = facts.key.as_deref();
    let generation = table.as_ref().map_or(0, |table| table.configuration().generation);
    request_log.set_configuration(generation, age_ms);
    let grant = access::check(table.as_ref(), trust, host, path, key, facts.tokens)?;
    // A quota can't be divided between an unknown number of routers.
    if let Some(team) = &grant.team
        && is_quota_undivided(core, &team.name)
    {
        return Err(Denied::RetryLater(NotRun::Starting));
    }
    request_log.granted(&grant.route.name, grant.team.as_ref().map(|team| &team.name));
    if let Some(after) = facts.last_event_id {
        request_log.step(now, Step::TakenUp { resumes: facts.resumes.clone(), after });
    }
    Ok(grant)
}

fn is_quota_undivided(core: &Core, team: &TeamName) -> bool {
    let state = core.state();
    !state.has_routers && state.quotas.is_limited(team)
}

fn deny(request_log: &mut RequestLog, denied: Denied) -> Response<ResponseBody> {
    match denied {
        Denied::Invalid(status) => {
            let cause = if status == StatusCode::NOT_FOUND { "no route" } else { "key" };
            request_log.end(&Outcome::Denied { status: status.as_u16(), cause }, false);
            answers::plain(status, cause)
        }
        Denied::RetryLater(reason) => {
            let retry_after_ms = match reason {
                NotRun::Starting => STARTING_RETRY_AFTER_MS,
                _ => OUT_OF_TOUCH_RETRY_AFTER_MS,
            };
            request_log.end(&Outcome::NotRun { reason, retry_after_ms }, false);
            answers::not_run(reason, retry_after_ms)
        }
    }
}

async fn read_body(
    core: &Core,
    mut body: Incoming,
    max_bytes: usize,
    timeout_ms: u64,
) -> Result<(Bytes, MemoryHold), BodyError> {
    let read = core.held_memory.read(&mut body, max_bytes);
    core.drain.timeout(timeout_ms, read).await.map_err(|_| BodyError::TimeOver)?
}

/// Charges the team's quota. If it is used up, returns when the caller should retry.
fn charge(core: &Core, grant: &Grant) -> Result<(), OverQuota> {
    let now = core.now();
    let mut state = core.state();
    let window_ms = state.bounds.retry_window_ms;
    for upstream in &grant.route.upstreams {
        let budget = state.retries.entry(upstream.service.clone()).or_default();
        budget.count_request(window_ms, now);
    }
    let Some(team) = &grant.team else { return Ok(()) };
    state.quotas.admit(&team.name, team.cost, now)
}

async fn serve(mut request: ActiveRequest) -> Response<ResponseBody> {
    if !request.find_stream_version().await {
        return not_run(request, NotRun::StreamVersion, UNKNOWN_STREAM_RETRY_AFTER_MS);
    }
    let mut failure = None;
    loop {
        match request.attempt(None).await {
            AttemptOutcome::Answer(answer) => {
                if answer.status.is_success() && request.grant.route.kind == RouteKind::Stream {
                    return stream(request, answer);
                }
                let is_failure = answer.status.is_server_error();
                let server = answer.guard.server.clone();
                let running = answer.server;
                let is_success = answer.status.is_success();
                match read_whole(&request, answer).await {
                    Ok(response) if is_failure && request.may_repeat() => failure = Some(response),
                    Ok(response) => {
                        if is_success {
                            crashes::request_survived(&request, None);
                        }
                        return served(request, response);
                    }
                    Err(BodyError::TimeOver) => {
                        let cause = request.timeout_cause();
                        return unknown(request, StatusCode::GATEWAY_TIMEOUT, cause);
                    }
                    Err(error) => {
                        if matches!(error, BodyError::BrokeOff) {
                            crashes::run_broke_off(&request, &server, running, RunStage::Begun);
                        }
                        let may_repeat = request.answer_body_failed(server, error);
                        if !may_repeat {
                            return unknown(
                                request,
                                StatusCode::BAD_GATEWAY,
                                "the answer broke off",
                            );
                        }
                    }
                }
            }
            AttemptOutcome::NotRun { reason, retry_after_ms } => {
                return not_run(request, reason, retry_after_ms);
            }
            AttemptOutcome::Unknown { status, cause } => {
                return match failure {
                    Some(response) => served(request, response),
                    None => unknown(request, status, cause),
                };
            }
        }
    }
}

/// Reads an answer to its end and turns it into the response to the caller.
async fn read_whole(
    request: &ActiveRequest,
    mut answer: Box<ServerAnswer>,
) -> Result<Response<ResponseBody>, BodyError> {
    let read = request.core.held_memory.read(&mut answer.body, MAX_ANSWER_BYTES);
    let read = request.core.drain.timeout(request.left_ms(), read).await;
    let (body, hold) = read.map_err(|_| BodyError::TimeOver)??;
    let mut response = Response::new(ResponseBody::whole(hold.attach_to(body)));
    *response.status_mut() = answer.status;
    *response.headers_mut() = headers::response_headers(&answer.headers);
    answer.keep_connection();
    Ok(response)
}

fn stream(mut request: ActiveRequest, answer: Box<ServerAnswer>) -> Response<ResponseBody> {
    request.has_begun_answer = true;
    let (events, receiver) = stream_queue::channel();
    let mut response = Response::new(ResponseBody::Stream(receiver));
    *response.status_mut() = answer.status;
    *response.headers_mut() = headers::response_headers(&answer.headers);
    tokio::spawn(relay(request, answer, events));
    response
}

fn served(mut request: ActiveRequest, response: Response<ResponseBody>) -> Response<ResponseBody> {
    request.record_event(request.core.now());
    finish(&mut request, &Outcome::Served { status: response.status().as_u16() });
    response
}

fn unknown(
    mut request: ActiveRequest,
    status: StatusCode,
    cause: &'static str,
) -> Response<ResponseBody> {
    finish(&mut request, &Outcome::Unknown { status: status.as_u16(), cause });
    answers::plain(status, cause)
}

fn not_run(
    mut request: ActiveRequest,
    reason: NotRun,
    retry_after_ms: u64,
) -> Response<ResponseBody> {
    if let Some(team) = &request.grant.team {
        let now = request.core.now();
        request.core.state().quotas.refund(&team.name, team.cost, now);
    }
    finish(&mut request, &Outcome::NotRun { reason, retry_after_ms });
    answers::not_run(reason, retry_after_ms)
}

/// Writes the outcome of a request to the log and the metrics.
pub(crate) fn finish(request: &mut ActiveRequest, outcome: &Outcome) {
    request.record_duration(outcome);
    let target_ms = request.grant.route.target_ms;
    let is_late = request.request_log.first_event_ms().is_some_and(|ms| ms > target_ms);
    request.request_log.end(outcome, is_late);
}
