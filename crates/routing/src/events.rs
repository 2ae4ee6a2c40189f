//! Splits an event stream (SSE) into complete events, so that a stream that is resumed at another
//! server can be joined between two events.

use bytes::{Bytes, BytesMut};
use memchr::memchr_iter;

/// The largest event that is buffered until it is complete.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// One complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// The bytes of the event as received, including the empty line that ends it.
    pub bytes: Bytes,
    /// The event's id, if it has a numeric one.
    pub id: Option<u64>,
}

/// Splits received bytes into events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    /// Received bytes that were not yet returned as an event.
    buffer: BytesMut,
    /// The number of buffered bytes in which no end of an event was found.
    searched_bytes: usize,
}

impl EventSplitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete event, if there is one.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let start = self.searched_bytes.saturating_sub(3);
        let Some(end) = end_of_event(&self.buffer[start..]) else {
            self.searched_bytes = self.buffer.len();
            return None;
        };
        let bytes = self.buffer.split_to(start + end).freeze();
        self.searched_bytes = 0;
        let id = event_id(&bytes);
        Some(StreamEvent { bytes, id })
    }

    /// Whether an incomplete event is buffered.
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns the size of the incomplete event, in bytes.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Whether the buffered event exceeds the maximum size.
    pub fn exceeds_max_size(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }

    /// Drops an incomplete event.
    pub fn clear(&mut self) {
        self.buffer.clear();
        self.searched_bytes = 0;
    }
}

/// Returns the end of the first event. The search stops there, so that splitting a piece takes time in
/// proportion to its length, however many events it holds.
fn end_of_event(bytes: &[u8]) -> Option<usize> {
    memchr_iter(b'\n', bytes).find_map(|line_end| {
        let is_carriage_return = line_end > 0 && bytes[line_end - 1] == b'\r';
        match &bytes[line_end + 1..] {
            [b'\n', ..] => Some(line_end + 2),
            [b'\r', b'\n', ..] if is_carriage_return => Some(line_end + 3),
            _ => None,
        }
    })
}

fn event_id(event: &[u8]) -> Option<u64> {
    let line = event.split(|byte| *byte == b'\n').find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
