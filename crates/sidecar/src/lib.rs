//! The process beside a model engine: it reports the engine's state to routers and is the only one
//! that gives the engine orders.
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
//! Routers that relay ask for reports with their directives. A report goes out at once when the engine's weights
//! or its readiness change, and a few times a second besides.

mod metrics;
mod routers;
mod sidecar;

pub use samphirespread_daemon::BindError;

pub use crate::sidecar::{BoundSidecar, Sidecar};
