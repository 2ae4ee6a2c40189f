//! Runs an attempt on a model engine and relays the output lines.

use std::{sync::Arc, time::Duration};

use samphirespread_core::prelude::*;
use samphirespread_engine::{
    EngineError, Lines,
    api::{FinishReason, StartStream, StreamLine, Usage},
};
use samphirespread_wire::message::{Failed, Finished, ModelWork, NotRunReason, Output, Reply, Run};
use slog::debug;

use crate::{
    engine_tracker::EngineEvent,
    journal::Line,
    shared::{AttemptHandle, Outcome, Shared, failed},
};

/// Maximum number of consecutive resumptions of a lost stream that bring no new line.
const MAX_RESUMES_WITHOUT_LINE: u32 = 5;

const RESUME_DELAY_MS: u64 = 50;

/// Maximum number of cancel requests to the engine for one stream.
const MAX_CANCEL_REQUESTS: u32 = 3;

/// Runs the attempt to its end.
pub(crate) async fn run(
    shared: &Arc<Shared>,
    run: &Run,
    work: &ModelWork,
    missing_tokens: u64,
    handle: &AttemptHandle,
) -> Outcome {
    let mut relay = Relay {
        shared,
        handle,
        stream: run.attempt.to_string(),
        started_at: shared.clock.now(),
        missing_tokens,
        is_prefilling: true,
        tokens: 0,
    };
    let start = start_stream(run, work);
    let started = tokio::select! {
        started = shared.engine.start(&start) => started,
        () = handle.cancel.cancelled() => {
            shared.mark_may_have_run(handle.id);
            return relay.cancel(work).await;
        }
    };
    match started {
        Err(error) if !error.may_have_run() => {
            debug!(shared.log, "engine refused an attempt"; "error" => %error);
            Outcome::NotRun(refusal_reason(shared, &error))
        }
        started => {
            shared.mark_may_have_run(handle.id);
            relay.follow(started, work).await
        }
    }
}

fn start_stream(run: &Run, work: &ModelWork) -> StartStream {
    StartStream {
        id: run.attempt.to_string(),
        fence: run.fence,
        model: work.model.clone(),
        version: work.version.clone(),
        cache_salt: work.cache_salt.clone(),
        priority: run.priority,
        prompt: work.prompt.clone(),
        max_output_tokens: work.max_output_tokens,
        sampling: work.sampling.clone(),
        block_keys: work.blocks.clone(),
        block_bytes: work.block_bytes,
    }
}

/// Returns the reason why the engine certainly did not begin the attempt.
fn refusal_reason(shared: &Arc<Shared>, error: &EngineError) -> NotRunReason {
    match error {
        EngineError::Unreachable { .. } => {
            shared.engine_event(EngineEvent::Unreachable);
            NotRunReason::EngineDown
        }
        EngineError::Busy => NotRunReason::Busy,
        EngineError::Cancelled | EngineError::Fenced => NotRunReason::Unknown,
        _ => NotRunReason::EngineDown,
    }
}

/// Relays one stream of the engine into the journal of an attempt.
struct Relay<'a> {
    shared: &'a Arc<Shared>,
    handle: &'a AttemptHandle,
    stream: String,
    started_at: MonoTime,
    missing_tokens: u64,
    is_prefilling: bool,
    tokens: u64,
}

/// Why a connection to the engine's stream has ended.
enum ConnectionEnd {
    /// The stream has ended.
    Ended(Outcome),
    /// The connection was lost; the stream may continue.
    Lost,
    /// The engine is unreachable or its stream has failed.
    StreamFailed(String),
    /// Nobody wants the answer any more.
    Cancelled,
}

impl Relay<'_> {
    /// Reads the stream to its end, and resumes it on a new connection when one is lost.
    async fn follow(
        &mut self,
        started: Result<Lines<StreamLine>, EngineError>,
        work: &ModelWork,
    ) -> Outcome {
        let mut connection = started;
        let mut resumes = 0;
        loop {
            let seq_before = self.handle.next_seq();
            let end = match connection {
                Ok(mut lines) => self.read(&mut lines).await,
                Err(error) => self.classify_error(&error),
            };
            match end {
                ConnectionEnd::Ended(outcome) => return outcome,
                ConnectionEnd::StreamFailed(message) => return self.fail(work, message),
                ConnectionEnd::Cancelled => return self.cancel(work).await,
                ConnectionEnd::Lost => {}
            }
            if self.handle.next_seq() > seq_before {
                resumes = 0;
            }
            resumes += 1;
            if resumes > MAX_RESUMES_WITHOUT_LINE || !self.shared.lock().engine.takes_work() {
                cancel_in_background(self.shared, &self.stream);
                return self.fail(work, "the engine's stream was lost".to_owned());
            }
            tokio::time::sleep(Duration::from_millis(RESUME_DELAY_MS)).await;
            self.shared.metrics.count_engine_resume();
            connection = self.shared.engine.resume(&self.stream, self.handle.next_seq()).await;
        }
    }

    fn classify_error(&self, error: &EngineError) -> ConnectionEnd {
        match error {
            EngineError::Unreachable { .. } => {
                self.shared.engine_event(EngineEvent::Unreachable);
                ConnectionEnd::StreamFailed(error.to_string())
            }
            error if error.may_have_run() => ConnectionEnd::Lost,
            error => ConnectionEnd::StreamFailed(error.to_string()),
        }
    }

    /// Reads lines until the connection ends.
    async fn read(&mut self, lines: &mut Lines<StreamLine>) -> ConnectionEnd {
        loop {
            let line = tokio::select! {
                line = lines.next() => line,
                () = self.handle.cancel.cancelled() => return ConnectionEnd::Cancelled,
            };
            match line {
                Ok(Some(line)) => {
                    if let Some(end) = self.relay_line(line).await {
                        return end;
                    }
                }
                Ok(None) => return ConnectionEnd::Lost,
                Err(error) => return self.classify_error(&error),
            }
        }
    }

    /// Adds one line to the journal. Lines that it already has are skipped; a gap ends the
    /// connection.
    async fn relay_line(&mut self, line: StreamLine) -> Option<ConnectionEnd> {
        let next_seq = self.handle.next_seq();
        match line {
            StreamLine::Started { incarnation } => {
                self.shared.engine_event(EngineEvent::Answered(incarnation));
                None
            }
            StreamLine::Output { seq, .. } if seq < next_seq => None,
            StreamLine::Output { seq, text, tokens } if seq == next_seq => {
                self.end_prefill();
                self.tokens += u64::from(tokens);
                let line = Line::Output(Output { seq, text, tokens });
                tokio::select! {
                    () = self.handle.push(line) => None,
                    () = self.handle.cancel.cancelled() => Some(ConnectionEnd::Cancelled),
                }
            }
            StreamLine::Output { .. } => Some(ConnectionEnd::Lost),
            StreamLine::Finished { reason: FinishReason::Cancelled, .. } => {
                Some(ConnectionEnd::StreamFailed("the engine cancelled the stream".to_owned()))
            }
            StreamLine::Finished { seq, reason, usage } if seq == next_seq => {
                Some(ConnectionEnd::Ended(self.finish(seq, reason, &usage)))
            }
            StreamLine::Finished { .. } => Some(ConnectionEnd::Lost),
            StreamLine::Failed { message } => Some(ConnectionEnd::StreamFailed(message)),
        }
    }

    fn finish(&mut self, length: u64, reason: FinishReason, usage: &Usage) -> Outcome {
        self.end_prefill();
        self.shared.metrics.count_prompt(usage.prompt_tokens, usage.cached_tokens);
        let finished = Finished {
            length,
            hit_cap: reason == FinishReason::Length,
            prompt_tokens: usage.prompt_tokens,
            cached_tokens: usage.cached_tokens,
            output_tokens: usage.output_tokens,
        };
        let tokens = usage.prompt_tokens + usage.output_tokens;
        Outcome::Ended { reply: Reply::Finished(finished), tokens }
    }

    fn end_prefill(&mut self) {
        if !self.is_prefilling {
            return;
        }
        self.is_prefilling = false;
        let first_token_us = self.shared.clock.now().us_since(self.started_at);
        self.shared.end_prefill(self.missing_tokens, Some(first_token_us));
    }

    fn fail(&mut self, work: &ModelWork, message: String) -> Outcome {
        debug!(self.shared.log, "attempt failed at the engine"; "error" => &message);
        Outcome::Ended { reply: failed(message), tokens: work.prompt_tokens + self.tokens }
    }

    /// Cancels the stream at the engine. The engine then also refuses a stream whose start request
    /// arrives later.
    async fn cancel(&mut self, work: &ModelWork) -> Outcome {
        cancel_stream(self.shared, &self.stream).await;
        let message = "the attempt was cancelled".to_owned();
        let reply = Reply::Failed(Failed { may_have_run: true, message });
        Outcome::Ended { reply, tokens: work.prompt_tokens + self.tokens }
    }
}

/// Cancels an abandoned stream in the background, so that an engine that becomes reachable again
/// doesn't continue it.
pub(crate) fn cancel_in_background(shared: &Arc<Shared>, stream: &str) {
    let (owned, stream) = (Arc::clone(shared), stream.to_owned());
    shared.tasks.spawn(async move { cancel_stream(&owned, &stream).await });
}

async fn cancel_stream(shared: &Shared, stream: &str) {
    for _ in 0..MAX_CANCEL_REQUESTS {
        match shared.engine.cancel(stream).await {
            Err(error) if error.may_have_run() => {}
            _ => return,
        }
    }
}

impl Drop for Relay<'_> {
    /// Removes the prompt from the prefill backlog if there was no first output.
    fn drop(&mut self) {
        if self.is_prefilling {
            self.shared.end_prefill(self.missing_tokens, None);
        }
    }
}
