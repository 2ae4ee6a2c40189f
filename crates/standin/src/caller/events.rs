//! Streamed answers as server-sent events.

use bytes::{Buf, BytesMut};
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use samphirespread_engine::api::Usage;
use serde::Deserialize;

use super::{CallerError, CompletionAnswer, Refusal, RefusalBody};

const DATA: &[u8] = b"data: ";
const DONE: &[u8] = b"[DONE]";

/// One event of a streamed answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CompletionEvent {
    /// A piece of text.
    Text(String),
    /// Generation ended.
    Finished {
        /// Why.
        reason: String,
    },
    /// The tokens used.
    Usage(Usage),
    /// The request was refused, or its answer ended early.
    Refused(Refusal),
    /// The closing mark.
    Done,
}

#[derive(Debug, Deserialize)]
struct Chunk {
    #[serde(default)]
    choices: Vec<Choice>,
    usage: Option<UsageBody>,
}

#[derive(Debug, Deserialize)]
struct UsageBody {
    prompt_tokens: u64,
    completion_tokens: u64,
    #[serde(default)]
    prompt_tokens_details: PromptDetails,
}

#[derive(Debug, Default, Deserialize)]
struct PromptDetails {
    #[serde(default)]
    cached_tokens: u64,
}

#[derive(Debug, Deserialize)]
struct Choice {
    #[serde(default)]
    text: String,
    finish_reason: Option<String>,
}

/// A completion that is being read.
#[derive(Debug)]
pub struct Completion {
    status: u16,
    streamed: bool,
    body: Incoming,
    received: BytesMut,
    scanned: usize,
    pending: Option<CompletionEvent>,
}

impl Completion {
    pub(super) fn new(response: Response<Incoming>) -> Self {
        let kind = response.headers().get(http::header::CONTENT_TYPE);
        let streamed = kind.is_some_and(|kind| kind.as_bytes().starts_with(b"text/event-stream"));
        Self {
            status: response.status().as_u16(),
            streamed,
            body: response.into_body(),
            received: BytesMut::new(),
            scanned: 0,
            pending: None,
        }
    }

    /// The HTTP status.
    pub fn status(&self) -> u16 {
        self.status
    }

    /// The next event, or `None` when the answer ended.
    ///
    /// # Errors
    ///
    /// When the connection broke or the answer can't be read.
    pub async fn next(&mut self) -> Result<Option<CompletionEvent>, CallerError> {
        if let Some(event) = self.pending.take() {
            return Ok(Some(event));
        }
        if !self.streamed {
            return self.next_of_whole().await;
        }

        loop {
            while let Some(end) = self.line_end() {
                let line = self.received.split_to(end);
                self.received.advance(1);
                if let Some(event) = self.event(&line)? {
                    return Ok(Some(event));
                }
            }
            if !self.receive().await? {
                return Ok(None);
            }
        }
    }

    /// Reads to the end.
    pub async fn collect(&mut self) -> CompletionAnswer {
        let mut answer = CompletionAnswer { status: self.status, ..CompletionAnswer::default() };
        loop {
            match self.next().await {
                Ok(None) => return answer,
                Ok(Some(CompletionEvent::Text(text))) => {
                    answer.text += &text;
                    answer.pieces += 1;
                }
                Ok(Some(CompletionEvent::Finished { reason })) => {
                    answer.finish_reason = Some(reason);
                }
                Ok(Some(CompletionEvent::Usage(usage))) => answer.usage = Some(usage),
                Ok(Some(CompletionEvent::Refused(refusal))) => answer.refusal = Some(refusal),
                Ok(Some(CompletionEvent::Done)) => answer.done = true,
                Err(error) => {
                    let message = error.to_string();
                    let code = "broken".to_owned();
                    answer.refusal = Some(Refusal { code, message, ..Refusal::default() });
                    return answer;
                }
            }
        }
    }

    /// A whole answer is read as one piece, its end and a closing mark.
    async fn next_of_whole(&mut self) -> Result<Option<CompletionEvent>, CallerError> {
        while self.receive().await? {}
        let body = self.received.split();
        if body.is_empty() {
            return Ok(None);
        }

        if let Ok(refused) = serde_json::from_slice::<RefusalBody>(&body) {
            return Ok(Some(CompletionEvent::Refused(refused.error)));
        }
        let event = self.chunk(&body)?;
        self.streamed = true;
        self.received.extend_from_slice(b"data: [DONE]\n");
        Ok(event)
    }

    async fn receive(&mut self) -> Result<bool, CallerError> {
        match self.body.frame().await {
            None => Ok(false),
            Some(Err(error)) => Err(CallerError::Lost(error.to_string())),
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    self.received.extend_from_slice(data);
                }
                Ok(true)
            }
        }
    }

    fn line_end(&mut self) -> Option<usize> {
        let end = self.received[self.scanned..].iter().position(|byte| *byte == b'\n');
        let Some(end) = end else {
            self.scanned = self.received.len();
            return None;
        };
        let end = self.scanned + end;
        self.scanned = 0;
        Some(end)
    }

    fn event(&mut self, line: &[u8]) -> Result<Option<CompletionEvent>, CallerError> {
        let Some(data) = line.strip_prefix(DATA) else { return Ok(None) };
        if data == DONE {
            return Ok(Some(CompletionEvent::Done));
        }
        if data.starts_with(b"{\"error\"") {
            let body: RefusalBody = serde_json::from_slice(data)
                .map_err(|error| CallerError::Malformed(error.to_string()))?;
            return Ok(Some(CompletionEvent::Refused(body.error)));
        }
        self.chunk(data)
    }

    /// The event of a chunk. A chunk with text and an end makes two.
    fn chunk(&mut self, data: &[u8]) -> Result<Option<CompletionEvent>, CallerError> {
        let chunk: Chunk = serde_json::from_slice(data)
            .map_err(|error| CallerError::Malformed(error.to_string()))?;
        let Some(choice) = chunk.choices.into_iter().next() else {
            return Ok(chunk.usage.as_ref().map(usage_event));
        };
        let finished = choice.finish_reason.map(|reason| CompletionEvent::Finished { reason });
        if choice.text.is_empty() {
            return Ok(finished);
        }
        self.pending = finished;
        Ok(Some(CompletionEvent::Text(choice.text)))
    }
}

fn usage_event(body: &UsageBody) -> CompletionEvent {
    CompletionEvent::Usage(Usage {
        prompt_tokens: body.prompt_tokens,
        cached_tokens: body.prompt_tokens_details.cached_tokens,
        output_tokens: body.completion_tokens,
    })
}
