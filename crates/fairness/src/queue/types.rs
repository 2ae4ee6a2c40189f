//! What goes into a queue and what comes out.

use std::{error, fmt};

use samphirespread_core::prelude::*;

/// Names an entry from push to completion.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub(crate) u64);

/// What a queue must know of an entry.
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
    /// An entry of one token for a team of that weight, usually the team's rate.
    ///
    /// A weight of zero counts as one.
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

    /// Estimated tokens of prompt and answer.
    #[must_use]
    pub fn cost_tokens(mut self, tokens: u64) -> Self {
        self.cost_tokens = tokens.max(1);
        self
    }

    /// Memory that the entry takes while it waits.
    #[must_use]
    pub fn size_bytes(mut self, bytes: u64) -> Self {
        self.size_bytes = bytes;
        self
    }

    /// Lower runs first within the team.
    #[must_use]
    pub fn priority(mut self, priority: u8) -> Self {
        self.priority = priority;
        self
    }

    /// Time that the entry waits at most; the queue's own limit holds as well.
    #[must_use]
    pub fn max_wait_ms(mut self, ms: u64) -> Self {
        self.max_wait_ms = ms;
        self
    }
}

/// An entry that is to run now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Popped<T> {
    /// For [`Queue::complete`](crate::Queue::complete).
    pub ticket: Ticket,
    /// What was pushed.
    pub item: T,
    /// Time in the queue.
    pub waited_us: u64,
}

/// Why an entry left the queue without running.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum DropCause {
    /// Its time in the queue ran out.
    Expired,
    /// The queue was full and another team had a better claim to the room.
    Displaced,
}

/// An entry that left the queue without running.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dropped<T> {
    /// The entry's ticket.
    pub ticket: Ticket,
    /// What was pushed.
    pub item: T,
    /// Why it left.
    pub cause: DropCause,
    /// When the caller should come back.
    pub retry_after_ms: u32,
}

/// Why an entry was not taken in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Error {
    /// The queue is full and the team has its part of it.
    Full,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Full => f.write_str("the queue is full and the team has its part of it"),
        }
    }
}

impl error::Error for Error {}

/// An entry that was not taken in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejected<T> {
    /// What was to be pushed.
    pub item: T,
    /// Why it was not.
    pub error: Error,
    /// When the caller should come back.
    pub retry_after_ms: u32,
}
