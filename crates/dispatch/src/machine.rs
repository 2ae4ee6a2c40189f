//! The state machine of one request.

use std::fmt;

use samphirespread_core::prelude::*;
use statig::{blocking::StateMachine, prelude::*};

use crate::{
    event::{Action, Event, Outcome},
    spec::{GiveUpReason, RequestSpec},
};

/// Sent to the caller if no agent has reported a time.
const DEFAULT_RETRY_AFTER_MS: u32 = 1_000;

/// The state machine of one request, from admission to its outcome.
pub struct RequestMachine {
    machine: StateMachine<Request>,
    actions: Vec<Action>,
}

impl fmt::Debug for RequestMachine {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RequestMachine")
            .field("request", self.machine.inner())
            .field("state", self.machine.state())
            .finish_non_exhaustive()
    }
}

impl RequestMachine {
    /// Creates the machine of a request that waits for [`Event::Start`].
    pub fn new(spec: RequestSpec) -> Self {
        Self { machine: Request::new(spec).state_machine(), actions: Vec::new() }
    }

    /// Handles an event and returns the actions to carry out, in order.
    ///
    /// # Panics
    ///
    /// If the machine breaks one of its own guarantees.
    pub fn handle(&mut self, event: &Event) -> &[Action] {
        self.actions.clear();
        self.machine.handle_with_context(event, &mut self.actions);
        &self.actions
    }

    /// Returns the agents whose attempts have failed.
    pub fn tried(&self) -> &[InstanceName] {
        &self.machine.inner().tried
    }

    /// Returns the number of lines that were delivered to the caller.
    pub fn delivered_lines(&self) -> u64 {
        self.machine.inner().delivered_lines
    }

    /// Returns whether some attempt may have run. Such a request should wait for an agent rather
    /// than be given up.
    pub fn may_have_run(&self) -> bool {
        self.machine.inner().may_have_run
    }

    /// Returns the current attempt.
    pub fn attempt(&self) -> AttemptId {
        self.machine.inner().attempt()
    }

    /// Returns whether [`Action::End`] was returned.
    pub fn has_ended(&self) -> bool {
        self.machine.inner().ended
    }
}

/// The data of a request that its states share.
#[derive(Debug)]
struct Request {
    spec: RequestSpec,
    /// Number of the current attempt.
    number: u32,
    /// Agent of the current attempt.
    agent: Option<InstanceName>,
    tried: Vec<InstanceName>,
    delivered_lines: u64,
    // Number of lines received from the current attempt, which follow those of earlier attempts.
    attempt_lines: u64,
    // Resumes of the current attempt since the last line.
    resumes: u32,
    // Failed attempts since the last line; attempts that delivered lines are not counted.
    attempts_without_output: u32,
    // Whether some attempt may have run.
    may_have_run: bool,
    retry_after_ms: Option<u32>,
    ended: bool,
}

type Actions = Vec<Action>;

#[state_machine(
    initial = "State::waiting()",
    state(derive(Debug)),
    superstate(derive(Debug)),
    visibility = "pub(crate)"
)]
impl Request {
    #[state(superstate = "open")]
    fn waiting(context: &mut Actions, event: &Event) -> statig::Outcome<State> {
        match event {
            Event::Start => {
                context.push(Action::Choose);
                Transition(State::choosing())
            }
            _ => Super,
        }
    }

    #[state(superstate = "open")]
    fn choosing(&mut self, context: &mut Actions, event: &Event) -> statig::Outcome<State> {
        match event {
            Event::Chosen { agent } => {
                self.begin_attempt(agent, context);
                Transition(State::sent())
            }
            Event::NoAgentAvailable { retry_after_ms } => {
                let reason = if self.tried.is_empty() {
                    GiveUpReason::NoBackend
                } else {
                    GiveUpReason::Busy
                };
                self.record_retry_after(*retry_after_ms);
                self.give_up(reason, context)
            }
            _ => Super,
        }
    }

    #[state(superstate = "attempted")]
    fn sent(&mut self, context: &mut Actions, event: &Event) -> statig::Outcome<State> {
        match event {
            Event::Unsent { attempt } if *attempt == self.attempt() => {
                self.next_attempt(false, context)
            }
            Event::Accepted { attempt } if *attempt == self.attempt() => {
                Transition(State::running())
            }
            _ => Super,
        }
    }

    #[state(superstate = "attempted")]
    fn running() -> statig::Outcome<State> {
        Super
    }

    #[state(superstate = "attempted")]
    fn resuming(&mut self, context: &mut Actions, event: &Event) -> statig::Outcome<State> {
        match event {
            // The resume message did not reach the agent, but the earlier run message may have.
            Event::Unsent { attempt } if *attempt == self.attempt() => self.resume(context),
            Event::Accepted { attempt } if *attempt == self.attempt() => {
                Transition(State::running())
            }
            _ => Super,
        }
    }

    /// The agent was told to end the attempt. Its reply is awaited, and no other attempt follows.
    #[state(superstate = "open")]
    fn stopping(&mut self, context: &mut Actions, event: &Event) -> statig::Outcome<State> {
        if event.attempt().is_some_and(|attempt| attempt != self.attempt()) {
            return Handled;
        }
        match event {
            Event::Line { seq, .. } if *seq == self.attempt_lines => {
                self.deliver_line(context);
                Handled
            }
            Event::Finished { lines, .. } if *lines == self.attempt_lines => {
                self.end(Outcome::Complete, context)
            }
            Event::NotRun { .. } => self.stop(self.attempt_lines > 0, context),
            Event::Failed { may_have_run, .. } => {
                self.stop(*may_have_run || self.attempt_lines > 0, context)
            }
            Event::Finished { .. } | Event::ConnectionLost { .. } | Event::Unsent { .. } => {
                self.stop(true, context)
            }
            Event::StopPassed => {
                self.cancel(context);
                self.stop(true, context)
            }
            Event::Stopping => Handled,
            _ => Super,
        }
    }

    #[superstate(superstate = "open")]
    fn attempted(&mut self, context: &mut Actions, event: &Event) -> statig::Outcome<State> {
        if event.attempt().is_some_and(|attempt| attempt != self.attempt()) {
            return Handled;
        }
        match event {
            Event::NotRun { retry_after_ms, .. } => {
                self.record_retry_after(*retry_after_ms);
                // Output has arrived, so the attempt has run, whatever the agent reports.
                self.next_attempt(self.attempt_lines > 0, context)
            }
            Event::Line { seq, .. } => self.receive_line(*seq, context),
            Event::Finished { lines, .. } if *lines == self.attempt_lines => {
                self.end(Outcome::Complete, context)
            }
            // The end arrived before some of the lines.
            Event::Finished { .. } | Event::ConnectionLost { .. } => self.resume(context),
            Event::Failed { may_have_run, .. } => {
                let may_have_run = *may_have_run || self.attempt_lines > 0;
                self.next_attempt(may_have_run, context)
            }
            _ => Super,
        }
    }

    #[superstate]
    fn open(&mut self, context: &mut Actions, event: &Event) -> statig::Outcome<State> {
        match event {
            Event::CallerGone => {
                self.cancel(context);
                self.end(Outcome::Abandoned, context)
            }
            Event::DeadlinePassed => {
                if self.agent.is_some() {
                    self.may_have_run = true;
                }
                self.cancel(context);
                self.give_up(GiveUpReason::Deadline, context)
            }
            Event::Stopping => {
                let Some(agent) = self.agent.clone() else { return self.stop(false, context) };
                context.push(Action::Withdraw { attempt: self.attempt(), agent });
                Transition(State::stopping())
            }
            _ => Handled,
        }
    }

    #[state]
    fn ended() -> statig::Outcome<State> {
        Handled
    }
}

impl Request {
    fn new(spec: RequestSpec) -> Self {
        Self {
            spec,
            number: 0,
            agent: None,
            tried: Vec::new(),
            delivered_lines: 0,
            attempt_lines: 0,
            resumes: 0,
            attempts_without_output: 0,
            may_have_run: false,
            retry_after_ms: None,
            ended: false,
        }
    }

    fn attempt(&self) -> AttemptId {
        AttemptId { request: self.spec.request, number: self.number }
    }

    fn begin_attempt(&mut self, agent: &InstanceName, actions: &mut Actions) {
        assert!(
            self.spec.idempotent || !self.may_have_run,
            "a request that is not idempotent must not run twice"
        );
        self.agent = Some(agent.clone());
        self.attempt_lines = 0;
        self.resumes = 0;
        actions.push(Action::Run {
            attempt: self.attempt(),
            agent: agent.clone(),
            delivered_lines: self.delivered_lines,
        });
    }

    fn receive_line(&mut self, seq: u64, actions: &mut Actions) -> statig::Outcome<State> {
        if seq < self.attempt_lines {
            return Handled;
        }
        if seq > self.attempt_lines {
            return self.resume(actions);
        }
        self.deliver_line(actions);
        Transition(State::running())
    }

    fn deliver_line(&mut self, actions: &mut Actions) {
        self.attempt_lines += 1;
        self.delivered_lines += 1;
        self.resumes = 0;
        self.attempts_without_output = 0;
        actions.push(Action::Deliver);
    }

    fn resume(&mut self, actions: &mut Actions) -> statig::Outcome<State> {
        let Some(agent) = self.agent.clone() else { return Handled };
        if self.resumes >= self.spec.max_resumes {
            return self.next_attempt(true, actions);
        }
        self.resumes += 1;
        actions.push(Action::Resume {
            attempt: self.attempt(),
            agent,
            from_seq: self.attempt_lines,
            try_number: self.resumes,
        });
        Transition(State::resuming())
    }

    fn next_attempt(
        &mut self,
        may_have_run: bool,
        actions: &mut Actions,
    ) -> statig::Outcome<State> {
        self.may_have_run |= may_have_run;
        if may_have_run {
            // The agent may still be running the attempt, whose output is no longer used.
            self.cancel(actions);
        }
        if let Some(agent) = self.agent.take() {
            self.tried.push(agent);
        }
        if self.may_have_run && !self.spec.idempotent {
            return self.give_up(GiveUpReason::NoBackend, actions);
        }
        self.attempts_without_output += 1;
        let cannot_continue = self.delivered_lines > 0 && !self.spec.continues;
        if cannot_continue || self.attempts_without_output >= self.spec.max_attempts {
            return self.give_up(GiveUpReason::Busy, actions);
        }
        self.number += 1;
        actions.push(Action::Choose);
        Transition(State::choosing())
    }

    fn stop(&mut self, may_have_run: bool, actions: &mut Actions) -> statig::Outcome<State> {
        self.may_have_run |= may_have_run;
        // Another router takes a repeat at once.
        self.retry_after_ms = Some(0);
        self.give_up(GiveUpReason::Draining, actions)
    }

    fn give_up(&mut self, reason: GiveUpReason, actions: &mut Actions) -> statig::Outcome<State> {
        let retry_after_ms = self.retry_after_ms.unwrap_or(DEFAULT_RETRY_AFTER_MS);
        let outcome = match (self.may_have_run, self.spec.idempotent) {
            (false, _) => Outcome::NotRun { reason, retry_after_ms },
            (true, false) => Outcome::Unknown,
            (true, true) => Outcome::Interrupted { reason, retry_after_ms },
        };
        self.end(outcome, actions)
    }

    fn end(&mut self, outcome: Outcome, actions: &mut Actions) -> statig::Outcome<State> {
        assert!(!self.ended, "a request ended twice");
        if let Outcome::NotRun { .. } = outcome {
            assert!(!self.may_have_run, "a request that may have run must not end as NotRun");
            assert!(self.delivered_lines == 0, "a request with output must not end as NotRun");
        }
        self.ended = true;
        self.agent = None;
        actions.push(Action::End(outcome));
        Transition(State::ended())
    }

    fn cancel(&mut self, actions: &mut Actions) {
        if let Some(agent) = self.agent.clone() {
            actions.push(Action::Cancel { attempt: self.attempt(), agent });
        }
    }

    // Keeps the shortest time that any agent has reported.
    fn record_retry_after(&mut self, retry_after_ms: u32) {
        let shortest_ms = self.retry_after_ms.map_or(retry_after_ms, |ms| ms.min(retry_after_ms));
        self.retry_after_ms = Some(shortest_ms);
    }
}
