//! Client of the platform's object API and live list.
//!
//! | call | meaning |
//! | --- | --- |
//! | `GET /objects/{key}` | the value, its version in `ETag`; `404` when absent |
//! | `PUT /objects/{key}` with `If-Match: V` | replaces version `V`, else `412` |
//! | `PUT /objects/{key}` with `If-None-Match: *` | creates, else `412` |
//! | `DELETE /objects/{key}` with `If-Match: V` | deletes version `V`, else `412` |
//! | `GET /list?prefix=P` | the [`Listing`](api::Listing) below a prefix |
//! | `GET /watch?prefix=P&after=V&wait_ms=N` | waits for changes after version `V`; a [`Listing`](api::Listing) |
//! | `GET /instances?after=V` | the [`LiveList`](api::LiveList), or `304` when its version is still `V` |
//!
//! Keys contain slashes. Versions are one rising counter over all objects. A call past the
//! platform's rate is answered `429`, a call during an outage `503` or not at all.

//!
//! ```no_run
//! use samphirespread_platform::{HttpPlatform, HttpPlatformConfig, Platform};
//!
//! # async fn example() -> Result<(), samphirespread_platform::PlatformError> {
//! let platform = HttpPlatform::new(HttpPlatformConfig::new("10.0.0.1:7000").timeout_ms(500));
//! let version = platform.create("config/head", "{}").await?;
//! platform.put_if("config/head", version, "{\"generation\":1}").await?;
//! # Ok(())
//! # }
//! ```

pub mod api;
mod client;

pub use client::{HttpPlatform, HttpPlatformConfig, Platform, PlatformError};
