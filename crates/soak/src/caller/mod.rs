//! Callers that keep their connections for as long as these last, and note what they get.

mod connection;

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use http::{HeaderValue, Request as HttpRequest, Response, StatusCode, header};
use http_body_util::BodyExt;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use samphirespread_standin::published::{Ask, EVENTS, Generation, PADDING, says_not_run};
use tokio::time;
use tokio_util::sync::CancellationToken;

use self::connection::{Connection, PacedBody};
use crate::{
    checker::Bounds,
    history::{Caller, Outcome, Request, Route, RunMs, TakenUp},
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
/// One request in this many is sent after a longer rest of the connection, and how long that is.
const RESTS_ONE_IN: u32 = 40;
const REST_MS: std::ops::Range<u64> = 100..480;
/// One request in this many sends its body in two pieces, and the time between them.
const SLOW_BODY_ONE_IN: u32 = 16;
const BODY_PAUSE_MS: std::ops::Range<u64> = 50..1_500;
/// One stream in this many is read slowly, by a connection of its own.
const SLOW_READER_ONE_IN: u32 = 16;
const READ_PAUSE_MS: u64 = 20;
const SLOW_PADDING_BYTES: usize = 6 * 1024;
/// Events of streams. Plain servers work for as long as the same number of events takes.
const SHORT_EVENTS: std::ops::Range<u64> = 1..8;
const MIDDLE_EVENTS: std::ops::Range<u64> = 20..80;
const LONG_EVENTS: std::ops::Range<u64> = 120..300;
/// Of so many requests one is long, and some more are of middle length.
const LENGTHS_IN: u32 = 20;
const MIDDLE_IN: u32 = 6;
/// Plain requests last no longer than this many events.
const MAX_PLAIN_EVENTS: u64 = 100;
/// Beginnings of prompts, each of which has its home at another engine.
const SUBJECTS: u32 = 12;

/// What all callers share.
#[derive(Debug)]
pub(crate) struct Load {
    pub(crate) began: Instant,
    pub(crate) gateways: Vec<SocketAddr>,
    /// The gateways' own addresses, without the proxies before them, which would read ahead of a
    /// caller that reads slowly.
    pub(crate) own_addresses: Vec<SocketAddr>,
    pub(crate) bounds: Bounds,
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
    /// Whether it has carried a request.
    is_kept: bool,
}

/// What a caller asks.
struct Asked {
    route: Route,
    events: u64,
    subject: u32,
    /// Pauses in the middle of the body.
    body_pause_ms: u64,
    reads_slowly: bool,
    takes_up: Option<TakenUp>,
}

impl Asked {
    /// Takes a stream up that broke off after some events, as its route allows.
    fn take_up(self, request: &Request) -> Option<Self> {
        let Outcome::Cut { body } = &request.outcome else { return None };
        let after = u64::try_from(body.matches("\n\n").count()).ok()?;
        let before = self.takes_up.as_ref().map_or(0, |taken_up| taken_up.after);
        if self.route != Route::Resumable || before + after == 0 {
            return None;
        }
        let first = request.first_id().to_owned();
        let takes_up = Some(TakenUp { first, after: before + after });
        Some(Self { body_pause_ms: 0, reads_slowly: false, takes_up, ..self })
    }

    fn draw(random: &mut SmallRng) -> Self {
        let route = Route::ALL[random.random_range(0..Route::ALL.len())];
        let events = match random.random_range(0..LENGTHS_IN) {
            0 => random.random_range(LONG_EVENTS),
            1..=MIDDLE_IN => random.random_range(MIDDLE_EVENTS),
            _ => random.random_range(SHORT_EVENTS),
        };
        let reads_slowly = route.is_stream() && random.random_ratio(1, SLOW_READER_ONE_IN);
        let events = if reads_slowly { random.random_range(MIDDLE_EVENTS) } else { events };
        let events = if route.is_stream() { events } else { events.min(MAX_PLAIN_EVENTS) };
        let is_slow = random.random_ratio(1, SLOW_BODY_ONE_IN);
        let body_pause_ms = if is_slow { random.random_range(BODY_PAUSE_MS) } else { 0 };
        let subject = random.random_range(0..SUBJECTS);
        Self { route, events, subject, body_pause_ms, reads_slowly, takes_up: None }
    }

    fn padding_bytes(&self) -> usize {
        if self.reads_slowly { SLOW_PADDING_BYTES } else { 0 }
    }
}

/// Sends one request after the other until the load stops.
pub(crate) async fn call(load: Arc<Load>, caller: Caller, number: u64, seed: u64) {
    let mut random = SmallRng::seed_from_u64(seed ^ number.wrapping_mul(0x9E37_79B9_7F4A_7C15));
    let mut open: Option<Open> = None;
    let mut count = 0_u64;
    let mut broken_off: Option<Asked> = None;
    while !load.stop.is_cancelled() {
        if broken_off.is_some() || random.random_ratio(1, MOVES_ONE_IN) {
            open = None;
        }
        let kept = open.take().filter(|open| open.connection.is_reusable());
        let Some(used) = (match kept {
            Some(kept) => Some(kept),
            None => connect(&load, &mut random).await,
        }) else {
            time::sleep(Duration::from_millis(PAUSE_AFTER_FAILURE_MS)).await;
            continue;
        };
        let asked = broken_off.take().unwrap_or_else(|| Asked::draw(&mut random));
        let id = format!("c{number}-{count}");
        count += 1;
        if used.is_kept && random.random_ratio(1, RESTS_ONE_IN) {
            time::sleep(Duration::from_millis(random.random_range(REST_MS))).await;
        }
        let request = if asked.reads_slowly {
            let (gateway, address) = (used.gateway, load.own_addresses[used.gateway]);
            open = Some(used);
            let Some(connection) = Connection::open(address, OPEN_TIMEOUT_MS, true).await else {
                continue;
            };
            let used = Open { gateway, connection, is_kept: false };
            ask(&load, caller, &asked, &id, used).await.0
        } else {
            let (request, kept) = ask(&load, caller, &asked, &id, used).await;
            open = kept;
            request
        };
        let is_failure = matches!(request.outcome, Outcome::NoAnswer | Outcome::Silent);
        broken_off = asked.take_up(&request);
        load.note(request);
        let pause_ms =
            if is_failure { PAUSE_AFTER_FAILURE_MS } else { random.random_range(PAUSE_MS) };
        time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

async fn connect(load: &Load, random: &mut SmallRng) -> Option<Open> {
    let gateway = random.random_range(0..load.gateways.len());
    let connection = Connection::open(load.gateways[gateway], OPEN_TIMEOUT_MS, false).await?;
    Some(Open { gateway, connection, is_kept: false })
}

/// Sends one request. Returns what came of it, and the connection if it may be used again.
async fn ask(
    load: &Load,
    caller: Caller,
    asked: &Asked,
    id: &str,
    mut used: Open,
) -> (Request, Option<Open>) {
    let whole_sent = Arc::new(AtomicU64::new(u64::MAX));
    let body = PacedBody::new(body_of(id), asked.body_pause_ms, load.began, whole_sent.clone());
    let request = request(load, caller, asked, id).map(|_| body);
    let (gateway, is_kept, sent_ms) = (used.gateway, used.is_kept, load.now_ms());
    let patience_ms = load.bounds.deadline_of(asked.route) + 2 * load.bounds.answer_slack_ms;
    let sent = exchange(&mut used.connection, request, asked.reads_slowly);
    let waited = time::timeout(Duration::from_millis(patience_ms), sent).await;
    let outcome = waited.unwrap_or(Outcome::Silent);
    let is_open = !matches!(outcome, Outcome::NoAnswer | Outcome::Silent | Outcome::Cut { .. });
    let whole_sent_ms = Some(whole_sent.load(Ordering::SeqCst)).filter(|ms| *ms != u64::MAX);
    let request = Request {
        id: id.to_owned(),
        route: asked.route,
        caller,
        gateway,
        is_kept,
        events: asked.events,
        padding_bytes: asked.padding_bytes(),
        sent_ms,
        whole_sent_ms,
        ended_ms: load.now_ms(),
        takes_up: asked.takes_up.clone(),
        outcome,
    };
    (request, is_open.then_some(Open { is_kept: true, ..used }))
}

/// The body of a request, by which a server knows that it is whole.
pub(crate) fn body_of(id: &str) -> String {
    format!("asked by {id}")
}

fn request(load: &Load, caller: Caller, asked: &Asked, id: &str) -> HttpRequest<()> {
    let half = load.stream_tokens / 2;
    let route = asked.route;
    let subject = format!("subject-{}", asked.subject);
    let generation = Generation { model: MODEL, tokens: (half, half), shared_part: (&subject, 10) };
    let ask = Ask {
        id,
        host: HOST,
        path: &format!("/{}/{id}", route.path()),
        key: caller.key(),
        deadline_ms: load.bounds.deadline_of(route),
        generation: route.is_stream().then_some(generation),
        body: "",
    };
    let mut request = ask.request().map(drop);
    request.headers_mut().insert(EVENTS, HeaderValue::from(asked.events));
    request.headers_mut().insert(PADDING, HeaderValue::from(asked.padding_bytes()));
    if let Some(TakenUp { first, after }) = &asked.takes_up {
        let first = HeaderValue::from_str(first).expect("ids are letters and digits");
        request.headers_mut().insert("resumes", first);
        request.headers_mut().insert("last-event-id", HeaderValue::from(*after));
    }
    request
}

async fn exchange(
    connection: &mut Connection,
    request: HttpRequest<PacedBody>,
    reads_slowly: bool,
) -> Outcome {
    let Some(response) = connection.send(request).await else { return Outcome::NoAnswer };
    let status = response.status();
    let has_retry_after = response.headers().contains_key(header::RETRY_AFTER);
    let not_run = says_not_run(response.headers());
    let (body, is_whole) = read(response, reads_slowly).await;
    let number = status.as_u16();
    match status {
        _ if status.is_success() && is_whole => Outcome::Whole { body },
        _ if status.is_success() => Outcome::Cut { body },
        _ if !is_whole => Outcome::NoAnswer,
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            Outcome::NotRun { status: number, has_retry_after }
        }
        StatusCode::REQUEST_TIMEOUT | StatusCode::MISDIRECTED_REQUEST => {
            Outcome::NotRun { status: number, has_retry_after }
        }
        _ if not_run => Outcome::NotRun { status: number, has_retry_after },
        _ if status.is_server_error() => Outcome::Unknown { status: number },
        _ => Outcome::Denied { status: number },
    }
}

async fn read(response: Response<hyper::body::Incoming>, slowly: bool) -> (String, bool) {
    let mut incoming = response.into_body();
    let mut body = Vec::new();
    while let Some(frame) = incoming.frame().await {
        match frame {
            Ok(frame) => body.extend_from_slice(&frame.into_data().unwrap_or_default()),
            Err(_) => return (String::from_utf8_lossy(&body).into_owned(), false),
        }
        if slowly {
            time::sleep(Duration::from_millis(READ_PAUSE_MS)).await;
        }
    }
    (String::from_utf8_lossy(&body).into_owned(), true)
}
