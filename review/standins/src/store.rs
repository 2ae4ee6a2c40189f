//! The platform's store: objects by kind and name, watches, conditional writes, and the drill in
//! which it comes back from an older copy.

use std::{
    collections::BTreeMap,
    io,
    net::{SocketAddr, TcpStream},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use serde_json::{Value, json};

use crate::http::{self, Request, Then};

const PREFIX: &str = "/-/objects/";

#[derive(Clone, Default)]
struct Contents {
    revision: u64,
    objects: BTreeMap<(String, String), Value>,
    history: Vec<Change>,
}

#[derive(Clone)]
struct Change {
    revision: u64,
    kind: String,
    event: Value,
}

struct State {
    contents: Contents,
    era: u64,
    is_away: bool,
    /// When a change of the configuration was last asked for.
    configuration_asked: Option<Instant>,
}

#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

/// A copy of the store's contents.
pub struct Copy(Contents);

impl Contents {
    fn put(&mut self, kind: &str, name: &str, spec: &Value) -> u64 {
        let key = (kind.to_owned(), name.to_owned());
        let known = self.objects.get(&key);
        if let Some(known) = known.filter(|known| known["spec"] == *spec) {
            return known["metadata"]["modRevision"].as_u64().unwrap_or(0);
        }
        let created = known.and_then(|known| known["metadata"]["createRevision"].as_u64());
        self.revision += 1;
        let object = json!({
            "metadata": { "name": name, "modRevision": self.revision,
                "createRevision": created.unwrap_or(self.revision),
                "finalizers": [], "deleting": false },
            "spec": spec, "status": null,
        });
        self.note(kind, json!({ "object": object, "deleted": false }));
        self.objects.insert(key, object);
        self.revision
    }

    fn remove(&mut self, kind: &str, name: &str) -> Option<Value> {
        let object = self.objects.remove(&(kind.to_owned(), name.to_owned()))?;
        self.revision += 1;
        self.note(kind, json!({ "object": object, "deleted": true }));
        Some(object)
    }

    fn note(&mut self, kind: &str, event: Value) {
        self.history.push(Change { revision: self.revision, kind: kind.to_owned(), event });
    }
}

impl Store {
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let contents = Contents { revision: 10, ..Contents::default() };
        let state = State { contents, era: 1, is_away: false, configuration_asked: None };
        let shared = Arc::new((Mutex::new(state), Condvar::new()));
        let served = shared.clone();
        http::serve(address, move |request, stream| handle(&served, &request, stream))?;
        Ok(Self { shared })
    }

    fn with<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let result = change(&mut self.shared.0.lock().unwrap());
        self.shared.1.notify_all();
        result
    }

    /// Writes an object as the operator or a worker does. Returns its revision.
    pub fn put(&self, kind: &str, name: &str, spec: &Value) -> u64 {
        self.with(|state| state.contents.put(kind, name, spec))
    }

    pub fn copy(&self) -> Copy {
        Copy(self.with(|state| state.contents.clone()))
    }

    /// Closes all connections without an answer until [`Self::come_back`].
    pub fn go_away(&self) {
        self.with(|state| state.is_away = true);
    }

    /// Comes back from a copy, to which the operator and the workers write their objects again, each
    /// as it is now.
    pub fn come_back(&self, copy: Copy, written_again: &[(&str, &str, Value)]) -> u64 {
        self.with(|state| {
            state.contents = copy.0;
            for (kind, name, spec) in written_again {
                state.contents.put(kind, name, spec);
            }
            state.era += 1;
            state.is_away = false;
            state.contents.revision
        })
    }

    pub fn revision(&self) -> u64 {
        self.with(|state| state.contents.revision)
    }

    /// Waits for the next read of the configuration.
    pub fn wait_for_configuration_read(&self) {
        let began = Instant::now();
        while self.with(|state| state.configuration_asked.is_none_or(|asked| asked < began)) {
            std::thread::sleep(Duration::from_millis(2));
        }
    }
}

fn handle(
    shared: &(Mutex<State>, Condvar),
    request: &Request,
    stream: &mut TcpStream,
) -> io::Result<Then> {
    let (status, body, era) = {
        let (state, changed) = shared;
        let state = state.lock().unwrap();
        if state.is_away {
            return Ok(Then::Close);
        }
        let era = state.era;
        let (status, body) = match request.query("watch").and_then(|text| text.parse().ok()) {
            Some(revision) if request.method == "GET" => {
                let wait_ms = request.query("waitMs").and_then(|text| text.parse().ok());
                let wait = Duration::from_millis(wait_ms.unwrap_or(0));
                watch(state, changed, request, revision, wait)
            }
            _ => {
                let mut state = state;
                let answer = execute(&mut state, request);
                changed.notify_all();
                answer
            }
        };
        (status, body, era)
    };
    // Answers do not outlive the state that they tell of.
    if shared.0.lock().unwrap().is_away || shared.0.lock().unwrap().era != era {
        return Ok(Then::Close);
    }
    let era = era.to_string();
    let headers = [("Content-Type", "application/json"), ("Store-Era", era.as_str())];
    http::answer(stream, status, &headers, body.to_string().as_bytes())
}

fn kind_of(request: &Request) -> (String, Vec<String>) {
    let rest = request.path().strip_prefix(PREFIX).unwrap_or_default();
    let mut parts = rest.split('/').map(str::to_owned);
    (parts.next().unwrap_or_default(), parts.collect())
}

fn watch<'a>(
    mut state: std::sync::MutexGuard<'a, State>,
    changed: &Condvar,
    request: &Request,
    after: u64,
    wait: Duration,
) -> (u16, Value) {
    let (kind, _) = kind_of(request);
    if kind == "config" {
        state.configuration_asked = Some(Instant::now());
    }
    let (era, until) = (state.era, Instant::now() + wait);
    loop {
        if state.is_away || state.era != era {
            return (503, Value::Null);
        }
        // A watch from a revision that the store doesn't have gets 410.
        if after > state.contents.revision {
            return (410, json!({}));
        }
        let changes = state.contents.history.iter();
        let events: Vec<Value> = changes
            .filter(|change| change.revision > after && change.kind == kind)
            .map(|change| change.event.clone())
            .collect();
        let now = Instant::now();
        if !events.is_empty() || now >= until {
            return (200, json!({ "events": events, "asOf": state.contents.revision }));
        }
        state = changed.wait_timeout(state, until - now).unwrap().0;
    }
}

fn execute(state: &mut State, request: &Request) -> (u16, Value) {
    let (kind, rest) = kind_of(request);
    let body: Value = serde_json::from_slice(&request.body).unwrap_or(Value::Null);
    let expected = body["metadata"]["modRevision"]
        .as_u64()
        .or_else(|| request.query("modRevision").and_then(|text| text.parse().ok()));
    if kind == "config" {
        state.configuration_asked = Some(Instant::now());
    }
    let contents = &mut state.contents;
    match (request.method.as_str(), rest.first()) {
        ("GET", None) => {
            let of_kind = contents.objects.iter().filter(|((of, _), _)| *of == kind);
            let items: Vec<&Value> = of_kind.map(|(_, object)| object).collect();
            (200, json!({ "items": items, "hasMore": false, "asOf": contents.revision }))
        }
        ("GET", Some(name)) => match contents.objects.get(&(kind, name.clone())) {
            Some(object) => (200, object.clone()),
            None => (404, json!({})),
        },
        ("POST", None) => {
            let name = body["metadata"]["name"].as_str().unwrap_or_default().to_owned();
            if let Some(known) = contents.objects.get(&(kind.clone(), name.clone())) {
                return (409, known.clone());
            }
            contents.put(&kind, &name, &body["spec"]);
            (201, contents.objects[&(kind, name)].clone())
        }
        ("PUT" | "DELETE", Some(name)) => {
            let key = (kind.clone(), name.clone());
            let Some(known) = contents.objects.get(&key).cloned() else { return (404, json!({})) };
            if expected.is_some() && expected != known["metadata"]["modRevision"].as_u64() {
                return (409, known);
            }
            if request.method == "DELETE" {
                contents.remove(&kind, name);
                return (200, known);
            }
            contents.put(&kind, name, &body["spec"]);
            (200, contents.objects[&key].clone())
        }
        _ => (400, json!({})),
    }
}
