//! Callers that keep their connections for as long as these last, and note what they get.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{Request as HttpRequest, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use samphirespread_outbound::Connection;
use samphirespread_standin::published::{Ask, Generation, says_not_run};
use tokio::time;
use tokio_util::sync::CancellationToken;

use crate::{
    history::{Caller, Outcome, Request, Route, RunMs},
    site::{HOST, MODEL},
};

/// Time to open a connection.
const OPEN_TIMEOUT_MS: u64 = 1_000;
/// A caller rests this long after an answer.
const PAUSE_MS: std::ops::Range<u64> = 10..60;
/// A caller rests this long after a failure, so that a dead gateway is not asked all the time.
const PAUSE_AFTER_FAILURE_MS: u64 = 50;
/// One request in this many closes the connection and takes another gateway.
const MOVES_ONE_IN: u32 = 200;
/// Beginnings of prompts, each of which has its home at another engine.
const SUBJECTS: u32 = 12;

/// What all callers share.
#[derive(Debug)]
pub(crate) struct Load {
    pub(crate) began: Instant,
    pub(crate) gateways: Vec<SocketAddr>,
    pub(crate) deadline_ms: u64,
    pub(crate) patience_ms: u64,
    pub(crate) stream_tokens: u64,
    pub(crate) stop: CancellationToken,
    pub(crate) requests: Mutex<Vec<Request>>,
}

impl Load {
    pub(crate) fn now_ms(&self) -> RunMs {
        u64::try_from(self.began.elapsed().as_millis()).unwrap_or(RunMs::MAX)
    }

    fn note(&self, request: Request) {
        self.requests.lock().unwrap_or_else(PoisonError::into_inner).push(request);
    }
}

struct Open {
    gateway: usize,
    connection: Connection,
}

/// Sends one request after the other until the load stops.
pub(crate) async fn call(load: Arc<Load>, caller: Caller, number: u64, seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed ^ number.wrapping_mul(0x9E37_79B9_7F4A_7C15));
    let mut open: Option<Open> = None;
    let mut count = 0_u64;
    while !load.stop.is_cancelled() {
        if random.random_ratio(1, MOVES_ONE_IN) {
            open = None;
        }
        let kept = open.take().filter(|open| open.connection.is_reusable());
        let Some(mut used) = (match kept {
            Some(kept) => Some(kept),
            None => connect(&load, &mut random).await,
        }) else {
            time::sleep(Duration::from_millis(PAUSE_AFTER_FAILURE_MS)).await;
            continue;
        };
        let route = Route::ALL[random.random_range(0..Route::ALL.len())];
        let id = format!("c{number}-{count}");
        count += 1;
        let sent_ms = load.now_ms();
        let subject = random.random_range(0..SUBJECTS);
        let sent = exchange(&mut used.connection, request(&load, caller, route, subject, &id));
        let waited = time::timeout(Duration::from_millis(load.patience_ms), sent).await;
        let outcome = waited.unwrap_or(Outcome::Silent);
        let is_failure = matches!(outcome, Outcome::NoAnswer | Outcome::Silent);
        let gateway = used.gateway;
        let ended_ms = load.now_ms();
        if !is_failure && !matches!(outcome, Outcome::Cut { .. }) {
            open = Some(used);
        }
        load.note(Request { id, route, caller, gateway, sent_ms, ended_ms, outcome });
        let pause_ms =
            if is_failure { PAUSE_AFTER_FAILURE_MS } else { random.random_range(PAUSE_MS) };
        time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

async fn connect(load: &Load, random: &mut SmallRng) -> Option<Open> {
    let gateway = random.random_range(0..load.gateways.len());
    let connection = Connection::open(load.gateways[gateway], OPEN_TIMEOUT_MS).await.ok()?;
    Some(Open { gateway, connection })
}

/// The body of a request, by which a server knows that it is whole.
pub(crate) fn body_of(id: &str) -> String {
    format!("asked by {id}")
}

fn request(
    load: &Load,
    caller: Caller,
    route: Route,
    subject: u32,
    id: &str,
) -> HttpRequest<Full<Bytes>> {
    let half = load.stream_tokens / 2;
    let subject = format!("subject-{subject}");
    let generation = Generation { model: MODEL, tokens: (half, half), shared_part: (&subject, 10) };
    let ask = Ask {
        id,
        host: HOST,
        path: &format!("/{}/{id}", route.path()),
        key: caller.key(),
        deadline_ms: load.deadline_ms,
        generation: route.is_stream().then_some(generation),
        body: &body_of(id),
    };
    ask.request()
}

async fn exchange(connection: &mut Connection, request: HttpRequest<Full<Bytes>>) -> Outcome {
    let Ok(response) = connection.send(request).await else { return Outcome::NoAnswer };
    let status = response.status();
    let has_retry_after = response.headers().contains_key(header::RETRY_AFTER);
    let not_run = says_not_run(response.headers());
    let (body, is_whole) = read(response).await;
    let number = status.as_u16();
    match status {
        _ if status.is_success() && is_whole => Outcome::Whole { body },
        _ if status.is_success() => Outcome::Cut { body },
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            Outcome::NotRun { status: number, has_retry_after }
        }
        _ if not_run => Outcome::NotRun { status: number, has_retry_after },
        _ if status.is_server_error() => Outcome::Unknown { status: number },
        _ => Outcome::Denied { status: number },
    }
}

async fn read(response: Response<hyper::body::Incoming>) -> (String, bool) {
    let mut incoming = response.into_body();
    let mut body = Vec::new();
    while let Some(frame) = incoming.frame().await {
        match frame {
            Ok(frame) => body.extend_from_slice(&frame.into_data().unwrap_or_default()),
            Err(_) => return (String::from_utf8_lossy(&body).into_owned(), false),
        }
    }
    (String::from_utf8_lossy(&body).into_owned(), true)
}
