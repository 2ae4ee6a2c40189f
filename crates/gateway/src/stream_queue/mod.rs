//! The queue of events between the task that relays a stream and the connection of its caller.
//!
//! It is bounded in events and in bytes, and counts what the connection has yet to write: a caller who
//! reads slowly holds up its own stream and takes no more memory than others.

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};

use crate::{
    body::{StreamBroken, StreamChunk},
    held_memory::MemoryHold,
};

/// Number of events queued for a slow caller before reading from the server pauses.
const MAX_QUEUED_EVENTS: usize = 16;
/// Size of the events that a caller has yet to take before reading from the server pauses. One event
/// may be larger.
const MAX_QUEUED_BYTES: u32 = 64 * 1024;
/// Up to this size only the number of events counts.
const SMALL_EVENT_BYTES: usize = 4 * 1024;

/// The relaying task's end of the queue.
#[derive(Debug)]
pub(crate) struct EventSender {
    chunks: mpsc::Sender<StreamChunk>,
    /// What may still be queued, in bytes.
    room_bytes: Arc<Semaphore>,
}

/// An event that the caller has yet to take. Dropping it makes room for others.
struct QueuedEvent {
    bytes: Bytes,
    _room: OwnedSemaphorePermit,
    _memory: MemoryHold,
}

impl AsRef<[u8]> for QueuedEvent {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Creates a queue.
pub(crate) fn channel() -> (EventSender, mpsc::Receiver<StreamChunk>) {
    let (chunks, receiver) = mpsc::channel(MAX_QUEUED_EVENTS);
    let room_bytes = Arc::new(Semaphore::new(MAX_QUEUED_BYTES as usize));
    (EventSender { chunks, room_bytes }, receiver)
}

impl EventSender {
    /// Queues an event once there is room, with the memory that it takes. Returns false if the caller
    /// has closed the connection.
    pub(crate) async fn send(&self, bytes: Bytes, memory: MemoryHold) -> bool {
        let chunk = if bytes.len() <= SMALL_EVENT_BYTES {
            bytes
        } else {
            let Some(room) = self.wait_for_room(bytes.len()).await else { return false };
            Bytes::from_owner(QueuedEvent { bytes, _room: room, _memory: memory })
        };
        self.chunks.send(Ok(chunk)).await.is_ok()
    }

    /// Ends the stream as one that broke off.
    pub(crate) async fn break_off(&self) {
        // If the receiver is gone already, nobody needs this error.
        let _ = self.chunks.send(Err(StreamBroken::Cut)).await;
    }

    /// Waits until the caller closes the connection.
    pub(crate) async fn closed(&self) {
        self.chunks.closed().await;
    }

    async fn wait_for_room(&self, event_bytes: usize) -> Option<OwnedSemaphorePermit> {
        let needed_bytes = u32::try_from(event_bytes).unwrap_or(u32::MAX).min(MAX_QUEUED_BYTES);
        tokio::select! {
            biased;
            () = self.chunks.closed() => None,
            room = self.room_bytes.clone().acquire_many_owned(needed_bytes) => room.ok(),
        }
    }
}
