//! Encodes and decodes frames. A frame is a length of four bytes, followed by a bincode body.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use serde::{Serialize, de::DeserializeOwned};

use crate::{WireError, message::Frame};

/// Size of a frame's length field in bytes.
pub const LENGTH_BYTES: usize = 4;

/// Encodes a frame that consists of the length field, the sequence number and the message.
///
/// # Errors
///
/// [`WireError::Malformed`] if the message can't be encoded, [`WireError::FrameTooLong`] if the
/// body is too long for the length field (4 GiB).
pub fn encode<T: Serialize>(seq: u64, message: &T) -> Result<Bytes, WireError> {
    let mut frame = BytesMut::with_capacity(128);
    frame.put_u32_le(0);
    let mut writer = frame.writer();
    bincode::serde::encode_into_std_write(seq, &mut writer, bincode::config::standard())
        .and_then(|_| {
            bincode::serde::encode_into_std_write(message, &mut writer, bincode::config::standard())
        })
        .map_err(|error| WireError::Malformed { message: error.to_string() })?;
    let mut frame = writer.into_inner();
    let body_bytes = frame.len() - LENGTH_BYTES;
    let length = u32::try_from(body_bytes)
        .map_err(|_| WireError::FrameTooLong { bytes: body_bytes, max_bytes: u32::MAX as usize })?;
    frame[..LENGTH_BYTES].copy_from_slice(&length.to_le_bytes());
    Ok(frame.freeze())
}

/// Decodes the body of one frame, without its length field.
///
/// # Errors
///
/// [`WireError::Malformed`] if the body is not exactly one message.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<Frame<T>, WireError> {
    let (frame, consumed): (Frame<T>, usize) =
        bincode::serde::decode_from_slice(body, bincode::config::standard())
            .map_err(|error| WireError::Malformed { message: error.to_string() })?;
    if consumed != body.len() {
        let message = format!("{} extra bytes after the message", body.len() - consumed);
        return Err(WireError::Malformed { message });
    }
    Ok(frame)
}

/// Splits a byte stream into frames and checks that their sequence numbers are consecutive.
#[derive(Debug)]
pub struct Decoder {
    buffer: BytesMut,
    next_seq: u64,
    max_frame_bytes: usize,
}

impl Decoder {
    /// Creates a decoder that expects the start of a stream.
    pub fn new(max_frame_bytes: usize) -> Self {
        Self { buffer: BytesMut::new(), next_seq: 0, max_frame_bytes }
    }

    /// Appends received bytes to the buffer.
    pub fn extend(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns true if the buffer holds no bytes that are still to be decoded.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Returns the next message, or `None` if its frame has not been received completely.
    ///
    /// # Errors
    ///
    /// [`WireError::FrameTooLong`], [`WireError::Malformed`] or [`WireError::OutOfOrder`]. The
    /// decoder can't be used after an error.
    pub fn next_message<T: DeserializeOwned>(&mut self) -> Result<Option<T>, WireError> {
        let Some(length) = self.buffer.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_le_bytes(*length) as usize;
        if length > self.max_frame_bytes {
            return Err(WireError::FrameTooLong { bytes: length, max_bytes: self.max_frame_bytes });
        }
        if self.buffer.len() < LENGTH_BYTES + length {
            return Ok(None);
        }
        self.buffer.advance(LENGTH_BYTES);
        let body = self.buffer.split_to(length);
        let frame: Frame<T> = decode(&body)?;
        if frame.seq != self.next_seq {
            return Err(WireError::OutOfOrder { got: frame.seq, expected: self.next_seq });
        }
        self.next_seq += 1;
        Ok(Some(frame.message))
    }
}
