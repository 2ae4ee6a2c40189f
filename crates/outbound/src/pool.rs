//! Pool of idle connections to one address.

use std::collections::VecDeque;

use crate::Connection;

/// Limits of a pool of idle connections.
#[derive(Clone, Copy, Debug)]
pub struct IdleLimits {
    /// Maximum number of idle connections.
    pub max_connections: usize,
}

/// Pool of idle connections, which hands out the one that has been idle longest.
///
/// If a server sends stray bytes after a response, this order gives them time to arrive while the
/// connection is idle. They then only close the connection instead of disturbing a request.
///
/// Times are milliseconds of the caller's monotonic clock.
#[derive(Debug, Default)]
pub struct IdlePool {
    connections: VecDeque<Pooled>,
}

#[derive(Debug)]
struct Pooled {
    connection: Connection,
    since_ms: u64,
    expires_ms: u64,
}

impl Pooled {
    fn idle_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.since_ms)
    }

    fn is_usable(&self, now_ms: u64) -> bool {
        self.expires_ms > now_ms && self.connection.is_reusable()
    }
}

/// A connection out of a pool.
#[derive(Debug)]
pub struct IdleConnection {
    /// The connection.
    pub connection: Connection,
    /// How long it has been idle, in milliseconds.
    pub idle_ms: u64,
}

impl IdlePool {
    /// Takes the reusable connection out of the pool that has been idle longest of those whose idle time,
    /// in milliseconds, is accepted. Drops expired and closed ones on the way.
    pub fn take(&mut self, now_ms: u64, accepts: impl Fn(u64) -> bool) -> Option<IdleConnection> {
        loop {
            let accepted = |pooled: &Pooled| accepts(pooled.idle_ms(now_ms));
            let index = self.connections.iter().position(accepted)?;
            let pooled = self.connections.remove(index)?;
            if pooled.is_usable(now_ms) {
                let idle_ms = pooled.idle_ms(now_ms);
                return Some(IdleConnection { connection: pooled.connection, idle_ms });
            }
        }
    }

    /// Drops the connections whose idle time, in milliseconds, is not accepted.
    pub fn retain(&mut self, now_ms: u64, accepts: impl Fn(u64) -> bool) {
        self.connections.retain(|pooled| accepts(pooled.idle_ms(now_ms)));
    }

    /// Adds a connection that is idle from now on, for `lifetime_ms` at most, or drops it if the pool is
    /// full.
    pub fn put(
        &mut self,
        connection: Connection,
        lifetime_ms: u64,
        limits: IdleLimits,
        now_ms: u64,
    ) {
        if self.connections.len() < limits.max_connections {
            let expires_ms = now_ms.saturating_add(lifetime_ms);
            self.connections.push_back(Pooled { connection, since_ms: now_ms, expires_ms });
        }
    }

    /// Drops the connections that have expired or were closed.
    pub fn prune(&mut self, now_ms: u64) {
        self.connections.retain(|pooled| pooled.is_usable(now_ms));
    }

    /// Returns the number of idle connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Whether the pool is empty.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }
}
