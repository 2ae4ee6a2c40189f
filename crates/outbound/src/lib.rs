//! HTTP/1.1 connections to backend servers and stores.
//!
//! ```no_run
//! use bytes::Bytes;
//! use http_body_util::Full;
//! use samphirespread_outbound::Connection;
//!
//! # async fn example() -> Result<(), Box<dyn std::error::Error>> {
//! let mut connection = Connection::open("10.0.0.1:80".parse()?, 300).await?;
//! let request = http::Request::get("/health").body(Full::new(Bytes::new()))?;
//! let response = connection.send(request).await?;
//! assert!(response.status().is_success());
//! # Ok(())
//! # }
//! ```
//!
//! A connection carries one request at a time and belongs to whoever uses it. Dropping it resets
//! it at once, which is how work that nobody waits for any more is cancelled.
//!
//! # Limits
//!
//! There are no timeouts but the one of [`Connection::open`]; the caller bounds the rest, since only
//! it knows how long its own caller waits.

mod connection;
mod pool;

pub use crate::{
    connection::{Connection, OpenError, SendError},
    pool::{Idle, IdleLimits},
};
