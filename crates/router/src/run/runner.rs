//! Runs one admitted request until its answer ends.

use std::{sync::Arc, time::Duration};

use samphirespread_core::prelude::*;
use samphirespread_dispatch::{Action, Event, Outcome, RequestMachine, RequestSpec};
use samphirespread_logging::event;
use samphirespread_prefix::PrefixHasher;
use samphirespread_wire::{
    Connection, WireError,
    message::{
        Estimate, Finished, ModelWork, NotRunReason, Request, Resume, Run, ServiceWork, Work,
    },
};
use slog::{Logger, debug, info};
use tokio::{
    sync::mpsc,
    time::{Instant, sleep, sleep_until},
};

use super::{
    exchange::{AgentNotice, Arrival, Exchange},
    piece::{Ending, MAX_BUFFERED_PIECES, Piece, Receiver, Sender},
};
use crate::{
    fleet::{Candidate, PromptRef, Report},
    state::Shared,
};

// Doubled for each further try, so that an agent that restarts has time to come back.
const RESUME_BACKOFF_MS: u64 = 50;
/// Replies that are handled although they are read after the deadline: those that a connection can
/// have ready by then.
const MAX_LATE_REPLIES: u32 = 8;

/// An admitted request and what is needed to run it.
pub(crate) struct Job {
    pub(crate) spec: RequestSpec,
    pub(crate) generation: Generation,
    pub(crate) route: String,
    pub(crate) team: TeamName,
    pub(crate) weight: u64,
    pub(crate) priority: u8,
    pub(crate) work: JobWork,
    pub(crate) log: Logger,
}

/// The work of a request.
pub(crate) enum JobWork {
    /// A prompt for a model.
    Model(ModelJob),
    /// A call of a plain service.
    Service(ServiceWork),
}

/// A prompt for a model and the parameters of the generation.
pub(crate) struct ModelJob {
    pub(crate) model: ModelName,
    pub(crate) version: WeightsVersion,
    pub(crate) hasher: PrefixHasher,
    pub(crate) prompt: String,
    pub(crate) max_output_tokens: u32,
    pub(crate) sampling: String,
}

/// Starts a request as a task and returns its answer piece by piece. Dropping the
/// receiver cancels the request.
pub(crate) fn start(shared: Arc<Shared>, job: Job) -> Receiver {
    let (pieces, receiver) = mpsc::channel(MAX_BUFFERED_PIECES);
    let running = shared.drain.enter();
    tokio::spawn(async move {
        let deadline = Instant::now() + Duration::from_millis(shared.settings.request.deadline_ms);
        let runner = Runner {
            machine: RequestMachine::new(job.spec.clone()),
            blocks: job.work.blocks(),
            delivered_text: String::new(),
            prompt_tokens: job.work.prompt_tokens(),
            output_tokens: 0,
            exchange: None,
            target: None,
            retryable_agents: Vec::new(),
            totals: Finished::default(),
            last_failure: "none",
            stopping: false,
            deadline,
            late_replies: 0,
            shared,
            job,
            pieces,
        };
        runner.run().await;
        drop(running);
    });
    receiver
}

pub(super) struct Runner {
    pub(super) shared: Arc<Shared>,
    pub(super) job: Job,
    pub(super) machine: RequestMachine,
    pub(super) pieces: Sender,
    blocks: Vec<BlockKey>,
    delivered_text: String,
    prompt_tokens: u64,
    output_tokens: u64,
    pub(super) exchange: Option<Exchange>,
    pub(super) target: Option<Target>,
    // Agents that don't know an attempt because the run order was lost on its way to them. They may
    // be chosen again.
    pub(super) retryable_agents: Vec<InstanceName>,
    totals: Finished,
    // What ended the last attempt that did not complete.
    last_failure: &'static str,
    // Whether the router is being stopped and the request was told so.
    stopping: bool,
    pub(super) deadline: Instant,
    /// Replies that were read after it.
    late_replies: u32,
}

/// The agent of the current attempt.
pub(super) struct Target {
    pub(super) candidate: Candidate,
    pub(super) connection: Option<Connection>,
    pub(super) incarnation: Incarnation,
}

/// What the runner does after it has executed an action.
enum Step {
    /// Handles this event.
    Next(Event),
    /// Waits for the next event.
    Wait,
    /// Stops, since the request has ended.
    Ended,
}

impl Runner {
    async fn run(mut self) {
        let mut event = Event::Start;
        let mut piece = None;
        loop {
            event = match self.apply(&event, piece.take()).await {
                Step::Next(next) => next,
                Step::Ended => return,
                Step::Wait => {
                    let arrival = self.wait().await;
                    piece = arrival.piece;
                    arrival.event
                }
            };
        }
    }

    /// Passes an event to the state machine and executes the actions that it returns.
    async fn apply(&mut self, event: &Event, piece: Option<Piece>) -> Step {
        self.stopping |= *event == Event::Stopping;
        let actions = self.machine.handle(event);
        if let [Action::Deliver] = actions {
            return self.deliver(piece).await;
        }
        let actions = actions.to_vec();
        let mut step = Step::Wait;
        for action in actions {
            step = match action {
                Action::Choose => Step::Next(self.choose_unless_stopping().await),
                Action::Run { attempt, .. } => self.send_run(attempt).await,
                Action::Resume { attempt, from_seq, try_number, .. } => {
                    self.resume(attempt, from_seq, try_number).await
                }
                Action::Deliver => Step::Wait,
                Action::Cancel { attempt, .. } => {
                    self.cancel(attempt);
                    Step::Wait
                }
                Action::Withdraw { attempt, .. } => {
                    self.tell_cancel(attempt);
                    Step::Wait
                }
                Action::End(outcome) => return self.end(outcome).await,
            };
        }
        step
    }

    /// Sends a line to the caller, together with further lines that have already arrived.
    async fn deliver(&mut self, piece: Option<Piece>) -> Step {
        let Some(mut piece) = piece else { return Step::Wait };
        let mut step = Step::Wait;
        if let Piece::Lines(lines) = &mut piece {
            while let Some(arrival) = self.exchange.as_mut().and_then(Exchange::next_arrived) {
                self.record_notice(&arrival);
                let Some(Piece::Lines(more)) = arrival.piece else {
                    step = Step::Next(arrival.event);
                    break;
                };
                if self.machine.handle(&arrival.event) != [Action::Deliver] {
                    // Lines are missing: the state machine asks for a resume, which starts at the
                    // line that it expects.
                    step = Step::Next(Event::ConnectionLost { attempt: self.machine.attempt() });
                    break;
                }
                lines.extend(more);
            }
            for line in lines.iter() {
                self.delivered_text.push_str(&line.text);
                self.output_tokens += u64::from(line.tokens);
            }
        }
        if self.pieces.send(piece).await.is_err() {
            return Step::Next(Event::CallerGone);
        }
        step
    }

    /// Waits for the next reply, the end of the caller's connection or the deadline.
    async fn wait(&mut self) -> Arrival {
        let without_reply = |event| Arrival { event, piece: None, notice: None };
        let Some(exchange) = self.exchange.as_mut() else {
            return without_reply(Event::ConnectionLost { attempt: self.machine.attempt() });
        };
        let drain = &self.shared.drain;
        // What is ready at the deadline is passed on. Replies of which the next one is always ready
        // must not outlive it.
        if self.late_replies > MAX_LATE_REPLIES {
            return without_reply(Event::DeadlinePassed);
        }
        let arrival = tokio::select! {
            biased;
            arrival = exchange.next() => arrival,
            () = self.pieces.closed() => without_reply(Event::CallerGone),
            () = sleep_until(self.deadline) => without_reply(Event::DeadlinePassed),
            () = drain.runs_ended(), if !self.stopping => without_reply(Event::Stopping),
            () = drain.answers_ended(), if self.stopping => without_reply(Event::StopPassed),
        };
        self.late_replies += u32::from(Instant::now() >= self.deadline);
        match arrival.event {
            Event::ConnectionLost { .. } => self.last_failure = "connection_lost",
            Event::Failed { .. } => self.last_failure = "failed",
            _ => {}
        }
        self.record_notice(&arrival);
        arrival
    }

    /// Records what an agent reported about itself.
    fn record_notice(&mut self, arrival: &Arrival) {
        let Some(notice) = arrival.notice else { return };
        match notice {
            AgentNotice::Finished(finished) => self.totals = finished,
            AgentNotice::Estimate(estimate) => self.learn(&estimate),
            AgentNotice::Refuses(estimate, reason) => {
                self.learn(&estimate);
                self.last_failure = reason.as_str();
                self.shared.metrics.record_not_run(reason);
                let down = matches!(reason, NotRunReason::Leaving | NotRunReason::EngineDown);
                if let (true, Some(target)) = (down, &self.target) {
                    self.shared.placer.suspend(&target.candidate.name, self.shared.clock.now());
                }
                if let (NotRunReason::Unknown, Some(target)) = (reason, &self.target) {
                    self.retryable_agents.push(target.candidate.name.clone());
                }
                if reason == NotRunReason::Stale {
                    self.shared.wake_config_sync.notify_one();
                }
            }
        }
    }

    fn learn(&self, estimate: &Estimate) {
        let Some(target) = &self.target else { return };
        let now = self.shared.clock.now();
        let agent = &target.candidate.name;
        let report = Report::from(estimate);
        self.shared.placer.record_report(&self.job.route, &self.prompt(), agent, report, now);
    }

    pub(super) fn prompt(&self) -> PromptRef<'_> {
        let block_tokens = match &self.job.work {
            JobWork::Model(model) => model.hasher.block_tokens(),
            JobWork::Service(_) => 0,
        };
        PromptRef { blocks: &self.blocks, tokens: self.prompt_tokens, block_tokens }
    }

    async fn send_run(&mut self, attempt: AttemptId) -> Step {
        if self.has_all_output() {
            return Step::Next(Event::Finished { attempt, lines: 0 });
        }
        let request = Request::Run(Box::new(self.run_order(attempt)));
        let Some(opened) = self.open_unless_stopping(attempt, &request, 0).await else {
            return Step::Next(Event::Stopping);
        };
        match opened {
            Ok(exchange) => {
                self.exchange = Some(exchange);
                Step::Wait
            }
            Err(error) => {
                debug!(self.job.log, "run order failed"; "attempt" => attempt.number, "error" => %error);
                if error.is_unsent()
                    && let Some(target) = &self.target
                {
                    self.shared.placer.suspend(&target.candidate.name, self.shared.clock.now());
                    return Step::Next(Event::Unsent { attempt });
                }
                Step::Next(Event::ConnectionLost { attempt })
            }
        }
    }

    /// Returns whether all output was delivered, so that only the end of the answer was lost.
    fn has_all_output(&self) -> bool {
        let JobWork::Model(model) = &self.job.work else { return false };
        self.output_tokens >= u64::from(model.max_output_tokens)
    }

    async fn resume(&mut self, attempt: AttemptId, from_seq: u64, try_number: u32) -> Step {
        self.exchange = None;
        self.shared.metrics.resumes.inc();
        let backoff_ms = RESUME_BACKOFF_MS << (try_number - 1).min(6);
        tokio::select! {
            () = sleep(Duration::from_millis(backoff_ms)), if try_number > 1 => {}
            () = std::future::ready(()), if try_number <= 1 => {}
            () = self.pieces.closed() => return Step::Next(Event::CallerGone),
            () = sleep_until(self.deadline) => return Step::Next(Event::DeadlinePassed),
            () = self.shared.drain.runs_ended() => return Step::Next(Event::Stopping),
        }
        let Some(incarnation) = self.target.as_ref().map(|target| target.incarnation) else {
            return Step::Next(Event::Unsent { attempt });
        };
        let request = Request::Resume(Resume { attempt, incarnation, from_seq });
        let Some(opened) = self.open_unless_stopping(attempt, &request, from_seq).await else {
            return Step::Next(Event::Stopping);
        };
        match opened {
            Ok(exchange) => {
                self.exchange = Some(exchange);
                Step::Wait
            }
            Err(error) => {
                debug!(self.job.log, "resume failed"; "attempt" => attempt.number, "error" => %error);
                Step::Next(Event::Unsent { attempt })
            }
        }
    }

    async fn choose_unless_stopping(&mut self) -> Event {
        let shared = Arc::clone(&self.shared);
        tokio::select! {
            event = self.choose() => event,
            () = shared.drain.runs_ended() => Event::Stopping,
        }
    }

    /// As [`open`](Self::open). Returns `None` if requests have to end; what was sent may still
    /// arrive.
    async fn open_unless_stopping(
        &mut self,
        attempt: AttemptId,
        request: &Request,
        from_line: u64,
    ) -> Option<Result<Exchange, WireError>> {
        let shared = Arc::clone(&self.shared);
        tokio::select! {
            opened = self.open(attempt, request, from_line) => Some(opened),
            () = shared.drain.runs_ended() => None,
        }
    }

    /// Opens an exchange with the target. For a run order, the target's incarnation is recorded
    /// before the first byte is sent.
    async fn open(
        &mut self,
        attempt: AttemptId,
        request: &Request,
        from_line: u64,
    ) -> Result<Exchange, WireError> {
        let Some(target) = self.target.as_mut() else { return Err(WireError::GoneAway) };
        let connection = self.shared.pool.get(&target.candidate.address).await?;
        if let Request::Run(_) = request {
            target.incarnation = connection.peer().incarnation;
        }
        target.connection = Some(connection.clone());
        Exchange::open(&connection, attempt, request, from_line).await
    }

    fn run_order(&self, attempt: AttemptId) -> Run {
        let request = &self.shared.settings.request;
        Run {
            attempt,
            fence: FencingNumber(u64::from(attempt.number) + 1),
            generation: self.job.generation,
            team: self.job.team.clone(),
            weight: self.job.weight,
            priority: self.job.priority,
            queue_limit_ms: request.queue_limit_ms,
            work: self.work_order(),
        }
    }

    fn work_order(&self) -> Work {
        let model = match &self.job.work {
            JobWork::Service(service) => return Work::Service(service.clone()),
            JobWork::Model(model) => model,
        };
        let prompt = format!("{}{}", model.prompt, self.delivered_text);
        // The keys of the prompt's blocks are known; they change only if output was delivered.
        let blocks = match self.delivered_text.as_str() {
            "" => self.blocks.clone(),
            _ => model.hasher.blocks(prompt.as_bytes()),
        };
        let output_tokens = u32::try_from(self.output_tokens).unwrap_or(u32::MAX);
        Work::Model(ModelWork {
            model: model.model.clone(),
            version: model.version.clone(),
            cache_salt: model.hasher.cache_salt().to_owned(),
            prompt_tokens: tokens_of(prompt.len()),
            max_output_tokens: model.max_output_tokens.saturating_sub(output_tokens),
            sampling: model.sampling.clone(),
            blocks,
            block_bytes: model.hasher.bytes_per_block(),
            prompt,
        })
    }

    /// Cancels an attempt. Doesn't wait for the outcome, since the agent also notices that the
    /// exchange is closed.
    fn cancel(&mut self, attempt: AttemptId) {
        self.exchange = None;
        self.tell_cancel(attempt);
    }

    /// Tells the agent to cancel an attempt. Its reply comes on the open exchange.
    fn tell_cancel(&self, attempt: AttemptId) {
        let Some(connection) = self.target.as_ref().and_then(|target| target.connection.clone())
        else {
            return;
        };
        tokio::spawn(async move {
            let _ = connection.call(&Request::Cancel(attempt)).await;
        });
    }

    async fn end(&mut self, outcome: Outcome) -> Step {
        self.record_end(&outcome);
        let finished = Finished {
            length: self.machine.delivered_lines(),
            prompt_tokens: self.prompt_tokens,
            output_tokens: self.output_tokens,
            ..self.totals
        };
        // Fails only if the caller has disconnected.
        let _ = self.pieces.send(Piece::End(Ending { outcome, finished })).await;
        Step::Ended
    }
}

impl Runner {
    fn record_end(&self, outcome: &Outcome) {
        let cause = outcome.cause();
        self.shared.metrics.record_end(cause);
        let attempts = self.machine.attempt().number + 1;
        if *outcome == Outcome::Complete {
            debug!(self.job.log, "request ended"; "outcome" => ?outcome, "attempts" => attempts);
            return;
        }
        let agent = self.target.as_ref().map_or("none", |target| target.candidate.name.as_str());
        info!(self.job.log, "{}", event::ANSWER_UNFINISHED;
            "cause" => cause,
            "outcome" => ?outcome,
            "route" => &self.job.route,
            "agent" => agent,
            "last_failure" => self.last_failure,
            "attempts" => attempts,
            "lines" => self.machine.delivered_lines(),
            "leaving_ms" => self.shared.drain.leaving_ms(self.shared.clock.now()));
    }
}

impl JobWork {
    /// Returns the keys of the prompt's blocks.
    fn blocks(&self) -> Vec<BlockKey> {
        match self {
            Self::Model(model) => model.hasher.blocks(model.prompt.as_bytes()),
            Self::Service(_) => Vec::new(),
        }
    }

    /// Returns the number of tokens in the prompt.
    pub(crate) fn prompt_tokens(&self) -> u64 {
        match self {
            Self::Model(model) => tokens_of(model.prompt.len()),
            Self::Service(_) => 0,
        }
    }
}

/// Returns the number of tokens that a text of this many bytes is counted as.
pub(crate) fn tokens_of(bytes: usize) -> u64 {
    (bytes as u64).div_ceil(u64::from(samphirespread_prefix::BYTES_PER_TOKEN))
}
