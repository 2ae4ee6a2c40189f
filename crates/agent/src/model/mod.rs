//! Runs an attempt on a model engine and relays its lines.

use std::{sync::Arc, time::Duration};

use samphirespread_core::prelude::*;
use samphirespread_engine::{
    EngineError, Lines,
    api::{FinishReason, StartStream, StreamLine, Usage},
};
use samphirespread_wire::message::{Failed, Finished, ModelWork, NotRunReason, Output, Reply, Run};
use slog::debug;

use crate::{
    engine_life::EngineEvent,
    journal::Line,
    shared::{Live, Outcome, Shared, failed},
};

/// Times in a row that a lost stream is asked for again without a new line.
const MAX_RESUMES: u32 = 5;

const RESUME_PAUSE_MS: u64 = 50;

/// Times that the engine is asked to cancel a stream.
const MAX_CANCELS: u32 = 3;

/// Runs the attempt to its end.
pub(crate) async fn run(
    shared: &Arc<Shared>,
    run: &Run,
    work: &ModelWork,
    missing_tokens: u64,
    live: &Live,
) -> Outcome {
    let mut relay = Relay {
        shared,
        live,
        stream: run.attempt.to_string(),
        started_at: shared.clock.now(),
        missing_tokens,
        is_prefilling: true,
        tokens: 0,
    };
    let start = start_stream(run, work);
    let started = tokio::select! {
        started = shared.engine.start(&start) => started,
        () = live.cancel.cancelled() => {
            shared.begin(live.id);
            return relay.cancel(work).await;
        }
    };
    match started {
        Err(error) if !error.may_have_run() => {
            debug!(shared.log, "engine refused an attempt"; "error" => %error);
            Outcome::NotRun(refusal(shared, &error))
        }
        started => {
            shared.begin(live.id);
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

/// The reason for an attempt that the engine certainly did not begin.
fn refusal(shared: &Arc<Shared>, error: &EngineError) -> NotRunReason {
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
    live: &'a Live,
    stream: String,
    started_at: MonoTime,
    missing_tokens: u64,
    is_prefilling: bool,
    tokens: u64,
}

/// Why a connection to the engine's stream is over.
enum Break {
    /// The stream has ended.
    Ended(Outcome),
    /// The connection was lost; the stream may go on.
    Lost,
    /// The engine or its stream is gone.
    Gone(String),
    /// Nobody wants the answer any more.
    Cancelled,
}

impl Relay<'_> {
    /// Follows the stream over as many connections as it takes.
    async fn follow(
        &mut self,
        started: Result<Lines<StreamLine>, EngineError>,
        work: &ModelWork,
    ) -> Outcome {
        let mut connection = started;
        let mut resumes = 0;
        loop {
            let seq_before = self.live.next_seq();
            let end = match connection {
                Ok(mut lines) => self.read(&mut lines).await,
                Err(error) => self.classify(&error),
            };
            match end {
                Break::Ended(outcome) => return outcome,
                Break::Gone(message) => return self.fail(work, message),
                Break::Cancelled => return self.cancel(work).await,
                Break::Lost => {}
            }
            if self.live.next_seq() > seq_before {
                resumes = 0;
            }
            resumes += 1;
            if resumes > MAX_RESUMES || !self.shared.lock().engine.takes_work() {
                self.cancel_later();
                return self.fail(work, "the engine's stream was lost".to_owned());
            }
            tokio::time::sleep(Duration::from_millis(RESUME_PAUSE_MS)).await;
            self.shared.metrics.count_engine_resume();
            connection = self.shared.engine.resume(&self.stream, self.live.next_seq()).await;
        }
    }

    fn classify(&self, error: &EngineError) -> Break {
        match error {
            EngineError::Unreachable { .. } => {
                self.shared.engine_event(EngineEvent::Unreachable);
                Break::Gone(error.to_string())
            }
            error if error.may_have_run() => Break::Lost,
            error => Break::Gone(error.to_string()),
        }
    }

    /// Reads one connection to its end.
    async fn read(&mut self, lines: &mut Lines<StreamLine>) -> Break {
        loop {
            let line = tokio::select! {
                line = lines.next() => line,
                () = self.live.cancel.cancelled() => return Break::Cancelled,
            };
            match line {
                Ok(Some(line)) => {
                    if let Some(end) = self.take(line).await {
                        return end;
                    }
                }
                Ok(None) => return Break::Lost,
                Err(error) => return self.classify(&error),
            }
        }
    }

    /// Takes in one line. Lines that are known are skipped; a gap ends the connection.
    async fn take(&mut self, line: StreamLine) -> Option<Break> {
        let next_seq = self.live.next_seq();
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
                    () = self.live.push(line) => None,
                    () = self.live.cancel.cancelled() => Some(Break::Cancelled),
                }
            }
            StreamLine::Output { .. } => Some(Break::Lost),
            StreamLine::Finished { reason: FinishReason::Cancelled, .. } => {
                Some(Break::Gone("the engine cancelled the stream".to_owned()))
            }
            StreamLine::Finished { seq, reason, usage } if seq == next_seq => {
                Some(Break::Ended(self.finish(seq, reason, &usage)))
            }
            StreamLine::Finished { .. } => Some(Break::Lost),
            StreamLine::Failed { message } => Some(Break::Gone(message)),
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

    /// Cancels the stream at the engine, which also bars one that has not arrived there yet.
    async fn cancel(&mut self, work: &ModelWork) -> Outcome {
        cancel_stream(self.shared, &self.stream).await;
        let message = "the attempt was cancelled".to_owned();
        let reply = Reply::Failed(Failed { may_have_run: true, message });
        Outcome::Ended { reply, tokens: work.prompt_tokens + self.tokens }
    }
}

impl Relay<'_> {
    /// Cancels a stream that was given up, so that an engine that comes back doesn't go on with it.
    fn cancel_later(&self) {
        let (shared, stream) = (Arc::clone(self.shared), self.stream.clone());
        self.shared.tasks.spawn(async move { cancel_stream(&shared, &stream).await });
    }
}

async fn cancel_stream(shared: &Shared, stream: &str) {
    for _ in 0..MAX_CANCELS {
        match shared.engine.cancel(stream).await {
            Err(error) if error.may_have_run() => {}
            _ => return,
        }
    }
}

impl Drop for Relay<'_> {
    /// Takes the prompt out of the backlog if no first output did.
    fn drop(&mut self) {
        if self.is_prefilling {
            self.shared.end_prefill(self.missing_tokens, None);
        }
    }
}
