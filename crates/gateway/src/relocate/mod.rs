//! Moves running streams off engines that are about to load weights or that leave.
//!
//! A run is moved by the router that relays its stream, as only that router can splice the stream.
//! It may send the request to another engine once the source has answered that the run has stopped.

mod calls;
mod plan;
mod stop_check;
mod turns;

use std::sync::Arc;

use samphirespread_core::prelude::*;
use samphirespread_routing::relocation::{Place, Relocation, Step as MoveStep};
use tokio::sync::oneshot;

pub(crate) use self::turns::MoveTurns;
use self::{
    calls::{Source, execute_move},
    plan::{Plan, plan_move, run_to_move},
    stop_check::StopCheck,
};
use crate::{
    active_request::{ActiveRequest, RepeatSetAside},
    fleet::Server,
    gateway::Core,
    metrics::count,
    request_log::{LeftRun, Step},
    select::{Selected, StoppedRun},
};

/// Minimum time between two tries to move one run.
const RETRY_INTERVAL_MS: u64 = 150;
/// Maximum number of tries to move one run off one engine.
const MAX_TRIES: u32 = 4;

/// An engine that drains gets stopped runs for one part in this many of the time for which it serves on.
/// The rest is for the age of what is known of it, and for the send.
const DRAIN_PARTS: u64 = 2;

/// Moves the run of one stream from engine to engine.
#[derive(Debug, Default)]
pub(crate) struct Moves {
    pending: Option<PendingMove>,
    tries: u32,
    last_try: Option<MonoTime>,
    /// The engines that refused to continue the stopped run.
    refused: Vec<Arc<str>>,
    /// Whether the last call to stop the run got no answer.
    is_stop_unanswered: bool,
    /// The stopped run, once no engine is left to continue it.
    left: Option<LeftRun>,
    /// The destination that has refused the stopped run but may still take it.
    refused_by: Option<Selected>,
    /// The repeat that was set aside for that case.
    repeat: Option<RepeatSetAside>,
    /// Whether an engine that was to continue the run broke off.
    has_failed: bool,
}

/// What is left of a move that has ended without an engine that continues the run.
#[derive(Debug)]
pub(crate) struct EndedMove {
    /// The run, if it was certainly stopped.
    pub(crate) left: Option<LeftRun>,
    /// The destination, if it has refused the stopped run but may still take it.
    pub(crate) refused_by: Option<Selected>,
    /// The repeat that was set aside for a new run, if the run was or may have been stopped.
    pub(crate) repeat: Option<RepeatSetAside>,
    /// Whether an engine that was to continue the run broke off, as it does when it crashes.
    pub(crate) has_failed: bool,
}

/// A move that has begun.
#[derive(Debug)]
struct PendingMove {
    destination: Selected,
    source: Selected,
    calls: MoveCalls,
    /// A repeat for the new run that follows if no engine continues the stopped one.
    repeat: Option<RepeatSetAside>,
}

impl PendingMove {
    fn at(&self, place: Place) -> &Selected {
        match place {
            Place::Destination => &self.destination,
            Place::Source => &self.source,
        }
    }
}

/// The calls to the source, which a task makes.
#[derive(Debug)]
enum MoveCalls {
    Pending(oneshot::Receiver<Relocation>),
    Done(Relocation),
}

impl Moves {
    /// Begins to move the run if its engine is about to load weights or leaves, and another engine
    /// can take the run.
    pub(crate) fn begin_if_due(&mut self, request: &mut ActiveRequest, server: &Arc<str>) {
        let now = request.core.now();
        let tried_recently =
            self.last_try.is_some_and(|tried| now.ms_since(tried) < RETRY_INTERVAL_MS);
        if self.pending.is_some() || tried_recently || self.tries >= MAX_TRIES {
            return;
        }
        let Some(request_id) = request.facts.id.clone() else { return };
        let (source, destination) = match plan_move(request, server, now) {
            Plan::None => return,
            Plan::NoDestination => return self.defer(request, server, "no_host"),
            Plan::Move(servers) => *servers,
        };
        let repeat = if request.may_resume() { request.set_repeat_aside() } else { None };
        let Some(check) = StopCheck::new(request, &source, &destination, repeat.is_some()) else {
            return;
        };
        let decision = check.decide(&request.core, now);
        if let Err(stay) = decision {
            return self.defer(request, server, stay.name());
        }
        if !request.try_spend_move() {
            return self.defer(request, server, "retry_budget");
        }
        self.tries += 1;
        self.last_try = Some(now);
        let step = Step::MoveStarted { from: source.id.clone(), to: destination.id.clone() };
        request.request_log.step(now, step);
        let (sender, receiver) = oneshot::channel();
        let from = Source { id: source.id.clone(), address: source.address };
        tokio::spawn(execute_move(
            request.core.clone(),
            from,
            destination.clone(),
            check,
            request_id,
            sender,
        ));
        let calls = MoveCalls::Pending(receiver);
        self.pending = Some(PendingMove { destination, source, calls, repeat });
    }

    /// Leaves the run where it is for now. This is logged once for each engine.
    fn defer(&mut self, request: &mut ActiveRequest, server: &Arc<str>, cause: &'static str) {
        let now = request.core.now();
        if self.last_try.replace(now).is_none() {
            count(&request.core.metrics.moves, cause);
            request.request_log.step(now, Step::MoveDeferred { server: server.clone(), cause });
        }
    }

    /// Waits until the source has answered the last call. Never returns if no such answer is
    /// awaited.
    pub(crate) async fn settled(&mut self) {
        let Some(pending) = &mut self.pending else { return std::future::pending().await };
        let MoveCalls::Pending(receiver) = &mut pending.calls else {
            return std::future::pending().await;
        };
        let Ok(relocation) = receiver.await else {
            self.pending = None;
            return;
        };
        match relocation.step() {
            MoveStep::Resume { .. } => pending.calls = MoveCalls::Done(relocation),
            step => {
                self.is_stop_unanswered |= step == MoveStep::Lost;
                let pending = self.pending.take();
                self.repeat = pending.and_then(|pending| pending.repeat);
                if !self.is_stop_unanswered {
                    self.repeat = None;
                }
            }
        }
    }

    /// Whether the source has stopped the run, so that its stream ends.
    pub(crate) fn has_stopped_run(&self) -> bool {
        let calls = self.pending.as_ref().map(|pending| &pending.calls);
        matches!(calls, Some(MoveCalls::Done(_)))
    }

    /// Whether the stream ended as a move has stopped its run, or may have. Waits for the answer to a
    /// pending call.
    pub(crate) async fn may_have_ended_stream(&mut self) -> bool {
        if self.pending.is_some() && !self.has_stopped_run() {
            self.settled().await;
        }
        self.has_stopped_run() || self.is_stop_unanswered
    }

    /// Whether a call to stop the run got no answer, so that the run may have been stopped.
    pub(crate) fn is_stop_unanswered(&self) -> bool {
        self.is_stop_unanswered
    }

    /// The engine where the run continues, after its stream ended without its last event.
    pub(crate) async fn next_server(&mut self, request: &ActiveRequest) -> Option<Selected> {
        if self.pending.is_some() && !self.has_stopped_run() {
            self.settled().await;
        }
        let pending = self.pending.as_mut()?;
        let MoveCalls::Done(relocation) = &mut pending.calls else { return None };
        let MoveStep::Resume { mut place, handle } = relocation.step() else { return None };
        let source = pending.source.address;
        let version = pending.source.engine.as_ref()?.version?;
        let generation = request.facts.generation.as_ref()?;
        if !run_to_move(&request.core.state(), generation, version, request.core.now()).may_move() {
            return None;
        }
        // The destination was asked for before the call that stopped the run, which may have taken long.
        if place == Place::Destination && !serves_on(&request.core, &pending.destination.id) {
            relocation.record_refusal();
            place = Place::Source;
        }
        let mut selected = match place {
            Place::Destination => pending.destination.clone(),
            // A server that leaves gets no runs, not even its own back, and one that loads refuses it.
            Place::Source if !takes_back(&request.core, &pending.source.id) => return None,
            Place::Source => {
                request.count_return();
                pending.source.clone()
            }
        };
        selected.stopped_run = Some(StoppedRun { source, handle });
        Some(selected)
    }

    /// Records that the engine that was to continue the run has not run it.
    pub(crate) fn refused(&mut self) {
        let Some(pending) = &mut self.pending else { return };
        let MoveCalls::Done(relocation) = &mut pending.calls else { return };
        let step = relocation.step();
        relocation.record_refusal();
        let MoveStep::Resume { place, handle } = step else { return };
        self.refused.push(pending.at(place).id.clone());
        if place == Place::Destination {
            let stopped_run = Some(StoppedRun { source: pending.source.address, handle });
            self.refused_by = Some(Selected { stopped_run, ..pending.destination.clone() });
        }
    }

    /// Abandons the move after the run may have been continued but no answer came.
    pub(crate) fn abandon(&mut self) {
        self.give_up();
        self.refused_by = None;
        self.has_failed = true;
        self.pending = None;
    }

    /// Notes that no engine is left to continue the run, if it has stopped.
    pub(crate) fn give_up(&mut self) {
        let Some(PendingMove { destination, source, calls: MoveCalls::Done(_), repeat }) =
            &mut self.pending
        else {
            return;
        };
        self.repeat = repeat.take();
        self.left = Some(LeftRun {
            source: source.id.clone(),
            destination: destination.id.clone(),
            refused: self.refused.join(","),
            obstacle: None,
        });
    }

    /// Counts that the stopped run was continued, and ends the move, so that the run may be moved
    /// again.
    pub(crate) fn continued(&mut self, request: &ActiveRequest) {
        if let Some(PendingMove { calls: MoveCalls::Done(relocation), .. }) = &self.pending {
            let outcome = match relocation.step() {
                MoveStep::Resume { place: Place::Source, .. } => "taken_back",
                _ => "continued",
            };
            count(&request.core.metrics.moves, outcome);
        }
        *self = Self::default();
    }

    /// Ends the move, so that the run may be moved again.
    pub(crate) fn reset(&mut self) -> EndedMove {
        let is_stop_unanswered = self.is_stop_unanswered;
        let ended = std::mem::replace(self, Self { is_stop_unanswered, ..Self::default() });
        let Self { left, refused_by, repeat, has_failed, .. } = ended;
        EndedMove { left, refused_by, repeat, has_failed }
    }
}

/// Whether a destination that has refused a stopped run may still take it: it neither leaves nor
/// loads, and its weights are those of the run.
pub(crate) fn may_still_take(request: &ActiveRequest, destination: &Selected) -> bool {
    let now = request.core.now();
    let Some(generation) = request.facts.generation.as_ref() else { return false };
    let Some(version) = destination.engine.as_ref().and_then(|engine| engine.version) else {
        return false;
    };
    let state = request.core.state();
    let is_loading =
        |server: &Server| server.fresh_state(now).is_some_and(|state| state.is_loading);
    run_to_move(&state, generation, version, now).may_move()
        && state.fleet.get(&destination.id).is_some_and(|server| {
            !server.is_leaving()
                && !is_loading(server)
                && server.version(&generation.model) == Some(version)
        })
}

/// Whether an engine to which a run was to be moved is still there, and does not drain or has only begun
/// to: by the users' bound it serves on for a while, and the run may be moved on from there.
fn serves_on(core: &Core, id: &str) -> bool {
    let now = core.now();
    let state = core.state();
    let longest_ms = state.bounds.server_drain_ms / DRAIN_PARTS;
    state.fleet.get(id).is_some_and(|server| {
        server.drains_since(now).is_none_or(|since| now.ms_since(since) <= longest_ms)
    })
}

/// Whether an engine may take back a run that it has stopped.
fn takes_back(core: &Core, id: &str) -> bool {
    let now = core.now();
    let state = core.state();
    let is_loading =
        |server: &Server| server.fresh_state(now).is_some_and(|state| state.is_loading);
    state.fleet.get(id).is_some_and(|server| !server.declines(now) && !is_loading(server))
}
