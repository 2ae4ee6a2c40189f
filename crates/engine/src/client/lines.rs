//! Reader that decodes the lines of streamed responses.

use std::{marker::PhantomData, time::Duration};

use bytes::{Buf, Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::de::DeserializeOwned;

use super::{EngineError, malformed};

/// Maximum size of a line from an engine.
const MAX_LINE_BYTES: usize = 16 * 1024 * 1024;

/// Reads and decodes a streamed response line by line.
///
/// Dropping the reader closes the connection. The engine keeps the stream for a while, so that it
/// can be [resumed](super::EngineClient::resume).
#[derive(Debug)]
pub struct Lines<T> {
    body: Incoming,
    received: BytesMut,
    /// Number of leading bytes of `received` that are known to contain no line end.
    scanned: usize,
    silence_ms: u64,
    line: PhantomData<fn() -> T>,
}

impl<T: DeserializeOwned> Lines<T> {
    pub(super) fn new(body: Incoming, silence_ms: u64) -> Self {
        Self { body, received: BytesMut::new(), scanned: 0, silence_ms, line: PhantomData }
    }

    /// Returns the next line, or `None` when the engine has ended the response.
    ///
    /// Empty lines only show that the engine is still connected; they are skipped. The method is
    /// cancel safe: if the future is dropped before it completes, no line is lost.
    ///
    /// # Errors
    ///
    /// Returns [`EngineError::Silent`] if no data arrives in time, [`EngineError::Lost`] if the
    /// connection breaks, and [`EngineError::Malformed`] if a line can't be decoded.
    pub async fn next(&mut self) -> Result<Option<T>, EngineError> {
        loop {
            if let Some(line) = self.take_line()? {
                if line.is_empty() {
                    continue;
                }
                return serde_json::from_slice(&line).map(Some).map_err(|error| malformed(&error));
            }
            if !self.receive().await? {
                return Ok(None);
            }
        }
    }

    /// Reads the next frame of the body. Returns false at its end.
    async fn receive(&mut self) -> Result<bool, EngineError> {
        let silence = Duration::from_millis(self.silence_ms);
        let frame = tokio::time::timeout(silence, self.body.frame())
            .await
            .map_err(|_| EngineError::Silent { silence_ms: self.silence_ms })?;
        match frame {
            None if self.received.is_empty() => Ok(false),
            None => Err(EngineError::Lost { message: "the last line is incomplete".to_owned() }),
            Some(Err(error)) => Err(EngineError::Lost { message: error.to_string() }),
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    self.received.extend_from_slice(data);
                }
                Ok(true)
            }
        }
    }

    fn take_line(&mut self) -> Result<Option<Bytes>, EngineError> {
        let end = self.received[self.scanned..].iter().position(|byte| *byte == b'\n');
        let Some(end) = end else {
            self.scanned = self.received.len();
            if self.scanned > MAX_LINE_BYTES {
                return Err(malformed(&"a line is too long"));
            }
            return Ok(None);
        };

        let line = self.received.split_to(self.scanned + end).freeze();
        self.received.advance(1);
        self.scanned = 0;
        Ok(Some(line))
    }
}
