//! What a load is sent to.

use std::{collections::HashMap, time::Instant};

use samphirespread_core::prelude::*;
use samphirespread_engine::{
    EngineClient, EngineClientConfig, EngineError,
    api::{StartStream, StreamLine},
};
use samphirespread_prefix::PrefixHasher;
use samphirespread_standin::caller::{Caller, CallerError, CompletionEvent, CompletionRequest};

use super::{
    TraceRecord,
    collect::{Ending, Sample},
    prompt::prompt,
};

/// Where requests go.
#[derive(Clone, Debug)]
pub enum Target {
    /// Through a router.
    Router(Box<RouterTarget>),
    /// Straight to an engine.
    Engine(EngineTarget),
}

/// A router, with the keys of the teams.
#[derive(Clone, Debug)]
pub struct RouterTarget {
    anonymous: Caller,
    callers: HashMap<String, Caller>,
}

/// An engine, called as an agent would.
#[derive(Clone, Debug)]
pub struct EngineTarget {
    client: EngineClient,
    version: WeightsVersion,
}

/// Follows one request while it runs.
struct Watch {
    sample: Sample,
    sent: Instant,
    last: Option<Instant>,
}

impl RouterTarget {
    /// The router at `IP:port`.
    pub fn new(address: &str) -> Self {
        Self { anonymous: Caller::new(address), callers: HashMap::new() }
    }

    /// Shows a key for a team's requests.
    #[must_use]
    pub fn key(mut self, team: &str, key: &str) -> Self {
        self.callers.insert(team.to_owned(), self.anonymous.clone().key(key));
        self
    }

    async fn run(&self, record: &TraceRecord, text: &str, watch: &mut Watch) {
        let caller = self.callers.get(&record.team).unwrap_or(&self.anonymous);
        let request = CompletionRequest::new(&record.model, text, record.max_output_tokens);
        watch.start();
        let ending = match caller.start(&request.with_usage()).await {
            Ok(mut completion) => loop {
                match completion.next().await {
                    Ok(Some(event)) => watch.event(event),
                    Ok(None) => break None,
                    Err(error) => break Some(failure(&error)),
                }
            },
            Err(error) => Some(failure(&error)),
        };
        if let Some(ending) = ending {
            watch.sample.ending = ending;
        }
    }
}

fn failure(error: &CallerError) -> Ending {
    let code = match error {
        CallerError::Unreachable(_) => "unreachable",
        CallerError::Lost(_) => "lost",
        _ => "malformed",
    };
    Ending::Failed { code: code.to_owned() }
}

impl EngineTarget {
    /// The engine at `IP:port`, which serves this version.
    pub fn new(address: &str, version: &str) -> Self {
        let client = EngineClient::new(EngineClientConfig::new(address));
        Self { client, version: WeightsVersion::new(version) }
    }

    async fn run(&self, record: &TraceRecord, serial: usize, text: &str, watch: &mut Watch) {
        let start = self.start_of(record, serial, text);
        watch.start();
        let mut lines = match self.client.start(&start).await {
            Ok(lines) => lines,
            Err(error) => return watch.engine_failed(&error),
        };
        loop {
            match lines.next().await {
                Ok(Some(StreamLine::Output { .. })) => watch.piece(),
                Ok(Some(StreamLine::Finished { usage, .. })) => {
                    watch.event(CompletionEvent::Usage(usage));
                    watch.sample.ending = Ending::Complete;
                }
                Ok(Some(_)) => {}
                Ok(None) => return,
                Err(error) => return watch.engine_failed(&error),
            }
        }
    }

    fn start_of(&self, record: &TraceRecord, serial: usize, text: &str) -> StartStream {
        let team = TeamName::new(&record.team);
        let model = ModelName::new(&record.model);
        let hasher = PrefixHasher::new(&team, &model, &self.version);
        StartStream {
            id: format!("direct-{serial}.0"),
            fence: FencingNumber(1),
            model,
            version: self.version.clone(),
            cache_salt: hasher.cache_salt().to_owned(),
            priority: 0,
            prompt: text.to_owned(),
            max_output_tokens: record.max_output_tokens,
            sampling: String::new(),
            block_keys: hasher.blocks(text.as_bytes()),
            block_bytes: samphirespread_prefix::DEFAULT_BLOCK_BYTES,
        }
    }
}

impl Target {
    /// Runs one request to its end.
    pub(crate) async fn run(
        &self,
        target: usize,
        record: &TraceRecord,
        serial: usize,
        block_bytes: usize,
    ) -> Sample {
        let text = prompt(record, serial, block_bytes);
        let mut watch = Watch::new(target, record);
        match self {
            Self::Router(router) => router.run(record, &text, &mut watch).await,
            Self::Engine(engine) => engine.run(record, serial, &text, &mut watch).await,
        }
        watch.sample
    }
}

impl Watch {
    fn new(target: usize, record: &TraceRecord) -> Self {
        Self { sample: Sample::new(target, record), sent: Instant::now(), last: None }
    }

    fn start(&mut self) {
        self.sent = Instant::now();
        self.sample.sent_at = self.sent;
    }

    fn piece(&mut self) {
        let now = Instant::now();
        match self.last {
            None => self.sample.first_token_us = Some(micros(self.sent, now)),
            Some(last) => self.sample.gaps_us.push(micros(last, now)),
        }
        self.last = Some(now);
        self.sample.pieces += 1;
    }

    fn event(&mut self, event: CompletionEvent) {
        match event {
            CompletionEvent::Text(_) => self.piece(),
            CompletionEvent::Usage(usage) => self.sample.usage = usage,
            CompletionEvent::Done => self.sample.ending = Ending::Complete,
            CompletionEvent::Refused(refusal) => {
                let (code, not_run) = (refusal.code, refusal.not_run);
                self.sample.ending = Ending::Refused { code, not_run };
            }
            CompletionEvent::Finished { .. } => {}
        }
    }

    fn engine_failed(&mut self, error: &EngineError) {
        self.sample.ending = Ending::Failed { code: format!("engine: {error}") };
    }
}

fn micros(from: Instant, to: Instant) -> u64 {
    u64::try_from(to.duration_since(from).as_micros()).unwrap_or(u64::MAX)
}
