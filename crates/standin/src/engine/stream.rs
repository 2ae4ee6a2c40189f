//! One stream as its readers see it.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use samphirespread_core::prelude::*;
use samphirespread_engine::api::{FinishReason, StartStream, Usage};
use tokio::sync::watch;

use super::cache::PromptBlock;
use crate::text::{Continuation, WORD_BYTES, prompt_tokens};

/// The end of a stream.
#[derive(Clone, Debug)]
pub(super) enum End {
    Finished { reason: FinishReason, usage: Usage },
    Failed { message: String },
}

/// What readers read.
#[derive(Debug)]
pub(super) struct Output {
    pub(super) words: Vec<[u8; WORD_BYTES]>,
    pub(super) end: Option<End>,
    readers: usize,
    /// When the last reader left.
    left_at: Instant,
}

/// A stream that readers follow while the scheduler writes it.
#[derive(Debug)]
pub(super) struct Stream {
    pub(super) id: Arc<str>,
    pub(super) incarnation: Incarnation,
    output: Mutex<Output>,
    changed: watch::Sender<()>,
}

impl Stream {
    pub(super) fn new(id: Arc<str>, incarnation: Incarnation) -> Arc<Self> {
        let output = Output { words: Vec::new(), end: None, readers: 0, left_at: Instant::now() };
        let (changed, _) = watch::channel(());
        Arc::new(Self { id, incarnation, output: Mutex::new(output), changed })
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Output> {
        self.output.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn subscribe(&self) -> watch::Receiver<()> {
        self.changed.subscribe()
    }

    pub(super) fn push(&self, word: [u8; WORD_BYTES]) {
        self.lock().words.push(word);
        self.changed.send_replace(());
    }

    /// Ends the stream unless it has ended.
    pub(super) fn end(&self, end: End) {
        self.lock().end.get_or_insert(end);
        self.changed.send_replace(());
    }

    pub(super) fn ended(&self) -> bool {
        self.lock().end.is_some()
    }

    /// Whether nobody has read for so long that the stream may go.
    pub(super) fn abandoned(&self, now: Instant, linger_ms: u64) -> bool {
        let output = self.lock();
        output.readers == 0
            && now.saturating_duration_since(output.left_at).as_millis() >= u128::from(linger_ms)
    }

    pub(super) fn reader_came(&self) {
        self.lock().readers += 1;
    }

    pub(super) fn reader_left(&self) {
        let mut output = self.lock();
        output.readers -= 1;
        output.left_at = Instant::now();
    }
}

/// The work behind a stream.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) stream: Arc<Stream>,
    pub(super) salt: Arc<str>,
    pub(super) model: ModelName,
    pub(super) version: WeightsVersion,
    pub(super) priority: u8,
    pub(super) blocks: Vec<PromptBlock>,
    pub(super) block_tokens: u64,
    pub(super) max_output_tokens: u64,
    pub(super) usage: Usage,
    pub(super) text: Continuation,
    /// Prompt tokens computed or reused so far.
    pub(super) ready_tokens: u64,
    /// Blocks of the prompt that were reused or put into the cache.
    pub(super) stored_blocks: usize,
    /// What the step that runs now does for the job.
    pub(super) planned: Planned,
}

/// What a step does for a job.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Planned {
    #[default]
    Nothing,
    Prefill {
        tokens: u64,
    },
    Decode,
}

impl Job {
    pub(super) fn new(start: &StartStream, stream: Arc<Stream>) -> Self {
        let usage = Usage { prompt_tokens: prompt_tokens(&start.prompt), ..Usage::default() };
        Self {
            stream,
            salt: Arc::from(start.cache_salt.as_str()),
            model: start.model.clone(),
            version: start.version.clone(),
            priority: start.priority,
            blocks: prompt_blocks(start),
            block_tokens: u64::from(start.block_bytes) / WORD_BYTES as u64,
            max_output_tokens: u64::from(start.max_output_tokens),
            usage,
            text: Continuation::new(&start.prompt),
            ready_tokens: 0,
            stored_blocks: 0,
            planned: Planned::Nothing,
        }
    }

    pub(super) fn missing_tokens(&self) -> u64 {
        self.usage.prompt_tokens.saturating_sub(self.ready_tokens)
    }

    /// Blocks whose last token is ready.
    pub(super) fn ready_blocks(&self) -> usize {
        let whole = self.ready_tokens.checked_div(self.block_tokens).unwrap_or(0);
        usize::try_from(whole).unwrap_or(usize::MAX).min(self.blocks.len())
    }
}

fn prompt_blocks(start: &StartStream) -> Vec<PromptBlock> {
    let block_bytes = usize::try_from(start.block_bytes).unwrap_or(usize::MAX).max(1);
    let mut text_hash = 0;
    let texts = start.prompt.as_bytes().chunks_exact(block_bytes);
    let blocks = texts.zip(&start.block_keys).map(|(text, key)| {
        text_hash = xxhash_rust::xxh3::xxh3_64_with_seed(text, text_hash);
        PromptBlock { key: *key, text_hash }
    });
    blocks.collect()
}
