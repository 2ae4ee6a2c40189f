//! The store of objects: lists with pages, watches, conditional writes, and its failures.

mod http_api;
mod rate;
mod state;

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use serde_json::Value;
use tokio::sync::watch;

use self::{rate::CallRate, state::Objects};
use crate::server::Server;

/// A fault of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreFault {
    /// No fault.
    #[default]
    None,
    /// Every call is refused; nothing is done.
    Unavailable,
    /// Every call is refused as beyond the rate; nothing is done.
    OverRate,
    /// Writes take effect, and their answers are lost.
    LoseWriteAnswers,
}

/// The number of calls since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreCalls {
    /// Reads, watches included.
    pub reads: u64,
    /// Watches.
    pub watches: u64,
    /// Listings, each page of them.
    pub listings: u64,
    /// Writes, including those that failed because of another revision.
    pub writes: u64,
    /// Calls that were refused because of a rate.
    pub rate_limited: u64,
    /// Calls during an outage.
    pub during_outage: u64,
    /// Writes whose answer was dropped.
    pub answers_lost: u64,
}

/// The number of calls that the store accepts per second. `None` stands for any number.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreRates {
    /// Reads. A watch is one read.
    pub reads_per_s: Option<u32>,
    /// Writes.
    pub writes_per_s: Option<u32>,
}

/// The era of a store that has never been restored.
pub const FIRST_ERA: u64 = 1;

/// A copy of all objects of a store, with their history.
#[derive(Clone, Debug)]
pub struct StoreSnapshot(Objects);

/// A store of objects. It ends when dropped.
#[derive(Debug)]
pub struct ObjectStore {
    server: Server,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    /// The revision of the last change, for watches that wait.
    changed: watch::Sender<u64>,
}

#[derive(Debug)]
struct State {
    objects: Objects,
    /// Rises each time that the store is restored from a copy.
    era: u64,
    reads: CallRate,
    writes: CallRate,
    calls: StoreCalls,
    fault: StoreFault,
    /// The kind whose listings are refused.
    refused_kind: Option<String>,
    /// Writes to come whose answers are lost.
    lose_answers: u32,
    /// Specs that are sent as the text that they were written as, by what stands for them.
    texts: Vec<(String, String)>,
}

impl State {
    /// Returns the JSON text of an answer, with the specs that were written as text.
    fn text_of(&self, answer: &Value) -> String {
        let text = answer.to_string();
        self.texts.iter().fold(text, |text, (stands_for, spec)| text.replace(stands_for, spec))
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes the waiting watches.
    fn notify_watches(&self) {
        let revision = self.lock().objects.revision();
        self.changed.send_replace(revision);
    }
}

impl ObjectStore {
    /// Starts an empty store that takes any number of calls.
    ///
    /// # Errors
    ///
    /// When no port can be had.
    pub fn start() -> io::Result<Self> {
        Self::start_with(StoreRates::default())
    }

    /// Starts an empty store that refuses calls past its rates.
    ///
    /// # Errors
    ///
    /// When no port can be had.
    pub fn start_with(rates: StoreRates) -> io::Result<Self> {
        let state = State {
            objects: Objects::default(),
            era: FIRST_ERA,
            reads: CallRate::new(rates.reads_per_s),
            writes: CallRate::new(rates.writes_per_s),
            calls: StoreCalls::default(),
            fault: StoreFault::None,
            refused_kind: None,
            lose_answers: 0,
            texts: Vec::new(),
        };
        let changed = watch::channel(state.objects.revision()).0;
        let shared = Arc::new(Shared { state: Mutex::new(state), changed });
        Ok(Self { server: Server::start(http_api::router(shared.clone()))?, shared })
    }

    /// Returns the address of the store.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Writes an object and returns its revision. This does not count as a call.
    pub fn put(&self, kind: &str, name: &str, spec: impl Into<Value>) -> u64 {
        let object = self.shared.lock().objects.put(kind, name, &spec.into());
        self.shared.notify_watches();
        state::revision_of(&object)
    }

    /// Replaces the status of an object, which does not count as a call.
    pub fn put_status(&self, kind: &str, name: &str, status: &Value) {
        self.shared.lock().objects.put_status(kind, name, status);
        self.shared.notify_watches();
    }

    /// Writes an object whose spec is this text, which need not be a value that this stand-in can hold,
    /// such as a number that is too large.
    pub fn put_text(&self, kind: &str, name: &str, spec: &str) -> u64 {
        let stands_for = format!("text of {kind}/{name}");
        let quoted = Value::from(stands_for.as_str()).to_string();
        self.shared.lock().texts.push((quoted, spec.to_owned()));
        self.put(kind, name, stands_for)
    }

    /// Returns a copy of all objects.
    pub fn snapshot(&self) -> StoreSnapshot {
        StoreSnapshot(self.shared.lock().objects.clone())
    }

    /// Restores all objects from a copy, which begins a new era. What was written since is lost, and
    /// its revisions are given out again.
    pub fn restore(&self, snapshot: &StoreSnapshot) {
        {
            let mut state = self.shared.lock();
            state.objects = snapshot.0.clone();
            state.era += 1;
        }
        self.shared.notify_watches();
    }

    /// Returns the revision of the last change.
    pub fn revision(&self) -> u64 {
        self.shared.lock().objects.revision()
    }

    /// Removes an object without notifying watches.
    pub fn forget(&self, kind: &str, name: &str) {
        self.shared.lock().objects.forget(kind, name);
    }

    /// Notifies watches of a change of an object without a name.
    pub fn change_nameless(&self, kind: &str) {
        self.shared.lock().objects.change_nameless(kind);
        self.shared.notify_watches();
    }

    /// Removes an object. This does not count as a call.
    pub fn remove(&self, kind: &str, name: &str) {
        self.shared.lock().objects.remove(kind, name);
        self.shared.notify_watches();
    }

    /// Returns the spec of an object.
    pub fn spec(&self, kind: &str, name: &str) -> Option<Value> {
        self.object(kind, name).map(|object| object["spec"].clone())
    }

    /// Returns an object as the store sends it. This does not count as a call.
    pub fn object(&self, kind: &str, name: &str) -> Option<Value> {
        self.shared.lock().objects.get(kind, name).cloned()
    }

    /// Returns all objects of a kind. This does not count as a call.
    pub fn objects(&self, kind: &str) -> Vec<Value> {
        self.shared.lock().objects.of_kind(kind).map(|(_, object)| object.clone()).collect()
    }

    /// Sets the fault of the store.
    pub fn set_fault(&self, fault: StoreFault) {
        self.shared.lock().fault = fault;
        // Waiting watches are answered according to the fault.
        self.shared.notify_watches();
    }

    /// Refuses listings of a kind, or of none any more.
    pub fn refuse_listings_of(&self, kind: Option<&str>) {
        self.shared.lock().refused_kind = kind.map(str::to_owned);
    }

    /// The next writes that succeed take effect and get no answer: their connections are closed.
    pub fn lose_next_answers(&self, count: u32) {
        self.shared.lock().lose_answers = count;
    }

    /// While frozen, connections stay open and nothing is answered.
    pub fn set_frozen(&self, frozen: bool) {
        self.server.set_frozen(frozen);
    }

    /// Silences the open connections for good. New connections work.
    pub fn silence_open_connections(&self) {
        self.server.silence_open_connections();
    }

    /// Drops connections that were idle for that many milliseconds, without notice: what arrives on one
    /// next resets it unread. `None` keeps them.
    pub fn drop_idle_after(&self, after_ms: Option<u64>) {
        self.server.drop_idle_after(after_ms);
    }

    /// Delays every answer.
    pub fn set_slow_ms(&self, slow_ms: u64) {
        self.server.set_slow_ms(slow_ms);
    }

    /// Drops the history, so that watches have to restart from a listing.
    pub fn forget_history(&self) {
        self.shared.lock().objects.forget_history();
    }

    /// Returns the number of calls since the start.
    pub fn calls(&self) -> StoreCalls {
        self.shared.lock().calls
    }
}
