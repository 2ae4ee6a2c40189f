//! Streams: events go to the caller as they come, and a resumable stream goes on elsewhere when its
//! server breaks off.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use samphirespread_routing::events::EventSplitter;
use tokio::{sync::mpsc, time};

use crate::{
    body::{Piece, StreamBroken},
    relocate::Moves,
    run::{Attempt, CarriedOn, Live, Run},
    story::{End, Step},
};

/// The stream of a run that has stopped ends within this time.
const STREAM_END_MS: u64 = 200;

/// Why copying a server's events came to its end.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Copied {
    /// The stream is whole.
    Complete,
    /// The server broke off.
    Broken(String),
    /// The caller left.
    CallerGone,
    /// The request's time is over.
    TimedOut,
}

/// Copies a stream to its caller, and goes on at another server where that is allowed.
pub(crate) async fn relay(mut run: Run, live: Box<Live>, pieces: mpsc::Sender<Piece>) {
    let status = live.status.as_u16();
    let mut relay = Relay {
        pieces,
        splitter: EventSplitter::default(),
        last_id: run.facts.last_event_id,
        moves: Moves::default(),
    };
    let mut live = live;
    let end = loop {
        match relay.copy(&mut run, &mut live).await {
            Copied::Complete => {
                live.keep_connection();
                break End::Served { status };
            }
            Copied::CallerGone => break End::CallerGone,
            Copied::TimedOut => break End::Cut { cause: "timeout" },
            Copied::Broken(cause) => {
                if let Some(next) = relay.carry_on(&mut run).await {
                    live = next;
                    continue;
                }
                let may_repeat = run.may_repeat();
                let server = live.lease.server.clone();
                run.story.step(run.core.now(), Step::Failed { server, cause, may_repeat });
                drop(live);
                if !may_repeat {
                    break End::Cut { cause: "the server broke off" };
                }
                match relay.resume(&mut run).await {
                    Some(next) => live = next,
                    None => break End::Cut { cause: "no other server goes on" },
                }
            }
        }
    };
    if matches!(end, End::Cut { .. }) {
        // The receiver may be gone already, and then nobody needs to hear of it.
        let _ = relay.pieces.send(Err(StreamBroken::Cut)).await;
    }
    crate::handle::finish(&mut run, &end);
}

struct Relay {
    pieces: mpsc::Sender<Piece>,
    splitter: EventSplitter,
    last_id: Option<u64>,
    moves: Moves,
}

impl Relay {
    async fn copy(&mut self, run: &mut Run, live: &mut Live) -> Copied {
        let deadline = time::sleep(Duration::from_millis(run.left_ms()));
        tokio::pin!(deadline);
        loop {
            let has_stopped = self.moves.has_stopped_run();
            let frame = tokio::select! {
                biased;
                () = self.pieces.closed() => return Copied::CallerGone,
                frame = live.body.frame() => frame,
                () = self.moves.answered() => continue,
                () = time::sleep(Duration::from_millis(STREAM_END_MS)), if has_stopped => {
                    return Copied::Broken("its run has stopped".to_owned());
                }
                () = &mut deadline => return Copied::TimedOut,
            };
            match frame {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.splitter.push(&data);
                        if !self.forward(run, live).await {
                            return Copied::CallerGone;
                        }
                    }
                    if self.splitter.exceeds_max_size() {
                        return Copied::Broken("an event without an end".to_owned());
                    }
                }
                Some(Err(error)) => return Copied::Broken(error.to_string()),
                None if self.splitter.has_partial_event() => {
                    return Copied::Broken("the last event is not whole".to_owned());
                }
                None => return Copied::Complete,
            }
        }
    }

    /// Sends on all whole events. False when the caller left.
    async fn forward(&mut self, run: &mut Run, live: &mut Live) -> bool {
        while let Some(event) = self.splitter.next_event() {
            if let Some(id) = event.id {
                if self.last_id.is_some_and(|last| id <= last) {
                    continue;
                }
                self.last_id = Some(id);
            }
            live.lease.first_event();
            run.note_event();
            if !self.send(event.bytes).await {
                return false;
            }
            if self.last_id.is_some() {
                self.moves.begin_if_due(run, &live.lease.server);
            }
        }
        true
    }

    async fn send(&self, bytes: Bytes) -> bool {
        self.pieces.send(Ok(bytes)).await.is_ok()
    }

    /// Goes on where the run's memory is, if the stream ended because the run was stopped to be moved.
    async fn carry_on(&mut self, run: &mut Run) -> Option<Box<Live>> {
        let last_id = self.last_id?;
        while let Some(place) = self.moves.next_place(run).await {
            self.splitter.clear();
            let carried_on = tokio::select! {
                biased;
                () = self.pieces.closed() => return None,
                carried_on = run.carry_on(&place, last_id) => carried_on,
            };
            match carried_on {
                CarriedOn::Live(live) => {
                    self.moves.done();
                    return Some(live);
                }
                CarriedOn::Refused => self.moves.refused(),
                CarriedOn::Failed => self.moves.failed(),
            }
        }
        // Whatever becomes of the stream now, it is no longer one whose run has stopped.
        self.moves.done();
        None
    }

    async fn resume(&mut self, run: &mut Run) -> Option<Box<Live>> {
        self.splitter.clear();
        run.story.step(run.core.now(), Step::Resumes { after: self.last_id.unwrap_or(0) });
        let attempt = tokio::select! {
            biased;
            () = self.pieces.closed() => return None,
            attempt = run.attempt(self.last_id) => attempt,
        };
        match attempt {
            Attempt::Answer(live) if live.status.is_success() => Some(live),
            _ => None,
        }
    }
}
