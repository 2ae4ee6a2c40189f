//! The daemon beside a model engine. It reports the engine's state to routers and is the only
//! process that orders the engine to load weights.
//!
//! ```no_run
//! use samphirespread_settings::SidecarSettings;
//! use samphirespread_sidecar::Sidecar;
//! use tokio_util::sync::CancellationToken;
//!
//! # async fn example(log: slog::Logger) -> Result<(), Box<dyn std::error::Error>> {
//! let settings = SidecarSettings::parse(&SidecarSettings::example())?;
//! Sidecar::bind(settings, log).await?.run(CancellationToken::new()).await;
//! # Ok(())
//! # }
//! ```
//!
//! Routers that act as relays request reports in their directives. The sidecar sends a report at
//! once when the engine's weights or readiness change, and also a few times per second.

mod metrics;
mod routers;
mod sidecar;

pub use samphirespread_daemon::BindError;

pub use crate::sidecar::{BoundSidecar, Sidecar};
