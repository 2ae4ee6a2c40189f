//! An engine by HTTP.

mod error;
mod lines;

use std::{
    future::Future,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use serde::{Serialize, de::DeserializeOwned};

pub use self::{error::EngineError, lines::Lines};
use crate::api::{
    BlockList, BlockTransfer, CacheEvent, LoadReport, LoadWeights, StartStream, StreamLine,
};

const DEFAULT_TIMEOUT_MS: u64 = 2_000;
const DEFAULT_SILENCE_MS: u64 = 3_000;
const DEFAULT_LOAD_WEIGHTS_TIMEOUT_MS: u64 = 60_000;
const IDLE_TIMEOUT_MS: u64 = 20_000;

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// How to reach an engine.
#[derive(Clone, Debug)]
pub struct EngineClientConfig {
    address: String,
    timeout_ms: u64,
    silence_ms: u64,
    load_weights_timeout_ms: u64,
}

impl EngineClientConfig {
    /// The engine at `IP:port`.
    pub fn new(address: impl Into<String>) -> Self {
        Self {
            address: address.into(),
            timeout_ms: DEFAULT_TIMEOUT_MS,
            silence_ms: DEFAULT_SILENCE_MS,
            load_weights_timeout_ms: DEFAULT_LOAD_WEIGHTS_TIMEOUT_MS,
        }
    }

    /// The time until the head of an answer, or the whole of a short one.
    #[must_use]
    pub fn timeout_ms(mut self, timeout_ms: u64) -> Self {
        self.timeout_ms = timeout_ms;
        self
    }

    /// The time without a byte after which a streamed answer counts as lost.
    #[must_use]
    pub fn silence_ms(mut self, silence_ms: u64) -> Self {
        self.silence_ms = silence_ms;
        self
    }

    /// The time that loading weights may take.
    #[must_use]
    pub fn load_weights_timeout_ms(mut self, timeout_ms: u64) -> Self {
        self.load_weights_timeout_ms = timeout_ms;
        self
    }
}

/// An engine by HTTP. Clones share their connections.
///
/// ```no_run
/// use samphirespread_engine::{EngineClient, EngineClientConfig, api::StartStream};
///
/// # async fn example(start: StartStream) -> Result<(), samphirespread_engine::EngineError> {
/// let engine = EngineClient::new(EngineClientConfig::new("10.0.0.2:8000"));
/// let mut lines = engine.start(&start).await?;
/// while let Some(line) = lines.next().await? {
///     println!("{line:?}");
/// }
/// # Ok(())
/// # }
/// ```
///
/// No call is repeated. After a timeout all idle connections are given up, since they may have
/// gone silent together.
#[derive(Clone, Debug)]
pub struct EngineClient {
    config: Arc<EngineClientConfig>,
    client: Arc<Mutex<HttpClient>>,
}

impl EngineClient {
    /// Makes a client. Nothing is sent before the first call.
    pub fn new(config: EngineClientConfig) -> Self {
        let client = Mutex::new(connect(config.timeout_ms));
        Self { config: Arc::new(config), client: Arc::new(client) }
    }

    /// Starts a stream and follows it from its first line.
    ///
    /// # Errors
    ///
    /// When the engine did not take the stream; [`EngineError::may_have_run`] tells whether that
    /// is certain.
    pub async fn start(&self, start: &StartStream) -> Result<Lines<StreamLine>, EngineError> {
        let response = self.send(self.json(Method::POST, "/v1/streams", start)?).await?;
        Ok(Lines::new(response.into_body(), self.config.silence_ms))
    }

    /// Follows a stream from an output line on. The first line is `Started`.
    ///
    /// # Errors
    ///
    /// [`EngineError::UnknownStream`] when the engine has no such stream in this run.
    pub async fn resume(&self, id: &str, from_seq: u64) -> Result<Lines<StreamLine>, EngineError> {
        let path = format!("/v1/streams/{id}?from={from_seq}");
        let response = self.send(self.empty(Method::GET, &path)?).await?;
        Ok(Lines::new(response.into_body(), self.config.silence_ms))
    }

    /// Cancels a stream. One that never started will not start later.
    ///
    /// # Errors
    ///
    /// [`EngineError::UnknownStream`] when the engine had no such stream.
    pub async fn cancel(&self, id: &str) -> Result<(), EngineError> {
        let path = format!("/v1/streams/{id}");
        self.send(self.empty(Method::DELETE, &path)?).await?;
        Ok(())
    }

    /// The engine's load, as it was some time ago.
    ///
    /// # Errors
    ///
    /// When the engine did not answer.
    pub async fn load(&self) -> Result<LoadReport, EngineError> {
        self.get("/v1/load").await
    }

    /// Follows the changes of the engine's cache from an event on.
    ///
    /// # Errors
    ///
    /// When the engine did not answer.
    pub async fn events(&self, from_seq: u64) -> Result<Lines<CacheEvent>, EngineError> {
        let path = format!("/v1/events?from={from_seq}");
        let response = self.send(self.empty(Method::GET, &path)?).await?;
        Ok(Lines::new(response.into_body(), self.config.silence_ms))
    }

    /// All that the engine has cached.
    ///
    /// # Errors
    ///
    /// When the engine did not answer.
    pub async fn blocks(&self) -> Result<BlockList, EngineError> {
        self.get("/v1/blocks").await
    }

    /// Reads blocks out of the cache. The answer names those that were there, from the first on.
    ///
    /// # Errors
    ///
    /// When the engine did not answer or serves another version.
    pub async fn export(&self, blocks: &BlockTransfer) -> Result<BlockTransfer, EngineError> {
        let response = self.send(self.json(Method::POST, "/v1/blocks/export", blocks)?).await?;
        self.read(response).await
    }

    /// Puts blocks into the cache.
    ///
    /// # Errors
    ///
    /// When the engine did not answer or serves another version.
    pub async fn import(&self, blocks: &BlockTransfer) -> Result<(), EngineError> {
        self.send(self.json(Method::POST, "/v1/blocks/import", blocks)?).await?;
        Ok(())
    }

    /// Loads weights and returns when they serve.
    ///
    /// # Errors
    ///
    /// [`EngineError::Fenced`] when the engine has seen a newer order.
    pub async fn load_weights(&self, order: &LoadWeights) -> Result<(), EngineError> {
        let request = self.json(Method::POST, "/v1/weights", order)?;
        self.send_within(request, self.config.load_weights_timeout_ms).await?;
        Ok(())
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, EngineError> {
        let response = self.send(self.empty(Method::GET, path)?).await?;
        self.read(response).await
    }

    async fn send(&self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, EngineError> {
        self.send_within(request, self.config.timeout_ms).await
    }

    async fn send_within(
        &self,
        request: Request<Full<Bytes>>,
        timeout_ms: u64,
    ) -> Result<Response<Incoming>, EngineError> {
        let client = self.client.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let sending = async move { client.request(request).await };
        let response = self.within(timeout_ms, sending).await?.map_err(|error| {
            let message = error.to_string();
            if error.is_connect() {
                return EngineError::Unreachable { message };
            }
            EngineError::Lost { message }
        })?;
        check(response)
    }

    async fn read<T: DeserializeOwned>(
        &self,
        response: Response<Incoming>,
    ) -> Result<T, EngineError> {
        let body = self
            .within(self.config.timeout_ms, response.into_body().collect())
            .await?
            .map_err(|error| EngineError::Lost { message: error.to_string() })?;
        serde_json::from_slice(&body.to_bytes()).map_err(|error| malformed(&error))
    }

    async fn within<T>(
        &self,
        timeout_ms: u64,
        work: impl Future<Output = T>,
    ) -> Result<T, EngineError> {
        let done = tokio::time::timeout(Duration::from_millis(timeout_ms), work).await;
        done.map_err(|_| {
            let fresh = connect(self.config.timeout_ms);
            *self.client.lock().unwrap_or_else(PoisonError::into_inner) = fresh;
            EngineError::Silent { silence_ms: timeout_ms }
        })
    }

    fn json(
        &self,
        method: Method,
        path: &str,
        message: &impl Serialize,
    ) -> Result<Request<Full<Bytes>>, EngineError> {
        let body = serde_json::to_vec(message).map_err(|error| malformed(&error))?;
        Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.config.address))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(|error| EngineError::Unreachable { message: error.to_string() })
    }

    fn empty(&self, method: Method, path: &str) -> Result<Request<Full<Bytes>>, EngineError> {
        Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.config.address))
            .body(Full::default())
            .map_err(|error| EngineError::Unreachable { message: error.to_string() })
    }
}

fn connect(timeout_ms: u64) -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    // Shorter than a call, so that a failed connect is told from a lost answer.
    connector.set_connect_timeout(Some(Duration::from_millis(timeout_ms / 2)));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(Duration::from_millis(IDLE_TIMEOUT_MS))
        .build(connector)
}

fn check(response: Response<Incoming>) -> Result<Response<Incoming>, EngineError> {
    match response.status() {
        status if status.is_success() => Ok(response),
        StatusCode::NOT_FOUND => Err(EngineError::UnknownStream),
        StatusCode::GONE => Err(EngineError::Cancelled),
        StatusCode::CONFLICT => Err(EngineError::Fenced),
        StatusCode::PRECONDITION_FAILED => Err(EngineError::WrongWeights),
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => Err(EngineError::Busy),
        status => Err(EngineError::Refused { status: status.as_u16() }),
    }
}

fn malformed(error: &impl ToString) -> EngineError {
    EngineError::Malformed { message: error.to_string() }
}
