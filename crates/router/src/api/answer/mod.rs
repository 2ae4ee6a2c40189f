//! Turns the pieces of a model's answer into an HTTP response.

mod meter;
mod whole;

use std::fmt::Write;

use axum::{
    body::{Body, Bytes},
    response::{IntoResponse, Response},
};
use futures_util::stream;
use http::{HeaderValue, header};
use samphirespread_core::prelude::*;
use samphirespread_dispatch::Outcome;
use samphirespread_wire::message::{Finished, Output};

use super::{error::ApiError, openai::Kind};
use crate::run::{Ending, Piece, Receiver};

pub(crate) use self::meter::Meter;

/// The format in which a caller wants its answer.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AnswerStyle {
    pub(crate) kind: Kind,
    pub(crate) stream: bool,
    pub(crate) usage: bool,
}

/// Answers a request for a model. The first piece of the answer determines the HTTP status.
pub(crate) async fn model(
    mut pieces: Receiver,
    style: AnswerStyle,
    id: RequestId,
    model: &str,
    mut meter: Meter,
) -> Result<Response, ApiError> {
    let Some(first) = pieces.recv().await else { return Err(ApiError::draining()) };
    meter.record_piece(&first);
    if let Piece::End(ending) = &first
        && let Some(error) = ApiError::from_outcome(&ending.outcome)
    {
        meter.end(ending, error.code);
        return Err(error);
    }
    if !style.stream {
        return whole::collect(first, pieces, style.kind, id, model, meter).await;
    }
    let events = EventWriter::new(style, id, model);
    let state = StreamState { first: Some(first), pieces, events, meter };
    let body = Body::from_stream(stream::unfold(Some(state), next_chunk));
    let mut response = body.into_response();
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-cache"));
    Ok(response)
}

struct StreamState {
    first: Option<Piece>,
    pieces: Receiver,
    events: EventWriter,
    meter: Meter,
}

type Chunk = Result<Bytes, std::convert::Infallible>;

async fn next_chunk(state: Option<StreamState>) -> Option<(Chunk, Option<StreamState>)> {
    let mut state = state?;
    let piece = match state.first.take() {
        Some(first) => first,
        None => {
            let piece = state.pieces.recv().await?;
            state.meter.record_piece(&piece);
            piece
        }
    };
    let mut text = String::new();
    match piece {
        Piece::Lines(lines) => {
            for line in &lines {
                state.events.output(line, &mut text);
            }
            Some((Ok(text.into()), Some(state)))
        }
        Piece::End(ending) => {
            let code = state.events.end(&ending, &mut text);
            state.meter.end(&ending, code);
            Some((Ok(text.into()), None))
        }
        // Only plain services send these pieces.
        Piece::Head(_) | Piece::Body(_) => Some((Ok(Bytes::new()), Some(state))),
    }
}

/// Writes server-sent events. Text that is the same in all events is built once.
struct EventWriter {
    style: AnswerStyle,
    before_text: String,
    before_finish: String,
}

impl EventWriter {
    fn new(style: AnswerStyle, id: RequestId, model: &str) -> Self {
        let (prefix, object) = match style.kind {
            Kind::Chat => ("chatcmpl", "chat.completion.chunk"),
            Kind::Completion => ("cmpl", "text_completion"),
        };
        let model = serde_json::Value::from(model);
        let before_finish =
            format!("data: {{\"id\":\"{prefix}-{id}\",\"object\":\"{object}\",\"model\":{model},");
        let opening = match style.kind {
            Kind::Chat => "\"choices\":[{\"index\":0,\"delta\":{\"content\":",
            Kind::Completion => "\"choices\":[{\"index\":0,\"text\":",
        };
        Self { style, before_text: format!("{before_finish}{opening}"), before_finish }
    }

    fn output(&self, line: &Output, into: &mut String) {
        into.push_str(&self.before_text);
        push_json_text(&line.text, into);
        into.push_str(match self.style.kind {
            Kind::Chat => "},\"finish_reason\":null}]}\n\n",
            Kind::Completion => ",\"finish_reason\":null}]}\n\n",
        });
    }

    /// Writes the events at the end of an answer and returns the code for metrics.
    fn end(&self, ending: &Ending, into: &mut String) -> &'static str {
        if let Some(error) = ApiError::from_outcome(&ending.outcome) {
            let body = serde_json::json!(error.body());
            push_formatted(into, format_args!("event: error\ndata: {body}\n\n"));
            return error.code;
        }
        if ending.outcome == Outcome::Abandoned {
            return "abandoned";
        }
        let reason = finish_reason(&ending.finished);
        let choice = match self.style.kind {
            Kind::Chat => format!("{{\"index\":0,\"delta\":{{}},\"finish_reason\":\"{reason}\"}}"),
            Kind::Completion => {
                format!("{{\"index\":0,\"text\":\"\",\"finish_reason\":\"{reason}\"}}")
            }
        };
        push_formatted(into, format_args!("{}\"choices\":[{choice}]}}\n\n", self.before_finish));
        if self.style.usage {
            let usage = usage(&ending.finished);
            let before = &self.before_finish;
            push_formatted(into, format_args!("{before}\"choices\":[],\"usage\":{usage}}}\n\n"));
        }
        into.push_str("data: [DONE]\n\n");
        "ok"
    }
}

/// Returns the token usage of a complete answer as JSON.
fn usage(finished: &Finished) -> serde_json::Value {
    serde_json::json!({
        "prompt_tokens": finished.prompt_tokens,
        "completion_tokens": finished.output_tokens,
        "total_tokens": finished.prompt_tokens + finished.output_tokens,
        "prompt_tokens_details": { "cached_tokens": finished.cached_tokens },
    })
}

fn finish_reason(finished: &Finished) -> &'static str {
    if finished.hit_cap { "length" } else { "stop" }
}

fn push_json_text(text: &str, into: &mut String) {
    // Most output contains no character that JSON escapes.
    if text.bytes().all(|byte| byte >= b' ' && byte != b'"' && byte != b'\\') {
        into.push('"');
        into.push_str(text);
        into.push('"');
        return;
    }
    push_formatted(into, format_args!("{}", serde_json::Value::from(text)));
}

fn push_formatted(into: &mut String, line: std::fmt::Arguments<'_>) {
    // Writing to a string can't fail.
    let _ = into.write_fmt(line);
}
