//! Handles requests for models: chat completions and text completions.

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
    drain::{OpenRequest, TimeNeed},
    run::{Job, JobWork, ModelJob, start, tokens_of},
    state::Shared,
    trace::TraceRecord,
};

/// Handles `POST /v1/chat/completions`.
pub(crate) async fn chat(
    State(shared): State<Arc<Shared>>,
    request: Request,
) -> Result<Response, ApiError> {
    generate(shared, request, Kind::Chat).await
}

/// Handles `POST /v1/completions`.
pub(crate) async fn completion(
    State(shared): State<Arc<Shared>>,
    request: Request,
) -> Result<Response, ApiError> {
    generate(shared, request, Kind::Completion).await
}

async fn generate(shared: Arc<Shared>, request: Request, kind: Kind) -> Result<Response, ApiError> {
    let arrived = shared.clock.now();
    let id = shared.next_request_id();
    let open = shared.drain.open(id, arrived);
    let answered = admit_and_start(&shared, request, kind, id, arrived, open).await;
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
    open: OpenRequest,
) -> Result<Response, ApiError> {
    // A caller without a granted key is refused before its body is read.
    let early_snapshot = access::fresh_snapshot(shared).await?;
    access::authenticate(&early_snapshot, request.headers())?;
    let (parts, body) = request.into_parts();
    let bytes = read_body(shared, body).await?;
    access::refuse_key_in(&bytes, "body", &parts.headers)?;
    let body = GenerateBody::parse(&bytes)?;
    drop(bytes);

    // Reading the body may have taken long, so the key is checked again against the configuration
    // that is now in force.
    let snapshot = access::fresh_snapshot(shared).await?;
    let chosen = choose_route(&snapshot, &parts.headers, &body)?;
    open.set_target(&chosen.route.name, &chosen.team);
    let need = TimeNeed {
        route: &chosen.route.name,
        max_output_tokens: chosen.max_output_tokens.into(),
        deadline_ms: shared.settings.request.deadline_ms,
    };
    access::refuse_if_too_long(shared, &need)?;
    let job = build_job(shared, &snapshot, &chosen, &body, kind, id)?;
    let prompt_tokens = job.work.prompt_tokens();
    let reserved = prompt_tokens + u64::from(chosen.max_output_tokens);
    shared.trace.record(|| trace_record(&job, prompt_tokens, &chosen, arrived));
    let admitting = shared.admission.admit(&chosen.team, reserved);
    let grant = access::unless_draining(shared, admitting).await??;

    let style = AnswerStyle { kind, stream: body.stream, usage: body.wants_usage() };
    let meter =
        Meter::new(Arc::clone(shared), chosen.team, chosen.route.name.clone(), arrived, open)
            .with_output_bound(chosen.max_output_tokens.into());
    let pieces = start(Arc::clone(shared), job);
    answer::model(pieces, style, id, &body.model, meter.with_grant(grant, prompt_tokens)).await
}

/// The route of a request and the values that the request takes from it.
struct ChosenRoute<'a> {
    route: &'a Route,
    team: TeamName,
    version: &'a WeightsVersion,
    max_output_tokens: u32,
}

fn choose_route<'a>(
    snapshot: &'a Snapshot,
    headers: &HeaderMap,
    body: &GenerateBody,
) -> Result<ChosenRoute<'a>, ApiError> {
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
    Ok(ChosenRoute { route, team, version, max_output_tokens: cap })
}

fn build_job(
    shared: &Shared,
    snapshot: &Snapshot,
    chosen: &ChosenRoute<'_>,
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
        hasher: prefix_hasher(snapshot, chosen, &model),
        version: chosen.version.clone(),
        prompt,
        max_output_tokens: chosen.max_output_tokens,
        sampling: body.sampling_text(),
        model,
    };
    let caller = Caller { route: chosen.route, team: &chosen.team, snapshot };
    Ok(caller.job(shared, id, RequestSpec::model(id), JobWork::Model(work)))
}

// Assumes that all sets of a route have the same block size, since a prompt has only one chain of
// block keys.
fn prefix_hasher(snapshot: &Snapshot, chosen: &ChosenRoute<'_>, model: &ModelName) -> PrefixHasher {
    let sets = chosen.route.sets.iter().filter_map(|set| snapshot.set(set));
    let block_bytes = sets.map(|set| set.block_bytes).next().unwrap_or(DEFAULT_BLOCK_BYTES);
    let hasher = PrefixHasher::new(&chosen.team, model, chosen.version);
    // Validation of the configuration refuses a block size of zero, so the fallback is never used.
    hasher.clone().block_bytes(block_bytes).unwrap_or(hasher)
}

fn trace_record(
    job: &Job,
    prompt_tokens: u64,
    chosen: &ChosenRoute<'_>,
    arrived: MonoTime,
) -> TraceRecord {
    let JobWork::Model(model) = &job.work else { unreachable!("job is for a model") };
    TraceRecord {
        at_ms: arrived.as_ms(),
        team: chosen.team.to_string(),
        model: model.model.to_string(),
        blocks: model.hasher.blocks(model.prompt.as_bytes()).iter().map(|key| key.0).collect(),
        prompt_tokens,
        max_output_tokens: chosen.max_output_tokens,
    }
}
