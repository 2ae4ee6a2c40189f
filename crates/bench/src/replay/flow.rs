//! What routers and agents do on each event.

use std::rc::Rc;

use rand::Rng;
use samphirespread_core::prelude::*;
use samphirespread_engine::api::CacheEvent;
use samphirespread_prefix::{
    Applied, BlockSource, CandidateState, Candidates, Hint, Prompt, block_source, choose, sample,
};

use super::{
    control::{LOOKUP_REPLY_BYTES, REFUSAL_BYTES, lookup_bytes},
    deployment::{BLOCK_TOKENS, FAULT_AT_MS, Scenario},
    engine::Job,
    outcome::{Prefilled, Served},
    placements::ReplayPlacement,
    world::{Dispatch, Event, World},
};

const LOOKUP_TIMEOUT_US: u64 = 20_000;
const LOAD_REPORT_EVERY_US: u64 = 250_000;
const LOAD_REPORT_LAG_US: u64 = 100_000;
const EVENT_LAG_US: std::ops::Range<u64> = 20_000..200_000;
const LOST_EVENT_CHANCE: f64 = 0.2;
const LOSS_LASTS_US: u64 = 20_000_000;
const RE_READ_US: u64 = 50_000;
const AVOID_DOWN_US: u64 = 1_000_000;
const RETRY_US: u64 = 50_000;

/// A wait up to this counts as idle when a router decides whether to look up.
const IDLE_WAIT_MS: u64 = 20;

/// A refusable prompt is taken if its first token comes this long after half its full prefill.
const ACCEPT_SLACK_US: u64 = 100_000;

impl<P: ReplayPlacement + Clone> World<'_, P> {
    pub(crate) fn place(&mut self, request: usize) {
        let now = self.now();
        let blocks = Rc::clone(&self.requests[request].blocks);
        let prompt = self.prompt(request, &blocks);
        let router = self.requests[request].router;
        if self.routers[router].placement.knows_engines() {
            let exact =
                |worker: &super::engine::Worker| worker.exact_standing(&blocks, self.now_us);
            let standings = self.workers.iter().map(exact).collect();
            self.routers[router].placement.see(standings);
        }
        self.readmit(router);
        let view = &mut self.routers[router];
        let candidates = view.placement.candidates(&prompt, &view.workers, now, &mut self.rng);
        let state = &mut self.requests[request];
        (state.candidates, state.answers) = (candidates, 0);
        state.standings = [CandidateState::default(); 3];
        let Some(first) = candidates.iter().next() else {
            let attempt = state.attempt;
            return self.after(RETRY_US, Event::Retry { request, attempt });
        };
        match self.replay.dispatch {
            Dispatch::Direct => self.send(request, first, false, None),
            Dispatch::Bounce => self.send(request, first, true, None),
            Dispatch::LookupWhenBusy if self.seems_idle(router, first) => {
                self.send(request, first, true, None);
            }
            Dispatch::Lookup | Dispatch::LookupWhenBusy => self.send_lookups(request, candidates),
        }
    }

    fn prompt<'b>(&self, request: usize, blocks: &'b [BlockKey]) -> Prompt<'b> {
        Prompt { blocks, tokens: self.requests[request].tokens, block_tokens: BLOCK_TOKENS }
    }

    fn seems_idle(&self, router: usize, worker: usize) -> bool {
        let view = self.routers[router].workers.get(worker);
        view.expected_wait_ms(self.now()) <= IDLE_WAIT_MS
    }

    /// Gives workers that were down another try after a while.
    fn readmit(&mut self, router: usize) {
        let view = &mut self.routers[router];
        for (worker, until_us) in view.avoid_until_us.iter().enumerate() {
            if *until_us <= self.now_us {
                view.workers.set_takes_work(worker, true);
            }
        }
    }

    fn send_lookups(&mut self, request: usize, candidates: Candidates) {
        let blocks = self.requests[request].blocks.len();
        for (slot, worker) in candidates.iter().enumerate() {
            self.outcome.control.lookups += 1;
            self.outcome.control.bytes += lookup_bytes(blocks);
            let delay_us = self.delay_us(request, worker);
            self.after(delay_us, Event::Lookup { request, slot, worker });
        }
        let attempt = self.requests[request].attempt;
        self.after(LOOKUP_TIMEOUT_US, Event::LookupTimeout { request, attempt });
    }

    pub(crate) fn look_up(&mut self, request: usize, slot: usize, worker: usize) {
        let blocks = Rc::clone(&self.requests[request].blocks);
        let attempt = self.requests[request].attempt;
        let sampled = sample(&blocks);
        let standing = self.workers[worker].sampled_standing(&sampled, self.now_us);
        let hint = self.workers[worker].observe_sample(&sampled, self.now_us);
        self.outcome.control.bytes += LOOKUP_REPLY_BYTES;
        let delay_us = self.delay_us(request, worker);
        self.after(delay_us, Event::LookupReply { request, attempt, slot, standing, hint });
    }

    pub(crate) fn looked_up(
        &mut self,
        request: usize,
        attempt: u32,
        slot: usize,
        standing: CandidateState,
        hint: Hint,
    ) {
        let Some(worker) = self.requests[request].candidates.iter().nth(slot) else { return };
        self.report(request, worker, standing, hint);
        if !standing.takes_work {
            self.avoid(request, worker);
        }
        let state = &mut self.requests[request];
        if state.attempt != attempt || state.answers == usize::MAX {
            return;
        }
        state.standings[slot] = standing;
        state.answers += 1;
        if state.answers == state.candidates.len() {
            self.choose(request);
        }
    }

    /// Sends the prompt to the best candidate that answered.
    pub(crate) fn choose(&mut self, request: usize) {
        let blocks = Rc::clone(&self.requests[request].blocks);
        let prompt = self.prompt(request, &blocks);
        let state = &mut self.requests[request];
        state.answers = usize::MAX;
        let standings = state.standings;
        match choose(&prompt, &standings[..state.candidates.len()]) {
            Some(slot) => {
                let worker = state.candidates.iter().nth(slot).unwrap_or_default();
                self.send(request, worker, false, Some(standings[slot]));
            }
            None => {
                let attempt = state.attempt;
                self.after(RETRY_US, Event::Retry { request, attempt });
            }
        }
    }

    fn send(
        &mut self,
        request: usize,
        worker: usize,
        may_refuse: bool,
        known: Option<CandidateState>,
    ) {
        let now = self.now();
        let blocks = Rc::clone(&self.requests[request].blocks);
        let prompt = self.prompt(request, &blocks);
        let prefill_us = u64::from(self.replay.deployment.engine.prefill_us_per_token);
        // Half of the prompt is assumed to be cached where nothing is known.
        let missing = known.map_or(prompt.tokens / 2, |standing| standing.missing_tokens(&prompt));
        let state = &mut self.requests[request];
        state.answers = usize::MAX;
        let (router, attempt) = (state.router, state.attempt);
        let cost_ms = (missing * prefill_us / 1_000) as u32;
        self.routers[router].workers.record_sent(worker, cost_ms, now);
        let delay_us = self.delay_us(request, worker);
        self.after(delay_us, Event::Deliver { request, attempt, worker, may_refuse });
    }

    pub(crate) fn deliver(
        &mut self,
        request: usize,
        attempt: u32,
        worker: usize,
        may_refuse: bool,
    ) {
        let blocks = Rc::clone(&self.requests[request].blocks);
        let prompt = self.prompt(request, &blocks);
        let standing = self.workers[worker].standing(&blocks, self.now_us);
        let delay_us = self.delay_us(request, worker);
        let full_us = prompt.tokens * u64::from(standing.prefill_us_per_token);
        let too_slow = standing.first_token_us(&prompt) > full_us / 2 + ACCEPT_SLACK_US;
        if !standing.takes_work || (may_refuse && too_slow) {
            let hint = self.workers[worker].observe(&blocks, 0, self.now_us);
            self.outcome.control.refusals += 1;
            self.outcome.control.bytes += REFUSAL_BYTES;
            let refused = Event::Refused { request, attempt, worker, standing, hint };
            return self.after(delay_us, refused);
        }
        let cost_us = standing.missing_tokens(&prompt) * u64::from(standing.prefill_us_per_token);
        let hint = self.workers[worker].observe(&blocks, cost_us.max(1), self.now_us);
        let output_tokens = self.replay.records[request].output_tokens;
        let job = Job::new(request, attempt, blocks, self.requests[request].tokens, output_tokens);
        self.workers[worker].enqueue(job, self.now_us);
        let standing = self.workers[worker].standing(&[], self.now_us);
        self.after(delay_us, Event::Accepted { request, worker, standing, hint });
        self.start_next(worker);
    }

    pub(crate) fn refused(
        &mut self,
        request: usize,
        attempt: u32,
        worker: usize,
        standing: CandidateState,
        hint: Hint,
    ) {
        self.report(request, worker, standing, hint);
        if self.requests[request].attempt != attempt {
            return;
        }
        if !standing.takes_work {
            self.avoid(request, worker);
            self.requests[request].attempt += 1;
            return self.place(request);
        }
        let now = self.now();
        let view = &self.routers[self.requests[request].router].workers;
        let others = self.requests[request].candidates.iter().filter(|other| *other != worker);
        let next = others.min_by_key(|other| view.get(*other).expected_wait_ms(now));
        self.send(request, next.unwrap_or(worker), false, None);
    }

    /// Leaves out a worker that takes no work for a while.
    fn avoid(&mut self, request: usize, worker: usize) {
        let router = &mut self.routers[self.requests[request].router];
        router.avoid_until_us[worker] = self.now_us + AVOID_DOWN_US;
        router.workers.set_takes_work(worker, false);
    }

    /// Takes in what an answer says about its worker and its prefix.
    pub(crate) fn report(
        &mut self,
        request: usize,
        worker: usize,
        standing: CandidateState,
        hint: Hint,
    ) {
        let now = self.now();
        let blocks = Rc::clone(&self.requests[request].blocks);
        let prompt = self.prompt(request, &blocks);
        let router = &mut self.routers[self.requests[request].router];
        router.workers.record_wait(worker, standing.wait_ms, now);
        router.placement.record_hint(&prompt, hint, now);
    }

    pub(crate) fn start_next(&mut self, worker: usize) {
        let Some(started) = self.workers[worker].start_next(self.now_us) else { return };
        let job = started.job;
        let missing = &job.blocks[started.cached_blocks..];
        let recomputed = missing.iter().take_while(|key| self.computed.contains(*key)).count();
        let (fetched, fetch_us) = self.fetch(recomputed as u32);
        let tokens_of = |blocks: usize| blocks as u64 * u64::from(BLOCK_TOKENS);
        let had = started.cached_blocks + fetched;
        let prefill_us_per_token = u64::from(self.replay.deployment.engine.prefill_us_per_token);
        let computed_tokens = job.tokens - tokens_of(had);
        self.outcome.prefilled(
            self.replay.records[job.request].at_ms,
            Prefilled {
                prompt_tokens: job.tokens,
                cached_tokens: tokens_of(started.cached_blocks),
                fetched_tokens: tokens_of(fetched),
                recomputed_tokens: tokens_of(recomputed - fetched),
            },
        );
        self.computed.extend(missing);
        let incarnation = self.workers[worker].incarnation;
        let prefill_us = fetch_us + computed_tokens * prefill_us_per_token;
        self.after(prefill_us, Event::PrefillDone { worker, incarnation });
    }

    /// Fetches blocks over the store's one link if that is faster than computing them.
    fn fetch(&mut self, available: u32) -> (usize, u64) {
        let Some(cost) = self.replay.store else { return (0, 0) };
        let queue_us = self.store_free_us.saturating_sub(self.now_us);
        let cost =
            samphirespread_prefix::TransferCost { setup_us: cost.setup_us + queue_us, ..cost };
        let prefill_us_per_token = u64::from(self.replay.deployment.engine.prefill_us_per_token);
        let compute_us_per_block = u64::from(BLOCK_TOKENS) * prefill_us_per_token;
        if block_source(&cost, available, compute_us_per_block) == BlockSource::Compute {
            return (0, 0);
        }
        let fetch_us = cost.fetch_us(available);
        self.store_free_us = self.now_us + fetch_us;
        (available as usize, fetch_us)
    }

    pub(crate) fn prefill_done(&mut self, worker: usize, incarnation: Incarnation) {
        if self.workers[worker].incarnation != incarnation {
            return;
        }
        let Some((job, events, decode_us)) = self.workers[worker].finish_prefill() else { return };
        for event in events {
            self.publish(worker, event);
        }
        let (request, attempt) = (job.request, job.attempt);
        self.after(decode_us, Event::StreamDone { worker, request, attempt });
        self.first_token(request, worker);
        self.start_next(worker);
    }

    fn first_token(&mut self, request: usize, worker: usize) {
        let to_client_us = self.replay.deployment.to_client_us;
        let seen_us = self.now_us + self.delay_us(request, worker) + to_client_us;
        let state = &mut self.requests[request];
        if std::mem::replace(&mut state.first_token, true) {
            return;
        }
        let record = &self.replay.records[request];
        let first_token_us = seen_us - record.at_ms * 1_000;
        self.outcome.served(Served { at_ms: record.at_ms, team: record.team, first_token_us });
    }

    /// Sends a cache event to the agent, late and perhaps not at all.
    fn publish(&mut self, worker: usize, event: CacheEvent) {
        let fault_us = FAULT_AT_MS * 1_000;
        let lossy = self.replay.scenario == Scenario::LostEvents
            && (fault_us..fault_us + LOSS_LASTS_US).contains(&self.now_us);
        let lag_us = self.event_rng.random_range(EVENT_LAG_US);
        let lost = self.event_rng.random_bool(LOST_EVENT_CHANCE);
        if lossy && lost {
            return;
        }
        let at_us = (self.now_us + lag_us).max(self.workers[worker].last_event_at_us);
        self.workers[worker].last_event_at_us = at_us;
        self.at(at_us, Event::Cache { worker, event });
    }

    pub(crate) fn cache_event(&mut self, worker: usize, event: &CacheEvent) {
        let state = &mut self.workers[worker];
        let applied = state.residency.apply(event);
        if applied == Applied::AfterGap && !state.re_read_pending {
            state.re_read_pending = true;
            self.after(RE_READ_US, Event::ReRead(worker));
        }
    }

    pub(crate) fn sample_load(&mut self, worker: usize) {
        let wait_ms = self.workers[worker].exact_standing(&[], self.now_us).wait_ms;
        self.after(LOAD_REPORT_LAG_US, Event::Load { worker, wait_ms });
        if self.now_us < self.replay.deployment.traffic.length_ms * 1_000 {
            self.after(LOAD_REPORT_EVERY_US, Event::SampleLoad(worker));
        }
    }

    pub(crate) fn fault(&mut self) {
        match self.replay.scenario {
            Scenario::Calm
            | Scenario::HotPrefixShift
            | Scenario::WholeShift
            | Scenario::LostEvents => {}
            Scenario::RouterRestart => {
                self.routers = (0..self.routers.len()).map(|_| self.new_router()).collect();
            }
            Scenario::EngineCrash => self.crash(0),
            Scenario::DomainCrash => {
                let domains = self.replay.deployment.failure_domains;
                (0..self.workers.len()).step_by(domains).for_each(|worker| self.crash(worker));
            }
        }
    }

    fn crash(&mut self, worker: usize) {
        for (request, attempt) in self.workers[worker].crash() {
            let delay_us = self.delay_us(request, worker);
            self.after(delay_us, Event::Lost { request, attempt });
        }
        let restart_us = self.replay.deployment.engine.restart_us;
        self.after(restart_us, Event::EngineUp(worker));
    }
}
