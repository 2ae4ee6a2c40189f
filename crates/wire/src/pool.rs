//! A pool that keeps one connection to each peer in use.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::sync::Mutex;

use crate::{Connection, HelloSource, WireConfig, WireError};

/// A pool of connections, keyed by address. Clones share the connections.
#[derive(Clone, Debug)]
pub struct Pool<H> {
    config: WireConfig,
    hello: H,
    slots: Arc<std::sync::Mutex<HashMap<String, Arc<Slot>>>>,
}

// The lock makes concurrent users of one address wait for a single connection attempt.
type Slot = Mutex<Option<PooledConnection>>;

/// A connection and the time when it was last requested from the pool.
#[derive(Debug)]
struct PooledConnection {
    connection: Connection,
    last_used: Instant,
}

impl<H: HelloSource> Pool<H> {
    /// Creates an empty pool.
    pub fn new(config: WireConfig, hello: H) -> Self {
        Self { config, hello, slots: Arc::default() }
    }

    /// Returns the connection to an address. Connects first if there is none, or if it is closed.
    ///
    /// # Errors
    ///
    /// The same as [`Connection::dial`].
    pub async fn get(&self, address: &str) -> Result<Connection, WireError> {
        let slot = self.slot(address);
        let mut held = slot.lock().await;
        if let Some(held) = held.as_mut().filter(|held| !held.connection.is_closed()) {
            held.last_used = Instant::now();
            return Ok(held.connection.clone());
        }
        let connection = Connection::dial(address, &self.config, self.hello.clone())
            .await
            .inspect_err(|_| {
                *held = None;
            })?;
        *held =
            Some(PooledConnection { connection: connection.clone(), last_used: Instant::now() });
        Ok(connection)
    }

    /// Removes the connections to all addresses for which `keep` returns false.
    pub fn retain(&self, keep: impl Fn(&str) -> bool) {
        self.lock_slots().retain(|address, _| keep(address));
    }

    /// Removes connections that have no open exchange and were last requested from the pool at
    /// least `idle` ago.
    ///
    /// Without this, a router would in time hold a connection to every agent of the fleet.
    pub fn close_idle(&self, idle: Duration) {
        self.lock_slots().retain(|_, slot| {
            // A locked slot is in use: a task is connecting to its address.
            let Ok(held) = slot.try_lock() else { return true };
            held.as_ref().is_some_and(|held| {
                held.connection.open_exchanges() > 0 || held.last_used.elapsed() < idle
            })
        });
    }

    /// Returns the addresses to which a connection exists or is being made.
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
        // The map is consistent even if the lock is poisoned: each change of it is a single call.
        self.slots.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
