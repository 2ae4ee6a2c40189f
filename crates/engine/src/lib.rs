//! The interface of a model engine: message types and a client.
//!
//! Every call is HTTP with JSON bodies. Answers that stream are JSON lines.
//!
//! | call | meaning |
//! | --- | --- |
//! | `POST /v1/streams` with [`StartStream`](api::StartStream) | starts a stream and answers with [`StreamLine`](api::StreamLine)s |
//! | `GET /v1/streams/{id}?from=N` | answers with the lines from sequence number `N` on; `404` when unknown |
//! | `DELETE /v1/streams/{id}` | cancels the stream |
//! | `GET /v1/load` | the last [`LoadReport`](api::LoadReport), which lags |
//! | `GET /v1/events?from=N` | answers with [`CacheEvent`](api::CacheEvent) lines, late and with gaps |
//! | `GET /v1/blocks` | a [`BlockList`](api::BlockList): what is cached now |
//! | `POST /v1/blocks/export`, `POST /v1/blocks/import` | moves blocks as [`BlockTransfer`](api::BlockTransfer) |
//! | `POST /v1/weights` with [`LoadWeights`](api::LoadWeights) | loads a version of a model's weights |
//!
//! An order with an old fencing number is answered `409` by engines that check it. Fencing numbers
//! of streams are compared between the attempts of one request, which is the part of the stream's
//! id before the last dot; those of weight loads are compared on the whole engine. A stream that
//! was cancelled before it started is answered `410`.
//!
//! While a streamed answer has nothing to say, the engine sends an empty line at least once a
//! second, so that a connection that went silent can be told from a long wait.

pub mod api;
mod client;

pub use client::{EngineClient, EngineClientConfig, EngineError, Lines};
