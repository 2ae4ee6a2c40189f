//! The JSON bodies of requests for models, and the list of models.

use std::{collections::BTreeSet, sync::Arc};

use axum::{Json, extract::State};
use http::HeaderMap;
use samphirespread_config::model::RouteTarget;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use super::{access, error::ApiError};
use crate::state::Shared;

/// The kind of a request for a model.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    Chat,
    Completion,
}

/// The body of a request for a model, of either kind.
#[derive(Debug, Deserialize)]
pub(crate) struct GenerateBody {
    pub(crate) model: String,
    #[serde(default)]
    messages: Option<Vec<Message>>,
    #[serde(default)]
    prompt: Option<String>,
    #[serde(default)]
    pub(crate) stream: bool,
    #[serde(default)]
    stream_options: Option<StreamOptions>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    n: Option<u32>,
    // All other fields are passed on to the engine.
    #[serde(flatten)]
    sampling: Map<String, Value>,
}

#[derive(Debug, Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

#[derive(Debug, Deserialize)]
struct Message {
    role: String,
    #[serde(default)]
    content: Option<Content>,
}

#[derive(Debug, Deserialize)]
#[serde(untagged)]
enum Content {
    Text(String),
    Parts(Vec<Part>),
}

#[derive(Debug, Deserialize)]
struct Part {
    #[serde(rename = "type")]
    kind: String,
    #[serde(default)]
    text: Option<String>,
}

impl GenerateBody {
    /// Parses a body.
    ///
    /// # Errors
    ///
    /// Fails if the body is not valid JSON of this format, with the position and the field, or if a
    /// value is not allowed.
    pub(crate) fn parse(bytes: &[u8]) -> Result<Self, ApiError> {
        let body: Self = serde_json::from_slice(bytes)
            .map_err(|error| ApiError::invalid(format!("the body can't be read: {error}")))?;
        if body.n.is_some_and(|n| n != 1) {
            return Err(ApiError::invalid("n must be 1"));
        }
        if body.output_cap() == Some(0) {
            return Err(ApiError::invalid("max_tokens must be at least 1"));
        }
        Ok(body)
    }

    /// Returns the caller's limit on output tokens.
    pub(crate) fn output_cap(&self) -> Option<u32> {
        self.max_completion_tokens.or(self.max_tokens)
    }

    /// Returns whether the caller wants the token usage at the end of a stream.
    pub(crate) fn wants_usage(&self) -> bool {
        self.stream_options.as_ref().is_some_and(|options| options.include_usage)
    }

    /// Returns the sampling parameters as JSON text, or an empty string if there are none.
    pub(crate) fn sampling_text(&self) -> String {
        if self.sampling.is_empty() {
            return String::new();
        }
        Value::Object(self.sampling.clone()).to_string()
    }

    /// Returns the prompt as one text.
    ///
    /// # Errors
    ///
    /// Fails if the body has no prompt or has message parts that are not text.
    pub(crate) fn prompt(&self, kind: Kind) -> Result<String, ApiError> {
        match kind {
            Kind::Completion => {
                self.prompt.clone().ok_or_else(|| ApiError::invalid("prompt must be a string"))
            }
            Kind::Chat => {
                let messages = self.messages.as_deref().unwrap_or_default();
                if messages.is_empty() {
                    return Err(ApiError::invalid("messages must hold at least one message"));
                }
                render_messages(messages)
            }
        }
    }
}

/// Renders messages in order, so that conversations with the same first messages have the same
/// prompt prefix.
fn render_messages(messages: &[Message]) -> Result<String, ApiError> {
    let mut prompt = String::new();
    for (index, message) in messages.iter().enumerate() {
        prompt.push_str("<|");
        prompt.push_str(&message.role);
        prompt.push_str("|>\n");
        match &message.content {
            None => {}
            Some(Content::Text(text)) => prompt.push_str(text),
            Some(Content::Parts(parts)) => {
                for part in parts {
                    let text = part.text.as_deref().filter(|_| part.kind == "text");
                    prompt.push_str(text.ok_or_else(|| {
                        ApiError::invalid(format!("messages[{index}].content must be text"))
                    })?);
                }
            }
        }
        prompt.push('\n');
    }
    prompt.push_str("<|assistant|>\n");
    Ok(prompt)
}

/// The JSON body of the list of models.
#[derive(Debug, Serialize)]
pub(crate) struct ModelList {
    object: &'static str,
    data: Vec<ModelEntry>,
}

#[derive(Debug, Serialize)]
struct ModelEntry {
    id: String,
    object: &'static str,
    owned_by: &'static str,
}

/// Lists the models that the caller may use.
pub(crate) async fn models(
    State(shared): State<Arc<Shared>>,
    headers: HeaderMap,
) -> Result<Json<ModelList>, ApiError> {
    let snapshot = access::fresh_snapshot(&shared).await?;
    let caller = access::authenticate(&snapshot, &headers)?;
    let names: BTreeSet<&str> = snapshot
        .config()
        .routes
        .iter()
        .filter(|route| route.admits(caller.as_ref()))
        .filter_map(|route| match &route.target {
            RouteTarget::Model { model, .. } => Some(model.as_str()),
            RouteTarget::Service { .. } => None,
        })
        .collect();
    let entry =
        |id: &str| ModelEntry { id: id.to_owned(), object: "model", owned_by: "samphirespread" };
    Ok(Json(ModelList { object: "list", data: names.into_iter().map(entry).collect() }))
}
