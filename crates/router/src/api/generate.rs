//! The two model routes.

use std::sync::Arc;

use axum::{
    extract::{Request, State},
    response::Response,
};
use http::{HeaderMap, StatusCode};
use samphirespread_config::{
    Snapshot,
    model::{Route, RouteTarget},
};
use samphirespread_core::prelude::*;
use samphirespread_dispatch::RequestSpec;
use samphirespread_prefix::{DEFAULT_BLOCK_BYTES, PrefixHasher};

use super::{
    access,
    answer::{self, AnswerStyle, Meter},
    caller::Caller,
    error::ApiError,
    openai::{GenerateBody, Kind},
    service::read_body,
};
use crate::{
    run::{Job, JobWork, ModelJob, start, tokens_of},
    state::Shared,
    trace::TraceRecord,
};

/// `POST /v1/chat/completions`.
pub(crate) async fn chat(
    State(shared): State<Arc<Shared>>,
    request: Request,
) -> Result<Response, ApiError> {
    generate(shared, request, Kind::Chat).await
}

/// `POST /v1/completions`.
pub(crate) async fn completion(
    State(shared): State<Arc<Shared>>,
    request: Request,
) -> Result<Response, ApiError> {
    generate(shared, request, Kind::Completion).await
}

async fn generate(shared: Arc<Shared>, request: Request, kind: Kind) -> Result<Response, ApiError> {
    let arrived = shared.clock.now();
    let id = shared.next_request_id();
    let answered = admit_and_start(&shared, request, kind, id, arrived).await;
    answered.map_err(|error| {
        shared.metrics.record_refusal(error.code);
        error.request(id)
    })
}

async fn admit_and_start(
    shared: &Arc<Shared>,
    request: Request,
    kind: Kind,
    id: RequestId,
    arrived: MonoTime,
) -> Result<Response, ApiError> {
    // A caller without a granted key is refused before its body is read.
    let early = access::fresh_snapshot(shared).await?;
    access::authenticate(&early, request.headers())?;
    let (parts, body) = request.into_parts();
    let bytes = read_body(body, shared.settings.request.max_body_bytes).await?;
    access::refuse_key_in(&bytes, "body", &parts.headers)?;
    let body = GenerateBody::parse(&bytes)?;
    drop(bytes);

    // The body may have taken long, so the key is judged again by what is in force now.
    let snapshot = access::fresh_snapshot(shared).await?;
    let chosen = choose_route(&snapshot, &parts.headers, &body)?;
    let job = job(shared, &snapshot, &chosen, &body, kind, id)?;
    let prompt_tokens = job.work.prompt_tokens();
    let reserved = prompt_tokens + u64::from(chosen.max_output_tokens);
    shared.trace.record(|| trace_record(&job, prompt_tokens, &chosen, arrived));
    let grant = shared.admission.admit(&chosen.team, reserved).await?;

    let style = AnswerStyle { kind, stream: body.stream, usage: body.wants_usage() };
    let meter = Meter::new(Arc::clone(shared), chosen.team, chosen.route.name.clone(), arrived);
    let pieces = start(Arc::clone(shared), job);
    answer::model(pieces, style, id, &body.model, meter.with_grant(grant, prompt_tokens)).await
}

/// The route of a request and what follows from it.
struct Chosen<'a> {
    route: &'a Route,
    team: TeamName,
    version: &'a WeightsVersion,
    max_output_tokens: u32,
}

fn choose_route<'a>(
    snapshot: &'a Snapshot,
    headers: &HeaderMap,
    body: &GenerateBody,
) -> Result<Chosen<'a>, ApiError> {
    let caller = access::authenticate(snapshot, headers)?;
    let model = ModelName::new(&body.model);
    let route = snapshot.route_for_model(&model, caller.as_ref());
    let route = route.or_else(|| snapshot.routes_for_model(&model).next()).ok_or_else(|| {
        let message = format!("there is no model {:?}", body.model);
        ApiError::refused(StatusCode::NOT_FOUND, "unknown_model", message)
    })?;
    let team = access::team_for(route, caller.as_ref())?;
    let RouteTarget::Model { version, max_output_tokens, .. } = &route.target else {
        unreachable!("routes are indexed by model");
    };
    let cap = body.output_cap().unwrap_or(*max_output_tokens);
    if cap > *max_output_tokens {
        return Err(ApiError::invalid(format!(
            "max_tokens must be at most {max_output_tokens} for this model"
        )));
    }
    Ok(Chosen { route, team, version, max_output_tokens: cap })
}

fn job(
    shared: &Shared,
    snapshot: &Snapshot,
    chosen: &Chosen<'_>,
    body: &GenerateBody,
    kind: Kind,
    id: RequestId,
) -> Result<Job, ApiError> {
    let prompt = body.prompt(kind)?;
    let max_tokens = shared.settings.request.max_prompt_tokens;
    if tokens_of(prompt.len()) > max_tokens {
        let message = format!("the prompt must be at most {max_tokens} tokens");
        return Err(ApiError::refused(StatusCode::PAYLOAD_TOO_LARGE, "prompt_too_long", message));
    }
    let model = ModelName::new(&body.model);
    let work = ModelJob {
        hasher: hasher(snapshot, chosen, &model),
        version: chosen.version.clone(),
        prompt,
        max_output_tokens: chosen.max_output_tokens,
        sampling: body.sampling_text(),
        model,
    };
    let caller = Caller { route: chosen.route, team: &chosen.team, snapshot };
    Ok(caller.job(shared, id, RequestSpec::model(id), JobWork::Model(work)))
}

// All sets of a route are taken to have blocks of one size, since a prompt has one chain of keys.
fn hasher(snapshot: &Snapshot, chosen: &Chosen<'_>, model: &ModelName) -> PrefixHasher {
    let sets = chosen.route.sets.iter().filter_map(|set| snapshot.set(set));
    let block_bytes = sets.map(|set| set.block_bytes).next().unwrap_or(DEFAULT_BLOCK_BYTES);
    let hasher = PrefixHasher::new(&chosen.team, model, chosen.version);
    // Validation refuses empty blocks, so the default is never needed.
    hasher.clone().block_bytes(block_bytes).unwrap_or(hasher)
}

fn trace_record(
    job: &Job,
    prompt_tokens: u64,
    chosen: &Chosen<'_>,
    arrived: MonoTime,
) -> TraceRecord {
    let JobWork::Model(model) = &job.work else { unreachable!("a model's job") };
    TraceRecord {
        at_ms: arrived.as_ms(),
        team: chosen.team.to_string(),
        model: model.model.to_string(),
        blocks: model.hasher.blocks(model.prompt.as_bytes()).iter().map(|key| key.0).collect(),
        prompt_tokens,
        max_output_tokens: chosen.max_output_tokens,
    }
}
