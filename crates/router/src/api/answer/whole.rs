//! Answers that are sent as one JSON body instead of a stream.

use axum::{
    Json,
    response::{IntoResponse, Response},
};
use samphirespread_core::prelude::*;
use samphirespread_wire::message::Finished;
use serde_json::json;

use super::{Meter, finish_reason, usage};
use crate::{
    api::{error::ApiError, openai::Kind},
    run::{Piece, Receiver},
};

/// Collects all pieces and responds once the answer is complete.
pub(super) async fn collect(
    first: Piece,
    mut pieces: Receiver,
    kind: Kind,
    id: RequestId,
    model: &str,
    mut meter: Meter,
) -> Result<Response, ApiError> {
    let mut text = String::new();
    let mut next = Some(first);
    while let Some(piece) = next {
        match piece {
            Piece::Lines(lines) => lines.iter().for_each(|line| text.push_str(&line.text)),
            Piece::End(ending) => {
                let error = ApiError::from_outcome(&ending.outcome);
                meter.end(&ending, error.as_ref().map_or("ok", |error| error.code));
                return match error {
                    Some(error) => Err(error),
                    None => Ok(response(kind, id, model, &text, &ending.finished)),
                };
            }
            Piece::Head(_) | Piece::Body(_) => {}
        }
        next = pieces.recv().await;
        if let Some(piece) = &next {
            meter.record_piece(piece);
        }
    }
    Err(ApiError::draining())
}

fn response(kind: Kind, id: RequestId, model: &str, text: &str, finished: &Finished) -> Response {
    let reason = finish_reason(finished);
    let body = match kind {
        Kind::Chat => json!({
            "id": format!("chatcmpl-{id}"),
            "object": "chat.completion",
            "model": model,
            "choices": [{
                "index": 0,
                "message": { "role": "assistant", "content": text },
                "finish_reason": reason,
            }],
            "usage": usage(finished),
        }),
        Kind::Completion => json!({
            "id": format!("cmpl-{id}"),
            "object": "text_completion",
            "model": model,
            "choices": [{ "index": 0, "text": text, "finish_reason": reason }],
            "usage": usage(finished),
        }),
    };
    Json(body).into_response()
}
