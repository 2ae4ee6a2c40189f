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

/// A connection out of a pool.
#[derive(Debug)]
pub struct IdleConnection {
    /// The connection.
    pub connection: Connection,
    /// How long it has been idle, in milliseconds.
    pub idle_ms: u64,
}

impl IdlePool {
    /// Takes a reusable connection out of the pool. Drops the expired and closed ones before it.
    pub fn take(&mut self, now_ms: u64) -> Option<IdleConnection> {
        while let Some(Pooled { connection, since_ms, expires_ms }) = self.connections.pop_front() {
            if expires_ms > now_ms && connection.is_reusable() {
                return Some(IdleConnection {
                    connection,
                    idle_ms: now_ms.saturating_sub(since_ms),
                });
            }
        }
        None
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
        self.connections.retain(|idle| idle.expires_ms > now_ms && idle.connection.is_reusable());
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
