//! Makes one call to a plain service and relays its answer.

use std::{error::Error, net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Method, Request, Response, Uri, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use samphirespread_wire::message::{
    Finished, HeaderPair, NotRunReason, Reply, ServiceHead, ServiceWork,
};

use crate::{
    engine_tracker::EngineEvent,
    journal::Line,
    shared::{AttemptHandle, Outcome, Shared, failed},
};

const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// Time for which a call continues after it is cancelled, since it may still take effect.
const CANCELLED_CALL_TIMEOUT_MS: u64 = 30_000;

/// Maximum size of the piece of a body in one line.
const MAX_PIECE_BYTES: usize = 64 * 1024;

/// Cost of one call in the queue, in tokens.
const CALL_COST_TOKENS: u64 = 1;

/// The highest status that HTTP knows. A higher one is not the status of an answer.
const MAX_STATUS: u16 = 599;

/// Headers that are not forwarded: those of a single connection and those that carry a caller's
/// key.
const DROPPED_HEADERS: [HeaderName; 10] = [
    header::HOST,
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::TRANSFER_ENCODING,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::AUTHORIZATION,
    header::PROXY_AUTHORIZATION,
    header::PROXY_AUTHENTICATE,
];

/// A client of the agent's plain service.
///
/// Each call has its own connection and is never repeated. With a reused connection that broke
/// while idle, it would be unknown whether a call arrived.
#[derive(Clone, Debug)]
pub(crate) struct ServiceClient {
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// Why a call got no complete answer.
#[derive(Debug)]
enum CallError {
    /// The call can't be expressed as an HTTP request.
    Malformed,
    /// No connection could be opened, so nothing was sent.
    Unreachable,
    /// The call may have arrived.
    Lost(String),
}

impl ServiceClient {
    pub(crate) fn new(address: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_millis(CONNECT_TIMEOUT_MS)));
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(0)
            .retry_canceled_requests(false)
            .build(connector);
        Self { address, client }
    }

    async fn call(&self, work: &ServiceWork) -> Result<Response<Incoming>, CallError> {
        let request = self.request(work).ok_or(CallError::Malformed)?;
        self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                CallError::Unreachable
            } else {
                CallError::Lost(error_chain(&error))
            }
        })
    }

    fn request(&self, work: &ServiceWork) -> Option<Request<Full<Bytes>>> {
        let uri: Uri = format!("http://{}{}", self.address, work.path).parse().ok()?;
        let method = Method::from_bytes(work.method.as_bytes()).ok()?;
        let mut request = Request::new(Full::new(work.body.clone()));
        *request.method_mut() = method;
        *request.uri_mut() = uri;
        for pair in &work.headers {
            let name = HeaderName::from_bytes(pair.name.as_bytes()).ok()?;
            let value = HeaderValue::from_bytes(&pair.value).ok()?;
            if !DROPPED_HEADERS.contains(&name) {
                request.headers_mut().append(name, value);
            }
        }
        Some(request)
    }
}

/// Makes the call and relays its answer to the end.
pub(crate) async fn run(
    shared: &Arc<Shared>,
    work: &ServiceWork,
    handle: &AttemptHandle,
) -> Outcome {
    // A call that is cancelled may still take effect, so it gets time to end.
    let cancelled_call_timeout = async {
        handle.cancel.cancelled().await;
        tokio::time::sleep(Duration::from_millis(CANCELLED_CALL_TIMEOUT_MS)).await;
    };
    let reply = tokio::select! {
        result = call(shared, work, handle) => match result {
            Err(CallError::Malformed) => return Outcome::NotRun(NotRunReason::EngineDown),
            Err(CallError::Unreachable) => {
                shared.engine_event(EngineEvent::Unreachable);
                return Outcome::NotRun(NotRunReason::EngineDown);
            }
            Err(CallError::Lost(message)) => failed(message),
            Ok(finished) => Reply::Finished(finished),
        },
        () = cancelled_call_timeout => failed("nobody waited for the answer of the service"),
    };
    shared.mark_may_have_run(handle.id);
    Outcome::Ended { reply, tokens: CALL_COST_TOKENS }
}

async fn call(
    shared: &Arc<Shared>,
    work: &ServiceWork,
    handle: &AttemptHandle,
) -> Result<Finished, CallError> {
    let response = shared.service.call(work).await?;
    shared.mark_may_have_run(handle.id);
    if response.status().as_u16() > MAX_STATUS {
        return Err(CallError::Lost(format!("an answer with the status {}", response.status())));
    }
    handle.push(Line::Head(head(&response))).await;
    let mut body = response.into_body();
    let mut offset = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| CallError::Lost(error_chain(&error)))?;
        let Ok(mut data) = frame.into_data() else { continue };
        while !data.is_empty() {
            let bytes = data.split_to(data.len().min(MAX_PIECE_BYTES));
            let length = bytes.len() as u64;
            handle.push(Line::Body { offset, bytes }).await;
            offset += length;
        }
    }
    Ok(Finished { length: handle.next_seq(), ..Finished::default() })
}

fn head(response: &Response<Incoming>) -> ServiceHead {
    let headers = response
        .headers()
        .iter()
        .filter(|(name, _)| !DROPPED_HEADERS.contains(name))
        .map(|(name, value)| HeaderPair {
            name: name.as_str().to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect();
    ServiceHead { status: response.status().as_u16(), headers }
}

/// Joins the messages of an error and its causes.
fn error_chain(error: &dyn Error) -> String {
    let mut message = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        message.push_str(": ");
        message.push_str(&cause.to_string());
        source = cause.source();
    }
    message
}
