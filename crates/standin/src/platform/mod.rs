//! A stand-in for the platform: its store of objects, and the live list that it keeps there.

mod live_list;

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use samphirespread_adapter::Kind;
use samphirespread_core::prelude::*;
use samphirespread_platform::{
    api::{LiveInstance, LiveList, LiveState, Object, ObjectVersion},
    kind_of,
};
use serde_json::Value;
use tokio::{task::JoinHandle, time};

use self::live_list::{Entry, LiveListLag};
use crate::published::{FIRST_ERA, ObjectStore, StoreCalls, StoreFault, StoreRates};

/// Time between looks at changes of the live list that are due.
const LIVE_LIST_TICK_MS: u64 = 5;

/// How the platform behaves from its start on.
#[derive(Clone, Debug, Default)]
pub struct PlatformConfig {
    rates: StoreRates,
    list_lag_ms: u64,
}

impl PlatformConfig {
    /// No limits and no lag.
    pub fn new() -> Self {
        Self::default()
    }

    /// Refuses reads past this rate with `429`. A watch is one read.
    #[must_use]
    pub fn reads_per_s(mut self, reads_per_s: u32) -> Self {
        self.rates.reads_per_s = Some(reads_per_s);
        self
    }

    /// Refuses writes past this rate with `429`.
    #[must_use]
    pub fn writes_per_s(mut self, writes_per_s: u32) -> Self {
        self.rates.writes_per_s = Some(writes_per_s);
        self
    }

    /// Changes of the live list show this much later.
    #[must_use]
    pub fn list_lag_ms(mut self, list_lag_ms: u64) -> Self {
        self.list_lag_ms = list_lag_ms;
        self
    }
}

/// How the platform fails.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Outage {
    /// Not at all.
    #[default]
    None,
    /// Every call is answered `503`.
    Unavailable,
    /// Connections are taken and stay silent.
    Silent,
}

/// A running stand-in of the platform. It ends when dropped.
///
/// ```
/// use samphirespread_platform::{Platform as _, StorePlatform};
/// use samphirespread_standin::platform::{Platform, PlatformConfig};
///
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// let platform = Platform::start(PlatformConfig::new()).await.unwrap();
/// let client = StorePlatform::new(platform.address(), 500);
/// client.create("config/head", "{}").await.unwrap();
///
/// assert_eq!(platform.calls().writes, 1);
/// # });
/// ```
#[derive(Debug)]
pub struct Platform {
    shared: Arc<Shared>,
    ticks: JoinHandle<()>,
}

#[derive(Debug)]
struct Shared {
    store: ObjectStore,
    live: Mutex<LiveListLag>,
}

impl Shared {
    fn live(&self) -> MutexGuard<'_, LiveListLag> {
        self.live.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Puts the changes of the live list that are due into the store.
    fn show_due(&self) {
        let kind = Kind::Instances.name();
        let mut live = self.live();
        while let Some(entry) = live.next_due() {
            match entry {
                Entry::Set(instance) => {
                    let spec = serde_json::to_value(&instance).expect("an instance is plain data");
                    self.store.put(kind, instance.name.as_str(), spec);
                }
                Entry::Removed(name) => self.store.remove(kind, name.as_str()),
            }
        }
    }
}

impl Platform {
    /// Starts on a port of its own.
    ///
    /// # Errors
    ///
    /// When no port can be had.
    #[expect(clippy::unused_async, reason = "the tasks need a runtime around them")]
    pub async fn start(config: PlatformConfig) -> io::Result<Self> {
        let mut live = LiveListLag::default();
        live.set_lag(Duration::from_millis(config.list_lag_ms));
        let store = ObjectStore::start_with(config.rates)?;
        let shared = Arc::new(Shared { store, live: Mutex::new(live) });
        let ticking = Arc::clone(&shared);
        let ticks = tokio::spawn(async move {
            loop {
                time::sleep(Duration::from_millis(LIVE_LIST_TICK_MS)).await;
                ticking.show_due();
            }
        });
        Ok(Self { shared, ticks })
    }

    /// Where the platform listens.
    pub fn address(&self) -> SocketAddr {
        self.shared.store.address()
    }

    /// Puts an instance into the live list, or replaces the one of its name.
    pub fn put_instance(&self, instance: LiveInstance) {
        self.change(Entry::Set(instance));
    }

    /// Takes an instance out of the live list.
    pub fn remove_instance(&self, name: &InstanceName) {
        self.change(Entry::Removed(name.clone()));
    }

    /// Marks an instance in the live list.
    pub fn set_instance_state(&self, name: &InstanceName, state: LiveState) {
        let known = self.shared.live().instance(name).cloned();
        if let Some(instance) = known {
            self.change(Entry::Set(LiveInstance { state, ..instance }));
        }
    }

    fn change(&self, entry: Entry) {
        self.shared.live().change(entry);
        self.shared.show_due();
    }

    /// The live list that callers are shown now.
    ///
    /// # Panics
    ///
    /// When an entry was written by another than this stand-in.
    pub fn live_list(&self) -> LiveList {
        let shown = self.shared.store.objects(Kind::Instances.name());
        let version = shown.iter().map(version_of).max().unwrap_or_default();
        let instances = shown.into_iter().map(|mut object| {
            serde_json::from_value(object["spec"].take()).expect("written by this stand-in")
        });
        LiveList { version, instances: instances.collect() }
    }

    /// While frozen, the live list shows no change.
    pub fn set_list_frozen(&self, frozen: bool) {
        self.shared.show_due();
        self.shared.live().set_frozen(frozen);
        self.shared.show_due();
    }

    /// Later changes of the live list show this much later.
    pub fn set_list_lag_ms(&self, lag_ms: u64) {
        self.shared.live().set_lag(Duration::from_millis(lag_ms));
    }

    /// Begins or ends an outage.
    pub fn set_outage(&self, outage: Outage) {
        let fault = match outage {
            Outage::Unavailable => StoreFault::Unavailable,
            Outage::None | Outage::Silent => StoreFault::None,
        };
        self.shared.store.set_fault(fault);
        self.shared.store.set_frozen(outage == Outage::Silent);
    }

    /// Lets no byte through on the connections that are open now, for good. New ones work.
    pub fn silence_open_connections(&self) {
        self.shared.store.silence_open_connections();
    }

    /// Delays every answer.
    pub fn set_slow_ms(&self, slow_ms: u64) {
        self.shared.store.set_slow_ms(slow_ms);
    }

    /// The next writes that succeed take effect and get no answer: their connections are closed.
    pub fn lose_next_answers(&self, count: u32) {
        self.shared.store.lose_next_answers(count);
    }

    /// Forgets what has changed until now, so that watches have to begin anew.
    pub fn forget_history(&self) {
        self.shared.store.forget_history();
    }

    /// Calls since the start.
    pub fn calls(&self) -> StoreCalls {
        self.shared.store.calls()
    }

    /// The object under a key, not counted as a call.
    pub fn object(&self, key: &str) -> Option<Object> {
        self.shared.store.object(kind_of(key).name(), key).map(|object| document(&object))
    }

    /// All objects below a prefix, not counted as a call.
    pub fn objects(&self, prefix: &str) -> Vec<Object> {
        let all = self.shared.store.objects(kind_of(prefix).name());
        let documents = all.iter().map(document);
        documents.filter(|document| document.key.starts_with(prefix)).collect()
    }

    /// Writes an object whatever its version, not counted as a call.
    pub fn put_object(&self, key: &str, value: &str) -> ObjectVersion {
        version_at(self.shared.store.put(kind_of(key).name(), key, value))
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        self.ticks.abort();
    }
}

fn document(object: &Value) -> Object {
    let key = object["metadata"]["name"].as_str().unwrap_or_default().to_owned();
    let value = object["spec"].as_str().map(str::to_owned);
    Object { key, version: version_of(object), value }
}

fn version_of(object: &Value) -> ObjectVersion {
    version_at(object["metadata"]["modRevision"].as_u64().unwrap_or_default())
}

/// The version at a revision of this store, which is never restored.
fn version_at(revision: u64) -> ObjectVersion {
    ObjectVersion::of(StorePosition::new(FIRST_ERA, revision)).unwrap_or_default()
}
