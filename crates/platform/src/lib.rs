//! Access to the product's documents and claims, and to the live list, in the platform's store of
//! objects.
//!
//! The adapter's client of that store sends each call once. Keys contain slashes. Versions stand
//! for the store's positions: its era, and the revision in it, a counter that all objects share.
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
//! A list or watch takes one call for each page of the kind that its prefix selects, however few
//! objects have the prefix. An unchanged live list takes one call, a changed one two.

pub mod api;
mod client;

pub use client::{Platform, PlatformError, StorePlatform, kind_of};
