//! Splits a stream into whole events, so that a stream that goes on elsewhere is joined between two
//! events.

use bytes::{Bytes, BytesMut};

/// The largest event that is held back until its end.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// One event, with its id if it has one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// The bytes of the event as they came, with the empty line that ends it.
    pub bytes: Bytes,
    /// The event's number.
    pub id: Option<u64>,
}

/// Bytes that are not yet a whole event.
#[derive(Debug, Default)]
pub struct EventSplitter {
    held: BytesMut,
    searched: usize,
}

impl EventSplitter {
    /// Takes in bytes as they come.
    pub fn push(&mut self, bytes: &[u8]) {
        self.held.extend_from_slice(bytes);
    }

    /// The next whole event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let start = self.searched.saturating_sub(3);
        let Some(end) = end_of_event(&self.held[start..]) else {
            self.searched = self.held.len();
            return None;
        };
        let bytes = self.held.split_to(start + end).freeze();
        self.searched = 0;
        let id = event_id(&bytes);
        Some(StreamEvent { bytes, id })
    }

    /// Whether an event has begun and not ended.
    pub fn holds_part(&self) -> bool {
        !self.held.is_empty()
    }

    /// Whether an event is longer than any that is served.
    pub fn is_overfull(&self) -> bool {
        self.held.len() > MAX_EVENT_BYTES
    }

    /// Drops an event that was not whole.
    pub fn clear(&mut self) {
        self.held.clear();
        self.searched = 0;
    }
}

fn end_of_event(bytes: &[u8]) -> Option<usize> {
    let plain = bytes.windows(2).position(|window| window == b"\n\n").map(|start| start + 2);
    let with_returns =
        bytes.windows(4).position(|window| window == b"\r\n\r\n").map(|start| start + 4);
    match (plain, with_returns) {
        (Some(a), Some(b)) => Some(a.min(b)),
        (a, b) => a.or(b),
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let line = event.split(|byte| *byte == b'\n').find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
