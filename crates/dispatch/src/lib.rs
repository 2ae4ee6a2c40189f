//! The life cycle of a request and its attempts, as a state machine without sockets or clocks.
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
//! # Guarantees
//!
//! * Lines are delivered in order and at most once. A gap causes a resume; a repeated line is
//!   dropped.
//! * A request ends as [`Outcome::NotRun`] only if it is certain that no attempt has run or will
//!   run.
//! * A request that is not idempotent gets a further attempt only under the same condition, and
//!   otherwise ends as [`Outcome::Unknown`].
//! * Events of any attempt but the current one change nothing.
//! * [`Action::End`] is returned at most once.
//!
//! Assertions check the conditions of `NotRun`, of a further attempt and of the single `End` in
//! every build.
//!
//! # Costs
//!
//! Handling an event takes a few comparisons and allocates only for the list of tried agents.

mod event;
mod machine;
mod spec;

pub use crate::{
    event::{Action, Event, Outcome},
    machine::RequestMachine,
    spec::{GiveUpReason, RequestSpec},
};
