//! Messages, their encoding, and the connections that carry them between the system's processes.
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
//! A [`Pool`] keeps at most one h2 connection to each peer, which carries requests in one
//! direction only. Each exchange is one h2 stream: the client sends one
//! [`Request`](message::Request) frame, and the server answers with [`Reply`](message::Reply)
//! frames. A frame is a length of four bytes and a bincode body that begins with a sequence number,
//! so that a lost or repeated frame is detected.
//!
//! Before any exchange, both ends prove that they know the same secret by an HMAC over two nonces.
//! The secret itself is never sent. See [`proof`].
//!
//! # Silence
//!
//! While exchanges are open and nothing arrives, the [`Connection`] sends heartbeats. If nothing
//! arrives for the silence timeout, the connection is closed and every open exchange ends with
//! [`WireError::Silent`]. A connection without open exchanges sends no heartbeats.
//!
//! # Limits
//!
//! Only TCP's checksum protects the integrity of frames. On networks where others can alter
//! traffic, run connections over TLS: [`Connection::over`] and [`serve_connection`] accept any byte
//! stream.

pub mod codec;
pub mod message;
pub mod proof;

mod client;
mod config;
mod error;
mod linger;
mod pool;
mod server;

pub use crate::{
    client::{Connection, ReplyStream},
    config::{HelloSource, Secret, WireConfig},
    error::WireError,
    pool::Pool,
    server::{Handler, ReplySender, serve, serve_connection},
};
