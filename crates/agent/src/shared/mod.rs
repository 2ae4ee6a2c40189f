//! The state that all tasks of an agent share, and the decisions on it.

mod admission;
mod live;
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
use tokio_util::task::TaskTracker;

pub(crate) use self::{admission::failed, live::Live};
use crate::{
    attempts::{AttemptConfig, AttemptTable, CancelDecision, Due},
    configuration::Configuration,
    engine_life::{EngineAction, EngineEvent, EngineLife},
    metrics::Metrics,
    model,
    service::{self, ServiceClient},
    shared::prefill::{PrefillBacklog, PrefillRoom, PrefillSpeed},
};

/// Bytes of ended answers that are kept at most for resuming.
const MAX_KEPT_BYTES: usize = 32 * 1024 * 1024;

/// Memory that waiting prompts and bodies take at most.
const MAX_WAITING_BYTES: u64 = 64 * 1024 * 1024;

const ENGINE_TIMEOUT_MS: u64 = 2_000;
const POLL_TIMEOUT_MS: u64 = 1_000;

/// What all tasks of an agent share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: AgentSettings,
    pub(crate) name: InstanceName,
    pub(crate) incarnation: Incarnation,
    pub(crate) log: Logger,
    pub(crate) clock: Clock,
    pub(crate) engine: EngineClient,
    /// For polls, which are to fail sooner than other calls.
    pub(crate) polled_engine: EngineClient,
    /// Counts replies that followers took.
    pub(crate) sent_replies: AtomicU64,
    pub(crate) service: ServiceClient,
    pub(crate) metrics: Metrics,
    /// The tasks of running attempts.
    pub(crate) tasks: TaskTracker,
    state: Mutex<State>,
}

/// A waiting attempt.
#[derive(Debug)]
struct Waiting {
    run: Box<Run>,
    ticket: Ticket,
    live: Arc<Live>,
}

#[derive(Debug)]
pub(crate) struct State {
    pub(crate) attempts: AttemptTable,
    pub(crate) queue: Queue<AttemptId>,
    pub(crate) lives: HashMap<AttemptId, Arc<Live>>,
    waiting: HashMap<AttemptId, Waiting>,
    kept: VecDeque<(AttemptId, usize)>,
    kept_bytes: usize,
    pub(crate) residency: Residency,
    pub(crate) heat: PrefixTraffic,
    pub(crate) speed: PrefillSpeed,
    pub(crate) prefill: PrefillBacklog,
    pub(crate) engine: EngineLife,
    /// The weights that the engine reported last.
    pub(crate) loaded: Option<LoadedWeights>,
    /// The weights that the engine loaded last on this agent's order, and in which run.
    pub(crate) ordered: Option<(Incarnation, LoadedWeights)>,
    pub(crate) configuration: Configuration,
    pub(crate) leaving: bool,
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
        /// Tokens that it took from the backend server.
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
            lives: HashMap::new(),
            waiting: HashMap::new(),
            kept: VecDeque::new(),
            kept_bytes: 0,
            residency: Residency::new(),
            heat: PrefixTraffic::new(PrefixTrafficConfig::default()),
            speed: PrefillSpeed::default(),
            prefill: PrefillBacklog::default(),
            engine: EngineLife::new(),
            loaded: None,
            ordered: None,
            configuration: Configuration::new(),
            leaving: false,
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
            state: Mutex::new(state),
            settings,
        })
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        // An invariant that failed elsewhere ended that task; the others go on.
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

    /// Starts what may start, and answers what waited too long.
    pub(crate) fn pump(self: &Arc<Self>) {
        let now = self.clock.now();
        let mut state = self.lock();
        while let Some(popped) = state.pop(now) {
            let id = popped.item;
            let waiting = state.waiting.remove(&id).expect("a queued attempt waits");
            state.attempts.start(id);
            let missing_tokens = state.begin_prefill(&waiting.run);
            self.metrics.observe_wait(popped.waited_us);
            let shared = Arc::clone(self);
            self.tasks.spawn(async move {
                let Waiting { run, ticket, live } = waiting;
                // A fault in one attempt must not keep its slot and its followers.
                let attempt = AssertUnwindSafe(run_attempt(&shared, &run, missing_tokens, &live));
                let outcome = attempt.catch_unwind().await.unwrap_or_else(|_| Outcome::Ended {
                    reply: failed("the agent failed within the attempt"),
                    tokens: 0,
                });
                shared.finish(&run, &live, ticket, outcome);
            });
        }
        self.drop_waiting(&mut state, now);
    }

    /// Answers the attempts that the queue dropped.
    fn drop_waiting(&self, state: &mut State, now: MonoTime) {
        for dropped in state.queue.take_dropped(now) {
            let reason = match dropped.cause {
                DropCause::Expired => NotRunReason::QueueTimeout,
                DropCause::Displaced => NotRunReason::Busy,
            };
            self.refuse_waiting(state, now, dropped.item, reason, dropped.retry_after_ms);
        }
    }

    /// Ends a waiting attempt that already left the queue.
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
        let standing = state.standing(now, &waiting.run);
        waiting.live.end(self.not_run(state, reason, retry_after_ms, standing));
    }

    /// Ends a started attempt, frees its slot and starts what waits.
    fn finish(self: &Arc<Self>, run: &Run, live: &Live, ticket: Ticket, outcome: Outcome) {
        let now = self.clock.now();
        {
            let mut state = self.lock();
            let (reply, tokens) = match outcome {
                Outcome::NotRun(reason) => {
                    state.attempts.refuse(now, live.id, reason);
                    let retry_after_ms = admission::retry_after_ms(reason);
                    (self.not_run(&state, reason, retry_after_ms, Estimate::default()), 0)
                }
                Outcome::Ended { reply, tokens } => {
                    state.attempts.end(now, live.id);
                    (reply, tokens)
                }
            };
            state.settle(run);
            state.queue.complete(now, ticket, tokens);
            self.log_end(live, &reply);
            live.end(reply);
            state.keep(live);
        }
        self.pump();
    }

    fn log_end(&self, live: &Live, reply: &Reply) {
        let outcome = self.metrics.count_end(reply);
        info!(self.log, "attempt ended";
            "request" => live.id.request.to_string(),
            "attempt" => live.id.number,
            "team" => live.team.as_str(),
            "outcome" => outcome,
            "lines" => live.next_seq());
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

    /// An attempt has its first output, or will have none.
    pub(crate) fn end_prefill(self: &Arc<Self>, missing_tokens: u64, first_token_us: Option<u64>) {
        {
            let mut state = self.lock();
            state.prefill.end(missing_tokens);
            if let Some(us) = first_token_us {
                state.speed.observe(missing_tokens, us);
            }
        }
        self.pump();
    }

    /// Notes that the backend server may have begun to run the attempt.
    pub(crate) fn begin(&self, id: AttemptId) {
        self.lock().attempts.begin(id);
    }

    /// Takes in what was seen of the backend server.
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
            self.pump();
        }
    }

    fn apply(&self, state: &mut State, action: EngineAction) {
        match action {
            EngineAction::StartRun(incarnation) => state.residency.start_run(incarnation),
            EngineAction::RefuseWaiting => {
                let now = self.clock.now();
                let ids: Vec<AttemptId> = state.waiting.keys().copied().collect();
                for id in ids {
                    let ticket = state.waiting[&id].ticket;
                    if state.queue.cancel(now, ticket).is_none() {
                        continue; // Dropped already, and answered at the next pump.
                    }
                    let reason = NotRunReason::EngineDown;
                    let retry_after_ms = admission::retry_after_ms(reason);
                    self.refuse_waiting(state, now, id, reason, retry_after_ms);
                }
            }
            EngineAction::Resume => {}
        }
    }

    /// Takes back an attempt that nobody wants any more.
    pub(crate) fn cancel(&self, id: AttemptId) {
        let now = self.clock.now();
        let mut state = self.lock();
        match state.attempts.cancel(now, id) {
            CancelDecision::Withdraw => {
                let waiting = state.waiting.remove(&id).expect("a waiting attempt is queued");
                state.queue.cancel(now, waiting.ticket);
                let reply = self.not_run(&state, NotRunReason::Unknown, 0, Estimate::default());
                waiting.live.end(reply);
            }
            CancelDecision::Stop => {
                if let Some(live) = state.lives.get(&id) {
                    live.cancel.cancel();
                }
            }
            CancelDecision::Nothing => {}
        }
    }

    /// Does what time has brought about.
    pub(crate) fn tick(self: &Arc<Self>) {
        let due = self.lock().attempts.tick(self.clock.now());
        for due in due {
            match due {
                Due::Abandon(id) => self.cancel(id),
                Due::Release(id) => self.lock().release(id),
            }
        }
        self.pump();
    }

    /// Refuses new work from now on.
    pub(crate) fn leave(&self) {
        self.lock().leaving = true;
    }

    /// Whether no attempt runs.
    pub(crate) fn has_nothing_running(&self) -> bool {
        self.lock().queue.running() == 0
    }

    /// Whether nothing waits or runs.
    pub(crate) fn is_idle(&self) -> bool {
        let state = self.lock();
        state.queue.is_empty() && state.queue.running() == 0
    }
}

impl State {
    /// The attempt to start now, if any.
    fn pop(&mut self, now: MonoTime) -> Option<Popped<AttemptId>> {
        if !self.engine.may_start() {
            return None;
        }
        match self.prefill.room(self.speed) {
            PrefillRoom::Needed => self.queue.pop(now),
            PrefillRoom::Ahead => self.queue.pop_within_share(now),
            PrefillRoom::None => None,
        }
    }

    /// Bounds the bytes of ended answers, oldest first.
    fn keep(&mut self, live: &Live) {
        let bytes = live.bytes();
        self.kept.push_back((live.id, bytes));
        self.kept_bytes += bytes;
        while self.kept_bytes > MAX_KEPT_BYTES {
            let Some((id, bytes)) = self.kept.pop_front() else { return };
            self.kept_bytes -= bytes;
            self.lives.remove(&id);
        }
    }

    fn release(&mut self, id: AttemptId) {
        self.lives.remove(&id);
        while let Some(&(oldest, bytes)) = self.kept.front() {
            if self.lives.contains_key(&oldest) {
                return;
            }
            self.kept.pop_front();
            self.kept_bytes -= bytes;
        }
    }
}

async fn run_attempt(shared: &Arc<Shared>, run: &Run, missing_tokens: u64, live: &Live) -> Outcome {
    match &run.work {
        Work::Model(work) => model::run(shared, run, work, missing_tokens, live).await,
        Work::Service(work) => service::run(shared, work, live).await,
    }
}
