//! Starts the real daemons as processes beside stand-ins, for tests.
//!
//! ```no_run
//! use samphirespread_standin::caller::CompletionRequest;
//! use samphirespread_testkit::Fleet;
//!
//! # async fn example() {
//! let fleet = Fleet::builder().routers(2).agents(3).start().await;
//! let request = CompletionRequest::new("ledger", "Dear Sir", 20);
//!
//! let answer = fleet.caller(0).complete(&request).await.unwrap();
//!
//! assert!(answer.is_complete());
//! # }
//! ```
//!
//! The daemons are found beside the test's own executable, where `cargo test --workspace` builds
//! them. Everything that was started ends with the [`Fleet`]. A call that fails panics: there is
//! nothing that a test could do about it.

mod builder;
mod daemon;
mod fleet;
pub mod raw;
pub mod steps;

pub use crate::{
    builder::{
        DEFAULT_MODEL, DEFAULT_SET, DEFAULT_TEAM, DEFAULT_VERSION, FleetBuilder, SERVICE_SET,
    },
    daemon::{Daemon, Signal},
    fleet::{AgentNode, Fleet, RouterNode, ServiceNode},
};
