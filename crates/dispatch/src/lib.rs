//! Life cycle of a request and its attempts, as a state machine without sockets or clocks.
//!
//! ```
//! use samphirespread_core::prelude::*;
//! use samphirespread_dispatch::{Action, Event, Outcome, RequestMachine, RequestSpec};
//!
//! let id = RequestId { origin: 1, serial: 1 };
//! let mut request = RequestMachine::new(RequestSpec::model(id));
//! let agent = InstanceName::new("a1");
//! let attempt = AttemptId { request: id, number: 0 };
//!
//! let actions = request.handle(&Event::Start);
//! assert_eq!(actions, [Action::Choose]);
//! let actions = request.handle(&Event::Chosen { agent: agent.clone() });
//! assert_eq!(actions, [Action::Run { attempt, agent, delivered_lines: 0 }]);
//! request.handle(&Event::Accepted { attempt });
//! let actions = request.handle(&Event::Line { attempt, seq: 0 });
//! assert_eq!(actions, [Action::Deliver]);
//! let actions = request.handle(&Event::Finished { attempt, lines: 1 });
//! assert_eq!(actions, [Action::End(Outcome::Complete)]);
//! ```
//!
//! # What it guarantees
//!
//! * Lines are delivered once each and in order; a gap turns into a resume, a repeat is dropped.
//! * [`Outcome::NotRun`] is only reached when every attempt is known never to have run and never
//!   to run later.
//! * A request that is not idempotent gets a further attempt only under the same condition, and
//!   otherwise ends as [`Outcome::Unknown`].
//! * Answers to any but the current attempt change nothing.
//! * There is exactly one [`Action::End`].
//!
//! These are asserted inside the machine in every build.
//!
//! # Costs
//!
//! One event costs a few comparisons and no allocation, apart from the list of agents that were tried.

mod event;
mod machine;
mod spec;

pub use crate::{
    event::{Action, Event, Outcome},
    machine::RequestMachine,
    spec::{GiveUpReason, RequestSpec},
};
