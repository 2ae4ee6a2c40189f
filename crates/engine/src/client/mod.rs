//! HTTP client of an engine.

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
const IDLE_CONNECTION_TIMEOUT_MS: u64 = 20_000;

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Address and time limits of an [`EngineClient`].
#[derive(Clone, Debug)]
pub struct EngineClientConfig {
    address: String,
    timeout_ms: u64,
    silence_ms: u64,
    load_weights_timeout_ms: u64,
}

impl EngineClientConfig {
    /// Returns the configuration for the engine at `IP:port` with default time limits.
    pub fn new(address: impl Into<String>) -> Self {
        Self {
            address: address.into(),
            timeout_ms: DEFAULT_TIMEOUT_MS,
            silence_ms: DEFAULT_SILENCE_MS,
            load_weights_timeout_ms: DEFAULT_LOAD_WEIGHTS_TIMEOUT_MS,
        }
    }

    /// Sets the time limit for a response head, and for the body of a response that isn't streamed.
    #[must_use]
    pub fn timeout_ms(mut self, timeout_ms: u64) -> Self {
        self.timeout_ms = timeout_ms;
        self
    }

    /// Sets the time without data after which a streamed response counts as lost.
    #[must_use]
    pub fn silence_ms(mut self, silence_ms: u64) -> Self {
        self.silence_ms = silence_ms;
        self
    }

    /// Sets the time limit for loading weights.
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
/// The client never retries a call. After a timeout it drops all idle connections, since they may
/// have failed together.
#[derive(Clone, Debug)]
pub struct EngineClient {
    config: Arc<EngineClientConfig>,
    client: Arc<Mutex<HttpClient>>,
}

impl EngineClient {
    /// Creates a client. It sends nothing before the first call.
    pub fn new(config: EngineClientConfig) -> Self {
        let client = Mutex::new(new_http_client(config.timeout_ms));
        Self { config: Arc::new(config), client: Arc::new(client) }
    }

    /// Starts a stream and returns its lines from the first on.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine did not accept the stream;
    /// [`EngineError::may_have_run`] shows whether it may have started the stream all the same.
    pub async fn start(&self, start: &StartStream) -> Result<Lines<StreamLine>, EngineError> {
        let response = self.send(self.json_request(Method::POST, "/v1/streams", start)?).await?;
        Ok(Lines::new(response.into_body(), self.config.silence_ms))
    }

    /// Returns the lines of a stream from an output line on. The first line is `Started`.
    ///
    /// # Errors
    ///
    /// Returns [`EngineError::UnknownStream`] if the engine has no such stream in this incarnation.
    pub async fn resume(&self, id: &str, from_seq: u64) -> Result<Lines<StreamLine>, EngineError> {
        let path = format!("/v1/streams/{id}?from={from_seq}");
        let response = self.send(self.empty_request(Method::GET, &path)?).await?;
        Ok(Lines::new(response.into_body(), self.config.silence_ms))
    }

    /// Cancels a stream. A stream that has not started yet will not start later.
    ///
    /// # Errors
    ///
    /// Returns [`EngineError::UnknownStream`] if the engine has no such stream.
    pub async fn cancel(&self, id: &str) -> Result<(), EngineError> {
        let path = format!("/v1/streams/{id}");
        self.send(self.empty_request(Method::DELETE, &path)?).await?;
        Ok(())
    }

    /// Returns the engine's last load report, which may be out of date.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine did not answer.
    pub async fn load(&self) -> Result<LoadReport, EngineError> {
        self.get("/v1/load").await
    }

    /// Returns the changes of the engine's cache from the event with number `from_seq` on.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine did not answer.
    pub async fn events(&self, from_seq: u64) -> Result<Lines<CacheEvent>, EngineError> {
        let path = format!("/v1/events?from={from_seq}");
        let response = self.send(self.empty_request(Method::GET, &path)?).await?;
        Ok(Lines::new(response.into_body(), self.config.silence_ms))
    }

    /// Returns the list of all blocks in the engine's cache.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine did not answer.
    pub async fn blocks(&self) -> Result<BlockList, EngineError> {
        self.get("/v1/blocks").await
    }

    /// Exports blocks from the cache. The response lists those that were cached, in order from the
    /// first one.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine did not answer or serves another version.
    pub async fn export(&self, blocks: &BlockTransfer) -> Result<BlockTransfer, EngineError> {
        let response =
            self.send(self.json_request(Method::POST, "/v1/blocks/export", blocks)?).await?;
        self.read_json(response).await
    }

    /// Imports blocks into the cache.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine did not answer or serves another version.
    pub async fn import(&self, blocks: &BlockTransfer) -> Result<(), EngineError> {
        self.send(self.json_request(Method::POST, "/v1/blocks/import", blocks)?).await?;
        Ok(())
    }

    /// Loads weights and returns when the engine serves them.
    ///
    /// # Errors
    ///
    /// Returns [`EngineError::Fenced`] if the engine has received an order with a higher fencing
    /// number.
    pub async fn load_weights(&self, order: &LoadWeights) -> Result<(), EngineError> {
        let request = self.json_request(Method::POST, "/v1/weights", order)?;
        self.send_with_timeout(request, self.config.load_weights_timeout_ms).await?;
        Ok(())
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, EngineError> {
        let response = self.send(self.empty_request(Method::GET, path)?).await?;
        self.read_json(response).await
    }

    async fn send(&self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, EngineError> {
        self.send_with_timeout(request, self.config.timeout_ms).await
    }

    async fn send_with_timeout(
        &self,
        request: Request<Full<Bytes>>,
        timeout_ms: u64,
    ) -> Result<Response<Incoming>, EngineError> {
        let client = self.client.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let response_head = async move { client.request(request).await };
        let response = self.with_timeout(timeout_ms, response_head).await?.map_err(|error| {
            let message = error.to_string();
            if error.is_connect() {
                return EngineError::Unreachable { message };
            }
            EngineError::Lost { message }
        })?;
        check_status(response)
    }

    async fn read_json<T: DeserializeOwned>(
        &self,
        response: Response<Incoming>,
    ) -> Result<T, EngineError> {
        let body = self
            .with_timeout(self.config.timeout_ms, response.into_body().collect())
            .await?
            .map_err(|error| EngineError::Lost { message: error.to_string() })?;
        serde_json::from_slice(&body.to_bytes()).map_err(|error| malformed(&error))
    }

    async fn with_timeout<T>(
        &self,
        timeout_ms: u64,
        future: impl Future<Output = T>,
    ) -> Result<T, EngineError> {
        let result = tokio::time::timeout(Duration::from_millis(timeout_ms), future).await;
        result.map_err(|_| {
            let new_client = new_http_client(self.config.timeout_ms);
            *self.client.lock().unwrap_or_else(PoisonError::into_inner) = new_client;
            EngineError::Silent { silence_ms: timeout_ms }
        })
    }

    fn json_request(
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

    fn empty_request(
        &self,
        method: Method,
        path: &str,
    ) -> Result<Request<Full<Bytes>>, EngineError> {
        Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.config.address))
            .body(Full::default())
            .map_err(|error| EngineError::Unreachable { message: error.to_string() })
    }
}

fn new_http_client(timeout_ms: u64) -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    // The limit is shorter than that of a call, so that a failed connect is distinguished from a
    // lost response.
    connector.set_connect_timeout(Some(Duration::from_millis(timeout_ms / 2)));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(Duration::from_millis(IDLE_CONNECTION_TIMEOUT_MS))
        .build(connector)
}

fn check_status(response: Response<Incoming>) -> Result<Response<Incoming>, EngineError> {
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
