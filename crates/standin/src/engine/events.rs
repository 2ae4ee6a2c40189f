//! Cache events, published late and with gaps.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use samphirespread_core::prelude::*;
use samphirespread_engine::api::{CacheChange, CacheEvent};

/// Older events are forgotten.
const MAX_EVENTS: usize = 65_536;

/// The events of one run.
#[derive(Debug)]
pub(super) struct EventLog {
    incarnation: Incarnation,
    next_seq: u64,
    delay: Duration,
    drop_next: u64,
    events: VecDeque<(Instant, CacheEvent)>,
}

impl EventLog {
    pub(super) fn new(incarnation: Incarnation, delay_ms: u64) -> Self {
        let delay = Duration::from_millis(delay_ms);
        let mut log =
            Self { incarnation, next_seq: 0, delay, drop_next: 0, events: VecDeque::new() };
        log.push(CacheChange::Cleared);
        log
    }

    pub(super) fn next_seq(&self) -> u64 {
        self.next_seq
    }

    /// The next events get their numbers but are never published.
    pub(super) fn drop_next(&mut self, count: u64) {
        self.drop_next = count;
    }

    pub(super) fn push(&mut self, change: CacheChange) {
        let event = CacheEvent { incarnation: self.incarnation, seq: self.next_seq, change };
        self.next_seq += 1;
        if self.drop_next > 0 {
            self.drop_next -= 1;
            return;
        }
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back((Instant::now() + self.delay, event));
    }

    /// Published events from a number on, and when the next one will be published.
    pub(super) fn published(&self, from: u64) -> (Vec<CacheEvent>, Option<Instant>) {
        let now = Instant::now();
        let first = self.events.partition_point(|(_, event)| event.seq < from);
        let mut ready = Vec::new();
        for (at, event) in self.events.range(first..) {
            if *at > now {
                return (ready, Some(*at));
            }
            ready.push(event.clone());
        }
        (ready, None)
    }
}
