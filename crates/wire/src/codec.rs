//! Frames: four bytes of length, then a bincode body.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use serde::{Serialize, de::DeserializeOwned};

use crate::{WireError, message::Frame};

/// Bytes of a frame's length field.
pub const LENGTH_BYTES: usize = 4;

/// Encodes a message with its sequence number, length first.
///
/// # Errors
///
/// [`WireError::Malformed`] if the message can't be encoded, [`WireError::FrameTooLong`] past 4 GiB.
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

/// Decodes the body of one frame.
///
/// # Errors
///
/// [`WireError::Malformed`] if the body is not exactly one message.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<Frame<T>, WireError> {
    let (frame, used): (Frame<T>, usize) =
        bincode::serde::decode_from_slice(body, bincode::config::standard())
            .map_err(|error| WireError::Malformed { message: error.to_string() })?;
    if used != body.len() {
        let message = format!("{} bytes after the message", body.len() - used);
        return Err(WireError::Malformed { message });
    }
    Ok(frame)
}

/// Cuts a byte stream into frames and checks their order.
#[derive(Debug)]
pub struct Decoder {
    buffer: BytesMut,
    next_seq: u64,
    max_frame_bytes: usize,
}

impl Decoder {
    /// A decoder at the start of a stream.
    pub fn new(max_frame_bytes: usize) -> Self {
        Self { buffer: BytesMut::new(), next_seq: 0, max_frame_bytes }
    }

    /// Takes in bytes that arrived.
    pub fn extend(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether all bytes taken in made whole frames.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// The next whole message, if it has arrived.
    ///
    /// # Errors
    ///
    /// [`WireError::FrameTooLong`], [`WireError::Malformed`] or [`WireError::OutOfOrder`]; the
    /// stream is of no further use then.
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
