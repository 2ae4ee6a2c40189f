//! Defines the types that go into a queue and come out of it.

use std::{error, fmt};

use samphirespread_core::prelude::*;

/// Identifies an entry from its push to its completion.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub(crate) u64);

/// Describes an entry that is to be pushed onto a queue.
#[derive(Clone, Copy, Debug)]
pub struct Admission<'a> {
    pub(crate) team: &'a TeamName,
    pub(crate) weight: u64,
    pub(crate) cost_tokens: u64,
    pub(crate) size_bytes: u64,
    pub(crate) priority: u8,
    pub(crate) max_wait_ms: u64,
}

impl<'a> Admission<'a> {
    /// Returns an admission with a cost of one token for a team of the given weight.
    ///
    /// The weight is usually the team's rate. A weight of zero counts as one.
    pub fn new(team: &'a TeamName, weight: u64) -> Self {
        Self {
            team,
            weight: weight.max(1),
            cost_tokens: 1,
            size_bytes: 0,
            priority: 0,
            max_wait_ms: u64::MAX,
        }
    }

    /// Sets the estimated number of tokens of the prompt and the answer.
    #[must_use]
    pub fn cost_tokens(mut self, tokens: u64) -> Self {
        self.cost_tokens = tokens.max(1);
        self
    }

    /// Sets the memory that the entry takes while it waits.
    #[must_use]
    pub fn size_bytes(mut self, bytes: u64) -> Self {
        self.size_bytes = bytes;
        self
    }

    /// Sets the priority. Lower values run first within the team.
    #[must_use]
    pub fn priority(mut self, priority: u8) -> Self {
        self.priority = priority;
        self
    }

    /// Sets the maximum time that the entry waits. The queue's own limit applies as well.
    #[must_use]
    pub fn max_wait_ms(mut self, ms: u64) -> Self {
        self.max_wait_ms = ms;
        self
    }
}

/// An entry that is about to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Popped<T> {
    /// The ticket to pass to [`Queue::complete`](crate::Queue::complete).
    pub ticket: Ticket,
    /// The item that was pushed.
    pub item: T,
    /// How long the entry waited in the queue.
    pub waited_us: u64,
}

/// Why an entry left the queue without running.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DropCause {
    /// The entry exceeded its maximum waiting time.
    Expired,
    /// The queue was full, and a team below its share of the queue pushed an entry.
    Displaced,
}

/// An entry that left the queue without running.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dropped<T> {
    /// The entry's ticket.
    pub ticket: Ticket,
    /// The item that was pushed.
    pub item: T,
    /// Why the entry was dropped.
    pub cause: DropCause,
    /// How long the caller should wait before it retries.
    pub retry_after_ms: u32,
}

/// Why an entry was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Error {
    /// The queue is full and no entry of another team may be displaced.
    Full,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Full => f.write_str("the queue is full and the team has its share of it"),
        }
    }
}

impl error::Error for Error {}

/// An entry that was refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejected<T> {
    /// The refused item.
    pub item: T,
    /// Why the entry was refused.
    pub error: Error,
    /// How long the caller should wait before it retries.
    pub retry_after_ms: u32,
}
