//! The agent beside one backend server.
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
//! All routers' requests for one backend server meet at its agent. It queues them fairly
//! ([`samphirespread_fairness`]), runs each attempt at most once ([`attempts`]), keeps the answer so
//! that a router can resume it at any line ([`journal`]), and knows which prompt blocks the
//! engine has cached. It holds nothing that must last.
//!
//! # What "not run" means
//!
//! [`NotRun`](samphirespread_wire::message::Reply::NotRun) is sent only for an attempt that the backend server never got and
//! never will: refused before it was asked, refused by it before it started, or unknown here and barred from now on.
//! Whatever else ends an attempt without a complete answer is
//! [`Failed`](samphirespread_wire::message::Reply::Failed) with `may_have_run`.
//!
//! # Costs
//!
//! An attempt costs one task, its journal (at most a megabyte while it runs) and about 200 bytes for ten
//! minutes afterwards. The table of attempts is bounded; a full one refuses new work. The
//! agent polls the load of an engine five times a second and follows its cache events.
//!
//! # Limits
//!
//! A router that vanishes without closing its connection keeps its attempts running until they
//! end or the system gives up on the connection. An agent's later runs must see a later wall clock, as the
//! incarnation is taken from it.

pub mod attempts;
pub mod configuration;
pub mod engine_life;
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
