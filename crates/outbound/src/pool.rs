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
    connections: VecDeque<IdleConnection>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires_ms: u64,
}

impl IdlePool {
    /// Takes a reusable connection out of the pool. Drops the expired and closed ones before it.
    pub fn take(&mut self, now_ms: u64) -> Option<Connection> {
        while let Some(idle) = self.connections.pop_front() {
            if idle.expires_ms > now_ms && idle.connection.is_reusable() {
                return Some(idle.connection);
            }
        }
        None
    }

    /// Adds a connection that expires at `expires_ms`, or drops it if the pool is full.
    pub fn put(&mut self, connection: Connection, expires_ms: u64, limits: IdleLimits) {
        if self.connections.len() < limits.max_connections {
            self.connections.push_back(IdleConnection { connection, expires_ms });
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
