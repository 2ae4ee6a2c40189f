//! Handles calls of plain services.

use std::{io, sync::Arc, time::Duration};

use axum::{
    body::{Body, Bytes},
    extract::{Request, State},
    response::{IntoResponse, Response},
};
use futures_util::stream;
use http::{HeaderMap, StatusCode, request::Parts};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use samphirespread_config::{
    Snapshot,
    model::{Route, RouteTarget},
};
use samphirespread_core::prelude::*;
use samphirespread_dispatch::{Outcome, RequestSpec};
use samphirespread_wire::message::{ServiceHead, ServiceWork};
use tokio::time::timeout;

use super::{access, answer::Meter, caller::Caller, error::ApiError, headers};
use crate::{
    claim::{Claim, ClaimError},
    drain::{OpenRequest, TimeNeed},
    run::{Ending, JobWork, Piece, Receiver, start},
    state::Shared,
};

const BODY_TIMEOUT_MS: u64 = 30_000;
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Handles every path that is not a model route.
pub(super) async fn call(
    State(shared): State<Arc<Shared>>,
    request: Request,
) -> Result<Response, ApiError> {
    let arrived = shared.clock.now();
    let id = shared.next_request_id();
    let open = shared.drain.open(id, arrived);
    let answered = admit_and_start(&shared, request, id, arrived, open).await;
    answered.map_err(|error| {
        shared.metrics.record_refusal(error.code);
        error.request(id)
    })
}

/// Reads a whole request body.
///
/// # Errors
///
/// Fails if the body is too long, arrives too slowly or is incomplete, or if the drain ends before
/// it is whole.
pub(super) async fn read_body(shared: &Shared, body: Body) -> Result<Bytes, ApiError> {
    let max_bytes = shared.settings.request.max_body_bytes;
    let reading = Limited::new(body, max_bytes).collect();
    let reading = timeout(Duration::from_millis(BODY_TIMEOUT_MS), reading);
    let Ok(read) = access::unless_draining(shared, reading).await? else {
        let message = format!("the body must arrive within {BODY_TIMEOUT_MS} ms");
        return Err(ApiError::refused(StatusCode::REQUEST_TIMEOUT, "slow_body", message));
    };
    match read {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => {
            let message = format!("the body must be at most {max_bytes} bytes");
            Err(ApiError::refused(StatusCode::PAYLOAD_TOO_LARGE, "body_too_large", message))
        }
        Err(error) => Err(ApiError::invalid(format!("the body broke off: {error}"))),
    }
}

async fn admit_and_start(
    shared: &Arc<Shared>,
    request: Request,
    id: RequestId,
    arrived: MonoTime,
    open: OpenRequest,
) -> Result<Response, ApiError> {
    let early_snapshot = access::fresh_snapshot(shared).await?;
    choose_route(&early_snapshot, request.headers(), request.uri().path())?;
    let (parts, body) = request.into_parts();
    let body = read_body(shared, body).await?;

    // Reading the body may have taken long, so the key is checked again against the configuration
    // that is now in force.
    let snapshot = access::fresh_snapshot(shared).await?;
    let chosen = choose_route(&snapshot, &parts.headers, parts.uri.path())?;
    open.set_target(&chosen.route.name, &chosen.team);
    let need = TimeNeed {
        route: &chosen.route.name,
        max_output_tokens: 0,
        deadline_ms: shared.settings.request.deadline_ms,
    };
    access::refuse_if_too_long(shared, &need)?;
    let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    access::refuse_key_in(path.as_bytes(), "path", &parts.headers)?;
    access::refuse_key_in(&body, "body", &parts.headers)?;
    let admitting = shared.admission.admit(&chosen.team, chosen.cost_tokens);
    let grant = access::unless_draining(shared, admitting).await??;
    let claim = claim_idempotency_key(shared, &chosen, &parts.headers, id).await?;

    let route = chosen.route.name.clone();
    let meter = Meter::new(Arc::clone(shared), chosen.team.clone(), route, arrived, open)
        .with_grant(grant, chosen.cost_tokens);
    let work = service_work(&parts, path, body);
    let caller = Caller { route: chosen.route, team: &chosen.team, snapshot: &snapshot };
    let job = caller.job(shared, id, RequestSpec::service(id), JobWork::Service(work));
    let pieces = start(Arc::clone(shared), job);
    answer(pieces, meter, claim).await
}

/// The route of a request and the values that the request takes from it.
struct ChosenRoute<'a> {
    route: &'a Route,
    team: TeamName,
    cost_tokens: u64,
}

fn choose_route<'a>(
    snapshot: &'a Snapshot,
    headers: &HeaderMap,
    path: &str,
) -> Result<ChosenRoute<'a>, ApiError> {
    let caller = access::authenticate(snapshot, headers)?;
    let Some(route) = snapshot.route_for_path(path) else {
        let message = format!("there is no route for {path:?}");
        return Err(ApiError::refused(StatusCode::NOT_FOUND, "unknown_route", message));
    };
    let team = access::team_for(route, caller.as_ref())?;
    let RouteTarget::Service { cost_tokens, .. } = route.target else {
        unreachable!("routes are indexed by path");
    };
    Ok(ChosenRoute { route, team, cost_tokens })
}

/// Claims the caller's idempotency key, so that a retry by the caller can't run the call twice.
async fn claim_idempotency_key(
    shared: &Arc<Shared>,
    chosen: &ChosenRoute<'_>,
    headers: &HeaderMap,
    id: RequestId,
) -> Result<Option<Claim>, ApiError> {
    if chosen.route.idempotent {
        return Ok(None);
    }
    let Some(key) = headers.get(IDEMPOTENCY_KEY_HEADER) else { return Ok(None) };
    match acquire_unless_draining(shared, chosen, key.as_bytes(), id).await? {
        Ok(claim) => Ok(Some(claim)),
        Err(ClaimError::AlreadyClaimed) => Err(ApiError {
            not_run: false,
            ..ApiError::refused(
                StatusCode::CONFLICT,
                "duplicate",
                "a request with this Idempotency-Key was taken before; it is not run again",
            )
        }),
        Err(ClaimError::Unavailable) => {
            let message = "the Idempotency-Key can't be recorded at present";
            let refused =
                ApiError::refused(StatusCode::SERVICE_UNAVAILABLE, "no_idempotency", message);
            Err(refused.retry_after_ms(shared.settings.platform.timeout_ms))
        }
    }
}

/// Claims a key. If the drain ends before the platform has answered, the claim is released once it
/// has.
async fn acquire_unless_draining(
    shared: &Arc<Shared>,
    chosen: &ChosenRoute<'_>,
    key: &[u8],
    id: RequestId,
) -> Result<Result<Claim, ClaimError>, ApiError> {
    let (platform, key) = (shared.platform.clone(), key.to_vec());
    let (team, route) = (chosen.team.clone(), chosen.route.name.clone());
    let mut acquiring =
        tokio::spawn(async move { Claim::acquire(&platform, &team, &route, &key, id).await });
    let acquired = access::unless_draining(shared, &mut acquiring).await;
    if acquired.is_err() {
        tokio::spawn(async move {
            if let Ok(Ok(claim)) = acquiring.await {
                claim.release();
            }
        });
    }
    // The task is never aborted; if it panicked, the claim's state is unknown.
    Ok(acquired?.unwrap_or(Err(ClaimError::Unavailable)))
}

fn service_work(parts: &Parts, path: &str, body: Bytes) -> ServiceWork {
    ServiceWork {
        method: parts.method.as_str().to_owned(),
        path: path.to_owned(),
        headers: headers::forwardable(&parts.headers, access::key_text(&parts.headers)),
        body,
    }
}

async fn answer(
    mut pieces: Receiver,
    mut meter: Meter,
    claim: Option<Claim>,
) -> Result<Response, ApiError> {
    let Some(first) = pieces.recv().await else { return Err(ApiError::draining()) };
    meter.record_piece(&first);
    match first {
        Piece::Head(head) => Ok(stream_answer(&head, pieces, meter)),
        Piece::End(ending) => Err(end_without_head(&ending, &mut meter, claim)),
        Piece::Lines(_) | Piece::Body(_) => Err(ApiError {
            not_run: false,
            ..ApiError::refused(
                StatusCode::BAD_GATEWAY,
                "broken_answer",
                "the backend server's answer came without its head",
            )
        }),
    }
}

fn end_without_head(ending: &Ending, meter: &mut Meter, claim: Option<Claim>) -> ApiError {
    if let (Outcome::NotRun { .. }, Some(claim)) = (&ending.outcome, claim) {
        // The call never ran, so a retry by the caller may run it.
        claim.release();
    }
    let error = ApiError::from_outcome(&ending.outcome).unwrap_or_else(ApiError::draining);
    meter.end(ending, error.code);
    error
}

fn stream_answer(head: &ServiceHead, pieces: Receiver, meter: Meter) -> Response {
    let body = Body::from_stream(stream::unfold(Some((pieces, meter)), next_chunk));
    let mut response = body.into_response();
    *response.status_mut() = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    headers::append_to(&head.headers, response.headers_mut());
    response
}

type StreamState = (Receiver, Meter);

// An error aborts the connection, so that the caller can't mistake a partial body for a whole one.
async fn next_chunk(
    state: Option<StreamState>,
) -> Option<(Result<Bytes, io::Error>, Option<StreamState>)> {
    let (mut pieces, mut meter) = state?;
    let abort = |message: &str| Some((Err(io::Error::other(message.to_owned())), None));
    loop {
        match pieces.recv().await {
            Some(Piece::Body(bytes)) => return Some((Ok(bytes), Some((pieces, meter)))),
            Some(Piece::End(ending)) => {
                let error = ApiError::from_outcome(&ending.outcome);
                meter.end(&ending, error.as_ref().map_or("ok", |error| error.code));
                return error.map_or_else(|| None, |error| abort(&error.message));
            }
            Some(Piece::Head(_) | Piece::Lines(_)) => {}
            None => return abort("the request ended without an outcome"),
        }
    }
}
