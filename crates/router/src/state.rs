//! What the parts of a router share.

use std::sync::{
    Arc, Mutex, PoisonError,
    atomic::{AtomicU64, Ordering},
};

use arc_swap::ArcSwap;
use samphirespread_config::Snapshot;
use samphirespread_core::{prelude::*, time::Clock};
use samphirespread_platform::{HttpPlatform, api::LiveList};
use samphirespread_settings::RouterSettings;
use samphirespread_wire::{HelloSource, Pool, message::Hello};
use slog::Logger;
use tokio::sync::Notify;

use crate::{
    drain::Drain, fleet::Placer, limits::Admission, metrics::Metrics, sync::Contact,
    trace::TraceFeed,
};

/// What the parts of a router share.
pub(crate) struct Shared {
    pub(crate) settings: RouterSettings,
    pub(crate) log: Logger,
    pub(crate) clock: Clock,
    pub(crate) identity: Identity,
    pub(crate) snapshot: ArcSwap<Snapshot>,
    pub(crate) live: ArcSwap<LiveList>,
    pub(crate) placer: Placer,
    pub(crate) pool: Pool<Identity>,
    pub(crate) platform: HttpPlatform,
    pub(crate) admission: Admission,
    pub(crate) metrics: Metrics,
    pub(crate) drain: Drain,
    pub(crate) contact: Contact,
    // Wakes the task that asks peers and the platform for a newer configuration.
    pub(crate) config_news: Notify,
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
    pub(crate) platform: HttpPlatform,
    pub(crate) admission: Admission,
    pub(crate) metrics: Metrics,
}

impl Shared {
    pub(crate) fn new(parts: Parts) -> Arc<Self> {
        let seed = parts.identity.incarnation().0;
        Arc::new(Self {
            settings: parts.settings,
            log: parts.log,
            clock: parts.clock,
            identity: parts.identity,
            snapshot: ArcSwap::from_pointee(Snapshot::empty()),
            live: ArcSwap::from_pointee(LiveList::default()),
            placer: Placer::new(seed),
            pool: parts.pool,
            platform: parts.platform,
            admission: parts.admission,
            metrics: parts.metrics,
            drain: Drain::default(),
            contact: Contact::default(),
            config_news: Notify::new(),
            trace: TraceFeed::default(),
            next_serial: AtomicU64::new(0),
        })
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
            leaving: said.leaving,
        }
    }

    fn heard(&self, peer: &Hello) {
        self.change(|said| said.heard = said.heard.max(peer.generation));
    }
}
