//! Compresses configurations for other routers.
//!
//! A configuration of thousands of routes takes seconds on a slow link and is alike from one route to
//! the next. The work is done in steps with pauses, as requests share the processor.

use std::io::{self, Read, Write};

use bytes::Bytes;
use displaydoc::Display;
use flate2::{Compression, read::GzDecoder, write::GzEncoder};
use tokio::task::yield_now;

/// Bytes of a configuration that are processed in one step.
const STEP_BYTES: usize = 32 * 1024;
/// The largest accepted configuration.
const MAX_CONFIGURATION_BYTES: usize = 64 * 1024 * 1024;

/// Why a compressed configuration can't be used.
#[derive(Debug, Display)]
pub(crate) enum UnpackError {
    /// not compressed as expected: {0}
    Malformed(io::Error),
    /// more than {max_bytes} bytes
    TooLarge {
        /// The limit.
        max_bytes: usize,
    },
}

impl std::error::Error for UnpackError {}

/// Compresses a configuration.
pub(crate) async fn pack(configuration: &[u8]) -> Bytes {
    let mut encoder = GzEncoder::new(Vec::new(), Compression::fast());
    for step in configuration.chunks(STEP_BYTES) {
        // Writing to a vector can't fail.
        let _ = encoder.write_all(step);
        yield_now().await;
    }
    encoder.finish().unwrap_or_default().into()
}

/// Decompresses what [`pack`] returned.
pub(crate) async fn unpack(packed: &[u8]) -> Result<Bytes, UnpackError> {
    let mut decoder = GzDecoder::new(packed);
    let mut configuration = Vec::new();
    loop {
        let limit = u64::try_from(STEP_BYTES).unwrap_or(u64::MAX);
        let step = decoder.by_ref().take(limit).read_to_end(&mut configuration);
        if step.map_err(UnpackError::Malformed)? == 0 {
            return Ok(configuration.into());
        }
        if configuration.len() > MAX_CONFIGURATION_BYTES {
            return Err(UnpackError::TooLarge { max_bytes: MAX_CONFIGURATION_BYTES });
        }
        yield_now().await;
    }
}
