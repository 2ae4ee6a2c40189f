//! HTTP/1.1 client connections to backend servers and stores.
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
//! A connection carries one request at a time and is owned by its user. Dropping it resets it at
//! once, which cancels a request whose response nobody waits for any more.
//!
//! # Limits
//!
//! Only [`Connection::open`] and [`Connection::exchange_within`] have timeouts. The caller has to limit the other calls, since only it
//! knows how long its own caller waits.

mod connection;
mod kept;
mod pool;

pub use crate::{
    connection::{Connection, ExchangeLimits, OpenError, SendError},
    kept::{CallError, CallLimits, KeptConnection, Repeatability},
    pool::{IdleConnection, IdleLimits, IdlePool},
};
