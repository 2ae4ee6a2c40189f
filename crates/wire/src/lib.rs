//! Messages, codec and framed connections between the system's processes.
//!
//! ```
//! use samphirespread_core::prelude::*;
//! use samphirespread_wire::{codec, message::Request};
//!
//! let attempt = AttemptId { request: RequestId { origin: 7, serial: 1 }, number: 0 };
//! let request = Request::Cancel(attempt);
//! let bytes = codec::encode(0, &request)?;
//! let decoded: samphirespread_wire::message::Frame<Request> = codec::decode(&bytes[4..])?;
//! assert_eq!(decoded.message, request);
//! # Ok::<(), samphirespread_wire::WireError>(())
//! ```
//!
//! # Connections
//!
//! Two processes keep at most one h2 connection for each direction of asking. Each exchange
//! is one h2 stream: one [`Request`](message::Request) frame, then
//! [`Reply`](message::Reply) frames. A frame is a length of four bytes and a bincode body that
//! begins with a sequence number, so a lost or doubled frame is seen.
//!
//! Both ends prove that they know the same secret before any exchange, by an HMAC over two fresh
//! numbers. The secret itself never travels. See [`proof`].
//!
//! # Silence
//!
//! While exchanges are open and nothing arrives, the [`Connection`] sends heartbeats. When
//! nothing at all arrives for the silence timeout, the connection is closed and
//! every open exchange ends with [`WireError::Silent`]. An idle connection costs no bytes.
//!
//! # Limits
//!
//! There is no integrity check of frames besides TCP's own. Networks where others
//! can alter traffic need TLS below this crate: [`Connection::over`] and
//! [`serve_connection`] take any byte stream.

pub mod codec;
pub mod message;
pub mod proof;

mod client;
mod config;
mod error;
mod pool;
mod server;

pub use crate::{
    client::{Connection, ReplyStream},
    config::{HelloSource, Secret, WireConfig},
    error::WireError,
    pool::Pool,
    server::{Handler, ReplySender, serve, serve_connection},
};
