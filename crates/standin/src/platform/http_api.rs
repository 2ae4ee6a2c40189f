//! The platform's calls by HTTP.

use std::{sync::Arc, time::Duration};

use axum::{
    Extension, Json, Router,
    body::Body,
    extract::{Path, Query, State as Shares},
    response::{IntoResponse, Response},
    routing::get,
};
use http::{HeaderMap, StatusCode, header};
use samphirespread_platform::api::ObjectVersion;
use serde::Deserialize;

use super::{Expected, Shared, State};
use crate::server::LostAnswer;

/// Largest value of an object.
const MAX_VALUE_BYTES: usize = 1024 * 1024;

type Refusal = (StatusCode, &'static str);

#[derive(Debug, Deserialize)]
struct ListQuery {
    #[serde(default)]
    prefix: String,
}

#[derive(Debug, Deserialize)]
struct WatchQuery {
    #[serde(default)]
    prefix: String,
    after: u64,
    wait_ms: u64,
}

#[derive(Debug, Deserialize)]
struct InstancesQuery {
    after: Option<u64>,
}

pub(super) fn router(shared: Arc<Shared>) -> Router {
    let object = get(get_object).put(put_object).delete(delete_object);
    Router::new()
        .route("/objects/{*key}", object)
        .route("/list", get(list))
        .route("/watch", get(watch))
        .route("/instances", get(instances))
        .layer(axum::extract::DefaultBodyLimit::max(MAX_VALUE_BYTES))
        .with_state(shared)
}

impl State {
    fn admit_read(&mut self) -> Result<(), Refusal> {
        self.calls.reads += 1;
        self.admit(|state| state.reads.take())
    }

    fn admit_write(&mut self) -> Result<(), Refusal> {
        self.calls.writes += 1;
        self.admit(|state| state.writes.take())
    }

    fn admit(&mut self, take: impl FnOnce(&mut Self) -> bool) -> Result<(), Refusal> {
        if self.unavailable {
            self.calls.during_outage += 1;
            return Err((StatusCode::SERVICE_UNAVAILABLE, "outage"));
        }
        if !take(self) {
            self.calls.rate_limited += 1;
            return Err((StatusCode::TOO_MANY_REQUESTS, "rate"));
        }
        Ok(())
    }
}

async fn get_object(
    Shares(shared): Shares<Arc<Shared>>,
    Path(key): Path<String>,
) -> Result<Response, Refusal> {
    let mut state = shared.lock();
    state.admit_read()?;
    let object = state.objects.get(&key).ok_or((StatusCode::NOT_FOUND, "no object"))?;
    let value = object.value.clone().unwrap_or_default();
    Ok((etag(object.version), value).into_response())
}

async fn put_object(
    Shares(shared): Shares<Arc<Shared>>,
    Path(key): Path<String>,
    headers: HeaderMap,
    value: String,
) -> Result<Response, Refusal> {
    write(&shared, &key, &headers, Some(value))
}

async fn delete_object(
    Shares(shared): Shares<Arc<Shared>>,
    Path(key): Path<String>,
    headers: HeaderMap,
) -> Result<Response, Refusal> {
    write(&shared, &key, &headers, None)
}

fn write(
    shared: &Shared,
    key: &str,
    headers: &HeaderMap,
    value: Option<String>,
) -> Result<Response, Refusal> {
    let mut state = shared.lock();
    state.admit_write()?;
    let expected = expected(headers)?;
    let written = state.objects.write(key, expected, value);
    let version = written.ok_or((StatusCode::PRECONDITION_FAILED, "another version"))?;
    let lost = state.lose_answers > 0;
    if lost {
        state.lose_answers -= 1;
        state.calls.answers_lost += 1;
    }
    drop(state);

    shared.changed.send_replace(version);
    if lost {
        return Ok((Extension(LostAnswer), Body::empty()).into_response());
    }
    Ok(etag(version).into_response())
}

fn expected(headers: &HeaderMap) -> Result<Expected, Refusal> {
    if headers.contains_key(header::IF_NONE_MATCH) {
        return Ok(Expected::Absent);
    }

    let version = headers
        .get(header::IF_MATCH)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.trim_matches('"').parse().ok());
    let version = version.ok_or((StatusCode::PRECONDITION_REQUIRED, "no condition"))?;
    Ok(Expected::Version(ObjectVersion(version)))
}

fn etag(version: ObjectVersion) -> [(header::HeaderName, String); 1] {
    [(header::ETAG, version.0.to_string())]
}

async fn list(
    Shares(shared): Shares<Arc<Shared>>,
    Query(query): Query<ListQuery>,
) -> Result<Response, Refusal> {
    let mut state = shared.lock();
    state.admit_read()?;
    Ok(Json(state.objects.list(&query.prefix)).into_response())
}

async fn watch(
    Shares(shared): Shares<Arc<Shared>>,
    Query(query): Query<WatchQuery>,
) -> Result<Response, Refusal> {
    let mut changed = shared.changed.subscribe();
    {
        let mut state = shared.lock();
        state.admit_read()?;
        state.calls.watches += 1;
    }

    let after = ObjectVersion(query.after);
    let deadline = tokio::time::Instant::now() + Duration::from_millis(query.wait_ms);
    loop {
        changed.borrow_and_update();
        let listing = {
            let state = shared.lock();
            if state.unavailable {
                return Err((StatusCode::SERVICE_UNAVAILABLE, "outage"));
            }
            state.objects.changes(&query.prefix, after)
        };
        if !listing.objects.is_empty() {
            return Ok(Json(listing).into_response());
        }
        // Past the deadline the empty listing is the answer.
        if !matches!(tokio::time::timeout_at(deadline, changed.changed()).await, Ok(Ok(()))) {
            return Ok(Json(listing).into_response());
        }
    }
}

async fn instances(
    Shares(shared): Shares<Arc<Shared>>,
    Query(query): Query<InstancesQuery>,
) -> Result<Response, Refusal> {
    let mut state = shared.lock();
    state.admit_read()?;
    let list = state.instances.show();
    if query.after == Some(list.version.0) {
        return Ok(StatusCode::NOT_MODIFIED.into_response());
    }
    Ok(Json(list).into_response())
}
