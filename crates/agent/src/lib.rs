//! The agent beside one backend server.
pub mod attempts;
pub mod configuration;
pub mod engine_life;
mod error;
pub mod journal;
pub use crate::error::AgentError;
