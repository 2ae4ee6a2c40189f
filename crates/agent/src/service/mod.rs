//! Makes one call of a plain service and relays its answer.

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
    engine_life::EngineEvent,
    journal::Line,
    shared::{Live, Outcome, Shared, failed},
};

const CONNECT_TIMEOUT_MS: u64 = 1_000;

/// Time that a call goes on after nobody waits for it any more, since it may take effect.
const LINGER_MS: u64 = 30_000;

/// Longest piece of a body in one line.
const MAX_PIECE_BYTES: usize = 64 * 1024;

/// Tokens that one call takes from the queue's point of view.
const CALL_TOKENS: u64 = 1;

/// Headers that belong to one connection, and those that carry a caller's key.
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

/// Calls the plain service beside the agent.
///
/// Each call has a connection of its own and is never repeated, so a connection that broke while idle can't
/// leave it open whether a call arrived.
#[derive(Clone, Debug)]
pub(crate) struct ServiceClient {
    address: SocketAddr,
    client: Client<HttpConnector, Full<Bytes>>,
}

/// Why a call brought no answer.
#[derive(Debug)]
enum CallError {
    /// The call can't be put into HTTP.
    Malformed,
    /// No connection could be made, so nothing was sent.
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
            if error.is_connect() { CallError::Unreachable } else { CallError::Lost(chain(&error)) }
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
pub(crate) async fn run(shared: &Arc<Shared>, work: &ServiceWork, live: &Live) -> Outcome {
    // A call that nobody waits for any more may still take effect, so it gets time to end.
    let lingered = async {
        live.cancel.cancelled().await;
        tokio::time::sleep(Duration::from_millis(LINGER_MS)).await;
    };
    let reply = tokio::select! {
        result = call(shared, work, live) => match result {
            Err(CallError::Malformed) => return Outcome::NotRun(NotRunReason::EngineDown),
            Err(CallError::Unreachable) => {
                shared.engine_event(EngineEvent::Unreachable);
                return Outcome::NotRun(NotRunReason::EngineDown);
            }
            Err(CallError::Lost(message)) => failed(message),
            Ok(finished) => Reply::Finished(finished),
        },
        () = lingered => failed("nobody waited for the answer of the service"),
    };
    shared.begin(live.id);
    Outcome::Ended { reply, tokens: CALL_TOKENS }
}

async fn call(
    shared: &Arc<Shared>,
    work: &ServiceWork,
    live: &Live,
) -> Result<Finished, CallError> {
    let response = shared.service.call(work).await?;
    shared.begin(live.id);
    live.push(Line::Head(head(&response))).await;
    let mut body = response.into_body();
    let mut offset = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| CallError::Lost(chain(&error)))?;
        let Ok(mut data) = frame.into_data() else { continue };
        while !data.is_empty() {
            let bytes = data.split_to(data.len().min(MAX_PIECE_BYTES));
            let length = bytes.len() as u64;
            live.push(Line::Body { offset, bytes }).await;
            offset += length;
        }
    }
    Ok(Finished { length: live.next_seq(), ..Finished::default() })
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

/// The words of an error and of what caused it.
fn chain(error: &dyn Error) -> String {
    let mut words = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        words.push_str(": ");
        words.push_str(&cause.to_string());
        source = cause.source();
    }
    words
}
