//! The versions of streams that began here, or of which another router has told.

use std::collections::HashMap;

use samphirespread_core::prelude::*;
use serde::{Deserialize, Serialize};

use super::{SoftwareTag, StreamKey};

/// The number of streams that are remembered. Streams beyond it are refused when they are taken up.
const MAX_STREAMS: usize = 100_000;

/// The version of a stream, as routers tell each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownStream {
    /// The stream.
    pub stream: StreamKey,
    /// The version that began it.
    pub version: SoftwareTag,
}

/// The versions of streams.
#[derive(Clone, Debug, Default)]
pub struct StreamVersions {
    known: HashMap<StreamKey, Remembered>,
    /// Streams that began here and of which other routers have yet to be told.
    news: Vec<KnownStream>,
}

#[derive(Clone, Copy, Debug)]
struct Remembered {
    version: SoftwareTag,
    until: MonoTime,
    /// Whether it began here and no other router has been told of it.
    is_untold: bool,
}

impl StreamVersions {
    /// Records that a stream goes on here at a version, for as long as it may be taken up. `is_told`
    /// says whether other routers are to know of it.
    pub fn begin(&mut self, known: KnownStream, until: MonoTime, is_told: bool) {
        if is_told {
            self.news.push(known);
        }
        self.insert(known, Remembered { version: known.version, until, is_untold: !is_told });
    }

    /// Records what another router has told.
    pub fn learn(&mut self, known: KnownStream, until: MonoTime) {
        self.insert(known, Remembered { version: known.version, until, is_untold: false });
    }

    fn insert(&mut self, known: KnownStream, remembered: Remembered) {
        if self.known.len() < MAX_STREAMS || self.known.contains_key(&known.stream) {
            self.known.insert(known.stream, remembered);
        }
    }

    /// Returns the version that began a stream, if it is known.
    pub fn version(&self, stream: StreamKey, now: MonoTime) -> Option<SoftwareTag> {
        self.known.get(&stream).filter(|known| now <= known.until).map(|known| known.version)
    }

    /// Takes the streams of which other routers are to be told now. With `tells_all`, as after a
    /// second version has appeared, these are all that began here and may still be taken up.
    pub fn take_news(&mut self, tells_all: bool, now: MonoTime) -> Vec<KnownStream> {
        let mut news = std::mem::take(&mut self.news);
        if !tells_all {
            return news;
        }
        for (stream, known) in &mut self.known {
            if known.is_untold && now <= known.until {
                known.is_untold = false;
                news.push(KnownStream { stream: *stream, version: known.version });
            }
        }
        news
    }

    /// Forgets the streams that can't be taken up any more.
    pub fn expire(&mut self, now: MonoTime) {
        self.known.retain(|_, known| now <= known.until);
    }

    /// The number of remembered streams.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether no stream is remembered.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}
