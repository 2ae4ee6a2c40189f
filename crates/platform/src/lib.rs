//! The product's own documents, claims and live list in the platform's store of objects.
//!
//! Calls go through the adapter's one client of that store, each once. Keys contain slashes.
//! Versions are the store's revisions, one rising counter over all objects.
//!
//! ```no_run
//! use samphirespread_platform::{Platform, StorePlatform};
//!
//! # async fn example() -> Result<(), samphirespread_platform::PlatformError> {
//! let platform = StorePlatform::new(([10, 0, 0, 1], 7000).into(), 500);
//! let version = platform.create("config/head", "{}").await?;
//! platform.put_if("config/head", version, "{\"generation\":1}").await?;
//! # Ok(())
//! # }
//! ```
//!
//! A list or watch costs a call for each page of the kind that its prefix lies in, whatever the
//! prefix; an unchanged live list costs one call, a changed one two.

pub mod api;
mod client;

pub use client::{Platform, PlatformError, StorePlatform, kind_of};
