//! A stand-in for the platform: the object API and the live list.

mod http_api;
mod rate;
mod store;

use std::{
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use samphirespread_core::prelude::*;
use samphirespread_platform::api::{LiveInstance, LiveList, LiveState, Object, ObjectVersion};
use tokio::sync::watch;

use self::{
    rate::CallRate,
    store::{Expected, Instances, Objects},
};
use crate::server::Server;

/// How the platform behaves from its start on.
#[derive(Clone, Debug, Default)]
pub struct PlatformConfig {
    reads_per_s: Option<u32>,
    writes_per_s: Option<u32>,
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
        self.reads_per_s = Some(reads_per_s);
        self
    }

    /// Refuses writes past this rate with `429`.
    #[must_use]
    pub fn writes_per_s(mut self, writes_per_s: u32) -> Self {
        self.writes_per_s = Some(writes_per_s);
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

/// Calls since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PlatformCalls {
    /// Reads, watches included.
    pub reads: u64,
    /// Watches.
    pub watches: u64,
    /// Writes, those that met another version included.
    pub writes: u64,
    /// Calls that were past a rate.
    pub rate_limited: u64,
    /// Calls during an outage.
    pub during_outage: u64,
    /// Writes whose answer was dropped.
    pub answers_lost: u64,
}

/// A running stand-in of the platform. It ends when dropped.
///
/// ```
/// use samphirespread_platform::{HttpPlatform, HttpPlatformConfig, Platform as _};
/// use samphirespread_standin::platform::{Platform, PlatformConfig};
///
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// let platform = Platform::start(PlatformConfig::new()).await.unwrap();
/// let client = HttpPlatform::new(HttpPlatformConfig::new(platform.address().to_string()));
/// client.create("config/head", "{}").await.unwrap();
///
/// assert_eq!(platform.calls().writes, 1);
/// # });
/// ```
#[derive(Debug)]
pub struct Platform {
    server: Server,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    /// The version of the last write, for watches that wait.
    changed: watch::Sender<ObjectVersion>,
}

#[derive(Debug)]
struct State {
    objects: Objects,
    instances: Instances,
    reads: CallRate,
    writes: CallRate,
    calls: PlatformCalls,
    unavailable: bool,
    lose_answers: u32,
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Platform {
    /// Starts on a port of its own.
    ///
    /// # Errors
    ///
    /// When no port can be had.
    #[expect(clippy::unused_async, reason = "the server's task needs a runtime around it")]
    pub async fn start(config: PlatformConfig) -> io::Result<Self> {
        let mut instances = Instances::default();
        instances.set_lag(Duration::from_millis(config.list_lag_ms));
        let state = State {
            objects: Objects::default(),
            instances,
            reads: CallRate::new(config.reads_per_s),
            writes: CallRate::new(config.writes_per_s),
            calls: PlatformCalls::default(),
            unavailable: false,
            lose_answers: 0,
        };
        let (changed, _) = watch::channel(ObjectVersion(0));
        let shared = Arc::new(Shared { state: Mutex::new(state), changed });
        let server = Server::start(http_api::router(Arc::clone(&shared)))?;
        Ok(Self { server, shared })
    }

    /// Where the platform listens.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Puts an instance into the live list, or replaces the one of its name.
    pub fn put_instance(&self, instance: LiveInstance) {
        self.shared.lock().instances.put(instance);
    }

    /// Takes an instance out of the live list.
    pub fn remove_instance(&self, name: &InstanceName) {
        self.shared.lock().instances.remove(name);
    }

    /// Marks an instance in the live list.
    pub fn set_instance_state(&self, name: &InstanceName, state: LiveState) {
        self.shared.lock().instances.set_state(name, state);
    }

    /// The live list that callers are shown now.
    pub fn live_list(&self) -> LiveList {
        self.shared.lock().instances.show().clone()
    }

    /// While frozen, the live list shows no change.
    pub fn set_list_frozen(&self, frozen: bool) {
        self.shared.lock().instances.set_frozen(frozen);
    }

    /// Later changes of the live list show this much later.
    pub fn set_list_lag_ms(&self, lag_ms: u64) {
        self.shared.lock().instances.set_lag(Duration::from_millis(lag_ms));
    }

    /// Begins or ends an outage.
    pub fn set_outage(&self, outage: Outage) {
        self.shared.lock().unavailable = outage == Outage::Unavailable;
        self.server.set_frozen(outage == Outage::Silent);
        // Waiting watches end with the outage's answer.
        self.shared.changed.send_modify(|_| {});
    }

    /// Delays every answer.
    pub fn set_slow_ms(&self, slow_ms: u64) {
        self.server.set_slow_ms(slow_ms);
    }

    /// The next writes that succeed take effect and get no answer: their connections are closed.
    pub fn lose_next_answers(&self, count: u32) {
        self.shared.lock().lose_answers = count;
    }

    /// Calls since the start.
    pub fn calls(&self) -> PlatformCalls {
        self.shared.lock().calls
    }

    /// The object under a key, not counted as a call.
    pub fn object(&self, key: &str) -> Option<Object> {
        self.shared.lock().objects.get(key).cloned()
    }

    /// All objects below a prefix, not counted as a call.
    pub fn objects(&self, prefix: &str) -> Vec<Object> {
        self.shared.lock().objects.list(prefix).objects
    }

    /// Writes an object whatever its version, not counted as a call.
    pub fn put_object(&self, key: &str, value: &str) -> ObjectVersion {
        let mut state = self.shared.lock();
        let expected = match state.objects.get(key) {
            Some(object) => Expected::Version(object.version),
            None => Expected::Absent,
        };
        let value = Some(value.to_owned());
        let version = state.objects.write(key, expected, value).unwrap_or_default();
        drop(state);
        self.shared.changed.send_replace(version);
        version
    }
}
