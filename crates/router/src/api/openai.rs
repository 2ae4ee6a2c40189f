//! The JSON bodies of the model routes.

use std::{collections::BTreeSet, sync::Arc};

use axum::{Json, extract::State};
use http::HeaderMap;
use samphirespread_config::model::RouteTarget;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use super::{access, error::ApiError};
use crate::state::Shared;

/// Which of the two model routes was called.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Kind {
    Chat,
    Completion,
}

/// A request body, of either kind.
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
    // All other fields are for the engine.
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
    /// Reads a body.
    ///
    /// # Errors
    ///
    /// A body that is no such JSON, naming place and field.
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

    /// The caller's cap on output tokens.
    pub(crate) fn output_cap(&self) -> Option<u32> {
        self.max_completion_tokens.or(self.max_tokens)
    }

    /// Whether a stream ends with the usage.
    pub(crate) fn wants_usage(&self) -> bool {
        self.stream_options.as_ref().is_some_and(|options| options.include_usage)
    }

    /// The sampling parameters as JSON text, or nothing.
    pub(crate) fn sampling_text(&self) -> String {
        if self.sampling.is_empty() {
            return String::new();
        }
        Value::Object(self.sampling.clone()).to_string()
    }

    /// The prompt as one text.
    ///
    /// # Errors
    ///
    /// A body without prompt, or with parts that are no text.
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
                render(messages)
            }
        }
    }
}

/// Renders messages in their order, so that an equal beginning gives an equal prefix.
fn render(messages: &[Message]) -> Result<String, ApiError> {
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

/// The list of models.
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
