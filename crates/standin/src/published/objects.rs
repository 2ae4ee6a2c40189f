//! The store of objects: lists with pages, watches, conditional writes, and its failures.

use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use axum::{
    Json, Router,
    extract::{Path, Query, State},
    http::StatusCode,
    response::{Extension, IntoResponse, Response},
    routing::get,
};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::{sync::watch, time};

use crate::server::{LostAnswer, Server};

/// Objects of one page.
const PAGE: usize = 50;

/// How the store fails.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// It does not.
    #[default]
    None,
    /// Every call is refused; nothing is done.
    Unavailable,
    /// Every call is refused as beyond the rate; nothing is done.
    OverRate,
    /// Writes take effect, and their answers are lost.
    LoseWriteAnswers,
}

/// A store of objects.
#[derive(Debug)]
pub struct ObjectStore {
    server: Server,
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    objects: Mutex<Objects>,
    changed: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct Objects {
    revision: u64,
    kinds: BTreeMap<String, BTreeMap<String, Value>>,
    history: Vec<(u64, String, Value)>,
    history_from: u64,
    fault: StoreFault,
    calls: u64,
}

#[derive(Debug, Default, Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct Parameters {
    after: Option<String>,
    watch: Option<u64>,
    wait_ms: Option<u64>,
    mod_revision: Option<u64>,
}

impl ObjectStore {
    /// Starts an empty store.
    ///
    /// # Errors
    ///
    /// When no port can be had.
    pub fn start() -> io::Result<Self> {
        let inner = Arc::new(Inner {
            objects: Mutex::new(Objects { revision: 1, ..Objects::default() }),
            changed: watch::channel(1).0,
        });
        let router = Router::new()
            .route("/-/objects/{kind}", get(list).post(create))
            .route("/-/objects/{kind}/{name}", get(read).put(replace).delete(remove))
            .with_state(inner.clone());
        Ok(Self { server: Server::start(router)?, inner })
    }

    /// Where it answers.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Puts an object there, as its writer would.
    pub fn put(&self, kind: &str, name: &str, spec: impl Into<Value>) {
        self.inner.lock().put(kind, name, &spec.into());
        self.inner.tell();
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        self.inner.lock().remove(kind, name);
        self.inner.tell();
    }

    /// The spec of an object.
    pub fn spec(&self, kind: &str, name: &str) -> Option<Value> {
        let objects = self.inner.lock();
        Some(objects.kinds.get(kind)?.get(name)?["spec"].clone())
    }

    /// Sets how it fails.
    pub fn set_fault(&self, fault: StoreFault) {
        self.inner.lock().fault = fault;
    }

    /// While frozen, connections stay open and nothing is answered.
    pub fn set_frozen(&self, frozen: bool) {
        self.server.set_frozen(frozen);
    }

    /// Drops the history, so that watches have to begin anew.
    pub fn forget_history(&self) {
        let mut objects = self.inner.lock();
        objects.history.clear();
        objects.history_from = objects.revision;
    }

    /// Calls that were answered.
    pub fn calls(&self) -> u64 {
        self.inner.lock().calls
    }
}

impl Inner {
    fn lock(&self) -> MutexGuard<'_, Objects> {
        self.objects.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn tell(&self) {
        let revision = self.lock().revision;
        self.changed.send_replace(revision);
    }
}

impl Objects {
    fn put(&mut self, kind: &str, name: &str, spec: &Value) -> Value {
        let known = self.kinds.get(kind).and_then(|objects| objects.get(name));
        if let Some(object) = known.filter(|object| object["spec"] == *spec) {
            return object.clone();
        }
        let created = known.map_or(self.revision + 1, |object| {
            object["metadata"]["createRevision"].as_u64().unwrap_or_default()
        });
        self.revision += 1;
        let object = json!({
            "metadata": { "name": name, "modRevision": self.revision, "createRevision": created,
                          "finalizers": [], "deleting": false },
            "spec": spec,
            "status": null,
        });
        self.kinds.entry(kind.to_owned()).or_default().insert(name.to_owned(), object.clone());
        self.note(kind, false, &object);
        object
    }

    fn remove(&mut self, kind: &str, name: &str) -> Option<Value> {
        let object = self.kinds.get_mut(kind)?.remove(name)?;
        self.revision += 1;
        self.note(kind, true, &object);
        Some(object)
    }

    fn note(&mut self, kind: &str, deleted: bool, object: &Value) {
        let event = json!({ "deleted": deleted, "object": object });
        self.history.push((self.revision, kind.to_owned(), event));
    }

    fn events(&self, kind: &str, after: u64) -> Vec<Value> {
        let is_new = |(revision, of, _): &&(u64, String, Value)| *revision > after && of == kind;
        self.history.iter().filter(is_new).map(|(_, _, event)| event.clone()).collect()
    }

    fn revision_of(&self, kind: &str, name: &str) -> Option<u64> {
        self.kinds.get(kind)?.get(name)?["metadata"]["modRevision"].as_u64()
    }

    /// The answer of a store that fails, for a call that it does not carry out.
    fn refusal(&mut self) -> Option<Response> {
        self.calls += 1;
        match self.fault {
            StoreFault::Unavailable => Some(StatusCode::SERVICE_UNAVAILABLE.into_response()),
            StoreFault::OverRate => Some(StatusCode::TOO_MANY_REQUESTS.into_response()),
            StoreFault::None | StoreFault::LoseWriteAnswers => None,
        }
    }

    fn written(&self, status: StatusCode, object: Value) -> Response {
        if self.fault == StoreFault::LoseWriteAnswers {
            return (Extension(LostAnswer), ()).into_response();
        }
        (status, Json(object)).into_response()
    }
}

async fn list(
    State(inner): State<Arc<Inner>>,
    Path(kind): Path<String>,
    Query(parameters): Query<Parameters>,
) -> Response {
    if let Some(refusal) = inner.lock().refusal() {
        return refusal;
    }
    if let Some(revision) = parameters.watch {
        return wait(&inner, &kind, revision, parameters.wait_ms.unwrap_or_default()).await;
    }
    let objects = inner.lock();
    let none = BTreeMap::new();
    let all = objects.kinds.get(&kind).unwrap_or(&none);
    let after = parameters.after.unwrap_or_default();
    let mut rest = all.iter().filter(|(name, _)| **name > after);
    let items: Vec<&Value> = rest.by_ref().take(PAGE).map(|(_, object)| object).collect();
    let has_more = rest.next().is_some();
    Json(json!({ "items": items, "hasMore": has_more, "asOf": objects.revision })).into_response()
}

async fn wait(inner: &Inner, kind: &str, revision: u64, wait_ms: u64) -> Response {
    let mut changed = inner.changed.subscribe();
    let until = time::Instant::now() + Duration::from_millis(wait_ms);
    loop {
        {
            let objects = inner.lock();
            if revision < objects.history_from {
                return StatusCode::GONE.into_response();
            }
            let events = objects.events(kind, revision);
            if !events.is_empty() || time::Instant::now() >= until {
                let body = json!({ "events": events, "asOf": objects.revision });
                return Json(body).into_response();
            }
        }
        // Whether a change or the time ends the wait, the loop looks again.
        let _ = time::timeout_at(until, changed.changed()).await;
    }
}

async fn read(
    State(inner): State<Arc<Inner>>,
    Path((kind, name)): Path<(String, String)>,
) -> Response {
    let mut objects = inner.lock();
    if let Some(refusal) = objects.refusal() {
        return refusal;
    }
    match objects.kinds.get(&kind).and_then(|all| all.get(&name)) {
        Some(object) => Json(object.clone()).into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn create(
    State(inner): State<Arc<Inner>>,
    Path(kind): Path<String>,
    Json(body): Json<Value>,
) -> Response {
    let response = {
        let mut objects = inner.lock();
        if let Some(refusal) = objects.refusal() {
            return refusal;
        }
        let Some(name) = body["metadata"]["name"].as_str() else {
            return StatusCode::BAD_REQUEST.into_response();
        };
        if objects.revision_of(&kind, name).is_some() {
            return StatusCode::CONFLICT.into_response();
        }
        let object = objects.put(&kind, name, &body["spec"]);
        objects.written(StatusCode::CREATED, object)
    };
    inner.tell();
    response
}

async fn replace(
    State(inner): State<Arc<Inner>>,
    Path((kind, name)): Path<(String, String)>,
    Json(body): Json<Value>,
) -> Response {
    let response = {
        let mut objects = inner.lock();
        if let Some(refusal) = objects.refusal() {
            return refusal;
        }
        let Some(revision) = objects.revision_of(&kind, &name) else {
            return StatusCode::NOT_FOUND.into_response();
        };
        let expected = body["metadata"]["modRevision"].as_u64();
        if expected.is_some_and(|expected| expected != revision) {
            return StatusCode::CONFLICT.into_response();
        }
        let object = objects.put(&kind, &name, &body["spec"]);
        objects.written(StatusCode::OK, object)
    };
    inner.tell();
    response
}

async fn remove(
    State(inner): State<Arc<Inner>>,
    Path((kind, name)): Path<(String, String)>,
    Query(parameters): Query<Parameters>,
) -> Response {
    let response = {
        let mut objects = inner.lock();
        if let Some(refusal) = objects.refusal() {
            return refusal;
        }
        let Some(revision) = objects.revision_of(&kind, &name) else {
            return StatusCode::NOT_FOUND.into_response();
        };
        if parameters.mod_revision.is_some_and(|expected| expected != revision) {
            return StatusCode::CONFLICT.into_response();
        }
        let object = objects.remove(&kind, &name).unwrap_or(Value::Null);
        objects.written(StatusCode::OK, object)
    };
    inner.tell();
    response
}
