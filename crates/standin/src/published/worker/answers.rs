//! The answers of a worker to requests.

use std::{io, time::Duration};

use axum::{
    body::Body,
    http::{HeaderValue, StatusCode},
    response::{Extension, IntoResponse, Response},
};
use futures_util::{StreamExt, stream};
use tokio::time;

use super::{Behaviour, MOVED_EVENTS, NOT_RUN, REQUEST_ID, Received, SEAL, STREAM_EVENTS};
use crate::server::LostAnswer;

/// Pause before an event.
pub(in crate::published) const EVENT_MS: u64 = 2;

/// What a worker answers with.
pub(super) struct Answering<'a> {
    pub(super) received: &'a Received,
    /// The version of the worker's software, if its events end with it.
    pub(super) software: Option<&'a str>,
}

pub(super) async fn respond_as(answering: &Answering<'_>, behaviour: Behaviour) -> Response {
    let received = answering.received;
    let id = received.request_id().to_owned();
    match behaviour {
        Behaviour::Answer => answer(answering, &id),
        Behaviour::AnswerAfterMs(delay_ms) => {
            time::sleep(Duration::from_millis(delay_ms)).await;
            answer(answering, &id)
        }
        Behaviour::Refuse => refuse(id),
        Behaviour::RefuseAfterMs(delay_ms) => {
            time::sleep(Duration::from_millis(delay_ms)).await;
            refuse(id)
        }
        Behaviour::RefuseForMs(rest_ms) => {
            let rest_s = format!("{}.{:03}", rest_ms / 1_000, rest_ms % 1_000);
            let headers = [(NOT_RUN, "1".to_owned()), (REQUEST_ID, id), ("retry-after", rest_s)];
            (StatusCode::SERVICE_UNAVAILABLE, headers).into_response()
        }
        Behaviour::AnswerLeaving => {
            let mut response = answer(answering, &id);
            response.headers_mut().insert("server-leaving", HeaderValue::from_static("1"));
            response
        }
        Behaviour::Fail => {
            let headers = [(SEAL, "seal".to_owned()), (REQUEST_ID, id)];
            (StatusCode::INTERNAL_SERVER_ERROR, headers, "failed").into_response()
        }
        Behaviour::BreakOff => (Extension(LostAnswer), ()).into_response(),
        Behaviour::AnswerAnother => answer(answering, "another"),
        Behaviour::AnswerUnsigned => ([(REQUEST_ID, id)], "unsigned").into_response(),
        Behaviour::StreamUntilMoved | Behaviour::StreamUntilMovedOrWhole(_) => {
            unreachable!("such a stream is answered before")
        }
        Behaviour::AnswerSlowly(pause_ms) => {
            let body = Body::from_stream(events_of(answering, None, pause_ms));
            ([(SEAL, "seal".to_owned()), (REQUEST_ID, id)], body).into_response()
        }
        Behaviour::Endless => (answer_headers(&id), Body::from_stream(endless())).into_response(),
        Behaviour::CutStreamAfter(events) => cut_stream(answering, events, EVENT_MS),
        Behaviour::CutSlowStreamAfter(events, pause_ms) => cut_stream(answering, events, pause_ms),
    }
}

/// Bytes that never become an event, at 16 MB a second.
fn endless() -> impl stream::Stream<Item = io::Result<&'static [u8]>> {
    static PIECE: [u8; 16 * 1_024] = [b'='; 16 * 1_024];
    stream::unfold((), |()| async {
        time::sleep(Duration::from_millis(1)).await;
        Some((Ok(&PIECE[..]), ()))
    })
}

fn refuse(id: String) -> Response {
    (StatusCode::SERVICE_UNAVAILABLE, [(NOT_RUN, "1".to_owned()), (REQUEST_ID, id)]).into_response()
}

fn cut_stream(answering: &Answering<'_>, events: u64, pause_ms: u64) -> Response {
    let headers = answer_headers(answering.received.request_id());
    let body = Body::from_stream(events_of(answering, Some(events), pause_ms));
    (headers, body).into_response()
}

pub(in crate::published) fn answer_headers(id: &str) -> [(&'static str, String); 2] {
    [(SEAL, "seal".to_owned()), (REQUEST_ID, id.to_owned())]
}

fn answer(answering: &Answering<'_>, id: &str) -> Response {
    let headers = answer_headers(id);
    if answering.received.header("x-samphirespread-model").is_empty() {
        return (headers, format!("answered {id}")).into_response();
    }
    (headers, Body::from_stream(events_of(answering, None, EVENT_MS))).into_response()
}

/// Returns that many events of a stream, after the one that the request names.
pub(in crate::published) fn first_events_of(
    received: &Received,
    events: u64,
) -> impl stream::Stream<Item = io::Result<String>> + Send + use<> {
    let answering = Answering { received, software: None };
    // What follows the events is the beginning of the next one.
    events_of(&answering, Some(events), EVENT_MS).take(usize::try_from(events).unwrap_or(0))
}

/// Returns the events of a stream after the one that the request names, cut after some.
fn events_of(
    answering: &Answering<'_>,
    cut_after: Option<u64>,
    pause_ms: u64,
) -> impl stream::Stream<Item = io::Result<String>> + use<> {
    let received = answering.received;
    let id = received.request_id().to_owned();
    let mark = answering.software.map(|version| format!(" {version}")).unwrap_or_default();
    let last: u64 = received.header("last-event-id").parse().unwrap_or(0);
    let goes_on = !received.header("kv-from").is_empty() || last >= STREAM_EVENTS;
    let end = if goes_on { last + MOVED_EVENTS } else { STREAM_EVENTS };
    let mut pieces: Vec<io::Result<String>> = Vec::new();
    for number in last + 1..=end {
        if cut_after.is_some_and(|events| number > last + events) {
            pieces.push(Ok(format!("id: {number}\nda")));
            pieces.push(Err(io::Error::other("cut")));
            break;
        }
        pieces.push(Ok(format!("id: {number}\ndata: {id} {number}{mark}\n\n")));
    }
    // The pause lets what came before a cut reach the router.
    stream::unfold(pieces.into_iter(), move |mut pieces| async move {
        let piece = pieces.next()?;
        time::sleep(Duration::from_millis(pause_ms)).await;
        Some((piece, pieces))
    })
}
