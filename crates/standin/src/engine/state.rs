//! The engine's queue, batch and cache, and what one step changes.

use std::{
    collections::{BTreeMap, HashMap, HashSet, VecDeque},
    sync::Arc,
    time::{Duration, Instant},
};

use samphirespread_core::prelude::*;
use samphirespread_engine::api::{
    CacheChange, FinishReason, LoadReport, LoadedWeights, StartStream,
};

use super::{
    BlockReuse, EngineConfig, EngineRecord, EngineTotals, StreamRecord,
    cache::{BlockCache, BlockName, BlockOrigin},
    events::EventLog,
    stream::{End, Job, Planned, Stream},
};

/// Load reports that are kept for their lag.
const MAX_LOAD_REPORTS: usize = 256;

/// Ids of streams that were cancelled before they started.
const MAX_CANCELLED_IDS: usize = 65_536;

/// Why a stream was not taken in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Rejection {
    Cancelled,
    Fenced,
    WrongWeights,
}

/// The engine without its sockets and clocks.
#[derive(Debug)]
pub(super) struct State {
    pub(super) config: EngineConfig,
    pub(super) incarnation: Incarnation,
    pub(super) loaded: LoadedWeights,
    pub(super) cache: BlockCache,
    pub(super) events: EventLog,
    pub(super) streams: HashMap<Arc<str>, Arc<Stream>>,
    pub(super) record: EngineRecord,
    pub(super) totals: EngineTotals,
    pub(super) order_fence: FencingNumber,
    /// Steps take this many times longer.
    pub(super) slowness: u32,
    waiting: BTreeMap<(u8, u64), Job>,
    running: Vec<Job>,
    arrivals: u64,
    request_fences: HashMap<String, FencingNumber>,
    cancelled: HashSet<String>,
    load_reports: VecDeque<(Instant, LoadReport)>,
}

impl State {
    pub(super) fn new(config: EngineConfig) -> Self {
        let incarnation = Incarnation(1);
        let loaded = LoadedWeights { model: config.model.clone(), version: config.version.clone() };
        Self {
            incarnation,
            loaded,
            cache: BlockCache::new(config.capacity_blocks),
            events: EventLog::new(incarnation, config.event_delay_ms),
            streams: HashMap::new(),
            record: EngineRecord::default(),
            totals: EngineTotals::default(),
            order_fence: FencingNumber::default(),
            slowness: 1,
            waiting: BTreeMap::new(),
            running: Vec::new(),
            arrivals: 0,
            request_fences: HashMap::new(),
            cancelled: HashSet::new(),
            load_reports: VecDeque::new(),
            config,
        }
    }

    /// Loses everything but the record, the totals and the weights.
    pub(super) fn crash(&mut self) {
        self.incarnation = Incarnation(self.incarnation.0 + 1);
        self.cache = BlockCache::new(self.config.capacity_blocks);
        self.events = EventLog::new(self.incarnation, self.config.event_delay_ms);
        self.streams.clear();
        self.waiting.clear();
        self.running.clear();
        self.request_fences.clear();
        self.cancelled.clear();
        self.load_reports.clear();
        self.order_fence = FencingNumber::default();
    }

    /// Takes a stream in, or finds the one of this id.
    pub(super) fn start(&mut self, start: &StartStream) -> Result<Arc<Stream>, Rejection> {
        if let Some(stream) = self.streams.get(start.id.as_str()) {
            return Ok(Arc::clone(stream));
        }
        if self.cancelled.contains(&start.id) {
            return Err(Rejection::Cancelled);
        }
        if start.model != self.loaded.model || start.version != self.loaded.version {
            return Err(Rejection::WrongWeights);
        }
        self.check_fence(start)?;
        Ok(self.take_in(start))
    }

    fn check_fence(&mut self, start: &StartStream) -> Result<(), Rejection> {
        if !self.config.checks_fencing {
            return Ok(());
        }

        let request = start.id.rsplit_once('.').map_or(start.id.as_str(), |(request, _)| request);
        let seen = self.request_fences.entry(request.to_owned()).or_default();
        if start.fence < *seen {
            return Err(Rejection::Fenced);
        }
        *seen = start.fence;
        Ok(())
    }

    fn take_in(&mut self, start: &StartStream) -> Arc<Stream> {
        let id: Arc<str> = Arc::from(start.id.as_str());
        let stream = Stream::new(Arc::clone(&id), self.incarnation);
        self.streams.insert(id, Arc::clone(&stream));
        let job = Job::new(start, Arc::clone(&stream));
        self.arrivals += 1;
        self.waiting.insert((job.priority, self.arrivals), job);
        self.totals.streams += 1;
        if self.config.records_requests {
            self.record.streams.push(StreamRecord {
                id: start.id.clone(),
                incarnation: self.incarnation,
                salt: start.cache_salt.clone(),
                version: start.version.clone(),
                priority: start.priority,
                prompt: start.prompt.clone(),
            });
        }
        self.note_load();
        stream
    }

    /// Cancels a stream. False when there is none, which then never starts.
    pub(super) fn cancel(&mut self, id: &str) -> bool {
        let Some(stream) = self.streams.get(id).cloned() else {
            if self.cancelled.len() >= MAX_CANCELLED_IDS {
                self.cancelled.clear();
            }
            self.cancelled.insert(id.to_owned());
            return false;
        };
        self.give_up(&stream);
        true
    }

    fn give_up(&mut self, stream: &Arc<Stream>) {
        if stream.ended() {
            return;
        }

        self.totals.cancelled += 1;
        let jobs = self.running.iter().chain(self.waiting.values());
        let usage = jobs.filter(|job| job.stream.id == stream.id).map(|job| job.usage).next();
        let usage = usage.unwrap_or_default();
        stream.end(End::Finished { reason: FinishReason::Cancelled, usage });
        self.running.retain(|job| job.stream.id != stream.id);
        self.waiting.retain(|_, job| job.stream.id != stream.id);
        self.note_load();
    }

    /// Gives up streams that nobody reads, and forgets finished ones.
    pub(super) fn sweep(&mut self, now: Instant) {
        let linger_ms = self.config.linger_ms;
        let abandoned: Vec<Arc<Stream>> = self
            .streams
            .values()
            .filter(|stream| stream.abandoned(now, linger_ms))
            .cloned()
            .collect();
        for stream in abandoned {
            self.give_up(&stream);
            self.streams.remove(&stream.id);
        }
    }

    /// Plans a step and returns its time, or `None` when there is nothing to do.
    pub(super) fn plan(&mut self) -> Option<Duration> {
        self.admit();
        let mut prefill_left = self.config.prefill_chunk_tokens;
        let mut cost_us = 0;
        let mut decodes = false;
        for job in &mut self.running {
            job.planned = match job.missing_tokens().min(prefill_left) {
                0 if job.missing_tokens() == 0 => Planned::Decode,
                0 => Planned::Nothing,
                tokens => Planned::Prefill { tokens },
            };
            if let Planned::Prefill { tokens } = job.planned {
                prefill_left -= tokens;
                cost_us += tokens * self.config.prefill_us_per_token;
            }
            decodes |= job.planned == Planned::Decode;
        }
        if decodes {
            cost_us += self.config.decode_step_us;
        }
        let cost = Duration::from_micros(cost_us) * self.slowness;
        (!self.running.is_empty()).then_some(cost)
    }

    /// Carries out what was planned, once the step's time has passed.
    pub(super) fn apply(&mut self) {
        let mut running = std::mem::take(&mut self.running);
        for job in &mut running {
            match std::mem::take(&mut job.planned) {
                Planned::Nothing => {}
                Planned::Prefill { tokens } => self.prefill(job, tokens),
                Planned::Decode => self.decode(job),
            }
        }
        running.retain(|job| !job.stream.ended());
        self.running = running;
        self.note_load();
    }

    fn admit(&mut self) {
        while self.running.len() < self.config.batch_limit {
            let Some((_, mut job)) = self.waiting.pop_first() else { break };
            if job.model != self.loaded.model || job.version != self.loaded.version {
                job.stream.end(End::Failed { message: "the weights changed".to_owned() });
                continue;
            }
            self.reuse(&mut job);
            let place = self.running.partition_point(|other| other.priority <= job.priority);
            self.running.insert(place, job);
        }
    }

    fn reuse(&mut self, job: &mut Job) {
        let origins = self.cache.reuse(&job.salt, &job.blocks);
        job.stored_blocks = origins.len();
        job.ready_tokens = origins.len() as u64 * job.block_tokens;
        job.usage.cached_tokens = job.ready_tokens;
        self.totals.prompt_tokens += job.usage.prompt_tokens;
        self.totals.cached_tokens += job.usage.cached_tokens;
        if !self.config.records_requests {
            return;
        }

        self.record.begun.push(job.stream.id.to_string());
        let reuses = origins.into_iter().zip(&job.blocks).map(|(origin, block)| BlockReuse {
            stream: job.stream.id.to_string(),
            salt: job.salt.to_string(),
            version: job.version.clone(),
            incarnation: self.incarnation,
            key: block.key,
            owner_stream: origin.stream.map(|id| id.to_string()),
            owner_salt: origin.salt.to_string(),
            owner_version: origin.version,
        });
        self.record.reuses.extend(reuses);
    }

    fn prefill(&mut self, job: &mut Job, tokens: u64) {
        job.ready_tokens += tokens;
        self.totals.computed_tokens += tokens;
        let ready = job.ready_blocks();
        for index in job.stored_blocks..ready {
            let block = job.blocks[index];
            let name = BlockName { salt: Arc::clone(&job.salt), key: block.key };
            let origin = BlockOrigin {
                stream: Some(Arc::clone(&job.stream.id)),
                salt: Arc::clone(&job.salt),
                version: job.version.clone(),
                text_hash: Some(block.text_hash),
            };
            self.store(name, origin);
        }
        job.stored_blocks = job.stored_blocks.max(ready);
    }

    /// Caches a block and publishes what changed.
    pub(super) fn store(&mut self, name: BlockName, origin: BlockOrigin) {
        let key = name.key;
        let evicted = self.cache.insert(name, origin);
        if !evicted.is_empty() {
            self.events.push(CacheChange::Evicted(evicted));
        }
        self.events.push(CacheChange::Stored(vec![key]));
    }

    fn decode(&mut self, job: &mut Job) {
        if job.usage.output_tokens < job.max_output_tokens {
            job.usage.output_tokens += 1;
            self.totals.output_tokens += 1;
            job.stream.push(job.text.next_word());
        }
        if job.usage.output_tokens >= job.max_output_tokens {
            job.stream.end(End::Finished { reason: FinishReason::Length, usage: job.usage });
        }
    }

    /// The load as it is now.
    pub(super) fn load_now(&self) -> LoadReport {
        let waiting = self.waiting.values();
        let backlog = self.running.iter().chain(waiting.clone()).map(Job::missing_tokens).sum();
        LoadReport {
            incarnation: self.incarnation,
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            waiting: u32::try_from(waiting.len()).unwrap_or(u32::MAX),
            prefill_backlog_tokens: backlog,
            cached_blocks: self.cache.len() as u64,
            capacity_blocks: self.cache.capacity() as u64,
            loaded: Some(self.loaded.clone()),
            age_ms: 0,
        }
    }

    /// The load as it was a lag ago.
    pub(super) fn load_lagged(&mut self) -> LoadReport {
        let lag = Duration::from_millis(self.config.load_lag_ms);
        if lag.is_zero() {
            return self.load_now();
        }

        self.note_load();
        let now = Instant::now();
        let old = self.load_reports.partition_point(|(at, _)| now.duration_since(*at) >= lag);
        let (at, mut report) = self.load_reports[old.saturating_sub(1)].clone();
        report.age_ms = u64::try_from(now.duration_since(at).as_millis()).unwrap_or(u64::MAX);
        report
    }

    fn note_load(&mut self) {
        let lag = Duration::from_millis(self.config.load_lag_ms);
        if lag.is_zero() {
            return;
        }

        // Finer notes than a part of the lag would not be told apart.
        let now = Instant::now();
        let part = lag / 8;
        let idle = self.running.is_empty() && self.waiting.is_empty();
        let recent = self.load_reports.back().is_some_and(|(at, _)| now.duration_since(*at) < part);
        if recent && !idle {
            return;
        }
        if self.load_reports.len() == MAX_LOAD_REPORTS {
            self.load_reports.pop_front();
        }
        self.load_reports.push_back((now, self.load_now()));
    }
}
