//! Identifiers, instants and rendezvous hashing shared by every crate.
//!
//! ```
//! use samphirespread_core::prelude::*;
//!
//! let routers = [InstanceName::new("r1"), InstanceName::new("r2")];
//! let first = rendezvous::rank(b"team-a", &routers, |name| name.as_str())[0];
//! assert!(first < routers.len());
//! ```
//!
//! The crate has no sockets, clocks or tasks. Decision crates take the current
//! [`Instant`](time::MonoTime) and their randomness from outside.

pub mod ids;
pub mod prelude;
pub mod rendezvous;
pub mod time;
