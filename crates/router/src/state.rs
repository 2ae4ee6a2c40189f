//! The state that the parts of a router share, and the identity that it sends to other processes.

use std::sync::{
    Arc, Mutex, PoisonError,
    atomic::{AtomicU64, Ordering},
};

use arc_swap::ArcSwap;
use samphirespread_config::Snapshot;
use samphirespread_core::{prelude::*, time::Clock};
use samphirespread_membership::{Contact, LiveView, Roles};
use samphirespread_platform::{
    StorePlatform,
    api::{LiveList, ObjectVersion},
};
use samphirespread_settings::RouterSettings;
use samphirespread_wire::{HelloSource, Pool, message::Hello};
use slog::Logger;
use tokio::sync::Notify;

use crate::{drain::Drain, fleet::Placer, limits::Admission, metrics::Metrics, trace::TraceFeed};

/// The state that the parts of a router share.
pub(crate) struct Shared {
    pub(crate) settings: RouterSettings,
    pub(crate) log: Logger,
    pub(crate) clock: Clock,
    pub(crate) identity: Identity,
    pub(crate) snapshot: ArcSwap<Snapshot>,
    live: Mutex<LiveView>,
    pub(crate) placer: Placer,
    pub(crate) pool: Pool<Identity>,
    pub(crate) platform: StorePlatform,
    pub(crate) admission: Admission,
    pub(crate) metrics: Metrics,
    pub(crate) drain: Drain,
    contact: Mutex<Contact>,
    // Wakes the task that asks peers for a newer configuration.
    pub(crate) wake_config_sync: Notify,
    /// Wakes the task that sends configurations to agents. Notified when a configuration or a live
    /// list comes into force.
    pub(crate) wake_agent_sync: Notify,
    pub(crate) trace: TraceFeed,
    next_serial: AtomicU64,
}

/// What [`Shared::new`] needs.
pub(crate) struct SharedParts {
    pub(crate) settings: RouterSettings,
    pub(crate) log: Logger,
    pub(crate) clock: Clock,
    pub(crate) identity: Identity,
    pub(crate) pool: Pool<Identity>,
    pub(crate) platform: StorePlatform,
    pub(crate) admission: Admission,
    pub(crate) metrics: Metrics,
}

impl Shared {
    pub(crate) fn new(parts: SharedParts) -> Arc<Self> {
        let seed = parts.identity.incarnation().0;
        let contact = Contact::new(parts.settings.peers.stale_config_ms);
        Arc::new(Self {
            settings: parts.settings,
            log: parts.log,
            clock: parts.clock,
            identity: parts.identity,
            snapshot: ArcSwap::from_pointee(Snapshot::empty()),
            live: Mutex::default(),
            placer: Placer::new(seed),
            pool: parts.pool,
            platform: parts.platform,
            admission: parts.admission,
            metrics: parts.metrics,
            drain: Drain::default(),
            contact: Mutex::new(contact),
            wake_config_sync: Notify::new(),
            wake_agent_sync: Notify::new(),
            trace: TraceFeed::default(),
            next_serial: AtomicU64::new(0),
        })
    }

    /// Returns the latest live list.
    pub(crate) fn live_list(&self) -> Arc<LiveList> {
        self.with_live(|view| Arc::clone(view.list()))
    }

    /// Returns whether this router reads the platform. It does if it is a watcher for its failure
    /// domain, or if its last contact is older than half of the limit for stale configurations.
    pub(crate) fn reads_platform(&self) -> bool {
        let half_stale_ms = self.settings.peers.stale_config_ms / 2;
        let age_ms = self.with_contact(|contact| contact.age_ms(self.clock.now()));
        age_ms > half_stale_ms || Roles::of(&self.live_list(), self.identity.name()).is_watcher()
    }

    pub(crate) fn with_live<T>(&self, with: impl FnOnce(&mut LiveView) -> T) -> T {
        // A view changes in one step, so it is consistent even if another thread panicked.
        with(&mut self.live.lock().unwrap_or_else(PoisonError::into_inner))
    }

    pub(crate) fn with_contact<T>(&self, with: impl FnOnce(&mut Contact) -> T) -> T {
        // The contact is plain numbers, which are consistent even if another thread panicked.
        with(&mut self.contact.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns a new id for a request.
    pub(crate) fn next_request_id(&self) -> RequestId {
        RequestId {
            origin: self.identity.incarnation().0,
            serial: self.next_serial.fetch_add(1, Ordering::Relaxed),
        }
    }

    /// Triggers a fetch of the configuration if this generation, which another process has, is
    /// newer than the one in force.
    pub(crate) fn note_peer_generation(&self, generation: Generation) {
        if generation > self.snapshot.load().generation() {
            self.wake_config_sync.notify_one();
        }
    }
}

/// The name and incarnation of this process and the state that it sends to peers. Clones share
/// one state.
#[derive(Clone, Debug)]
pub(crate) struct Identity {
    inner: Arc<IdentityInner>,
}

#[derive(Debug)]
struct IdentityInner {
    name: InstanceName,
    incarnation: Incarnation,
    state: Mutex<IdentityState>,
}

/// The part of the identity that changes while the process runs.
#[derive(Clone, Copy, Debug, Default)]
struct IdentityState {
    generation: Generation,
    live_version: ObjectVersion,
    leaving: bool,
    // The highest generation that a peer has reported.
    highest_seen: Generation,
}

impl Identity {
    pub(crate) fn new(name: InstanceName, incarnation: Incarnation) -> Self {
        let state = Mutex::default();
        Self { inner: Arc::new(IdentityInner { name, incarnation, state }) }
    }

    pub(crate) fn name(&self) -> &InstanceName {
        &self.inner.name
    }

    pub(crate) fn incarnation(&self) -> Incarnation {
        self.inner.incarnation
    }

    pub(crate) fn set_generation(&self, generation: Generation) {
        self.with_state(|state| state.generation = generation);
    }

    pub(crate) fn set_live_version(&self, version: ObjectVersion) {
        self.with_state(|state| state.live_version = version);
    }

    pub(crate) fn set_leaving(&self) {
        self.with_state(|state| state.leaving = true);
    }

    /// Returns the highest generation that any peer has reported.
    pub(crate) fn highest_peer_generation(&self) -> Generation {
        self.with_state(|state| state.highest_seen)
    }

    fn with_state<T>(&self, with: impl FnOnce(&mut IdentityState) -> T) -> T {
        // The state is plain values, which are consistent even if another thread panicked.
        with(&mut self.inner.state.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl HelloSource for Identity {
    fn hello(&self) -> Hello {
        let state = self.with_state(|state| *state);
        Hello {
            name: self.inner.name.clone(),
            incarnation: self.inner.incarnation,
            generation: state.generation,
            live_version: state.live_version,
            leaving: state.leaving,
        }
    }

    fn receive_hello(&self, peer: &Hello) {
        self.with_state(|state| state.highest_seen = state.highest_seen.max(peer.generation));
    }
}
