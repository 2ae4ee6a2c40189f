//! The agent that queues and runs the requests for one backend server.
//!
//! ```no_run
//! use samphirespread_agent::Agent;
//! use samphirespread_settings::AgentSettings;
//! use tokio_util::sync::CancellationToken;
//!
//! # async fn example() -> Result<(), samphirespread_agent::AgentError> {
//! let settings = AgentSettings::parse(&AgentSettings::example()).expect("the example is valid");
//! let log = samphirespread_logging::root(&settings.log);
//! let agent = Agent::bind(settings, log).await?;
//! println!("routers connect to {}", agent.peers_address());
//!
//! let shutdown = CancellationToken::new();
//! agent.run(shutdown).await
//! # }
//! ```
//!
//! All routers send their requests for a backend server to its agent. The agent queues them fairly
//! ([`samphirespread_fairness`]), runs each attempt at most once ([`attempts`]), keeps the answer
//! so that a router can resume it at any kept line ([`journal`]), and tracks which prompt blocks
//! the engine has cached. It has no persistent state.
//!
//! # What "not run" means
//!
//! [`NotRun`](samphirespread_wire::message::Reply::NotRun) is sent only for an attempt that the
//! backend server never ran and never will: the agent refused it before sending it, the backend
//! server refused it before starting it, or the agent did not know it and will refuse it from now
//! on. Any other end without a complete answer is
//! [`Failed`](samphirespread_wire::message::Reply::Failed) with `may_have_run`.
//!
//! # Costs
//!
//! An attempt costs one task, its journal (at most a megabyte while it runs) and about 200 bytes
//! for ten minutes afterwards. The table of attempts is bounded; when it is full, new work is
//! refused. The agent polls the load of an engine five times a second and follows its cache events.
//!
//! # Limits
//!
//! If a router disappears without closing its connection, its attempts continue until they end or
//! the operating system drops the connection. Each run of an agent must start at a later wall-clock
//! time than the run before, because the incarnation is taken from the clock.

pub mod attempts;
pub mod configuration;
pub mod engine_tracker;
pub mod journal;

mod admin;
mod daemon;
mod error;
mod handler;
mod metrics;
mod model;
mod monitor;
mod service;
mod shared;
mod weights;

pub use crate::{
    daemon::{Agent, run},
    error::AgentError,
};
