//! Tracks whether the backend server accepts work, based on polls and weight loads.

use std::fmt;

use samphirespread_core::prelude::*;
use statig::{blocking::StateMachine, prelude::*};

/// Number of consecutive failed polls after which the backend server counts as down.
const MAX_FAILED_POLLS: u32 = 2;

/// An observation of the backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// It answered, with the incarnation of its current run.
    Answered(Incarnation),
    /// A poll failed.
    PollFailed,
    /// It refused a connection, so nothing listens there.
    Unreachable,
    /// Other weights must be loaded once nothing runs.
    WeightsWanted,
    /// Loading weights has ended, with or without success.
    WeightsDone,
}

/// An action that the agent must take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineAction {
    /// A new run has begun, with an empty cache.
    StartRun(Incarnation),
    /// Waiting requests can't run here and must be refused.
    RefuseWaiting,
    /// Waiting requests may run now.
    Resume,
}

/// The states of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineState {
    /// It has not answered yet.
    Unknown,
    /// It accepts work.
    Up,
    /// It finishes the running attempts, then loads weights. New requests may wait.
    Draining,
    /// It does not answer.
    Down,
}

/// The state machine of one backend server.
///
/// ```
/// use samphirespread_agent::engine_tracker::{EngineAction, EngineEvent, EngineTracker};
/// use samphirespread_core::prelude::*;
///
/// let mut tracker = EngineTracker::new();
/// let actions = tracker.handle(EngineEvent::Answered(Incarnation(1)));
/// assert!(actions.contains(&EngineAction::StartRun(Incarnation(1))));
/// assert!(tracker.takes_work());
///
/// assert_eq!(tracker.handle(EngineEvent::Unreachable), [EngineAction::RefuseWaiting]);
/// assert!(!tracker.takes_work());
/// ```
pub struct EngineTracker {
    machine: StateMachine<EngineStates>,
}

impl fmt::Debug for EngineTracker {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("EngineTracker").field("state", &self.state()).finish_non_exhaustive()
    }
}

impl Default for EngineTracker {
    fn default() -> Self {
        Self::new()
    }
}

impl EngineTracker {
    /// Creates the state machine of a backend server that has not answered yet.
    pub fn new() -> Self {
        Self { machine: EngineStates::default().state_machine() }
    }

    /// Handles an event and returns the actions that it causes.
    pub fn handle(&mut self, event: EngineEvent) -> Vec<EngineAction> {
        let mut actions = Vec::new();
        self.machine.handle_with_context(&event, &mut actions);
        actions
    }

    /// Returns the current state.
    pub fn state(&self) -> EngineState {
        match self.machine.state() {
            State::Unknown { .. } => EngineState::Unknown,
            State::Up { .. } => EngineState::Up,
            State::Draining { .. } => EngineState::Draining,
            State::Down { .. } => EngineState::Down,
        }
    }

    /// Returns whether the agent accepts requests for the backend server.
    pub fn takes_work(&self) -> bool {
        matches!(self.state(), EngineState::Up | EngineState::Draining)
    }

    /// Returns whether waiting requests may start on the backend server.
    pub fn may_start(&self) -> bool {
        self.state() == EngineState::Up
    }

    /// Returns the highest incarnation that answered, or the default if none has.
    pub fn incarnation(&self) -> Incarnation {
        self.machine.inner().incarnation.unwrap_or_default()
    }
}

#[derive(Debug, Default)]
struct EngineStates {
    incarnation: Option<Incarnation>,
    failed_polls: u32,
}

type Actions = Vec<EngineAction>;

#[state_machine(
    initial = "State::unknown()",
    state(derive(Debug)),
    superstate(derive(Debug)),
    visibility = "pub(crate)"
)]
impl EngineStates {
    #[state(superstate = "unavailable")]
    fn unknown() -> statig::Outcome<State> {
        Super
    }

    #[state(superstate = "unavailable")]
    fn down() -> statig::Outcome<State> {
        Super
    }

    #[state(superstate = "available")]
    fn up(event: &EngineEvent) -> statig::Outcome<State> {
        match event {
            EngineEvent::WeightsWanted => Transition(State::draining()),
            _ => Super,
        }
    }

    #[state(superstate = "available")]
    fn draining(context: &mut Actions, event: &EngineEvent) -> statig::Outcome<State> {
        match event {
            EngineEvent::WeightsDone => {
                context.push(EngineAction::Resume);
                Transition(State::up())
            }
            _ => Super,
        }
    }

    #[superstate]
    fn unavailable(
        &mut self,
        context: &mut Actions,
        event: &EngineEvent,
    ) -> statig::Outcome<State> {
        match event {
            EngineEvent::Answered(incarnation) => {
                self.record_answer(*incarnation, context);
                context.push(EngineAction::Resume);
                Transition(State::up())
            }
            _ => Handled,
        }
    }

    #[superstate]
    fn available(&mut self, context: &mut Actions, event: &EngineEvent) -> statig::Outcome<State> {
        match event {
            EngineEvent::Answered(incarnation) => {
                self.record_answer(*incarnation, context);
                Handled
            }
            EngineEvent::PollFailed => {
                self.failed_polls += 1;
                if self.failed_polls < MAX_FAILED_POLLS {
                    return Handled;
                }
                context.push(EngineAction::RefuseWaiting);
                Transition(State::down())
            }
            EngineEvent::Unreachable => {
                context.push(EngineAction::RefuseWaiting);
                Transition(State::down())
            }
            EngineEvent::WeightsWanted | EngineEvent::WeightsDone => Handled,
        }
    }

    /// Records the incarnation of an answer. A lower one comes from a late answer of an earlier run
    /// and is ignored.
    fn record_answer(&mut self, incarnation: Incarnation, actions: &mut Actions) {
        self.failed_polls = 0;
        if self.incarnation.is_some_and(|known| incarnation <= known) {
            return;
        }
        self.incarnation = Some(incarnation);
        actions.push(EngineAction::StartRun(incarnation));
    }
}
