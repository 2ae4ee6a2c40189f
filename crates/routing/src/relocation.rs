//! The state machine that moves a running request to another engine with the same weights without
//! interrupting its stream.
//!
//! A "run" is the execution of a request at an engine. The first call copies the run's memory while
//! the run continues. The second call stops the run and copies the memory that was written since.
//! Then the request is sent to the destination, which resumes it from the copy. If the destination
//! refuses, the request is sent back to the source engine, which keeps the memory.
//!
//! ```
//! use samphirespread_routing::relocation::{Answer, Place, Relocation, Step};
//!
//! let mut relocation = Relocation::new();
//! assert_eq!(relocation.step(), Step::Copy);
//! relocation.record_answer(Answer::Copied("h1".into()));
//! assert_eq!(relocation.step(), Step::Stop);
//! relocation.record_answer(Answer::Copied("h1".into()));
//! assert_eq!(relocation.step(), Step::Resume { place: Place::Destination, handle: "h1".into() });
//! ```
//!
//! A run is resumed only after the source has confirmed that it stopped the run. If the call to
//! stop is not answered, it may have been executed or not, and nothing is sent to another engine.
//! Memory: one handle.

use std::sync::Arc;

use statig::{blocking::StateMachine, prelude::*};

/// The engine's name for a copy of a run's memory.
pub type Handle = Arc<str>;

/// The result of a call to the source engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The copy is complete.
    Copied(Handle),
    /// The engine does not run the request.
    NoRun,
    /// No copy was made. If the call was to stop the run, a handle means that the run has stopped,
    /// and names the memory that the source keeps.
    NotCopied(Option<Handle>),
    /// There was no readable response, so the call may have been executed.
    Unknown,
}

/// The engine at which a request is resumed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// The engine that holds the copy.
    Destination,
    /// The engine that stopped the run.
    Source,
}

/// The next action of the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Copy the memory while the run continues.
    Copy,
    /// Stop the run and copy the rest.
    Stop,
    /// The source's stream ends without a final event. Send the request to `place`, where it
    /// resumes from the memory that the handle names.
    Resume {
        /// The engine to send the request to.
        place: Place,
        /// The name of the memory.
        handle: Handle,
    },
    /// The run stays at the source. Free the copy, if there is one.
    Stay {
        /// The handle of a copy that will not be used.
        release: Option<Handle>,
    },
    /// It is unknown whether the run continues, or it can't be resumed from its memory. The rules
    /// for an interrupted stream apply.
    Lost,
}

/// The move of one run.
pub struct Relocation {
    machine: StateMachine<RelocationMachine>,
}

impl std::fmt::Debug for Relocation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Relocation").field("state", self.machine.state()).finish()
    }
}

#[derive(Debug)]
struct RelocationMachine;

enum Event {
    Answered(Answer),
    /// The destination can't take the run any more.
    Withdrawn,
    /// The engine to which the request was sent responded that it has not run it.
    Refused,
    /// The request was sent and may have run, but there was no response.
    Failed,
}

#[state_machine(initial = "State::copying()", state(derive(Debug)), visibility = "pub(crate)")]
impl RelocationMachine {
    /// The run continues while its memory is copied.
    #[state]
    fn copying(event: &Event) -> statig::Outcome<State> {
        match event {
            Event::Answered(Answer::Copied(handle)) => Transition(State::copied(handle.clone())),
            Event::Answered(_) | Event::Withdrawn => Transition(State::staying(None)),
            Event::Refused | Event::Failed => Handled,
        }
    }

    /// The first copy is complete. It lacks what the run has written since.
    #[state]
    fn copied(handle: &Handle, event: &Event) -> statig::Outcome<State> {
        let copy = handle.clone();
        match event {
            Event::Answered(Answer::Copied(handle)) => {
                Transition(State::leaving(Place::Destination, handle.clone()))
            }
            Event::Answered(Answer::NotCopied(Some(kept))) => {
                Transition(State::leaving(Place::Source, kept.clone()))
            }
            Event::Answered(Answer::NoRun | Answer::NotCopied(None)) | Event::Withdrawn => {
                Transition(State::staying(Some(copy)))
            }
            Event::Answered(Answer::Unknown) => Transition(State::lost()),
            Event::Refused | Event::Failed => Handled,
        }
    }

    /// The run has stopped; the request is to be resumed at `place`.
    #[state]
    fn leaving(place: &Place, handle: &Handle, event: &Event) -> statig::Outcome<State> {
        match (event, place) {
            (Event::Refused, Place::Destination) => {
                Transition(State::leaving(Place::Source, handle.clone()))
            }
            (Event::Refused, Place::Source) | (Event::Failed, _) => Transition(State::lost()),
            (Event::Answered(_) | Event::Withdrawn, _) => Handled,
        }
    }

    /// The run stays at the source.
    #[state]
    fn staying(release: &Option<Handle>, event: &Event) -> statig::Outcome<State> {
        let _ = (release, event);
        Handled
    }

    /// The run can't be resumed from its memory.
    #[state]
    fn lost(event: &Event) -> statig::Outcome<State> {
        let _ = event;
        Handled
    }
}

impl Default for Relocation {
    fn default() -> Self {
        Self::new()
    }
}

impl Relocation {
    /// Starts a move.
    pub fn new() -> Self {
        Self { machine: RelocationMachine.state_machine() }
    }

    /// Returns the next action.
    pub fn step(&self) -> Step {
        match self.machine.state() {
            State::Copying {} => Step::Copy,
            State::Copied { .. } => Step::Stop,
            State::Leaving { place, handle } => {
                Step::Resume { place: *place, handle: handle.clone() }
            }
            State::Staying { release } => Step::Stay { release: release.clone() },
            State::Lost {} => Step::Lost,
        }
    }

    /// Records the result of the call that [`step`](Self::step) asked for.
    pub fn record_answer(&mut self, answer: Answer) {
        self.machine.handle(&Event::Answered(answer));
    }

    /// Records that the destination can't take the run any more. This has no effect once the run
    /// has stopped.
    pub fn record_withdrawal(&mut self) {
        self.machine.handle(&Event::Withdrawn);
    }

    /// Records that the engine at which the request was to be resumed has not run it.
    pub fn record_refusal(&mut self) {
        self.machine.handle(&Event::Refused);
    }

    /// Records that the request was sent to be resumed and may have run, but there was no response.
    pub fn record_failure(&mut self) {
        self.machine.handle(&Event::Failed);
    }
}
