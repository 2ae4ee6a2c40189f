//! What callers send, and what they read in an answer's head.

use bytes::Bytes;
use http::{HeaderMap, Request, header};
use http_body_util::Full;

use super::worker::{NOT_RUN, REQUEST_ID};

/// A request of a caller.
#[derive(Clone, Copy, Debug)]
pub struct Ask<'a> {
    /// Its id, which no other request has.
    pub id: &'a str,
    /// The host that it asks for.
    pub host: &'a str,
    /// The path.
    pub path: &'a str,
    /// The caller's key.
    pub key: &'a str,
    /// How long the caller waits.
    pub deadline_ms: u64,
    /// What it asks of an engine.
    pub generation: Option<Generation<'a>>,
    /// The body.
    pub body: &'a str,
}

/// What a request asks of an engine.
#[derive(Clone, Copy, Debug)]
pub struct Generation<'a> {
    /// The model.
    pub model: &'a str,
    /// Prompt tokens, and output tokens at the most.
    pub tokens: (u64, u64),
    /// The part of the prompt that other requests share, and its tokens.
    pub shared_part: (&'a str, u64),
}

impl Ask<'_> {
    /// The request as it is sent.
    ///
    /// # Panics
    ///
    /// When a part can't stand in a request.
    pub fn request(&self) -> Request<Full<Bytes>> {
        let mut builder = Request::post(self.path)
            .header(header::HOST, self.host)
            .header(REQUEST_ID, self.id)
            .header("x-samphirespread-deadline-ms", self.deadline_ms)
            .header(header::AUTHORIZATION, format!("Token {}", self.key));
        if let Some(Generation { model, tokens: (prompt, output), shared_part: (id, shared) }) =
            self.generation
        {
            builder = builder
                .header("x-samphirespread-model", model)
                .header("x-samphirespread-token-usage", format!("{prompt},{output}"))
                .header("x-samphirespread-prompt-prefix", format!("{id}:{shared}"));
        }
        builder.body(Full::from(self.body.to_owned())).expect("the parts can stand in a request")
    }
}

/// Whether an answer's head promises that the request has not run.
pub fn says_not_run(headers: &HeaderMap) -> bool {
    headers.contains_key(NOT_RUN)
}
