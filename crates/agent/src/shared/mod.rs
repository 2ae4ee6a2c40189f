//! The state that all tasks of an agent share, and the operations on it.

mod admission;
mod attempt_handle;
mod open_attempts;
mod prefill;

use std::{
    collections::{HashMap, VecDeque},
    panic::AssertUnwindSafe,
    sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::AtomicU64},
};

use futures_util::FutureExt;
use samphirespread_core::{
    prelude::*,
    time::{Clock, fresh_incarnation},
};
use samphirespread_engine::{EngineClient, EngineClientConfig, api::LoadedWeights};
use samphirespread_fairness::{Config as QueueConfig, DropCause, Popped, Queue, Ticket};
use samphirespread_prefix::{PrefixTraffic, PrefixTrafficConfig, Residency};
use samphirespread_settings::AgentSettings;
use samphirespread_wire::message::{
    Estimate, Hello, NotRun, NotRunReason, ObjectVersion, Reply, Run, Work,
};
use slog::{Logger, info, o};
use tokio_util::{sync::CancellationToken, task::TaskTracker};

pub(crate) use self::{admission::failed, attempt_handle::AttemptHandle, open_attempts::Phase};
use crate::{
    attempts::{AttemptConfig, AttemptTable, CancelDecision, Due},
    configuration::Configuration,
    engine_tracker::{EngineAction, EngineEvent, EngineTracker},
    metrics::Metrics,
    model,
    service::{self, ServiceClient},
    shared::prefill::{PrefillBacklog, PrefillRoom, PrefillSpeed},
};

/// Maximum size of all ended answers that are kept for resuming.
const MAX_KEPT_BYTES: usize = 32 * 1024 * 1024;

/// Maximum size of all waiting prompts and bodies.
const MAX_WAITING_BYTES: u64 = 64 * 1024 * 1024;

const ENGINE_TIMEOUT_MS: u64 = 2_000;
const POLL_TIMEOUT_MS: u64 = 1_000;

/// The data that all tasks of an agent share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: AgentSettings,
    pub(crate) name: InstanceName,
    pub(crate) incarnation: Incarnation,
    pub(crate) log: Logger,
    pub(crate) clock: Clock,
    pub(crate) engine: EngineClient,
    /// A client for polls, which time out sooner than other calls.
    pub(crate) polled_engine: EngineClient,
    /// Number of replies that were sent to followers.
    pub(crate) sent_replies: AtomicU64,
    pub(crate) service: ServiceClient,
    pub(crate) metrics: Metrics,
    /// The tasks of running attempts.
    pub(crate) tasks: TaskTracker,
    /// Cancelled when every attempt has to end.
    ending: CancellationToken,
    state: Mutex<State>,
}

/// A waiting attempt.
#[derive(Debug)]
struct Waiting {
    run: Box<Run>,
    ticket: Ticket,
    handle: Arc<AttemptHandle>,
}

#[derive(Debug)]
pub(crate) struct State {
    pub(crate) attempts: AttemptTable,
    pub(crate) queue: Queue<AttemptId>,
    pub(crate) handles: HashMap<AttemptId, Arc<AttemptHandle>>,
    waiting: HashMap<AttemptId, Waiting>,
    kept_answers: VecDeque<(AttemptId, usize)>,
    kept_bytes: usize,
    pub(crate) residency: Residency,
    pub(crate) prefix_traffic: PrefixTraffic,
    pub(crate) prefill_speed: PrefillSpeed,
    pub(crate) prefill_backlog: PrefillBacklog,
    pub(crate) engine: EngineTracker,
    /// The weights that the engine last reported.
    pub(crate) loaded: Option<LoadedWeights>,
    /// The weights that the engine last loaded on this agent's order, and the engine's incarnation
    /// at that time.
    pub(crate) ordered: Option<(Incarnation, LoadedWeights)>,
    pub(crate) configuration: Configuration,
    pub(crate) leaving: bool,
    leaving_since: MonoTime,
}

/// How an attempt ended.
#[derive(Debug)]
pub(crate) enum Outcome {
    /// The backend server certainly did not begin to run it.
    NotRun(NotRunReason),
    /// It ran or may have run.
    Ended {
        /// The last reply.
        reply: Reply,
        /// Tokens that the backend server spent on it.
        tokens: u64,
    },
}

impl Shared {
    pub(crate) fn new(settings: AgentSettings, log: &Logger) -> Arc<Self> {
        let address = settings.backend.address;
        let engine = EngineClientConfig::new(address.to_string())
            .timeout_ms(ENGINE_TIMEOUT_MS)
            .silence_ms(settings.peers.silence_timeout_ms.max(ENGINE_TIMEOUT_MS));
        let polled_engine =
            EngineClientConfig::new(address.to_string()).timeout_ms(POLL_TIMEOUT_MS);
        let queue = QueueConfig::new(settings.queue.concurrency)
            .max_len(settings.queue.max_requests)
            .max_bytes(MAX_WAITING_BYTES)
            .max_wait_ms(settings.queue.max_wait_ms);
        let state = State {
            attempts: AttemptTable::new(AttemptConfig::default()),
            queue: Queue::new(queue),
            handles: HashMap::new(),
            waiting: HashMap::new(),
            kept_answers: VecDeque::new(),
            kept_bytes: 0,
            residency: Residency::new(),
            prefix_traffic: PrefixTraffic::new(PrefixTrafficConfig::default()),
            prefill_speed: PrefillSpeed::default(),
            prefill_backlog: PrefillBacklog::default(),
            engine: EngineTracker::new(),
            loaded: None,
            ordered: None,
            configuration: Configuration::new(),
            leaving: false,
            leaving_since: MonoTime::ZERO,
        };
        let name = InstanceName::new(&settings.instance.name);
        Arc::new(Self {
            log: log.new(o!("instance" => name.to_string())),
            name,
            incarnation: fresh_incarnation(),
            clock: Clock::start(),
            engine: EngineClient::new(engine),
            polled_engine: EngineClient::new(polled_engine),
            sent_replies: AtomicU64::new(0),
            service: ServiceClient::new(address),
            metrics: Metrics::new(),
            tasks: TaskTracker::new(),
            ending: CancellationToken::new(),
            state: Mutex::new(state),
            settings,
        })
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        // A panic in another task ends only that task, so a poisoned lock is used as it is.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn hello(&self) -> Hello {
        let state = self.lock();
        Hello {
            name: self.name.clone(),
            incarnation: self.incarnation,
            generation: state.configuration.generation(),
            live_version: ObjectVersion::default(),
            leaving: state.leaving,
        }
    }

    /// Starts the waiting attempts that may start, and refuses those that the queue dropped.
    pub(crate) fn start_waiting(self: &Arc<Self>) {
        let now = self.clock.now();
        let mut state = self.lock();
        while let Some(next) = state.pop(now) {
            let id = next.item;
            let waiting = state.waiting.remove(&id).expect("a queued attempt waits");
            state.attempts.start(id);
            let missing_tokens = state.begin_prefill(&waiting.run);
            self.metrics.observe_wait(next.waited_us);
            let shared = Arc::clone(self);
            self.tasks.spawn(async move {
                let Waiting { run, ticket, handle } = waiting;
                // A panic in one attempt must still free its slot and end the answer for its
                // followers.
                let attempt = AssertUnwindSafe(run_attempt(&shared, &run, missing_tokens, &handle));
                let outcome = attempt.catch_unwind().await.unwrap_or_else(|_| Outcome::Ended {
                    reply: failed("the agent failed within the attempt"),
                    tokens: 0,
                });
                shared.finish(&run, &handle, ticket, outcome);
            });
        }
        self.refuse_dropped(&mut state, now);
    }

    /// Refuses the attempts that the queue dropped.
    fn refuse_dropped(&self, state: &mut State, now: MonoTime) {
        for dropped in state.queue.take_dropped(now) {
            let reason = match dropped.cause {
                DropCause::Expired => NotRunReason::QueueTimeout,
                DropCause::Displaced => NotRunReason::Busy,
            };
            self.refuse_waiting(state, now, dropped.item, reason, dropped.retry_after_ms);
        }
    }

    /// Refuses a waiting attempt that has already been removed from the queue.
    fn refuse_waiting(
        &self,
        state: &mut State,
        now: MonoTime,
        id: AttemptId,
        reason: NotRunReason,
        retry_after_ms: u32,
    ) {
        let waiting = state.waiting.remove(&id).expect("a queued attempt waits");
        state.attempts.refuse(now, id, reason);
        let estimate = state.estimate(now, &waiting.run);
        waiting.handle.end(self.not_run(state, reason, retry_after_ms, estimate));
    }

    /// Ends a started attempt, frees its slot and starts waiting attempts.
    fn finish(
        self: &Arc<Self>,
        run: &Run,
        handle: &AttemptHandle,
        ticket: Ticket,
        outcome: Outcome,
    ) {
        let now = self.clock.now();
        {
            let mut state = self.lock();
            let (reply, tokens) = match outcome {
                Outcome::NotRun(reason) => {
                    state.attempts.refuse(now, handle.id, reason);
                    let retry_after_ms = admission::retry_after_ms(reason);
                    (self.not_run(&state, reason, retry_after_ms, Estimate::default()), 0)
                }
                Outcome::Ended { reply, tokens } => {
                    state.attempts.end(now, handle.id);
                    (reply, tokens)
                }
            };
            state.end_expected_blocks(run);
            state.queue.complete(now, ticket, tokens);
            self.log_end(handle, &reply);
            handle.end(reply);
            state.keep_answer(handle);
        }
        self.start_waiting();
    }

    fn log_end(&self, handle: &AttemptHandle, reply: &Reply) {
        let outcome = self.metrics.count_end(reply);
        let error = match reply {
            Reply::Failed(failed) => failed.message.as_str(),
            Reply::NotRun(not_run) => not_run.reason.as_str(),
            _ => "none",
        };
        info!(self.log, "attempt ended";
            "request" => handle.id.request.to_string(),
            "attempt" => handle.id.number,
            "team" => handle.team.as_str(),
            "outcome" => outcome,
            "error" => error,
            "lines" => handle.next_seq());
    }

    pub(crate) fn not_run(
        &self,
        state: &State,
        reason: NotRunReason,
        retry_after_ms: u32,
        estimate: Estimate,
    ) -> Reply {
        self.metrics.count_not_run(reason);
        let generation = state.configuration.generation();
        Reply::NotRun(NotRun { reason, retry_after_ms, estimate, generation })
    }

    /// Ends the prefill of an attempt that has its first output or will have none.
    pub(crate) fn end_prefill(self: &Arc<Self>, missing_tokens: u64, first_token_us: Option<u64>) {
        {
            let mut state = self.lock();
            state.prefill_backlog.end(missing_tokens);
            if let Some(us) = first_token_us {
                state.prefill_speed.observe(missing_tokens, us);
            }
        }
        self.start_waiting();
    }

    /// Records that the backend server may have begun to run the attempt.
    pub(crate) fn mark_may_have_run(&self, id: AttemptId) {
        self.lock().attempts.mark_may_have_run(id);
    }

    /// Handles an observation of the backend server.
    pub(crate) fn engine_event(self: &Arc<Self>, event: EngineEvent) {
        let actions = {
            let mut state = self.lock();
            let before = state.engine.state();
            let actions = state.engine.handle(event);
            let after = state.engine.state();
            if before != after {
                info!(self.log, "backend server changed state";
                    "from" => ?before, "to" => ?after, "event" => ?event);
            }
            for action in &actions {
                self.apply(&mut state, *action);
            }
            actions
        };
        if actions.contains(&EngineAction::Resume) {
            self.start_waiting();
        }
    }

    fn apply(&self, state: &mut State, action: EngineAction) {
        match action {
            EngineAction::StartRun(incarnation) => state.residency.start_run(incarnation),
            EngineAction::RefuseWaiting => self.refuse_all(state, NotRunReason::EngineDown),
            EngineAction::Resume => {}
        }
    }

    /// Refuses all waiting attempts.
    fn refuse_all(&self, state: &mut State, reason: NotRunReason) {
        let now = self.clock.now();
        let ids: Vec<AttemptId> = state.waiting.keys().copied().collect();
        for id in ids {
            let ticket = state.waiting[&id].ticket;
            if state.queue.cancel(now, ticket).is_none() {
                continue; // The queue has dropped it; the next `start_waiting` refuses it.
            }
            let retry_after_ms = admission::retry_after_ms(reason);
            self.refuse_waiting(state, now, id, reason, retry_after_ms);
        }
    }

    /// Ends every attempt, so that its followers learn now whether it may have run. Attempts that
    /// still wait are refused.
    pub(crate) fn end_attempts(&self) {
        self.refuse_all(&mut self.lock(), NotRunReason::Leaving);
        self.ending.cancel();
    }

    /// Cancels an attempt whose answer nobody wants any more.
    pub(crate) fn cancel(&self, id: AttemptId) {
        let now = self.clock.now();
        let mut state = self.lock();
        if let Some(handle) = state.handles.get(&id) {
            handle.cancel.cancel();
        }
        match state.attempts.cancel(now, id) {
            CancelDecision::Withdraw => {
                let waiting = state.waiting.remove(&id).expect("a waiting attempt is queued");
                state.queue.cancel(now, waiting.ticket);
                let reply = self.not_run(&state, NotRunReason::Unknown, 0, Estimate::default());
                waiting.handle.end(reply);
            }
            CancelDecision::Stop | CancelDecision::Nothing => {}
        }
    }

    /// Runs the actions that have become due.
    pub(crate) fn tick(self: &Arc<Self>) {
        let due = self.lock().attempts.tick(self.clock.now());
        for due in due {
            match due {
                Due::Abandon(id) => self.cancel(id),
                Due::Release(id) => self.lock().release_answer(id),
            }
        }
        self.start_waiting();
    }

    /// Makes the agent refuse new work.
    pub(crate) fn leave(&self) {
        let mut state = self.lock();
        state.leaving = true;
        state.leaving_since = self.clock.now();
    }

    /// Returns whether no attempt is running.
    pub(crate) fn has_nothing_running(&self) -> bool {
        self.lock().queue.running() == 0
    }

    /// Returns whether a router has yet to come back for the end of an answer.
    pub(crate) fn owes_answers(&self) -> bool {
        self.lock().handles.values().any(|handle| handle.is_owed())
    }

    /// Returns whether no attempt is waiting or running.
    pub(crate) fn is_idle(&self) -> bool {
        let state = self.lock();
        state.queue.is_empty() && state.queue.running() == 0
    }
}

impl State {
    /// Removes the attempt to start now from the queue, if there is one.
    fn pop(&mut self, now: MonoTime) -> Option<Popped<AttemptId>> {
        if !self.engine.may_start() {
            return None;
        }
        match self.prefill_backlog.room(self.prefill_speed) {
            PrefillRoom::Needed => self.queue.pop(now),
            PrefillRoom::Ahead => self.queue.pop_within_share(now),
            PrefillRoom::None => None,
        }
    }

    /// Keeps an ended answer, and drops the oldest ones above `MAX_KEPT_BYTES`.
    fn keep_answer(&mut self, handle: &AttemptHandle) {
        let bytes = handle.bytes();
        self.kept_answers.push_back((handle.id, bytes));
        self.kept_bytes += bytes;
        while self.kept_bytes > MAX_KEPT_BYTES {
            let Some((id, bytes)) = self.kept_answers.pop_front() else { return };
            self.kept_bytes -= bytes;
            self.handles.remove(&id);
        }
    }

    fn release_answer(&mut self, id: AttemptId) {
        self.handles.remove(&id);
        while let Some(&(oldest, bytes)) = self.kept_answers.front() {
            if self.handles.contains_key(&oldest) {
                return;
            }
            self.kept_answers.pop_front();
            self.kept_bytes -= bytes;
        }
    }
}

async fn run_attempt(
    shared: &Arc<Shared>,
    run: &Run,
    missing_tokens: u64,
    handle: &AttemptHandle,
) -> Outcome {
    let attempt = async {
        match &run.work {
            Work::Model(work) => model::run(shared, run, work, missing_tokens, handle).await,
            Work::Service(work) => service::run(shared, work, handle).await,
        }
    };
    tokio::select! {
        outcome = attempt => return outcome,
        () = shared.ending.cancelled() => {}
    }
    shared.mark_may_have_run(handle.id);
    if let Work::Model(_) = run.work {
        model::cancel_in_background(shared, &run.attempt.to_string());
    }
    Outcome::Ended { reply: failed("the drain of the agent has ended"), tokens: 0 }
}
