//! Relays streams: sends events to the caller as they arrive, and resumes a resumable stream at
//! another server when its server breaks off.

use std::time::Duration;

use http::{HeaderValue, header};
use http_body_util::BodyExt;
use samphirespread_routing::{
    events::EventSplitter,
    stopping::{Try, pause_after_ms},
};
use tokio::{task::consume_budget, time};

use crate::{
    active_request::{ActiveRequest, AttemptOutcome, Continued, ServerAnswer, WEIGHTS_TOO_OLD},
    crashes,
    drain::CUT_BY_DRAIN,
    held_memory::MemoryHold,
    metrics::count,
    named_weights,
    relocate::{EndedMove, Moves, may_still_take},
    request_log::{LeftRun, Outcome, RunObstacle, Step},
    select::Selected,
    stream_queue::EventSender,
};

/// After its run has stopped, a stream that is silent for this long counts as ended.
const STOPPED_STREAM_END_MS: u64 = 200;

/// Pieces of a stream that are passed on although they are read after the deadline: those that a
/// connection can have ready by then.
const MAX_LATE_PIECES: u32 = 4;

/// Why the copying of a server's events ended.
#[derive(Clone, Debug, PartialEq, Eq)]
enum CopyEnd {
    /// The stream ended properly after its last event.
    Complete,
    /// The stream from the server broke off.
    Broken(String),
    /// This router reads no further.
    GivenUp(String),
    /// The caller closed the connection.
    CallerGone,
    /// The request's deadline has passed, or the drain of this process ends.
    TimedOut,
}

/// What became of the complete events of a piece.
enum Forwarded {
    /// The caller has all of them.
    All,
    /// The server repeats what the caller has, more often than it can have sent it.
    Repeats,
    /// There is no memory for an event that the caller has yet to take.
    NoMemory,
    /// The caller closed the connection.
    CallerGone,
}

/// What became of the run of a stream that ended before its last event.
enum MovedRun {
    /// The run was not stopped by this router, as far as it knows.
    NotMoved,
    /// An engine continues the run.
    Continues(Box<ServerAnswer>),
    /// This router has stopped the run, and no engine continues it.
    Left,
    /// The caller closed the connection.
    CallerGone,
}

/// The outcome of resuming a stream by a new run.
enum Resumed {
    Answer(Box<ServerAnswer>),
    /// No new run goes on.
    No(RunObstacle),
    /// The caller closed the connection.
    CallerGone,
}

/// Copies a stream to its caller, and continues it at another server where that is allowed.
pub(crate) async fn relay(
    mut request: ActiveRequest,
    answer: Box<ServerAnswer>,
    events: EventSender,
) {
    let status = answer.status.as_u16();
    let mut relay = Relay {
        events,
        splitter: EventSplitter::default(),
        memory: MemoryHold::default(),
        last_id: request.facts.last_event_id,
        skipped_events: 0,
        content_type: answer.headers.get(header::CONTENT_TYPE).cloned(),
        moves: Moves::default(),
    };
    let mut answer = answer;
    let outcome = loop {
        let end = relay.copy(&mut request, &mut answer).await;
        let has_broken_off = matches!(end, CopyEnd::Broken(_));
        match end {
            CopyEnd::Complete => {
                crashes::request_survived(&request, answer.first_event);
                answer.keep_connection();
                break Outcome::Served { status };
            }
            CopyEnd::CallerGone => {
                // Else parts whose callers all leave early would stay under suspicion.
                if let Some(first_event) = answer.first_event {
                    crashes::parts_survived(&request, first_event);
                }
                break Outcome::CallerGone;
            }
            CopyEnd::TimedOut => break Outcome::Cut { cause: request.timeout_cause() },
            CopyEnd::Broken(cause) | CopyEnd::GivenUp(cause) => {
                match relay.continue_moved_run(&mut request).await {
                    MovedRun::Continues(next) => {
                        answer = next;
                        continue;
                    }
                    MovedRun::CallerGone => {
                        count(&request.core.metrics.moves, "caller_gone");
                        break Outcome::CallerGone;
                    }
                    MovedRun::NotMoved => answer.guard.failed(),
                    MovedRun::Left => {
                        drop(answer);
                        match relay.resume_stopped(&mut request).await {
                            Ok(next) => answer = next,
                            Err(outcome) => break outcome,
                        }
                        continue;
                    }
                }
                let may_repeat = request.may_repeat();
                let server = answer.guard.server.clone();
                if has_broken_off {
                    let stage = answer.run_stage();
                    crashes::run_broke_off(&request, &server, answer.server, stage);
                }
                request
                    .request_log
                    .step(request.core.now(), Step::Failed { server, cause, may_repeat });
                drop(answer);
                if !may_repeat {
                    break Outcome::Cut { cause: relay.cause_of_cut() };
                }
                match relay.resume_until_deadline(&mut request).await {
                    Resumed::Answer(next) => answer = next,
                    Resumed::CallerGone => break Outcome::CallerGone,
                    Resumed::No(_) => break Outcome::Cut { cause: "no other server goes on" },
                }
            }
        }
    };
    let is_cut = matches!(outcome, Outcome::Cut { .. } | Outcome::StoppedRunLost { .. });
    let ended_by_drain = request.core.drain.has_cut(request.deadline, request.core.now());
    let outcome =
        if is_cut && ended_by_drain { Outcome::Cut { cause: CUT_BY_DRAIN } } else { outcome };
    if is_cut {
        relay.events.break_off().await;
    }
    crate::handle::finish(&mut request, &outcome);
}

/// Gives a stream up for whose events there is no memory, which need not be its server's fault.
fn give_up_for_memory(answer: &mut ServerAnswer) -> CopyEnd {
    answer.guard.leave_out();
    CopyEnd::GivenUp("no memory for its events".to_owned())
}

/// The state of one relayed stream.
struct Relay {
    events: EventSender,
    splitter: EventSplitter,
    /// What incomplete events take of the memory for what is held.
    memory: MemoryHold,
    /// Id of the last event sent to the caller, if events have ids.
    last_id: Option<u64>,
    /// Events since then that the caller has already.
    skipped_events: u64,
    moves: Moves,
    /// The content type of the stream, which the answers that continue it have as well.
    content_type: Option<HeaderValue>,
}

impl Relay {
    async fn copy(&mut self, request: &mut ActiveRequest, answer: &mut ServerAnswer) -> CopyEnd {
        let deadline = time::sleep(Duration::from_millis(request.left_ms()));
        let core = request.core.clone();
        let answers_due = core.drain.answers_due();
        let awaited_weights = answer.awaited_weights.clone();
        let weights_expired = named_weights::expired(awaited_weights.as_ref(), &core);
        tokio::pin!(deadline, answers_due, weights_expired);
        let mut late_pieces: u32 = 0;
        loop {
            // What is ready at the deadline is passed on. A body whose next piece is always ready must
            // not outlive it.
            if late_pieces > MAX_LATE_PIECES {
                return CopyEnd::TimedOut;
            }
            let has_stopped = self.moves.has_stopped_run();
            let frame = tokio::select! {
                biased;
                () = self.events.closed() => return CopyEnd::CallerGone,
                frame = answer.body.frame() => frame,
                () = self.moves.settled() => continue,
                () = time::sleep(Duration::from_millis(STOPPED_STREAM_END_MS)), if has_stopped => {
                    return CopyEnd::GivenUp("its run has stopped".to_owned());
                }
                () = &mut weights_expired, if answer.first_event.is_none() => {
                    answer.guard.leave_out();
                    return CopyEnd::GivenUp(WEIGHTS_TOO_OLD.to_owned());
                }
                () = &mut answers_due => return CopyEnd::TimedOut,
                () = &mut deadline => return CopyEnd::TimedOut,
            };
            let is_late =
                request.left_ms() == 0 || core.drain.has_cut(request.deadline, core.now());
            late_pieces += u32::from(is_late);
            match frame {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.splitter.push(&data);
                        match self.forward(request, answer).await {
                            Forwarded::All => {}
                            Forwarded::Repeats => {
                                return CopyEnd::GivenUp(
                                    "events that repeat without end".to_owned(),
                                );
                            }
                            Forwarded::NoMemory => return give_up_for_memory(answer),
                            Forwarded::CallerGone => return CopyEnd::CallerGone,
                        }
                    }
                    // The buffer grows by doubling.
                    let buffer_bytes = 2 * self.splitter.buffered_bytes();
                    if !core.held_memory.cover(&mut self.memory, buffer_bytes) {
                        return give_up_for_memory(answer);
                    }
                    if self.splitter.exceeds_max_size() {
                        return CopyEnd::GivenUp("an event without an end".to_owned());
                    }
                }
                Some(Err(error)) => return CopyEnd::Broken(error.to_string()),
                None if self.splitter.has_partial_event() => {
                    return CopyEnd::Broken("the last event is not whole".to_owned());
                }
                None if self.has_ended_unbegun(answer) => {
                    return CopyEnd::Broken("the connection ended before an event".to_owned());
                }
                None if answer.ends_with_connection()
                    && self.moves.may_have_ended_stream().await =>
                {
                    return CopyEnd::GivenUp("its run has stopped".to_owned());
                }
                None => return CopyEnd::Complete,
            }
        }
    }

    /// Whether a stream without an event ended with its connection, as it does when the server stops.
    fn has_ended_unbegun(&self, answer: &ServerAnswer) -> bool {
        self.last_id.is_none() && answer.first_event.is_none() && answer.ends_with_connection()
    }

    /// Sends all complete events to the caller, but for those that it has.
    async fn forward(
        &mut self,
        request: &mut ActiveRequest,
        answer: &mut ServerAnswer,
    ) -> Forwarded {
        while let Some(event) = self.splitter.next_event() {
            // Other requests are handled between two turns, whatever one server sends.
            consume_budget().await;
            if let Some(id) = event.id {
                if let Some(last) = self.last_id.filter(|last| id <= *last) {
                    self.skipped_events += 1;
                    // Ids rise, so a run that begins anew repeats no more events than that.
                    if self.skipped_events > last.saturating_add(1) {
                        return Forwarded::Repeats;
                    }
                    continue;
                }
                self.skipped_events = 0;
                self.last_id = Some(id);
            }
            answer.guard.prompt_read();
            let now = request.core.now();
            let effect = answer.record_event(now);
            if effect.is_first {
                request.stream_has_event(answer.software);
            }
            if let Some(first_event) = effect.survived {
                crashes::parts_survived(request, first_event);
            }
            request.record_event(now);
            let held_memory = &request.core.held_memory;
            let Some(memory) = held_memory.split_off(&mut self.memory, event.bytes.len()) else {
                return Forwarded::NoMemory;
            };
            if !self.events.send(event.bytes, memory).await {
                return Forwarded::CallerGone;
            }
            if self.last_id.is_some() {
                self.moves.begin_if_due(request, &answer.guard.server);
            }
        }
        Forwarded::All
    }

    /// Continues the run from a copy of its memory, if the stream ended because the run was stopped
    /// to be moved.
    async fn continue_moved_run(&mut self, request: &mut ActiveRequest) -> MovedRun {
        let Some(last_id) = self.last_id else { return MovedRun::NotMoved };
        loop {
            let next = tokio::select! {
                biased;
                next = self.moves.next_server(request) => next,
                () = self.events.closed() => return MovedRun::CallerGone,
            };
            let Some(server) = next else { break };
            self.splitter.clear();
            let continued = tokio::select! {
                biased;
                () = self.events.closed() => return MovedRun::CallerGone,
                continued = request.continue_run(&server, last_id) => continued,
            };
            match continued {
                Continued::Answer(answer) if self.can_continue_with(&answer) => {
                    self.moves.continued(request);
                    return MovedRun::Continues(answer);
                }
                Continued::Refused => self.moves.refused(),
                Continued::Answer(_) | Continued::Failed => self.moves.abandon(),
            }
        }
        self.moves.give_up();
        // The move is over, so a stream that is resumed now is no longer one whose run has stopped.
        let EndedMove { left, refused_by, repeat, has_failed } = self.moves.reset();
        if left.is_some() || self.moves.is_stop_unanswered() {
            request.owe_stream(repeat, !has_failed);
        }
        let Some(left) = left else { return MovedRun::NotMoved };
        let obstacle = request.run_obstacle();
        let step = Step::StoppedRunLeft(LeftRun { obstacle, ..left });
        request.request_log.step(request.core.now(), step);
        match refused_by.filter(|_| obstacle.is_some()) {
            Some(destination) => self.retry_destination(request, &destination).await,
            None => MovedRun::Left,
        }
    }

    /// Sends a stopped run to its destination again after a refusal, as it can't run anywhere else.
    async fn retry_destination(
        &mut self,
        request: &mut ActiveRequest,
        destination: &Selected,
    ) -> MovedRun {
        let Some(last_id) = self.last_id else { return MovedRun::Left };
        while let Some(pause_ms) = pause_after_ms(Try::NotYet, request.left_ms()) {
            tokio::select! {
                biased;
                () = self.events.closed() => return MovedRun::CallerGone,
                () = time::sleep(Duration::from_millis(pause_ms)) => {}
            }
            if !may_still_take(request, destination) {
                break;
            }
            if !request.try_spend_repeat() {
                continue;
            }
            let continued = tokio::select! {
                biased;
                () = self.events.closed() => return MovedRun::CallerGone,
                continued = request.continue_run(destination, last_id) => continued,
            };
            match continued {
                Continued::Answer(answer) if self.can_continue_with(&answer) => {
                    count(&request.core.metrics.moves, "continued");
                    request.settle_stream();
                    return MovedRun::Continues(answer);
                }
                Continued::Refused => {}
                Continued::Answer(_) | Continued::Failed => break,
            }
        }
        MovedRun::Left
    }

    /// Why the stream broke off, where nothing follows.
    fn cause_of_cut(&self) -> &'static str {
        match self.moves.is_stop_unanswered() {
            true => "a call to stop its run was not answered",
            false => "the server broke off",
        }
    }

    fn can_continue_with(&self, answer: &ServerAnswer) -> bool {
        answer.continues(self.content_type.as_ref())
    }

    /// Resumes the stream by a new run after this router has stopped its run and no engine
    /// continued it.
    async fn resume_stopped(
        &mut self,
        request: &mut ActiveRequest,
    ) -> Result<Box<ServerAnswer>, Outcome> {
        let obstacle = request.run_obstacle();
        let resumed = match obstacle {
            Some(obstacle) => Resumed::No(obstacle),
            None => self.resume_until_deadline(request).await,
        };
        let (became, result) = match resumed {
            Resumed::Answer(answer) => ("resumed", Ok(answer)),
            Resumed::No(obstacle) => ("lost", Err(Outcome::StoppedRunLost { obstacle })),
            Resumed::CallerGone => ("caller_gone", Err(Outcome::CallerGone)),
        };
        count(&request.core.metrics.moves, became);
        result
    }

    /// Resumes the stream by a new run. If this router has stopped the run, it tries until the
    /// deadline.
    async fn resume_until_deadline(&mut self, request: &mut ActiveRequest) -> Resumed {
        self.splitter.clear();
        request
            .request_log
            .step(request.core.now(), Step::StreamResumed { after: self.last_id.unwrap_or(0) });
        let resumed = loop {
            let resumed = self.resume(request).await;
            let result = match &resumed {
                Resumed::No(obstacle) if request.is_owed() => obstacle.as_try(),
                _ => break resumed,
            };
            let Some(pause_ms) = pause_after_ms(result, request.left_ms()) else { break resumed };
            tokio::select! {
                biased;
                () = self.events.closed() => break Resumed::CallerGone,
                () = time::sleep(Duration::from_millis(pause_ms)) => request.forget_tried(),
            }
        };
        request.settle_stream();
        if matches!(resumed, Resumed::Answer(_)) {
            self.moves = Moves::default();
        }
        resumed
    }

    async fn resume(&mut self, request: &mut ActiveRequest) -> Resumed {
        let attempt = tokio::select! {
            biased;
            () = self.events.closed() => return Resumed::CallerGone,
            attempt = request.attempt(self.last_id) => attempt,
        };
        match attempt {
            AttemptOutcome::Answer(answer) if self.can_continue_with(&answer) => {
                Resumed::Answer(answer)
            }
            AttemptOutcome::Answer(_) => Resumed::No(RunObstacle::WrongAnswer),
            AttemptOutcome::Unknown { cause, .. } => Resumed::No(RunObstacle::NotBegun(cause)),
            AttemptOutcome::NotRun { .. } => Resumed::No(RunObstacle::NotBegun("not run")),
        }
    }
}
