//! The decisions of an entry router: which route and backend server a request gets, whether the
//! team's quota admits it, whether it is sent again after a failure, and which backend server loads
//! new weights next.
//!
//! ```
//! use samphirespread_core::prelude::*;
//! use samphirespread_routing::retry::{RetryBudget, RetryLimits};
//!
//! let limits = RetryLimits { ratio: 0.2, window_ms: 10_000, slack: 0 };
//! let mut budget = RetryBudget::default();
//! for _ in 0..10 {
//!     budget.count_request(limits.window_ms, MonoTime::from_ms(5));
//! }
//!
//! assert!(budget.try_spend(&limits, MonoTime::from_ms(6)));
//! assert!(budget.try_spend(&limits, MonoTime::from_ms(6)));
//! assert!(!budget.try_spend(&limits, MonoTime::from_ms(6)));
//! ```
//!
//! No code in this crate reads a clock or a socket. Callers pass in events and the current time,
//! and get back decisions. Most modules state their running time or memory use.

pub mod admission;
pub mod attempts;
pub mod backoff;
pub mod cache;
pub mod cache_scope;
pub mod canary;
pub mod choice;
pub mod connections;
pub mod crash_causes;
pub mod demand;
pub mod destinations;
pub mod domain_traffic;
pub mod drain;
pub mod durations;
pub mod events;
pub mod freshness;
pub mod idle;
pub mod lease;
pub mod model;
pub mod quota;
pub mod read_parts;
pub mod relocation;
pub mod retry;
pub mod rollout;
pub mod server_limit;
pub mod server_speed;
pub mod software;
pub mod sources;
pub mod speed;
pub mod stale_connections;
pub mod stopping;
pub mod table;
mod units;
