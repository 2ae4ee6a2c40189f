//! One connection for each peer in use.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::sync::Mutex;

use crate::{Connection, HelloSource, WireConfig, WireError};

/// Connections by address. Clones share them.
#[derive(Clone, Debug)]
pub struct Pool<H> {
    config: WireConfig,
    hello: H,
    slots: Arc<std::sync::Mutex<HashMap<String, Arc<Slot>>>>,
}

// The lock makes concurrent users of one address wait for one dial.
type Slot = Mutex<Option<Held>>;

/// A connection, with the time of its last use.
#[derive(Debug)]
struct Held {
    connection: Connection,
    used: Instant,
}

impl<H: HelloSource> Pool<H> {
    /// An empty pool.
    pub fn new(config: WireConfig, hello: H) -> Self {
        Self { config, hello, slots: Arc::default() }
    }

    /// The connection to an address, dialled if there is none that works.
    ///
    /// # Errors
    ///
    /// As [`Connection::dial`].
    pub async fn get(&self, address: &str) -> Result<Connection, WireError> {
        let slot = self.slot(address);
        let mut held = slot.lock().await;
        if let Some(held) = held.as_mut().filter(|held| !held.connection.is_closed()) {
            held.used = Instant::now();
            return Ok(held.connection.clone());
        }
        let connection = Connection::dial(address, &self.config, self.hello.clone())
            .await
            .inspect_err(|_| {
                *held = None;
            })?;
        *held = Some(Held { connection: connection.clone(), used: Instant::now() });
        Ok(connection)
    }

    /// Forgets connections to addresses that are not listed.
    pub fn retain(&self, keep: impl Fn(&str) -> bool) {
        self.lock_slots().retain(|address, _| keep(address));
    }

    /// Closes connections that have no open exchange and were not asked for lately.
    ///
    /// Without this, a router ends up with a connection to every agent of the fleet.
    pub fn close_idle(&self, idle: Duration) {
        self.lock_slots().retain(|_, slot| {
            // A slot that is being dialled is in use.
            let Ok(held) = slot.try_lock() else { return true };
            held.as_ref().is_some_and(|held| {
                held.connection.open_exchanges() > 0 || held.used.elapsed() < idle
            })
        });
    }

    /// Addresses with a slot.
    pub fn addresses(&self) -> Vec<String> {
        self.lock_slots().keys().cloned().collect()
    }

    fn slot(&self, address: &str) -> Arc<Slot> {
        let mut slots = self.lock_slots();
        if let Some(slot) = slots.get(address) {
            return Arc::clone(slot);
        }
        let slot = Arc::default();
        slots.insert(address.to_owned(), Arc::clone(&slot));
        slot
    }

    fn lock_slots(&self) -> std::sync::MutexGuard<'_, HashMap<String, Arc<Slot>>> {
        // A poisoned lock still guards a whole map: each change is one call.
        self.slots.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
