//! Bounds the memory for what this process holds for others: bodies of callers, answers that are read
//! whole, and events that are not complete yet.
//!
//! There is one bound for all of them together, so that a server that sends without end, or many callers
//! with large bodies, cost their own requests and not the process.

use std::sync::Arc;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    task::consume_budget,
};

use crate::body::BodyError;

/// The part of the process's memory for everything that is held, beside small parts. The rest is for the
/// process itself, small parts, and what the allocator keeps.
const HELD_PART: f64 = 0.25;
/// Up to this size a part is held without counting: 4,096 descriptors bound the number of parts.
const SMALL_PART_BYTES: usize = 64 * KIB;
const KIB: usize = 1_024;
const KIB_PER_MB: f64 = 1e6 / 1_024.0;

/// The memory that is left for what is held for others.
#[derive(Debug)]
pub(crate) struct HeldMemory {
    free_kib: Arc<Semaphore>,
}

/// Memory that one part takes. Dropping it gives it back.
#[derive(Debug, Default)]
pub(crate) struct MemoryHold {
    permit: Option<OwnedSemaphorePermit>,
}

impl MemoryHold {
    /// Returns the bytes with the memory that they take, which is given back with them.
    pub(crate) fn attach_to(self, bytes: Bytes) -> Bytes {
        match self.permit {
            Some(permit) => Bytes::from_owner(HeldBytes { bytes, _permit: permit }),
            None => bytes,
        }
    }
}

/// Bytes that the caller has yet to take, with the memory that they take.
struct HeldBytes {
    bytes: Bytes,
    _permit: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl HeldMemory {
    /// Creates the bound for a process that may use `memory_mb`.
    pub(crate) fn new(memory_mb: f64) -> Self {
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the settings bound it"
        )]
        let held_kib = (memory_mb * KIB_PER_MB * HELD_PART) as usize;
        Self { free_kib: Arc::new(Semaphore::new(held_kib.min(Semaphore::MAX_PERMITS))) }
    }

    /// Makes a hold cover a buffer of this size, and no more. Returns false if that does not fit beside
    /// the others.
    pub(crate) fn cover(&self, hold: &mut MemoryHold, buffer_bytes: usize) -> bool {
        let is_small = buffer_bytes <= SMALL_PART_BYTES;
        let needed_kib = if is_small { 0 } else { buffer_bytes.div_ceil(KIB) };
        let held_kib = hold.permit.as_ref().map_or(0, OwnedSemaphorePermit::num_permits);
        if needed_kib <= held_kib {
            let surplus = hold.permit.as_mut().and_then(|held| held.split(held_kib - needed_kib));
            drop(surplus);
            return true;
        }
        let Ok(more_kib) = u32::try_from(needed_kib - held_kib) else { return false };
        let Ok(more) = self.free_kib.clone().try_acquire_many_owned(more_kib) else { return false };
        match &mut hold.permit {
            Some(held) => held.merge(more),
            none => *none = Some(more),
        }
        true
    }

    /// Takes the part of a hold that covers `part_bytes`, and what it lacks. Returns none if that does not
    /// fit beside the others.
    pub(crate) fn split_off(&self, hold: &mut MemoryHold, part_bytes: usize) -> Option<MemoryHold> {
        let held_kib = hold.permit.as_ref().map_or(0, OwnedSemaphorePermit::num_permits);
        let part_kib = held_kib.min(part_bytes.div_ceil(KIB));
        let permit = hold.permit.as_mut().and_then(|held| held.split(part_kib));
        let mut part = MemoryHold { permit };
        self.cover(&mut part, part_bytes).then_some(part)
    }

    /// Reads a body of at most `max_bytes` to its end. The hold has to live as long as the bytes do.
    ///
    /// # Errors
    ///
    /// Fails if the body breaks off, is too long, or does not fit beside what is held. If its length is
    /// known, its memory is taken before any of it is read: bodies that grow side by side would each
    /// keep the others from becoming whole.
    pub(crate) async fn read(
        &self,
        body: &mut Incoming,
        max_bytes: usize,
    ) -> Result<(Bytes, MemoryHold), BodyError> {
        let mut hold = MemoryHold::default();
        let known_bytes = body.size_hint().lower();
        let known_bytes = usize::try_from(known_bytes).unwrap_or(usize::MAX);
        self.check(&mut hold, known_bytes, known_bytes, max_bytes)?;
        let mut read = Vec::with_capacity(known_bytes.min(SMALL_PART_BYTES));
        while let Some(frame) = body.frame().await {
            consume_budget().await;
            let Ok(frame) = frame else { return Err(BodyError::BrokeOff) };
            let Ok(data) = frame.into_data() else { continue };
            let length = read.len() + data.len();
            // Without a known length, the buffer grows by doubling.
            let buffer_bytes = if length > known_bytes { 2 * length } else { known_bytes };
            self.check(&mut hold, buffer_bytes, length, max_bytes)?;
            if length > read.capacity() {
                read.reserve_exact(buffer_bytes - read.len());
            }
            read.extend_from_slice(&data);
        }
        Ok((read.into(), hold))
    }

    fn check(
        &self,
        hold: &mut MemoryHold,
        buffer_bytes: usize,
        length: usize,
        max_bytes: usize,
    ) -> Result<(), BodyError> {
        if length > max_bytes {
            return Err(BodyError::TooLong);
        }
        self.cover(hold, buffer_bytes).then_some(()).ok_or(BodyError::NoMemory)
    }
}
