//! The engine's calls by HTTP.

use std::{sync::Arc, time::Duration};

use axum::{
    Json, Router,
    body::Body,
    extract::{DefaultBodyLimit, Path, Query, State as Shares},
    middleware,
    response::{IntoResponse, Response},
    routing::{get, post},
};
use bytes::Bytes;
use futures_util::stream;
use http::StatusCode;
use samphirespread_core::prelude::*;
use samphirespread_engine::api::{
    BlockList, BlockTransfer, LoadReport, LoadWeights, LoadedWeights, StartStream, StreamLine,
};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use super::{
    Shared,
    cache::{BlockName, BlockOrigin},
    state::Rejection,
    stream::{End, Stream},
};
use crate::{record, text::word_text};

const KEEP_ALIVE: Duration = Duration::from_millis(500);

/// Cache events are looked for this often.
const EVENT_POLL: Duration = Duration::from_millis(5);

#[derive(Debug, Deserialize)]
struct FromQuery {
    #[serde(default)]
    from: u64,
}

pub(super) fn router(shared: Arc<Shared>) -> Router {
    let log = shared.requests.clone();
    Router::new()
        .route("/v1/streams", post(start))
        .route("/v1/streams/{id}", get(resume).delete(cancel))
        .route("/v1/load", get(load))
        .route("/v1/events", get(events))
        .route("/v1/blocks", get(blocks))
        .route("/v1/blocks/export", post(export))
        .route("/v1/blocks/import", post(import))
        .route("/v1/weights", post(load_weights))
        .layer(middleware::from_fn_with_state(log, record::record))
        .layer(DefaultBodyLimit::disable())
        .with_state(shared)
}

impl From<Rejection> for StatusCode {
    fn from(rejection: Rejection) -> Self {
        match rejection {
            Rejection::Cancelled => Self::GONE,
            Rejection::Fenced => Self::CONFLICT,
            Rejection::WrongWeights => Self::PRECONDITION_FAILED,
        }
    }
}

async fn start(
    Shares(shared): Shares<Arc<Shared>>,
    Json(start): Json<StartStream>,
) -> Result<Response, StatusCode> {
    let stream = shared.lock().start(&start)?;
    shared.work.notify_one();
    Ok(Reader::new(stream, 0).into_response())
}

async fn resume(
    Shares(shared): Shares<Arc<Shared>>,
    Path(id): Path<String>,
    Query(query): Query<FromQuery>,
) -> Result<Response, StatusCode> {
    let stream = shared.lock().streams.get(id.as_str()).cloned();
    let stream = stream.ok_or(StatusCode::NOT_FOUND)?;
    Ok(Reader::new(stream, query.from).into_response())
}

async fn cancel(Shares(shared): Shares<Arc<Shared>>, Path(id): Path<String>) -> StatusCode {
    if shared.lock().cancel(&id) { StatusCode::NO_CONTENT } else { StatusCode::NOT_FOUND }
}

async fn load(Shares(shared): Shares<Arc<Shared>>) -> Json<LoadReport> {
    Json(shared.lock().load_lagged())
}

async fn blocks(Shares(shared): Shares<Arc<Shared>>) -> Json<BlockList> {
    let state = shared.lock();
    let (incarnation, next_seq) = (state.incarnation, state.events.next_seq());
    Json(BlockList { incarnation, next_seq, keys: state.cache.keys() })
}

/// Follows the events of one run; the answer ends with the run.
async fn events(Shares(shared): Shares<Arc<Shared>>, Query(query): Query<FromQuery>) -> Response {
    let incarnation = shared.lock().incarnation;
    let lines = stream::unfold((shared, query.from), move |(shared, mut from)| async move {
        let mut keep_alive = KEEP_ALIVE;
        loop {
            let (ready, _) = {
                let state = shared.lock();
                if state.incarnation != incarnation {
                    return None;
                }
                state.events.published(from)
            };
            if let Some(last) = ready.last() {
                from = last.seq + 1;
                let text: Vec<u8> = ready.iter().flat_map(line).collect();
                return Some((Ok::<_, std::io::Error>(Bytes::from(text)), (shared, from)));
            }
            if keep_alive.is_zero() {
                return Some((Ok(Bytes::from_static(b"\n")), (shared, from)));
            }
            tokio::time::sleep(EVENT_POLL).await;
            keep_alive = keep_alive.saturating_sub(EVENT_POLL);
        }
    });
    Body::from_stream(lines).into_response()
}

async fn export(
    Shares(shared): Shares<Arc<Shared>>,
    Json(wanted): Json<BlockTransfer>,
) -> Result<Json<BlockTransfer>, StatusCode> {
    let salt: Arc<str> = Arc::from(wanted.cache_salt.as_str());
    let keys: Vec<BlockKey> = {
        let state = shared.lock();
        check_version(&state.loaded, &wanted)?;
        let cached = |key: &BlockKey| {
            state.cache.contains(&BlockName { salt: Arc::clone(&salt), key: *key })
        };
        wanted.keys.iter().copied().take_while(cached).collect()
    };
    transfer_time(&shared, keys.len()).await;
    Ok(Json(BlockTransfer { keys, ..wanted }))
}

async fn import(
    Shares(shared): Shares<Arc<Shared>>,
    Json(given): Json<BlockTransfer>,
) -> Result<StatusCode, StatusCode> {
    check_version(&shared.lock().loaded, &given)?;
    transfer_time(&shared, given.keys.len()).await;

    let mut state = shared.lock();
    check_version(&state.loaded, &given)?;
    let salt: Arc<str> = Arc::from(given.cache_salt.as_str());
    for key in given.keys.into_iter().rev() {
        let origin = BlockOrigin {
            stream: None,
            salt: Arc::clone(&salt),
            version: given.version.clone(),
            text_hash: None,
        };
        state.store(BlockName { salt: Arc::clone(&salt), key }, origin);
    }
    Ok(StatusCode::NO_CONTENT)
}

fn check_version(loaded: &LoadedWeights, blocks: &BlockTransfer) -> Result<(), StatusCode> {
    if loaded.version == blocks.version { Ok(()) } else { Err(StatusCode::PRECONDITION_FAILED) }
}

async fn transfer_time(shared: &Shared, blocks: usize) {
    let us_per_block = shared.lock().config.transfer_us_per_block;
    tokio::time::sleep(Duration::from_micros(us_per_block * blocks as u64)).await;
}

async fn load_weights(
    Shares(shared): Shares<Arc<Shared>>,
    Json(order): Json<LoadWeights>,
) -> Result<StatusCode, StatusCode> {
    let (incarnation, store) = {
        let mut state = shared.lock();
        if state.config.checks_fencing && order.fence < state.order_fence {
            return Err(StatusCode::CONFLICT);
        }
        state.order_fence = state.order_fence.max(order.fence);
        (state.incarnation, state.config.weight_store.clone())
    };
    store.load().await;

    let mut state = shared.lock();
    let overtaken = state.config.checks_fencing && order.fence < state.order_fence;
    if overtaken || state.incarnation != incarnation {
        return Err(StatusCode::CONFLICT);
    }
    state.loaded = LoadedWeights { model: order.model, version: order.version };
    Ok(StatusCode::NO_CONTENT)
}

/// Follows a stream from an output line on.
struct Reader {
    stream: Arc<Stream>,
    changed: watch::Receiver<()>,
    next_seq: usize,
    started: bool,
    done: bool,
}

impl Reader {
    fn new(stream: Arc<Stream>, from: u64) -> Self {
        stream.reader_came();
        let changed = stream.subscribe();
        let next_seq = usize::try_from(from).unwrap_or(usize::MAX);
        Self { stream, changed, next_seq, started: false, done: false }
    }

    fn into_response(self) -> Response {
        let lines = stream::unfold(self, |mut reader| async move {
            let text = reader.read().await?;
            Some((Ok::<_, std::io::Error>(Bytes::from(text)), reader))
        });
        Body::from_stream(lines).into_response()
    }

    /// All lines that are ready, or an empty one when there were none for a while.
    async fn read(&mut self) -> Option<Vec<u8>> {
        if self.done {
            return None;
        }

        loop {
            self.changed.borrow_and_update();
            let text = self.ready();
            if !text.is_empty() {
                return Some(text);
            }
            match tokio::time::timeout(KEEP_ALIVE, self.changed.changed()).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return None,
                Err(_) => return Some(b"\n".to_vec()),
            }
        }
    }

    fn ready(&mut self) -> Vec<u8> {
        let mut text = Vec::new();
        if !self.started {
            self.started = true;
            text.extend(line(&StreamLine::Started { incarnation: self.stream.incarnation }));
        }
        let output = self.stream.lock();
        for word in output.words.iter().skip(self.next_seq) {
            let seq = self.next_seq as u64;
            let word = word_text(word).to_owned();
            text.extend(line(&StreamLine::Output { seq, text: word, tokens: 1 }));
            self.next_seq += 1;
        }
        if let Some(end) = &output.end {
            self.done = true;
            text.extend(line(&end_line(end, output.words.len())));
        }
        text
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.stream.reader_left();
    }
}

fn end_line(end: &End, words: usize) -> StreamLine {
    match end {
        End::Finished { reason, usage } => {
            StreamLine::Finished { seq: words as u64, reason: *reason, usage: *usage }
        }
        End::Failed { message } => StreamLine::Failed { message: message.clone() },
    }
}

fn line(message: &impl Serialize) -> Vec<u8> {
    // The messages are plain data, which always has a JSON form.
    let mut text = serde_json::to_vec(message).unwrap_or_default();
    text.push(b'\n');
    text
}
