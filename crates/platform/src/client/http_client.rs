//! The HTTP client.

use std::{
    fmt::Write,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use serde::de::DeserializeOwned;

use super::{Platform, PlatformError};
use crate::api::{Listing, LiveList, Object, ObjectVersion};

const DEFAULT_TIMEOUT_MS: u64 = 2_000;
const IDLE_TIMEOUT_MS: u64 = 20_000;
const MAX_IDLE_CONNECTIONS: usize = 4;

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// How to reach the platform.
#[derive(Clone, Debug)]
pub struct HttpPlatformConfig {
    address: String,
    timeout_ms: u64,
}

impl HttpPlatformConfig {
    /// The platform at `IP:port`.
    pub fn new(address: impl Into<String>) -> Self {
        Self { address: address.into(), timeout_ms: DEFAULT_TIMEOUT_MS }
    }

    /// The time that a call may take. A watch gets its wait on top.
    #[must_use]
    pub fn timeout_ms(mut self, timeout_ms: u64) -> Self {
        self.timeout_ms = timeout_ms;
        self
    }
}

/// The platform by HTTP. Clones share their connections.
///
/// Each call is sent once: the caller alone knows whether a lost call may be repeated. After a
/// timeout all idle connections are given up, since they may have gone silent together.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    config: Arc<HttpPlatformConfig>,
    client: Arc<Mutex<HttpClient>>,
}

struct Answer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

impl HttpPlatform {
    /// Makes a client. Nothing is sent before the first call.
    pub fn new(config: HttpPlatformConfig) -> Self {
        let client = Mutex::new(connect(config.timeout_ms));
        Self { config: Arc::new(config), client: Arc::new(client) }
    }

    async fn call(
        &self,
        request: Request<Full<Bytes>>,
        wait_ms: u64,
    ) -> Result<Answer, PlatformError> {
        let client = self.client.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let limit = Duration::from_millis(self.config.timeout_ms.saturating_add(wait_ms));
        let Ok(answer) = tokio::time::timeout(limit, exchange(client, request)).await else {
            self.drop_idle_connections();
            return Err(PlatformError::Lost { message: "timeout".to_owned() });
        };
        check(answer?)
    }

    fn drop_idle_connections(&self) {
        let fresh = connect(self.config.timeout_ms);
        *self.client.lock().unwrap_or_else(PoisonError::into_inner) = fresh;
    }

    fn request(&self, method: Method, path: &str) -> http::request::Builder {
        Request::builder().method(method).uri(format!("http://{}{path}", self.config.address))
    }

    async fn get_json<T: DeserializeOwned>(
        &self,
        path: &str,
        wait_ms: u64,
    ) -> Result<Option<T>, PlatformError> {
        let request = body(self.request(Method::GET, path), "")?;
        let answer = self.call(request, wait_ms).await?;
        if matches!(answer.status, StatusCode::NOT_MODIFIED | StatusCode::NOT_FOUND) {
            return Ok(None);
        }
        serde_json::from_slice(&answer.body).map(Some).map_err(|error| malformed(&error))
    }

    async fn get_listing(&self, path: &str, wait_ms: u64) -> Result<Listing, PlatformError> {
        let listing = self.get_json(path, wait_ms).await?;
        listing.ok_or(PlatformError::Refused { status: StatusCode::NOT_FOUND.as_u16() })
    }

    async fn write(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Option<ObjectVersion>, PlatformError> {
        let answer = self.call(request, 0).await?;
        if answer.status == StatusCode::NOT_FOUND {
            return Err(PlatformError::Conflict);
        }
        Ok(version(&answer.headers))
    }
}

impl Platform for HttpPlatform {
    async fn get(&self, key: &str) -> Result<Option<Object>, PlatformError> {
        let path = object_path(key);
        let answer = self.call(body(self.request(Method::GET, &path), "")?, 0).await?;
        if answer.status == StatusCode::NOT_FOUND {
            return Ok(None);
        }

        let version = version(&answer.headers).ok_or_else(|| malformed(&"no version"))?;
        let value = String::from_utf8(answer.body.to_vec()).map_err(|error| malformed(&error))?;
        Ok(Some(Object { key: key.to_owned(), version, value: Some(value) }))
    }

    async fn list(&self, prefix: &str) -> Result<Listing, PlatformError> {
        let path = format!("/list?prefix={}", escape(prefix));
        self.get_listing(&path, 0).await
    }

    async fn put_if(
        &self,
        key: &str,
        expected: ObjectVersion,
        value: &str,
    ) -> Result<ObjectVersion, PlatformError> {
        let request = self
            .request(Method::PUT, &object_path(key))
            .header(header::IF_MATCH, expected.0.to_string());
        let written = self.write(body(request, value)?).await?;
        written.ok_or_else(|| malformed(&"no version"))
    }

    async fn create(&self, key: &str, value: &str) -> Result<ObjectVersion, PlatformError> {
        let request =
            self.request(Method::PUT, &object_path(key)).header(header::IF_NONE_MATCH, "*");
        let written = self.write(body(request, value)?).await?;
        written.ok_or_else(|| malformed(&"no version"))
    }

    async fn delete_if(&self, key: &str, expected: ObjectVersion) -> Result<(), PlatformError> {
        let request = self
            .request(Method::DELETE, &object_path(key))
            .header(header::IF_MATCH, expected.0.to_string());
        self.write(body(request, "")?).await?;
        Ok(())
    }

    async fn watch(
        &self,
        prefix: &str,
        after: ObjectVersion,
        wait_ms: u64,
    ) -> Result<Listing, PlatformError> {
        let path = format!("/watch?prefix={}&after={}&wait_ms={wait_ms}", escape(prefix), after.0);
        self.get_listing(&path, wait_ms).await
    }

    async fn instances(
        &self,
        after: Option<ObjectVersion>,
    ) -> Result<Option<LiveList>, PlatformError> {
        let path = match after {
            Some(version) => format!("/instances?after={}", version.0),
            None => "/instances".to_owned(),
        };
        self.get_json(&path, 0).await
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
        .pool_max_idle_per_host(MAX_IDLE_CONNECTIONS)
        .build(connector)
}

async fn exchange(
    client: HttpClient,
    request: Request<Full<Bytes>>,
) -> Result<Answer, PlatformError> {
    let response = client.request(request).await.map_err(|error| {
        let message = error.to_string();
        if error.is_connect() {
            return PlatformError::Unavailable { message };
        }
        PlatformError::Lost { message }
    })?;
    let (parts, body) = response.into_parts();
    let body =
        body.collect().await.map_err(|error| PlatformError::Lost { message: error.to_string() })?;
    Ok(Answer { status: parts.status, headers: parts.headers, body: body.to_bytes() })
}

fn check(answer: Answer) -> Result<Answer, PlatformError> {
    match answer.status {
        StatusCode::NOT_MODIFIED | StatusCode::NOT_FOUND => Ok(answer),
        StatusCode::PRECONDITION_FAILED => Err(PlatformError::Conflict),
        StatusCode::TOO_MANY_REQUESTS => Err(PlatformError::RateLimited),
        StatusCode::SERVICE_UNAVAILABLE => {
            Err(PlatformError::Unavailable { message: "status 503".to_owned() })
        }
        status if status.is_success() => Ok(answer),
        status => Err(PlatformError::Refused { status: status.as_u16() }),
    }
}

fn body(
    request: http::request::Builder,
    text: &str,
) -> Result<Request<Full<Bytes>>, PlatformError> {
    let body = Full::new(Bytes::copy_from_slice(text.as_bytes()));
    request.body(body).map_err(|error| PlatformError::Unavailable { message: error.to_string() })
}

fn version(headers: &HeaderMap) -> Option<ObjectVersion> {
    let text = headers.get(header::ETAG)?.to_str().ok()?;
    text.trim_matches('"').parse().ok().map(ObjectVersion)
}

fn malformed(error: &impl ToString) -> PlatformError {
    PlatformError::Malformed { message: error.to_string() }
}

fn object_path(key: &str) -> String {
    format!("/objects/{}", escape(key))
}

/// Percent-encodes all but unreserved characters and the slash.
fn escape(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for byte in text.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' | b'.' | b'~' | b'/' => {
                escaped.push(char::from(byte));
            }
            _ => {
                // Writing to a string never fails.
                let _ = write!(escaped, "%{byte:02X}");
            }
        }
    }
    escaped
}
