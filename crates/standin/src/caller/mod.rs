//! A caller of the system: a small HTTP client that reads streamed answers.

mod events;

use std::{fmt, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use serde::{Deserialize, Serialize};

pub use self::events::{Completion, CompletionEvent};
use samphirespread_engine::api::Usage;

const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// A completion to ask for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CompletionRequest {
    /// The model.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// Tokens at most to generate.
    pub max_tokens: u32,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// What a streamed answer holds besides its text.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub stream_options: Option<StreamOptions>,
}

/// What a streamed answer holds besides its text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct StreamOptions {
    /// Whether it ends with the tokens used.
    pub include_usage: bool,
}

impl CompletionRequest {
    /// A streamed completion.
    pub fn new(model: &str, prompt: &str, max_tokens: u32) -> Self {
        let (model, prompt) = (model.to_owned(), prompt.to_owned());
        Self { model, prompt, max_tokens, stream: true, stream_options: None }
    }

    /// Asks for the tokens used at the end of the stream.
    #[must_use]
    pub fn with_usage(mut self) -> Self {
        self.stream_options = Some(StreamOptions { include_usage: true });
        self
    }
}

/// How the system refuses a request or ends an answer early.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct Refusal {
    /// A code for machines.
    pub code: String,
    /// A text for people.
    #[serde(default)]
    pub message: String,
    /// Whether it is certain that the request did not run.
    #[serde(default)]
    pub not_run: bool,
    /// When to come back.
    #[serde(default)]
    pub retry_after_ms: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct RefusalBody {
    error: Refusal,
}

/// What can go wrong between a caller and the system.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum CallerError {
    /// The system can't be reached.
    Unreachable(String),
    /// The connection broke.
    Lost(String),
    /// The answer can't be read.
    Malformed(String),
}

impl fmt::Display for CallerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(message) => write!(f, "can't be reached: {message}"),
            Self::Lost(message) => write!(f, "the connection broke: {message}"),
            Self::Malformed(message) => write!(f, "the answer can't be read: {message}"),
        }
    }
}

impl std::error::Error for CallerError {}

/// An answer, read to its end.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CompletionAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The text, as far as it came.
    pub text: String,
    /// Pieces that the text came in.
    pub pieces: usize,
    /// Why the answer ended, if it is complete.
    pub finish_reason: Option<String>,
    /// Whether the closing mark of the stream came.
    pub done: bool,
    /// The refusal or the early end.
    pub refusal: Option<Refusal>,
    /// The tokens used, if they were asked for.
    pub usage: Option<Usage>,
}

impl CompletionAnswer {
    /// Whether the whole answer came.
    pub fn is_complete(&self) -> bool {
        self.done && self.finish_reason.is_some() && self.refusal.is_none()
    }
}

/// An answer of any path, read to its end.
#[derive(Clone, Debug)]
pub struct PlainAnswer {
    /// The HTTP status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl PlainAnswer {
    /// The refusal in the body, if it is one.
    pub fn refusal(&self) -> Option<Refusal> {
        serde_json::from_slice::<RefusalBody>(&self.body).ok().map(|body| body.error)
    }

    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A caller of the system. Clones share their connections.
///
/// ```no_run
/// use samphirespread_standin::caller::{Caller, CompletionRequest};
///
/// # async fn example() -> Result<(), samphirespread_standin::caller::CallerError> {
/// let caller = Caller::new("127.0.0.1:8080").key("a key");
/// let answer = caller.complete(&CompletionRequest::new("reader", "Once", 20)).await?;
/// assert!(answer.is_complete());
/// # Ok(())
/// # }
/// ```
#[derive(Clone, Debug)]
pub struct Caller {
    address: String,
    key: Option<String>,
    headers: Vec<(String, String)>,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Caller {
    /// A caller without a key, of the system at `IP:port`.
    pub fn new(address: &str) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .build(connector);
        Self { address: address.to_owned(), key: None, headers: Vec::new(), client }
    }

    /// Shows a key with each request.
    #[must_use]
    pub fn key(mut self, key: &str) -> Self {
        self.key = Some(key.to_owned());
        self
    }

    /// Sends a header with each request.
    #[must_use]
    pub fn header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Asks for a completion and returns once the head of the answer is there.
    ///
    /// # Errors
    ///
    /// When the connection broke before.
    pub async fn start(&self, request: &CompletionRequest) -> Result<Completion, CallerError> {
        let body = serde_json::to_vec(request)
            .map_err(|error| CallerError::Malformed(error.to_string()))?;
        let response = self.send(Method::POST, "/v1/completions", Bytes::from(body)).await?;
        Ok(Completion::new(response))
    }

    /// Asks for a completion and reads the answer to its end.
    ///
    /// # Errors
    ///
    /// When the connection broke before the head of the answer. Later, the answer is returned as
    /// far as it came.
    pub async fn complete(
        &self,
        request: &CompletionRequest,
    ) -> Result<CompletionAnswer, CallerError> {
        let mut completion = self.start(request).await?;
        Ok(completion.collect().await)
    }

    /// Calls any path and reads the answer to its end.
    ///
    /// # Errors
    ///
    /// When the connection broke before the end.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        body: impl Into<Bytes>,
    ) -> Result<PlainAnswer, CallerError> {
        let response = self.send(method, path, body.into()).await?;
        let (parts, body) = response.into_parts();
        let body = body.collect().await.map_err(|error| CallerError::Lost(error.to_string()))?;
        Ok(PlainAnswer { status: parts.status, headers: parts.headers, body: body.to_bytes() })
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<Response<Incoming>, CallerError> {
        let mut request =
            Request::builder().method(method).uri(format!("http://{}{path}", self.address));
        if let Some(key) = &self.key {
            request = request.header(header::AUTHORIZATION, format!("Bearer {key}"));
        }
        for (name, value) in &self.headers {
            request = request.header(name, value);
        }
        let request = request
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| CallerError::Malformed(error.to_string()))?;
        self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                return CallerError::Unreachable(error.to_string());
            }
            CallerError::Lost(error.to_string())
        })
    }
}
