//! What the parts of a router share.

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

/// What the parts of a router share.
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
    // Wakes the task that asks peers and the platform for a newer configuration.
    pub(crate) config_news: Notify,
    /// Rung when a configuration or a live list came into force, for telling agents.
    pub(crate) agent_news: Notify,
    pub(crate) trace: TraceFeed,
    next_serial: AtomicU64,
}

/// The pieces that [`Shared`] is made of.
pub(crate) struct Parts {
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
    pub(crate) fn new(parts: Parts) -> Arc<Self> {
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
            config_news: Notify::new(),
            agent_news: Notify::new(),
            trace: TraceFeed::default(),
            next_serial: AtomicU64::new(0),
        })
    }

    /// The latest live list.
    pub(crate) fn live_list(&self) -> Arc<LiveList> {
        self.with_live(|view| Arc::clone(view.list()))
    }

    /// Whether this router reads the platform for its failure domain. One whose contact is getting
    /// old does too.
    pub(crate) fn reads_platform(&self) -> bool {
        let half_stale_ms = self.settings.peers.stale_config_ms / 2;
        let age_ms = self.with_contact(|contact| contact.age_ms(self.clock.now()));
        age_ms > half_stale_ms || Roles::of(&self.live_list(), self.identity.name()).is_watcher()
    }

    pub(crate) fn with_live<T>(&self, with: impl FnOnce(&mut LiveView) -> T) -> T {
        // A view changes in one step, so it is whole after a panic elsewhere.
        with(&mut self.live.lock().unwrap_or_else(PoisonError::into_inner))
    }

    pub(crate) fn with_contact<T>(&self, with: impl FnOnce(&mut Contact) -> T) -> T {
        // Plain numbers are whole after a panic elsewhere.
        with(&mut self.contact.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// An id for a request that arrived.
    pub(crate) fn next_request_id(&self) -> RequestId {
        RequestId {
            origin: self.identity.incarnation().0,
            serial: self.next_serial.fetch_add(1, Ordering::Relaxed),
        }
    }

    /// Takes in that another process has a configuration of this generation.
    pub(crate) fn heard_generation(&self, generation: Generation) {
        if generation > self.snapshot.load().generation() {
            self.config_news.notify_one();
        }
    }
}

/// Who this process is. Clones share it.
#[derive(Clone, Debug)]
pub(crate) struct Identity {
    inner: Arc<IdentityInner>,
}

#[derive(Debug)]
struct IdentityInner {
    name: InstanceName,
    incarnation: Incarnation,
    said: Mutex<Said>,
}

/// What changes while the process runs.
#[derive(Clone, Copy, Debug, Default)]
struct Said {
    generation: Generation,
    live_version: ObjectVersion,
    leaving: bool,
    // The highest generation that a peer has told.
    heard: Generation,
}

impl Identity {
    pub(crate) fn new(name: InstanceName, incarnation: Incarnation) -> Self {
        let said = Mutex::default();
        Self { inner: Arc::new(IdentityInner { name, incarnation, said }) }
    }

    pub(crate) fn name(&self) -> &InstanceName {
        &self.inner.name
    }

    pub(crate) fn incarnation(&self) -> Incarnation {
        self.inner.incarnation
    }

    pub(crate) fn set_generation(&self, generation: Generation) {
        self.change(|said| said.generation = generation);
    }

    pub(crate) fn set_live_version(&self, version: ObjectVersion) {
        self.change(|said| said.live_version = version);
    }

    pub(crate) fn set_leaving(&self) {
        self.change(|said| said.leaving = true);
    }

    /// The highest generation that any peer has told.
    pub(crate) fn highest_heard(&self) -> Generation {
        self.change(|said| said.heard)
    }

    fn change<T>(&self, with: impl FnOnce(&mut Said) -> T) -> T {
        // Plain numbers are whole after a panic elsewhere.
        with(&mut self.inner.said.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl HelloSource for Identity {
    fn hello(&self) -> Hello {
        let said = self.change(|said| *said);
        Hello {
            name: self.inner.name.clone(),
            incarnation: self.inner.incarnation,
            generation: said.generation,
            live_version: said.live_version,
            leaving: said.leaving,
        }
    }

    fn receive_hello(&self, peer: &Hello) {
        self.change(|said| said.heard = said.heard.max(peer.generation));
    }
}
