//! One request from its head to the head of its answer.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use samphirespread_adapter::headers::{self, RequestFacts};
use samphirespread_core::prelude::*;
use samphirespread_routing::{model::RouteKind, quota::OverQuota};
use tokio::{sync::mpsc, time};

use crate::{
    access::{self, Denied, Grant},
    answers::{self, NotRun},
    body::{BodyError, Outgoing},
    gateway::Core,
    metrics,
    relay::relay,
    run::{Attempt, Live, Run},
    story::{End, Story},
};

/// When to come back while a router starts.
const STARTING_RETRY_AFTER_MS: u64 = 300;
/// When to come back while a router is out of touch; another one may be in touch.
const OUT_OF_TOUCH_RETRY_AFTER_MS: u64 = 200;
/// Pieces that wait for a slow caller before the server's stream is held up.
const WAITING_PIECES: usize = 16;

/// Answers one request.
pub(crate) async fn handle(core: Arc<Core>, request: Request<Incoming>) -> Response<Outgoing> {
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
) -> Response<Outgoing> {
    let (parts, body) = request.into_parts();
    let facts = match headers::request_facts(&parts.headers) {
        Ok(facts) => facts,
        Err(error) => {
            let mut story = Story::new(core, "-", arrival);
            let end = End::Denied { status: 400, cause: "unreadable header" };
            story.end(&end, false);
            return answers::plain(StatusCode::BAD_REQUEST, &error.to_string());
        }
    };
    let id = facts.id.clone();
    let mut story = Story::new(core, id.as_deref().unwrap_or("-"), arrival);
    let grant = match grant(core, &parts, &facts, &mut story) {
        Ok(grant) => grant,
        Err(denied) => {
            let response = deny(&mut story, denied);
            return answers::naming(response, id.as_deref());
        }
    };
    let timeout_ms = grant.route.timeout_ms;
    let waits_ms = facts.deadline_ms.map_or(timeout_ms, |deadline| deadline.min(timeout_ms));
    let deadline = arrival.plus_ms(waits_ms);
    let max_bytes = grant.table.configuration().caller_limits.max_body_bytes;
    let body = match read_body(body, max_bytes, deadline.ms_since(core.now())).await {
        Ok(body) => body,
        Err(status) => {
            let end = End::Denied { status: status.as_u16(), cause: "body" };
            story.end(&end, false);
            return answers::naming(answers::plain(status, "body"), id.as_deref());
        }
    };
    if let Err(over) = charge(core, &grant) {
        story.over_quota(over.level, grant.team.as_ref().map_or(0.0, |team| team.cost));
        let retry_after_ms = over.retry_after_ms;
        let end = End::NotRun { reason: NotRun::OverQuota, retry_after_ms };
        story.end(&end, false);
        return answers::naming(answers::not_run(NotRun::OverQuota, retry_after_ms), id.as_deref());
    }
    let run = Run::new(core.clone(), grant, facts, parts, body, arrival, deadline, story);
    let response = serve(run).await;
    answers::naming(response, id.as_deref())
}

fn grant(
    core: &Core,
    parts: &http::request::Parts,
    facts: &RequestFacts,
    story: &mut Story,
) -> Result<Grant, Denied> {
    let host = parts.headers.get(header::HOST).and_then(|host| host.to_str().ok());
    let host = host.or_else(|| parts.uri.host()).unwrap_or_default();
    let now = core.now();
    let (table, is_stale, age_ms) = {
        let state = core.state();
        (state.table.clone(), state.contact.is_stale(now), state.contact.age_ms(now))
    };
    core.metrics.contact_age_s.observe(metrics::seconds(age_ms));
    let path = parts.uri.path();
    let key = facts.key.as_deref();
    let generation = table.as_ref().map_or(0, |table| table.configuration().generation);
    story.rests_on(generation, age_ms);
    let grant = access::check(table.as_ref(), is_stale, host, path, key, facts.tokens)?;
    story.granted(&grant.route.name, grant.team.as_ref().map(|team| &team.name));
    Ok(grant)
}

fn deny(story: &mut Story, denied: Denied) -> Response<Outgoing> {
    match denied {
        Denied::Wrong(status) => {
            let cause = if status == StatusCode::NOT_FOUND { "no route" } else { "key" };
            story.end(&End::Denied { status: status.as_u16(), cause }, false);
            answers::plain(status, cause)
        }
        Denied::Later(reason) => {
            let retry_after_ms = match reason {
                NotRun::Starting => STARTING_RETRY_AFTER_MS,
                _ => OUT_OF_TOUCH_RETRY_AFTER_MS,
            };
            story.end(&End::NotRun { reason, retry_after_ms }, false);
            answers::not_run(reason, retry_after_ms)
        }
    }
}

async fn read_body(body: Incoming, max_bytes: usize, timeout_ms: u64) -> Result<Bytes, StatusCode> {
    let read = Limited::new(body, max_bytes).collect();
    match time::timeout(Duration::from_millis(timeout_ms), read).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(StatusCode::PAYLOAD_TOO_LARGE),
        Ok(Err(_)) => Err(StatusCode::BAD_REQUEST),
        Err(_) => Err(StatusCode::REQUEST_TIMEOUT),
    }
}

/// Charges the team's quota, or says when to come back.
fn charge(core: &Core, grant: &Grant) -> Result<(), OverQuota> {
    let now = core.now();
    let mut state = core.state();
    for upstream in &grant.route.upstreams {
        state.retries.entry(upstream.service.clone()).or_default().count_request(now);
    }
    let Some(team) = &grant.team else { return Ok(()) };
    state.quotas.admit(&team.name, team.cost, now)
}

async fn serve(mut run: Run) -> Response<Outgoing> {
    let mut failure = None;
    loop {
        match run.attempt(None).await {
            Attempt::Answer(live) => {
                if live.status.is_success() && run.grant.route.kind == RouteKind::Stream {
                    return stream(run, live);
                }
                let is_failure = live.status.is_server_error();
                let server = live.lease.server.clone();
                match whole(&run, live).await {
                    Ok(response) if is_failure && run.may_repeat() => failure = Some(response),
                    Ok(response) => return served(run, response),
                    Err(error) => {
                        let may_repeat = run.broke_off_in_body(server, error);
                        if !may_repeat {
                            return unknown(run, StatusCode::BAD_GATEWAY, "the answer broke off");
                        }
                    }
                }
            }
            Attempt::NotRun { reason, retry_after_ms } => {
                return not_run(run, reason, retry_after_ms);
            }
            Attempt::Unknown { status, cause } => {
                return match failure {
                    Some(response) => served(run, response),
                    None => unknown(run, status, cause),
                };
            }
        }
    }
}

/// Reads an answer to its end.
async fn whole(run: &Run, mut live: Box<Live>) -> Result<Response<Outgoing>, BodyError> {
    let left = Duration::from_millis(run.left_ms());
    let read = run.core.answer_memory.read(&mut live.body);
    let body = time::timeout(left, read).await.map_err(|_| BodyError::BrokeOff)??;
    let mut response = Response::new(Outgoing::whole(body));
    *response.status_mut() = live.status;
    *response.headers_mut() = headers::response_headers(&live.headers);
    live.keep_connection();
    Ok(response)
}

fn stream(run: Run, live: Box<Live>) -> Response<Outgoing> {
    let (pieces, receiver) = mpsc::channel(WAITING_PIECES);
    let mut response = Response::new(Outgoing::Stream(receiver));
    *response.status_mut() = live.status;
    *response.headers_mut() = headers::response_headers(&live.headers);
    tokio::spawn(relay(run, live, pieces));
    response
}

fn served(mut run: Run, response: Response<Outgoing>) -> Response<Outgoing> {
    run.note_event();
    finish(&mut run, &End::Served { status: response.status().as_u16() });
    response
}

fn unknown(mut run: Run, status: StatusCode, cause: &'static str) -> Response<Outgoing> {
    finish(&mut run, &End::Unknown { status: status.as_u16(), cause });
    answers::plain(status, cause)
}

fn not_run(mut run: Run, reason: NotRun, retry_after_ms: u64) -> Response<Outgoing> {
    if let Some(team) = &run.grant.team {
        let now = run.core.now();
        run.core.state().quotas.refund(&team.name, team.cost, now);
    }
    finish(&mut run, &End::NotRun { reason, retry_after_ms });
    answers::not_run(reason, retry_after_ms)
}

/// Writes the end of a request to log and metrics.
pub(crate) fn finish(run: &mut Run, end: &End) {
    let target_ms = run.grant.route.target_ms;
    let is_late = run.story.first_event_ms().is_some_and(|ms| ms > target_ms);
    run.story.end(end, is_late);
}
