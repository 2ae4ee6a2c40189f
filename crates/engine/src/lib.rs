//! The interface of a model engine: message types and a client.
//!
//! Calls are HTTP requests with JSON bodies. Streamed responses consist of JSON lines.
//!
//! | request | effect or response |
//! | --- | --- |
//! | `POST /v1/streams` with [`StartStream`](api::StartStream) | starts a stream; responds with [`StreamLine`](api::StreamLine)s |
//! | `GET /v1/streams/{id}?from=N` | responds with the stream's lines from sequence number `N` on; `404` if the stream is unknown |
//! | `DELETE /v1/streams/{id}` | cancels the stream |
//! | `GET /v1/load` | responds with the last [`LoadReport`](api::LoadReport), which may be out of date |
//! | `GET /v1/events?from=N` | responds with [`CacheEvent`](api::CacheEvent) lines, which may be late and have gaps |
//! | `GET /v1/blocks` | responds with a [`BlockList`](api::BlockList) of all cached blocks |
//! | `POST /v1/blocks/export`, `POST /v1/blocks/import` | transfer blocks as a [`BlockTransfer`](api::BlockTransfer) |
//! | `POST /v1/weights` with [`LoadWeights`](api::LoadWeights) | loads a version of a model's weights |
//!
//! Engines that check fencing numbers refuse an order with an outdated one with `409`. Fencing
//! numbers of streams are compared between the attempts of one request, whose ID is the part of the
//! stream's ID before the last dot. Those of weight loads are compared across the whole engine. The
//! start of a stream that was cancelled before is refused with `410`.
//!
//! While a streamed response has no data, the engine sends an empty line at least once a second, so
//! that a broken connection can be distinguished from a long wait.

pub mod api;
mod client;

pub use client::{EngineClient, EngineClientConfig, EngineError, Lines};
