//! The entry daemon: takes callers' requests and forwards them straight to backend servers.
//!
//! ```no_run
//! use samphirespread_gateway::Gateway;
//! use samphirespread_settings::GatewaySettings;
//! use tokio_util::sync::CancellationToken;
//!
//! # async fn example(log: slog::Logger) -> Result<(), Box<dyn std::error::Error>> {
//! let settings = GatewaySettings::parse(&GatewaySettings::example())?;
//! Gateway::bind(settings, log).await?.run(CancellationToken::new()).await;
//! # Ok(())
//! # }
//! ```
//!
//! `samphirespread-routing` makes the decisions, and this crate carries them out. A runtime with
//! one thread runs all tasks, and no lock is held across an await.

mod access;
mod active_request;
mod admin;
mod admission;
mod answers;
mod body;
mod cache_follow;
mod cache_pull;
mod caller_connection;
mod caller_stream;
mod conduct;
mod copies;
mod crashes;
mod drain;
mod fleet;
mod freeze_detector;
mod gateway;
mod handle;
mod held_memory;
mod metrics;
mod named_weights;
mod orders;
mod packing;
mod peers;
mod publish;
mod reads;
mod relay;
mod relocate;
mod request_log;
mod rollout;
mod routers;
mod select;
mod serve;
mod server_limits;
mod server_speed;
mod software_record;
mod state;
mod stream_queue;
mod stream_segments;
mod stream_versions;
mod sync;
mod weights;

pub use samphirespread_daemon::BindError;

pub use crate::gateway::{Addresses, Gateway, SettingsHandle};
