//! Router for language-model traffic whose prompts share long prefixes.
//!
//! This crate is the facade: it names the parts that other programs embed. Each part is a crate of
//! its own and can be taken alone.
//!
//! ```
//! use samphirespread::{
//!     core::prelude::*,
//!     dispatch::{Action, Event, RequestMachine, RequestSpec},
//! };
//!
//! // A request's life as a state machine: the embedding program carries out the actions.
//! let id = RequestId { origin: 1, serial: 1 };
//! let mut request = RequestMachine::new(RequestSpec::service(id).idempotent(false));
//! assert_eq!(request.handle(&Event::Start), [Action::Choose]);
//! ```
//!
//! # Decisions
//!
//! These crates have no sockets, clocks, tasks or randomness of their own. They take
//! events and the current instant, and return what to do. Their invariants are asserted in every
//! build.
//!
//! - [`limits`]: a team's rate and burst over all routers, without a coordinator.
//! - [`prefix`]: block hashing, residency, and where a prompt runs.
//! - [`dispatch`]: attempts, resumes, and what may be said about a request that failed.
//! - [`fairness`]: the per-team queue in front of one engine.
//! - [`membership`]: live list, peers, incarnations, contact.
//!
//! # Interfaces
//!
//! - [`config`]: teams, keys, rates, routes and sets; the operators' builders.
//! - [`settings`]: the daemons' INI files.
//! - [`platform`] and [`engine`]: what is outside.
//! - [`wire`]: connections between the system's own processes.
//!
//! # Daemons
//!
//! - [`router`] and [`agent`]: the two daemons as libraries.

pub use samphirespread_agent as agent;
pub use samphirespread_config as config;
pub use samphirespread_core as core;
pub use samphirespread_dispatch as dispatch;
pub use samphirespread_engine as engine;
pub use samphirespread_fairness as fairness;
pub use samphirespread_limits as limits;
pub use samphirespread_membership as membership;
pub use samphirespread_platform as platform;
pub use samphirespread_prefix as prefix;
pub use samphirespread_router as router;
pub use samphirespread_settings as settings;
pub use samphirespread_wire as wire;
