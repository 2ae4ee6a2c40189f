//! The life of a backend server as the agent beside it sees it.

use std::fmt;

use samphirespread_core::prelude::*;
use statig::{blocking::StateMachine, prelude::*};

/// Failed polls in a row after which the backend server counts as down.
const MAX_FAILED_POLLS: u32 = 2;

/// What the agent has seen of its backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineEvent {
    /// It answered, in this run.
    Answered(Incarnation),
    /// A poll of it failed.
    PollFailed,
    /// It refused a connection, so nothing listens there.
    Unreachable,
    /// Weights are to be loaded once nothing runs.
    WeightsWanted,
    /// Loading weights ended, well or not.
    WeightsDone,
}

/// What follows for the agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineAction {
    /// A new run has begun, with an empty cache.
    StartRun(Incarnation),
    /// Waiting requests can't run here and are to be refused.
    RefuseWaiting,
    /// Waiting requests may run now.
    Resume,
}

/// The states of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineState {
    /// It has not answered yet.
    Unknown,
    /// It takes work.
    Up,
    /// It finishes what runs, then loads weights. Requests may wait.
    Draining,
    /// It does not answer.
    Down,
}

/// Follows a backend server through its states.
///
/// ```
/// use samphirespread_agent::engine_life::{EngineAction, EngineEvent, EngineLife};
/// use samphirespread_core::prelude::*;
///
/// let mut life = EngineLife::new();
/// let actions = life.handle(EngineEvent::Answered(Incarnation(1)));
/// assert!(actions.contains(&EngineAction::StartRun(Incarnation(1))));
/// assert!(life.takes_work());
///
/// assert_eq!(life.handle(EngineEvent::Unreachable), [EngineAction::RefuseWaiting]);
/// assert!(!life.takes_work());
/// ```
pub struct EngineLife {
    machine: StateMachine<Life>,
}

impl fmt::Debug for EngineLife {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("EngineLife").field("state", &self.state()).finish_non_exhaustive()
    }
}

impl Default for EngineLife {
    fn default() -> Self {
        Self::new()
    }
}

impl EngineLife {
    /// A backend server that has not answered yet.
    pub fn new() -> Self {
        Self { machine: Life::default().state_machine() }
    }

    /// Takes in an event and returns what follows.
    pub fn handle(&mut self, event: EngineEvent) -> Vec<EngineAction> {
        let mut actions = Vec::new();
        self.machine.handle_with_context(&event, &mut actions);
        actions
    }

    /// The current state.
    pub fn state(&self) -> EngineState {
        match self.machine.state() {
            State::Unknown { .. } => EngineState::Unknown,
            State::Up { .. } => EngineState::Up,
            State::Draining { .. } => EngineState::Draining,
            State::Down { .. } => EngineState::Down,
        }
    }

    /// Whether requests may wait for it.
    pub fn takes_work(&self) -> bool {
        matches!(self.state(), EngineState::Up | EngineState::Draining)
    }

    /// Whether waiting requests may start on it.
    pub fn may_start(&self) -> bool {
        self.state() == EngineState::Up
    }

    /// The run that answered last.
    pub fn incarnation(&self) -> Incarnation {
        self.machine.inner().incarnation.unwrap_or_default()
    }
}

#[derive(Debug, Default)]
struct Life {
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
impl Life {
    #[state(superstate = "idle")]
    fn unknown() -> statig::Outcome<State> {
        Super
    }

    #[state(superstate = "idle")]
    fn down() -> statig::Outcome<State> {
        Super
    }

    #[state(superstate = "alive")]
    fn up(event: &EngineEvent) -> statig::Outcome<State> {
        match event {
            EngineEvent::WeightsWanted => Transition(State::draining()),
            _ => Super,
        }
    }

    #[state(superstate = "alive")]
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
    fn idle(&mut self, context: &mut Actions, event: &EngineEvent) -> statig::Outcome<State> {
        match event {
            EngineEvent::Answered(incarnation) => {
                self.note_answer(*incarnation, context);
                context.push(EngineAction::Resume);
                Transition(State::up())
            }
            _ => Handled,
        }
    }

    #[superstate]
    fn alive(&mut self, context: &mut Actions, event: &EngineEvent) -> statig::Outcome<State> {
        match event {
            EngineEvent::Answered(incarnation) => {
                self.note_answer(*incarnation, context);
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

    /// Takes in the run that answered. A lower one is an old answer that came late.
    fn note_answer(&mut self, incarnation: Incarnation, actions: &mut Actions) {
        self.failed_polls = 0;
        if self.incarnation.is_some_and(|known| incarnation <= known) {
            return;
        }
        self.incarnation = Some(incarnation);
        actions.push(EngineAction::StartRun(incarnation));
    }
}
