//! Identifiers, monotonic time and rendezvous hashing that the other crates share.
//!
//! ```
//! use samphirespread_core::prelude::*;
//!
//! let routers = [InstanceName::new("r1"), InstanceName::new("r2")];
//! let first = rendezvous::rank(b"team-a", &routers, |name| name.as_str())[0];
//! assert!(first < routers.len());
//! ```
//!
//! The crate has no sockets or tasks. Crates that only make decisions read no clock: their callers
//! pass the current [time](time::MonoTime) and all randomness.

pub mod ids;
pub mod prelude;
pub mod rendezvous;
pub mod store_position;
pub mod time;
