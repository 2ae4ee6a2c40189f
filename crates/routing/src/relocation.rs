//! The move of one run to another engine of the same weights, while its stream goes on.
//!
//! The first call copies the run's memory while the run continues; the second one stops the run and copies what
//! is new since. Then the same request goes on from the copy. Where that engine refuses, it goes back to the
//! engine that stopped it, which keeps the memory.
//!
//! ```
//! use samphirespread_routing::relocation::{Answer, Place, Relocation, Step};
//!
//! let mut relocation = Relocation::new();
//! assert_eq!(relocation.step(), Step::Copy);
//! relocation.answered(Answer::Copied("h1".into()));
//! assert_eq!(relocation.step(), Step::Stop);
//! relocation.answered(Answer::Copied("h1".into()));
//! assert_eq!(relocation.step(), Step::GoOn { place: Place::Destination, handle: "h1".into() });
//! ```
//!
//! A run goes on elsewhere only after its engine said that it has stopped it: a call to stop without an answer may
//! have been carried out or not, and then nothing is sent to another engine. Cost: one handle.

use std::sync::Arc;

use statig::{blocking::StateMachine, prelude::*};

/// The name of a copy.
pub type Handle = Arc<str>;

/// What an engine said to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The copy is complete. Its handle names it.
    Copied(Handle),
    /// The engine runs no such request.
    NoRun,
    /// No copy was made. A run that was to stop has stopped if there is a handle of what its engine keeps.
    NotCopied(Option<Handle>),
    /// There was no answer that can be read: the call may have been carried out.
    Unknown,
}

/// Where a request goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// At the engine that holds the copy.
    Destination,
    /// At the engine that stopped the run.
    Source,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Copy the memory while the run continues.
    Copy,
    /// Stop the run and copy the rest.
    Stop,
    /// The stream ends without its end; send the request there, to go on from what that handle names.
    GoOn {
        /// Where.
        place: Place,
        /// The handle.
        handle: Handle,
    },
    /// The run stays where it is. A copy is to be freed.
    Stay {
        /// The handle of a copy that nobody will use.
        release: Option<Handle>,
    },
    /// Whether the run goes on is not known, or it can't go on from its memory: the rules for a stream that broke
    /// off hold.
    Lost,
}

/// One move.
pub struct Relocation {
    machine: StateMachine<Mover>,
}

impl std::fmt::Debug for Relocation {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Relocation").field("state", self.machine.state()).finish()
    }
}

#[derive(Debug)]
struct Mover;

enum Event {
    Answered(Answer),
    /// The destination can't take the run any more.
    Withdrawn,
    /// The engine to which the request was sent said that it has not run it.
    Refused,
    /// A send to an engine may have run.
    Failed,
}

#[state_machine(initial = "State::copying()", state(derive(Debug)), visibility = "pub(crate)")]
impl Mover {
    /// The run continues while its memory is copied.
    #[state]
    fn copying(event: &Event) -> statig::Outcome<State> {
        match event {
            Event::Answered(Answer::Copied(handle)) => Transition(State::copied(handle.clone())),
            Event::Answered(_) | Event::Withdrawn => Transition(State::staying(None)),
            Event::Refused | Event::Failed => Handled,
        }
    }

    /// A copy is complete but for what the run has made since.
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

    /// The run has stopped; the request goes on at that place.
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

    /// The run stays where it is.
    #[state]
    fn staying(release: &Option<Handle>, event: &Event) -> statig::Outcome<State> {
        let _ = (release, event);
        Handled
    }

    /// The run can't go on from its memory.
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
    /// A move that begins.
    pub fn new() -> Self {
        Self { machine: Mover.state_machine() }
    }

    /// What to do next.
    pub fn step(&self) -> Step {
        match self.machine.state() {
            State::Copying {} => Step::Copy,
            State::Copied { .. } => Step::Stop,
            State::Leaving { place, handle } => {
                Step::GoOn { place: *place, handle: handle.clone() }
            }
            State::Staying { release } => Step::Stay { release: release.clone() },
            State::Lost {} => Step::Lost,
        }
    }

    /// The source answered the call that was due.
    pub fn answered(&mut self, answer: Answer) {
        self.machine.handle(&Event::Answered(answer));
    }

    /// The destination can't take the run any more. Changes nothing once the run has stopped.
    pub fn withdrawn(&mut self) {
        self.machine.handle(&Event::Withdrawn);
    }

    /// The engine where the request was to go on said that it has not run it.
    pub fn refused(&mut self) {
        self.machine.handle(&Event::Refused);
    }

    /// The request was sent to go on and may have run, without an answer.
    pub fn failed(&mut self) {
        self.machine.handle(&Event::Failed);
    }
}
