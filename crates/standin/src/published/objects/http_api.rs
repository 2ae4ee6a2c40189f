//! The store's calls by HTTP.

use std::{sync::Arc, time::Duration};

use axum::{
    Json, Router,
    extract::{Path, Query, State as Shares},
    middleware,
    response::{Extension, IntoResponse, Response},
    routing::{get, put},
};
use http::{StatusCode, header};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::time;

use super::{Shared, State, StoreFault, state::revision_of};
use crate::server::LostAnswer;

/// The header with the store's era.
const ERA: &str = "store-era";
/// Objects of one page.
const MAX_PAGE_OBJECTS: usize = 200;
/// The size from which on a page takes no further object.
const PAGE_BYTES: usize = 1_000_000;

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct Parameters {
    after: Option<String>,
    watch: Option<u64>,
    wait_ms: Option<u64>,
    mod_revision: Option<u64>,
}

pub(super) fn router(shared: Arc<Shared>) -> Router {
    Router::new()
        .route("/-/objects/{kind}", get(list).post(create))
        .route("/-/objects/{kind}/{name}", get(read).put(replace).delete(remove))
        .route("/-/objects/{kind}/{name}/status", put(replace_status))
        .layer(middleware::map_response_with_state(shared.clone(), name_era))
        .with_state(shared)
}

/// Names the store's era in an answer.
async fn name_era(Shares(shared): Shares<Arc<Shared>>, mut response: Response) -> Response {
    let era = shared.lock().era;
    response.headers_mut().insert(ERA, era.into());
    response
}

impl State {
    fn admit_read(&mut self) -> Result<(), StatusCode> {
        self.calls.reads += 1;
        self.admit(|state| state.reads.take())
    }

    fn admit_write(&mut self) -> Result<(), StatusCode> {
        self.calls.writes += 1;
        self.admit(|state| state.writes.take())
    }

    fn admit(&mut self, take: impl FnOnce(&mut Self) -> bool) -> Result<(), StatusCode> {
        if self.fault == StoreFault::Unavailable {
            self.calls.during_outage += 1;
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        if self.fault == StoreFault::OverRate || !take(self) {
            self.calls.rate_limited += 1;
            return Err(StatusCode::TOO_MANY_REQUESTS);
        }
        Ok(())
    }

    /// Returns the text of the page of objects whose names come after this one.
    fn page_after(&self, kind: &str, after: &str) -> String {
        let mut rest = self.objects.of_kind_after(kind, after);
        let mut items = Vec::new();
        let mut page_bytes = 0;
        while items.len() < MAX_PAGE_OBJECTS && page_bytes < PAGE_BYTES {
            let Some((_, object)) = rest.next() else { break };
            let item = self.text_of(object);
            page_bytes += item.len();
            items.push(item);
        }
        let (items, has_more) = (items.join(","), rest.next().is_some());
        let as_of = self.objects.revision();
        format!(r#"{{"items":[{items}],"hasMore":{has_more},"asOf":{as_of}}}"#)
    }

    /// The revision of an object that a call may change: it exists, and is as the call expects.
    fn expect(&self, kind: &str, name: &str, expected: Option<u64>) -> Result<(), StatusCode> {
        let object = self.objects.get(kind, name).ok_or(StatusCode::NOT_FOUND)?;
        let met = expected.is_none_or(|expected| expected == revision_of(object));
        if met { Ok(()) } else { Err(StatusCode::CONFLICT) }
    }

    /// The answer to a write that took effect, if it isn't lost.
    fn written(&mut self, status: StatusCode, object: Value) -> Response {
        if self.lose_answers == 0 && self.fault != StoreFault::LoseWriteAnswers {
            return (status, Json(object)).into_response();
        }
        self.lose_answers = self.lose_answers.saturating_sub(1);
        self.calls.answers_lost += 1;
        (Extension(LostAnswer), ()).into_response()
    }
}

async fn list(
    Shares(shared): Shares<Arc<Shared>>,
    Path(kind): Path<String>,
    Query(parameters): Query<Parameters>,
) -> Result<Response, StatusCode> {
    shared.lock().admit_read()?;
    if let Some(revision) = parameters.watch {
        shared.lock().calls.watches += 1;
        return wait(&shared, &kind, revision, parameters.wait_ms.unwrap_or_default()).await;
    }

    let mut state = shared.lock();
    state.calls.listings += 1;
    if state.refused_kind.as_ref() == Some(&kind) {
        return Err(StatusCode::SERVICE_UNAVAILABLE);
    }
    let after = parameters.after.unwrap_or_default();
    Ok(json_response(state.page_after(&kind, &after)))
}

fn json_response(text: String) -> Response {
    ([(header::CONTENT_TYPE, "application/json")], text).into_response()
}

async fn wait(
    shared: &Shared,
    kind: &str,
    revision: u64,
    wait_ms: u64,
) -> Result<Response, StatusCode> {
    let mut changed = shared.changed.subscribe();
    let until = time::Instant::now() + Duration::from_millis(wait_ms);
    loop {
        changed.borrow_and_update();
        {
            let state = shared.lock();
            if state.fault == StoreFault::Unavailable {
                return Err(StatusCode::SERVICE_UNAVAILABLE);
            }
            let events = state.objects.changes(kind, revision).ok_or(StatusCode::GONE)?;
            if !events.is_empty() || time::Instant::now() >= until {
                let body = json!({ "events": events, "asOf": state.objects.revision() });
                return Ok(json_response(state.text_of(&body)));
            }
        }
        // Whether a change or the time ends the wait, the loop looks again.
        let _ = time::timeout_at(until, changed.changed()).await;
    }
}

async fn read(
    Shares(shared): Shares<Arc<Shared>>,
    Path((kind, name)): Path<(String, String)>,
) -> Result<Response, StatusCode> {
    let mut state = shared.lock();
    state.admit_read()?;
    let object = state.objects.get(&kind, &name).ok_or(StatusCode::NOT_FOUND)?;
    Ok(json_response(state.text_of(object)))
}

async fn create(
    Shares(shared): Shares<Arc<Shared>>,
    Path(kind): Path<String>,
    Json(body): Json<Value>,
) -> Result<Response, StatusCode> {
    let name = body["metadata"]["name"].as_str().ok_or(StatusCode::BAD_REQUEST)?;
    write(&shared, |state| {
        if state.objects.get(&kind, name).is_some() {
            return Err(StatusCode::CONFLICT);
        }
        Ok((StatusCode::CREATED, state.objects.put(&kind, name, &body["spec"])))
    })
}

async fn replace(
    Shares(shared): Shares<Arc<Shared>>,
    Path((kind, name)): Path<(String, String)>,
    Json(body): Json<Value>,
) -> Result<Response, StatusCode> {
    write(&shared, |state| {
        state.expect(&kind, &name, body["metadata"]["modRevision"].as_u64())?;
        Ok((StatusCode::OK, state.objects.put(&kind, &name, &body["spec"])))
    })
}

async fn replace_status(
    Shares(shared): Shares<Arc<Shared>>,
    Path((kind, name)): Path<(String, String)>,
    Json(body): Json<Value>,
) -> Result<Response, StatusCode> {
    write(&shared, |state| {
        state.expect(&kind, &name, body["metadata"]["modRevision"].as_u64())?;
        let object = state.objects.put_status(&kind, &name, &body["status"]);
        Ok((StatusCode::OK, object.unwrap_or(Value::Null)))
    })
}

async fn remove(
    Shares(shared): Shares<Arc<Shared>>,
    Path((kind, name)): Path<(String, String)>,
    Query(parameters): Query<Parameters>,
) -> Result<Response, StatusCode> {
    write(&shared, |state| {
        state.expect(&kind, &name, parameters.mod_revision)?;
        Ok((StatusCode::OK, state.objects.remove(&kind, &name).unwrap_or(Value::Null)))
    })
}

/// Carries out a write, wakes the watches, and answers with the object as it is then.
fn write(
    shared: &Shared,
    change: impl FnOnce(&mut State) -> Result<(StatusCode, Value), StatusCode>,
) -> Result<Response, StatusCode> {
    let response = {
        let mut state = shared.lock();
        state.admit_write()?;
        let (status, object) = change(&mut state)?;
        state.written(status, object)
    };
    shared.notify_watches();
    Ok(response)
}
