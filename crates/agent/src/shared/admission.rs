//! Decides whether an attempt is admitted, and estimates how well the agent could serve a prompt.

use std::sync::Arc;

use samphirespread_core::prelude::*;
use samphirespread_fairness::Admission;
use samphirespread_prefix::Hint;
use samphirespread_settings::BackendKind;
use samphirespread_wire::message::{
    Estimate, Failed, Lookup, LookupReply, ModelWork, NotRunReason, PrefixHint, Reply, Resume, Run,
    Work,
};

use crate::{
    attempts::{ResumeDecision, RunDecision},
    engine_tracker::EngineState,
    shared::{AttemptHandle, Shared, State, Waiting},
};

const RETRY_SOON_MS: u32 = 100;
const RETRY_LATER_MS: u32 = 1_000;

/// Cost of one call of a plain service in the queue, in tokens.
const SERVICE_CALL_COST_TOKENS: u64 = 1;

/// Returns the delay before a retry after a refusal that doesn't depend on the queue.
pub(super) fn retry_after_ms(reason: NotRunReason) -> u32 {
    match reason {
        NotRunReason::EngineDown | NotRunReason::Leaving => RETRY_LATER_MS,
        _ => RETRY_SOON_MS,
    }
}

/// Creates the last reply of an attempt that may have run.
pub(crate) fn failed(message: impl Into<String>) -> Reply {
    Reply::Failed(Failed { may_have_run: true, message: message.into() })
}

impl Shared {
    /// Handles a request to run. Returns the attempt to follow, or a final reply.
    pub(crate) fn admit(
        self: &Arc<Self>,
        run: Box<Run>,
    ) -> Result<(Arc<AttemptHandle>, Estimate), Reply> {
        let admitted = self.try_admit(run);
        self.start_waiting();
        admitted
    }

    fn try_admit(&self, run: Box<Run>) -> Result<(Arc<AttemptHandle>, Estimate), Reply> {
        let now = self.clock.now();
        let id = run.attempt;
        let mut state = self.lock();
        let estimate = state.estimate(now, &run);
        match state.attempts.run(now, id, run.fence) {
            RunDecision::Start => {}
            RunDecision::Attach => return state.follow(id).map(|handle| (handle, estimate)),
            RunDecision::Refuse(reason) => return Err(self.refuse(&state, reason, estimate)),
            RunDecision::Full => return Err(self.refuse(&state, NotRunReason::Busy, estimate)),
            RunDecision::Uncertain => {
                return Err(failed("the attempt may have been known here once"));
            }
        }
        if let Some(reason) = self.refusal_reason(&state, now, &run) {
            state.attempts.refuse(now, id, reason);
            return Err(self.refuse(&state, reason, estimate));
        }
        let admission = Admission::new(&run.team, run.weight)
            .cost_tokens(cost_tokens(&run.work))
            .size_bytes(size_bytes(&run.work))
            .priority(run.priority)
            .max_wait_ms(u64::from(run.queue_limit_ms));
        match state.queue.push(now, &admission, id) {
            Ok(ticket) => {
                state.record_prompt(now, &run);
                let handle = Arc::new(AttemptHandle::new(id, run.team.clone()));
                state.handles.insert(id, Arc::clone(&handle));
                state.waiting.insert(id, Waiting { run, ticket, handle: Arc::clone(&handle) });
                state.attempts.attach(id);
                Ok((handle, estimate))
            }
            Err(rejected) => {
                let reason = NotRunReason::Busy;
                state.attempts.refuse(now, id, reason);
                Err(self.not_run(&state, reason, rejected.retry_after_ms, estimate))
            }
        }
    }

    fn refuse(&self, state: &State, reason: NotRunReason, estimate: Estimate) -> Reply {
        self.not_run(state, reason, retry_after_ms(reason), estimate)
    }

    /// Returns the reason to refuse a new attempt, if there is one.
    fn refusal_reason(&self, state: &State, now: MonoTime, run: &Run) -> Option<NotRunReason> {
        let kind = match run.work {
            Work::Model(_) => BackendKind::Model,
            Work::Service(_) => BackendKind::Service,
        };
        let grace_ms = self.settings.peers.stale_config_ms;
        if state.leaving {
            Some(NotRunReason::Leaving)
        } else if !state.engine.takes_work()
            || kind != self.settings.backend.kind
            || state.is_draining_from(&run.work)
        {
            Some(NotRunReason::EngineDown)
        } else if state.configuration.is_stale(now, run.generation, grace_ms) {
            Some(NotRunReason::Stale)
        } else {
            None
        }
    }

    /// Handles a request for the rest of an answer.
    pub(crate) fn resume(&self, resume: Resume) -> Result<Arc<AttemptHandle>, Reply> {
        if resume.incarnation != self.incarnation {
            return Err(failed("another run of this agent was asked to run the attempt"));
        }
        let mut state = self.lock();
        match state.attempts.resume(self.clock.now(), resume.attempt) {
            ResumeDecision::Attach => state.follow(resume.attempt),
            ResumeDecision::Refuse(reason) => Err(self.refuse(&state, reason, Estimate::default())),
            ResumeDecision::Uncertain => Err(failed("the attempt may have been known here once")),
        }
    }

    /// Estimates how well the agent could serve a prompt.
    pub(crate) fn lookup(&self, lookup: &Lookup) -> LookupReply {
        let now = self.clock.now();
        let mut state = self.lock();
        let hint = state.prefix_traffic.observe_sample(&lookup.sampled, now);
        let cached_blocks = state.residency.leading_depth(&lookup.sampled);
        let estimate = state.estimate_with(cached_blocks, hint);
        let takes_work = !state.leaving && state.engine.takes_work();
        LookupReply { generation: state.configuration.generation(), estimate, takes_work }
    }
}

impl State {
    /// Adds a follower to a known attempt and returns the attempt.
    fn follow(&mut self, id: AttemptId) -> Result<Arc<AttemptHandle>, Reply> {
        let handle = self.handles.get(&id).cloned();
        let handle = handle.ok_or_else(|| failed("the answer is no longer kept"))?;
        self.attempts.attach(id);
        Ok(handle)
    }

    pub(super) fn estimate(&self, now: MonoTime, run: &Run) -> Estimate {
        match &run.work {
            Work::Model(work) => self.estimate_for(now, &work.blocks),
            Work::Service(_) => self.estimate_for(now, &[]),
        }
    }

    fn estimate_for(&self, now: MonoTime, blocks: &[BlockKey]) -> Estimate {
        self.estimate_with(
            self.residency.leading_blocks(blocks),
            self.prefix_traffic.hint(blocks, now),
        )
    }

    fn estimate_with(&self, cached_blocks: u32, hint: Hint) -> Estimate {
        let prefill_ms = self.prefill_speed.time_ms(self.prefill_backlog.tokens());
        Estimate {
            cached_blocks,
            wait_ms: self.queue.wait_ms().saturating_add(prefill_ms),
            prefill_us_per_token: self.prefill_speed.us_per_token(),
            hint: PrefixHint { shared_blocks: hint.shared_blocks, replicas: hint.replicas },
        }
    }

    /// Returns whether the engine will serve other weights by the time the work could start.
    fn is_draining_from(&self, work: &Work) -> bool {
        let Work::Model(work) = work else { return false };
        let wanted = self.configuration.weights();
        self.engine.state() == EngineState::Draining
            && wanted.is_none_or(|wanted| wanted.version != work.version)
    }

    /// Adds the prompt of an attempt to the traffic of its prefix.
    fn record_prompt(&mut self, now: MonoTime, run: &Run) {
        let Work::Model(work) = &run.work else { return };
        let missing = self.missing_tokens(work);
        let cost_us = missing * u64::from(self.prefill_speed.us_per_token());
        self.prefix_traffic.observe(&work.blocks, cost_us, now);
    }

    /// Adds a started attempt to the prefill backlog and returns its tokens that are not cached.
    /// Until the attempt ends, its blocks count as expected in the cache, for prompts that arrive
    /// later.
    pub(super) fn begin_prefill(&mut self, run: &Run) -> u64 {
        let Work::Model(work) = &run.work else { return 0 };
        let missing_tokens = self.missing_tokens(work);
        self.prefill_backlog.begin(missing_tokens);
        self.residency.add_expected(&work.blocks);
        missing_tokens
    }

    /// Stops expecting the blocks of an ended attempt. The cache events of the engine report, now
    /// or soon, which of them it cached.
    pub(super) fn end_expected_blocks(&mut self, run: &Run) {
        let Work::Model(work) = &run.work else { return };
        self.residency.remove_expected(&work.blocks);
    }

    /// Returns the tokens of a prompt that the engine would have to compute now. Blocks that
    /// another attempt is still prefilling count as missing, since the engine has yet to spend the
    /// time on them.
    fn missing_tokens(&self, work: &ModelWork) -> u64 {
        let cached = u64::from(self.residency.cached_blocks(&work.blocks));
        let block_tokens = u64::from(work.block_bytes).div_ceil(BYTES_PER_TOKEN);
        work.prompt_tokens.saturating_sub(cached * block_tokens)
    }
}

const BYTES_PER_TOKEN: u64 = samphirespread_prefix::BYTES_PER_TOKEN as u64;

fn size_bytes(work: &Work) -> u64 {
    let bytes = match work {
        Work::Model(work) => work.prompt.len() + work.sampling.len() + size_of_val(&*work.blocks),
        Work::Service(work) => work.body.len(),
    };
    bytes as u64
}

fn cost_tokens(work: &Work) -> u64 {
    match work {
        Work::Model(work) => work.prompt_tokens + u64::from(work.max_output_tokens),
        Work::Service(_) => SERVICE_CALL_COST_TOKENS,
    }
}
