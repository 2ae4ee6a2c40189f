//! Small stand-ins for the platform, engines, plain services and callers.
//!
//! Each one is a task of the test's own process that serves HTTP on a port of its own, with a
//! handle that makes it fail and tells what it received.
//!
//! ```
//! use samphirespread_standin::{
//!     engine::{Engine, EngineConfig},
//!     platform::{Outage, Platform, PlatformConfig},
//! };
//!
//! # tokio::runtime::Runtime::new().unwrap().block_on(async {
//! let platform = Platform::start(PlatformConfig::new().list_lag_ms(200)).await.unwrap();
//! let engine = Engine::start(EngineConfig::new("reader", "v1")).await.unwrap();
//!
//! platform.set_outage(Outage::Unavailable);
//! engine.crash().await.unwrap();
//!
//! assert_eq!(engine.incarnation().0, 2);
//! # });
//! ```
//!
//! They cost little and promise little: times are those of the runtime's timer, a millisecond
//! apart, and nothing is kept on disk.

pub mod caller;
pub mod engine;
pub mod kept_cache;
pub mod link;
pub mod platform;
pub mod published;
pub mod record;
mod server;
pub mod service;
pub mod text;
pub mod weight_store;
