//! Idle connections to one address.

use std::collections::VecDeque;

use crate::Connection;

/// How long and how many connections stay idle.
#[derive(Clone, Copy, Debug)]
pub struct IdleLimits {
    /// Connections kept at the most.
    pub max_connections: usize,
}

/// Idle connections, the one that has rested longest first.
///
/// Taking the longest rested one gives a server that sends stray bytes the time to do so while
/// nobody waits on the connection, where they only end it.
///
/// Instants are milliseconds of the caller's monotonic clock.
#[derive(Debug, Default)]
pub struct Idle {
    resting: VecDeque<Resting>,
}

#[derive(Debug)]
struct Resting {
    connection: Connection,
    expires_ms: u64,
}

impl Idle {
    /// Takes a connection that can still be used.
    pub fn take(&mut self, now_ms: u64) -> Option<Connection> {
        while let Some(resting) = self.resting.pop_front() {
            if resting.expires_ms > now_ms && resting.connection.is_reusable() {
                return Some(resting.connection);
            }
        }
        None
    }

    /// Keeps a connection until `expires_ms`, unless there are enough.
    pub fn put(&mut self, connection: Connection, expires_ms: u64, limits: IdleLimits) {
        if self.resting.len() < limits.max_connections {
            self.resting.push_back(Resting { connection, expires_ms });
        }
    }

    /// Closes what has expired or ended.
    pub fn prune(&mut self, now_ms: u64) {
        self.resting
            .retain(|resting| resting.expires_ms > now_ms && resting.connection.is_reusable());
    }

    /// Idle connections.
    pub fn len(&self) -> usize {
        self.resting.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.resting.is_empty()
    }
}
