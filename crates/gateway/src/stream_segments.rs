//! Keeps the versions of streams in the store while a service may have several, so that streams go on
//! after all processes of the system were killed at once.
//!
//! A few routers write: each stream has one writer, which follows from its key and from the list of
//! routers. A writer collects the streams of which it is told and writes them as a segment, at most two
//! a second, into a ring of objects of its own that covers the time for which a stream may be taken up.
//! When the writers change, and after a start, each of them reads the segments, twice, and remembers
//! the streams that it has to answer for. What was not written yet is refused when it is taken up.

use std::{collections::HashMap, sync::Arc, time::Duration};

use samphirespread_adapter::{EncodedObject, Kind, StoreError, Written};
use samphirespread_core::prelude::*;
use samphirespread_logging::event;
use samphirespread_routing::software::{KnownStream, StreamSegment};
use serde_json::json;
use slog::info;
use tokio::{task::yield_now, time};

use crate::{
    gateway::Core,
    metrics::count,
    state::State,
    stream_versions::{self, Writer},
    sync::log_store_failure,
};

/// Time between two checks of whether there is something to read or to write.
const CHECK_INTERVAL_MS: u64 = 100;
/// The least time between two segments of a writer. Streams that began since are lost in a kill.
const WRITE_INTERVAL_MS: u64 = 500;
/// The number of segments that all writers together write in a second, a part of the store's rate.
const MAX_WRITES_PER_S: usize = 64;
/// Pause after a failed call.
const RETRY_PAUSE_MS: u64 = 500;
/// Writes after which the segments are read once more: those that are under way when writers change.
const WRITES_UNTIL_REREAD: u64 = 2;
/// Streams in one segment, some 55 KB. Others wait for the next one.
const MAX_STREAMS_PER_SEGMENT: usize = 5_000;
/// The largest segment that is read.
const MAX_SEGMENT_BYTES: usize = 128 * 1024;
/// Streams that wait to be written. Others are not written.
pub(crate) const MAX_UNWRITTEN: usize = 20_000;
/// Time between two looks for segments of writers that are gone.
const CLEANUP_INTERVAL_MS: u64 = 60_000;
/// Objects that are removed after one such look.
const MAX_REMOVED: usize = 8;

/// The segments of this process in the store.
struct SegmentKeeper {
    core: Arc<Core>,
    /// The writers for which segments were last read.
    read_for: Option<Arc<[Writer]>>,
    /// When they are read once more: a writer before this one may have written after the first read.
    reread_at: Option<MonoTime>,
    /// Where this router's segments are, by the name of the object.
    positions: HashMap<String, StorePosition>,
    next_sequence: u64,
    last_write: Option<MonoTime>,
    next_cleanup: MonoTime,
}

/// How often each writer writes, and for how long a segment counts.
#[derive(Clone, Copy, Debug)]
struct Ring {
    memory_ms: u64,
    interval_ms: u64,
}

impl Ring {
    fn new(memory_ms: u64, writers: usize) -> Self {
        let shared_ms = (1_000 * writers).div_ceil(MAX_WRITES_PER_S);
        let shared_ms = u64::try_from(shared_ms).unwrap_or(u64::MAX);
        Self { memory_ms, interval_ms: shared_ms.max(WRITE_INTERVAL_MS) }
    }

    /// The number of a writer's objects. One more than fit in the time covers that in which the oldest
    /// is being replaced.
    fn segments(self) -> u64 {
        self.memory_ms.div_ceil(self.interval_ms) + 1
    }
}

/// Reads and writes segments for as long as the process runs.
pub(crate) async fn keep(core: Arc<Core>) {
    let mut keeper = SegmentKeeper {
        core,
        read_for: None,
        reread_at: None,
        positions: HashMap::new(),
        next_sequence: 0,
        last_write: None,
        next_cleanup: MonoTime::ZERO,
    };
    loop {
        time::sleep(Duration::from_millis(CHECK_INTERVAL_MS)).await;
        if let Err(error) = keeper.check().await {
            log_store_failure(&keeper.core, "stream_segments", &error);
            time::sleep(Duration::from_millis(RETRY_PAUSE_MS)).await;
        }
    }
}

impl SegmentKeeper {
    async fn check(&mut self) -> Result<(), StoreError> {
        let now = self.core.now();
        let (writers, ring) = {
            let state = self.core.state();
            // Before the list of routers has been read, nobody knows who writes.
            let is_known = state.reads.routers.confirmed().is_some() && state.reads.is_up();
            if !is_known || !state.software.has_several(now) || !is_writer(&self.core, &state) {
                return Ok(());
            }
            let writers = state.stream_writers.clone();
            let ring = Ring::new(state.stream_memory_ms(), writers.len());
            (writers, ring)
        };
        if self.read_for.as_ref() != Some(&writers) {
            self.read(ring.memory_ms).await?;
            self.read_for = Some(writers.clone());
            self.reread_at = Some(now.plus_ms(WRITES_UNTIL_REREAD * ring.interval_ms));
        } else if self.reread_at.is_some_and(|reread_at| now >= reread_at) {
            self.reread_at = None;
            self.read(ring.memory_ms).await?;
        }
        if self.last_write.is_none_or(|last| now.ms_since(last) >= ring.interval_ms) {
            self.write(ring, now).await?;
        }
        let comes_first = writers.first().is_some_and(|first| first.name == self.core.name);
        if comes_first && now >= self.next_cleanup {
            self.next_cleanup = now.plus_ms(CLEANUP_INTERVAL_MS);
            self.clean_up(ring.memory_ms, now).await?;
        }
        Ok(())
    }

    /// Remembers the streams of all segments that this router has to answer for.
    async fn read(&mut self, memory_ms: u64) -> Result<(), StoreError> {
        let decode = |entry: &EncodedObject<'_>| {
            let segment = decode_segment(entry).map(|segment| entry.with_spec(segment));
            if segment.is_none() {
                count(&self.core.metrics.store_failures, "stream_segment_left_out");
            }
            segment
        };
        let listing = self.core.store.list(Kind::StreamSegments, decode).await?;
        let now = self.core.now();
        let mut remembered: usize = 0;
        self.positions.clear();
        for object in &listing.objects {
            let segment = &object.spec;
            if writer_of(&object.name) == Some(self.core.name.as_str()) {
                self.positions.insert(object.name.clone(), object.position);
                self.next_sequence = self.next_sequence.max(segment.sequence + 1);
            }
            remembered += self.remember(segment, now.plus_ms(memory_ms));
            // Requests are handled between two segments.
            yield_now().await;
        }
        info!(self.core.log, "{}", event::STREAMS_READ; "segments" => listing.objects.len(),
            "remembered" => remembered);
        Ok(())
    }

    /// Remembers the streams of a segment that others ask this router for. Returns how many these are.
    fn remember(&self, segment: &StreamSegment, until: MonoTime) -> usize {
        let mut state = self.core.state();
        let mut streams = segment.streams();
        streams.retain(|known| stream_versions::answers_for(&self.core, &state, known.stream));
        for known in &streams {
            state.streams.learn(*known, until);
        }
        streams.len()
    }

    /// Writes the streams that wait, in place of this router's oldest segment.
    async fn write(&mut self, ring: Ring, now: MonoTime) -> Result<(), StoreError> {
        let streams = {
            let mut state = self.core.state();
            let count = state.unwritten_streams.len().min(MAX_STREAMS_PER_SEGMENT);
            state.unwritten_streams.drain(..count).collect::<Vec<_>>()
        };
        if streams.is_empty() {
            return Ok(());
        }
        self.last_write = Some(now);
        let written = self.write_segment(ring, &streams).await;
        if !matches!(written, Ok(true)) {
            // This router's segments are not where it knew them.
            self.read_for = None;
            put_back(&mut self.core.state(), streams);
        }
        written.map(|_| ())
    }

    /// Returns false if the object is not as this router has left it.
    async fn write_segment(
        &mut self,
        ring: Ring,
        streams: &[KnownStream],
    ) -> Result<bool, StoreError> {
        let name = format!("{}.{}", self.core.name, self.next_sequence % ring.segments());
        let spec = json!(StreamSegment::new(self.next_sequence, streams));
        let store = &self.core.store;
        let written = match self.positions.get(&name) {
            Some(at) => store.replace(Kind::StreamSegments, &name, *at, &spec).await?,
            None => store.create(Kind::StreamSegments, &name, &spec).await?,
        };
        let Written::Done { position } = written else { return Ok(false) };
        self.positions.insert(name, position);
        self.next_sequence += 1;
        Ok(true)
    }

    /// Removes segments of routers that are gone, once no stream in them can be taken up any more.
    async fn clean_up(&self, memory_ms: u64, now: MonoTime) -> Result<(), StoreError> {
        if now.ms_since(self.core.state().started) <= 2 * memory_ms {
            return Ok(());
        }
        let mut abandoned = Vec::new();
        let find_abandoned = |entry: &EncodedObject<'_>| {
            if abandoned.len() < MAX_REMOVED && self.is_abandoned(entry.name) {
                abandoned.push((entry.name.to_owned(), entry.position));
            }
            None::<()>
        };
        self.core.store.list(Kind::StreamSegments, find_abandoned).await?;
        for (name, position) in abandoned {
            self.core.store.remove(Kind::StreamSegments, &name, position).await?;
        }
        Ok(())
    }

    /// Whether no listed router writes the object with this name.
    fn is_abandoned(&self, name: &str) -> bool {
        let Some(writer) = writer_of(name) else { return true };
        let is_own = writer == self.core.name.as_str();
        !is_own && !self.core.state().routers.contains_key(&InstanceName::new(writer))
    }
}

fn is_writer(core: &Core, state: &State) -> bool {
    state.stream_writers.iter().any(|writer| writer.name == core.name)
}

fn decode_segment(entry: &EncodedObject<'_>) -> Option<StreamSegment> {
    let is_usual = entry.spec.len() <= MAX_SEGMENT_BYTES;
    is_usual.then(|| entry.decode("a segment of streams").ok()).flatten()
}

/// The router that wrote the segment with this name.
fn writer_of(name: &str) -> Option<&str> {
    name.rsplit_once('.').map(|(writer, _)| writer)
}

fn put_back(state: &mut State, mut streams: Vec<KnownStream>) {
    streams.append(&mut state.unwritten_streams);
    streams.truncate(MAX_UNWRITTEN);
    state.unwritten_streams = streams;
}
