//! A fake engine in virtual time, with what its agent believes of it.

use std::{
    collections::{HashMap, VecDeque},
    rc::Rc,
};

use samphirespread_core::prelude::*;
use samphirespread_engine::api::{BlockList, CacheChange, CacheEvent};
use samphirespread_prefix::{
    CandidateState, Hint, PrefixTraffic, PrefixTrafficConfig, Prompt, Residency, SampledBlock,
};

use super::{
    cache::LruCache,
    deployment::{BLOCK_TOKENS, EngineSpec},
};

/// A prompt that waits for its prefill.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) request: usize,
    pub(crate) attempt: u32,
    pub(crate) blocks: Rc<[BlockKey]>,
    pub(crate) tokens: u64,
    pub(crate) output_tokens: u32,
    /// What the agent thinks that the prefill takes.
    believed_us: u64,
    /// What the prefill takes unless blocks are evicted before.
    exact_us: u64,
}

#[derive(Debug)]
struct Prefill {
    job: Job,
    started_us: u64,
}

/// An engine, its queue and its agent.
#[derive(Debug)]
pub(crate) struct Worker {
    spec: EngineSpec,
    pub(crate) incarnation: Incarnation,
    pub(crate) up: bool,
    cache: LruCache,
    queue: VecDeque<Job>,
    queued_blocks: HashMap<BlockKey, u32>,
    prefill: Option<Prefill>,
    running: Vec<(usize, u32)>,
    next_seq: u64,
    pub(crate) residency: Residency,
    heat: PrefixTraffic,
    pub(crate) re_read_pending: bool,
    pub(crate) last_event_at_us: u64,
}

/// A prefill that begins, for the caller to schedule its end.
#[derive(Clone, Debug)]
pub(crate) struct Started {
    pub(crate) job: Job,
    pub(crate) cached_blocks: usize,
}

impl Worker {
    pub(crate) fn new(spec: EngineSpec) -> Self {
        Self {
            spec,
            incarnation: Incarnation(1),
            up: true,
            cache: LruCache::new(spec.cache_blocks),
            queue: VecDeque::new(),
            queued_blocks: HashMap::new(),
            prefill: None,
            running: Vec::new(),
            next_seq: 0,
            residency: Residency::new(),
            heat: PrefixTraffic::new(PrefixTrafficConfig::default()),
            re_read_pending: false,
            last_event_at_us: 0,
        }
    }

    /// What the agent answers about a prompt.
    pub(crate) fn standing(&self, blocks: &[BlockKey], now_us: u64) -> CandidateState {
        CandidateState {
            cached_blocks: self.residency.leading_blocks(blocks),
            wait_ms: (self.wait_us(now_us, |job| job.believed_us) / 1_000) as u32,
            prefill_us_per_token: self.spec.prefill_us_per_token,
            takes_work: self.up,
        }
    }

    /// What the agent answers to a lookup.
    pub(crate) fn sampled_standing(&self, sampled: &[SampledBlock], now_us: u64) -> CandidateState {
        let cached_blocks = self.residency.leading_depth(sampled);
        CandidateState { cached_blocks, ..self.standing(&[], now_us) }
    }

    pub(crate) fn observe_sample(&mut self, sampled: &[SampledBlock], now_us: u64) -> Hint {
        self.heat.observe_sample(sampled, MonoTime::from_us(now_us))
    }

    /// What would really happen to a prompt.
    pub(crate) fn exact_standing(&self, blocks: &[BlockKey], now_us: u64) -> CandidateState {
        CandidateState {
            cached_blocks: self.exact_leading(blocks) as u32,
            wait_ms: (self.wait_us(now_us, |job| job.exact_us) / 1_000) as u32,
            ..self.standing(blocks, now_us)
        }
    }

    pub(crate) fn observe(&mut self, blocks: &[BlockKey], cost_us: u64, now_us: u64) -> Hint {
        self.heat.observe(blocks, cost_us, MonoTime::from_us(now_us))
    }

    /// Takes a prompt in.
    pub(crate) fn enqueue(&mut self, mut job: Job, now_us: u64) {
        let prompt = Prompt { blocks: &job.blocks, tokens: job.tokens, block_tokens: BLOCK_TOKENS };
        let cost_us = |standing: CandidateState| {
            standing.missing_tokens(&prompt) * u64::from(self.spec.prefill_us_per_token)
        };
        let believed_us = cost_us(self.standing(&job.blocks, now_us));
        let exact_us = cost_us(self.exact_standing(&job.blocks, now_us));
        (job.believed_us, job.exact_us) = (believed_us, exact_us);
        let blocks = Rc::clone(&job.blocks);
        self.residency.add_expected(&blocks);
        for key in blocks.iter() {
            *self.queued_blocks.entry(*key).or_insert(0) += 1;
        }
        self.queue.push_back(job);
    }

    /// Begins the next prefill if the engine is free.
    pub(crate) fn start_next(&mut self, now_us: u64) -> Option<Started> {
        let free = self.up && self.prefill.is_none() && self.running.len() < self.spec.max_streams;
        if !free {
            return None;
        }
        let job = self.queue.pop_front()?;
        let missing = job.blocks.iter().position(|key| !self.cache.contains(*key));
        let cached_blocks = missing.unwrap_or(job.blocks.len());
        self.cache.touch(&job.blocks[..cached_blocks]);
        self.prefill = Some(Prefill { job: job.clone(), started_us: now_us });
        Some(Started { job, cached_blocks })
    }

    /// Ends the prefill. Returns its job, the cache events and how long its decoding takes.
    pub(crate) fn finish_prefill(&mut self) -> Option<(Job, Vec<CacheEvent>, u64)> {
        let job = self.prefill.take()?.job;
        self.forget_queued(&job.blocks);
        let stored: Vec<BlockKey> =
            job.blocks.iter().copied().filter(|key| !self.cache.contains(*key)).collect();
        let evicted = self.cache.insert(&job.blocks);
        let mut events = Vec::new();
        if !stored.is_empty() {
            events.push(self.event(CacheChange::Stored(stored)));
        }
        if !evicted.is_empty() {
            events.push(self.event(CacheChange::Evicted(evicted)));
        }
        self.running.push((job.request, job.attempt));
        let step_us = self.spec.step_us + self.spec.step_us_per_stream * self.running.len() as u64;
        let decode_us = u64::from(job.output_tokens) * step_us;
        Some((job, events, decode_us))
    }

    pub(crate) fn finish_stream(&mut self, request: usize, attempt: u32) {
        self.running.retain(|stream| *stream != (request, attempt));
    }

    /// Drops everything and returns the attempts that are lost.
    pub(crate) fn crash(&mut self) -> Vec<(usize, u32)> {
        self.up = false;
        self.incarnation = Incarnation(self.incarnation.0 + 1);
        self.cache = LruCache::new(self.spec.cache_blocks);
        self.next_seq = 0;
        self.queued_blocks.clear();
        self.residency.start_run(self.incarnation);
        let waiting = self.queue.drain(..).chain(self.prefill.take().map(|prefill| prefill.job));
        let mut lost: Vec<(usize, u32)> = waiting.map(|job| (job.request, job.attempt)).collect();
        lost.append(&mut self.running);
        lost
    }

    /// All that the engine has cached, as its agent re-reads it.
    pub(crate) fn block_list(&self) -> BlockList {
        BlockList {
            incarnation: self.incarnation,
            next_seq: self.next_seq,
            keys: self.cache.keys(),
        }
    }

    fn exact_leading(&self, blocks: &[BlockKey]) -> usize {
        let known = |key| self.cache.contains(key) || self.queued_blocks.contains_key(&key);
        blocks.iter().position(|key| !known(*key)).unwrap_or(blocks.len())
    }

    fn wait_us(&self, now_us: u64, cost_us: impl Fn(&Job) -> u64) -> u64 {
        let current = self
            .prefill
            .as_ref()
            .map_or(0, |prefill| cost_us(&prefill.job).saturating_sub(now_us - prefill.started_us));
        current + self.queue.iter().map(cost_us).sum::<u64>()
    }

    fn event(&mut self, change: CacheChange) -> CacheEvent {
        let event = CacheEvent { incarnation: self.incarnation, seq: self.next_seq, change };
        self.next_seq += 1;
        event
    }

    fn forget_queued(&mut self, blocks: &[BlockKey]) {
        self.residency.remove_expected(blocks);
        for key in blocks {
            if let Some(count) = self.queued_blocks.get_mut(key) {
                *count -= 1;
                if *count == 0 {
                    self.queued_blocks.remove(key);
                }
            }
        }
    }
}

impl Job {
    pub(crate) fn new(
        request: usize,
        attempt: u32,
        blocks: Rc<[BlockKey]>,
        tokens: u64,
        output_tokens: u32,
    ) -> Self {
        Self { request, attempt, blocks, tokens, output_tokens, believed_us: 0, exact_us: 0 }
    }
}
